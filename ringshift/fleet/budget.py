"""A fleet-wide budget: one whole, divided among the backends by grants that end, never more than the whole.

Decisions only: no I/O, no clock, no gevent. Two parts. The `Divider` runs at one backend at a time, under the
lease of a fleet task (ringshift/fleet/lease.py); it reads what the backends ask for and writes one ledger.
The `Share` runs at every backend: it asks, reads the ledger, and tells how much may be used now. Both talk
through the keeper only (ringshift/wire/shares.py). Times are whole nanoseconds, each on its own process's
clock; nothing is decided by a time that crosses from one clock to another. Source of the scheme: Doorman's
global limits (shares granted as leases that are refreshed, a safe share without contact), with the lease rule
of this program's leases.

**The rule.** A backend may always use its `safe` share. Beyond it, it uses its `extra` only until its own
deadline: when it *sent* the ask that the grant answers, plus `life`, less the `margin`; and begins nothing
beyond the safe share that could outlast the deadline (`longest`). The divider takes a grant as in use until
the ask's time as it *read* it, which is later than it was sent, plus `life` and the bound on drift; so at any
true moment what a backend may use is at most what the divider counts for it. The safe shares of the largest
fleet are set aside for good: `safe * most + sum of extras <= whole` at every instant.

A smaller grant takes effect when the backend says that it goes by that ledger (its `round`) and how much it
still has under way; until then, or until its end, the larger one counts. So a whole that is lowered, a
leaver, a crash and a partition are one case: nothing is granted again before it was handed back or has ended.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from enum import Enum, IntEnum
from math import floor, isfinite

from ringshift.interface import Unit
from ringshift.settings.terms import MS as MS
from ringshift.settings.terms import Budget as Budget
from ringshift.settings.terms import BudgetError as BudgetError
from ringshift.settings.terms import S as S

MOST_ROWS = 4  # times the largest fleet: rows of backends alive and of those whose grants have not ended
KEPT_ODD = 2  # lives of a grant for which a backend keeps what rounding left to it
REMEMBERED = 16  # send times of a backend's last asks: an answer to an older one is of no use any more

# What travels.


@dataclass(frozen=True)
class Ask:
    """What a backend tells: its `n`th ask; what it wants; what it has under way; by which ledger it goes;
    `leaving`: it will use no more than its safe share from now on."""

    backend: str
    n: int
    want: float
    use: float = 0.0
    round: int = 0
    weight: float = 1.0
    leaving: bool = False


@dataclass(frozen=True)
class Grant:
    """A ledger's row: `n`, the ask it answers; `extra` beyond the safe share; `held`, the most that this
    backend may still be using beyond it, from grants before."""

    n: int
    extra: float
    held: float


@dataclass(frozen=True)
class Ledger:
    round: int
    whole: float
    rows: Mapping[str, Grant]
    life: int = 0
    """Of its grants, as the divider counts them: a backend told a longer one goes by this."""
    left: Mapping[str, int] = field(default_factory=dict)
    """Of each grant, as this was written, until it has surely ended; none decides by it."""


# The division.


def fair(pool: float, wants: Iterable[tuple[str, float, float]]) -> dict[str, float]:
    """Max-min fair parts of `pool` for (name, want, weight): nobody gets more than it wants, and what is left
    goes to the others by weight, so that a want beyond one's part takes nothing from anybody's."""
    parts: dict[str, float] = {}
    rest = sorted(wants, key=lambda one: (one[1] / one[2], one[0]))
    weights = sum(weight for _, _, weight in rest)
    for name, want, weight in rest:
        part = min(want, pool * weight / weights) if weights > 0 else 0.0
        parts[name] = part
        pool, weights = max(pool - part, 0.0), weights - weight
    return parts


def in_whole_units(parts: dict[str, float], pool: float, order: Iterable[str]) -> dict[str, float]:
    """Parts as whole numbers with the same sum as far as it goes; what rounding leaves goes one each in
    `order`, to those whose part was cut."""
    cut = {name: float(floor(part + 1e-9)) for name, part in parts.items()}
    left = min(floor(sum(parts.values()) + 1e-9), floor(pool + 1e-9)) - sum(cut.values())
    for name in order:
        if left < 1:
            break
        if parts[name] - cut[name] > 1e-9:
            cut[name] += 1
            left -= 1
    return cut


@dataclass
class Row:
    """What the divider knows of one backend."""

    n: int = 0
    want: float = 0.0
    weight: float = 1.0
    extra: float = 0.0  # in the newest ledger
    read_at: int = 0  # when its last ask was read
    odd_at: int | None = None  # when it was last given what rounding left, by which that goes round
    leaving: bool = False
    out: list[tuple[int, float, int]] = field(default_factory=list)  # (round, extra, counted until)

    def held(self) -> float:
        return max((extra for _, extra, _ in self.out), default=0.0)

    def odd_order(self, now: int, keeps: int, name: str) -> tuple[int, int, str]:
        """Where this backend stands in the order for what rounding leaves: who has it now, who never had it,
        who had it longest ago."""
        if self.odd_at is None:
            return 1, 0, name
        return 0 if now - self.odd_at < keeps else 2, self.odd_at, name

    def add(self, number: int, extra: float, until: int) -> None:
        """A grant that is out: of one round the largest and latest counts; what a later one covers is
        gone."""
        for place, (round_, amount, ends) in enumerate(self.out):
            if round_ == number:
                self.out[place] = number, max(amount, extra), max(ends, until)
                return
        self.out.append((number, extra, until))


Stage = IntEnum("Stage", "IDLE READING WAITING DIVIDING")
IDLE, READING, WAITING, DIVIDING = Stage.IDLE, Stage.READING, Stage.WAITING, Stage.DIVIDING


class Word(Enum):
    """What a divider hears. TAKEN: the lease is held; LEDGER: what the keeper holds was read; EMPTY: it holds
    none; ROUND: the asks were read; OVER: the waiting is done, found by a round; WRITTEN: the keeper took the
    ledger; REFUSED: it did not, as another holds the lease or wrote since; UNKNOWN: no answer; HALTED."""

    TAKEN = 1
    LEDGER = 2
    EMPTY = 3
    ROUND = 4
    OVER = 5
    WRITTEN = 6
    REFUSED = 7
    UNKNOWN = 8
    HALTED = 9


# The specification: stages | words | next stage | effects. What is missing changes nothing.
DIVIDING_TABLE = """
IDLE             | TAKEN   | READING  | begin
READING          | LEDGER  | DIVIDING | take_back
READING          | EMPTY   | WAITING  | wait
READING          | UNKNOWN | READING  |
WAITING          | ROUND   | WAITING  | heed
WAITING          | OVER    | DIVIDING | heed divide
DIVIDING         | ROUND   | DIVIDING | heed divide
DIVIDING         | WRITTEN | DIVIDING |
DIVIDING WAITING | UNKNOWN | READING  |
DIVIDING WAITING | REFUSED | READING  |
READING WAITING DIVIDING | HALTED | IDLE | forget
READING WAITING DIVIDING | TAKEN | READING | begin
"""


Table = dict[tuple[IntEnum, Enum], tuple[IntEnum, list[str]]]


def table(text: str, states: type[IntEnum], news: type[Enum]) -> Table:
    """A specification as (state, news) -> (next state, effects)."""
    return {
        (states[state], news[name]): (states[row[2].strip()], row[3].split())
        for row in (line.split("|") for line in text.strip().splitlines())
        for state in row[0].split()
        for name in row[1].split()
    }


DIVIDER = table(DIVIDING_TABLE, Stage, Word)


@dataclass
class Divider:
    """One budget's divider, while its holder has the lease. `hear` gives the ledger to write, or None."""

    budget: Budget
    stage: Stage = IDLE
    rows: dict[str, Row] = field(default_factory=dict)
    round: int = 0  # of the newest ledger written or read
    until: int = 0  # the end of the waiting where no ledger was found
    written_whole: float = 0.0
    told: dict[str, tuple[int, float]] = field(default_factory=dict)  # the last ledger's asks and extras
    now: int = 0
    ledger: Ledger | None = None  # to be written
    gone: list[str] = field(default_factory=list)  # backends whose asks may be deleted
    beyond: int = 0  # backends that asked beyond the largest fleet: told, never granted

    def hear(
        self, word: Word, now: int, asks: Iterable[Ask] = (), ledger: Ledger | None = None
    ) -> Ledger | None:
        self.now, self.ledger, self.gone = now, None, []
        if word is Word.ROUND and self.stage is WAITING and now >= self.until:
            word = Word.OVER
        if (self.stage, word) not in DIVIDER:
            return None
        stage, effects = DIVIDER[self.stage, word]
        self.stage = Stage(stage)
        for effect in effects:
            getattr(self, effect)(asks, ledger)
        return self.ledger

    # Effects, named in the specification.

    def begin(self, asks: Iterable[Ask], ledger: Ledger | None) -> None:
        self.rows.clear()

    def forget(self, asks: Iterable[Ask], ledger: Ledger | None) -> None:
        self.rows.clear()

    def take_back(self, asks: Iterable[Ask], ledger: Ledger | None) -> None:
        """What the last divider granted counts as read this moment: later than it was, so never too short."""
        assert ledger is not None
        self.round, self.written_whole = ledger.round, ledger.whole
        self.rows.clear()
        self.told = {}
        # A divider before may have been told a longer life, which its grants then have.
        until = self.now + max(self.budget.counted, self.budget.drifted(ledger.life))
        for name, grant in ledger.rows.items():
            row = Row(n=grant.n, extra=grant.extra, read_at=self.now)
            if grant.held > grant.extra:
                row.add(ledger.round - 1, grant.held, until)
            row.add(ledger.round, grant.extra, until)
            row.want = self.budget.safe + grant.extra
            self.rows[name] = row

    def wait(self, asks: Iterable[Ask], ledger: Ledger | None) -> None:
        """No ledger: what was granted before it was lost can't be known, so the longest grant is waited
        out."""
        self.until = self.now + self.budget.counted

    def heed(self, asks: Iterable[Ask], ledger: Ledger | None) -> None:
        fresh = self.now - self.budget.usable
        alive = sum(row.read_at > fresh and not row.leaving for row in self.rows.values())
        for ask in asks:
            row = self.rows.get(ask.backend)
            if row is None:
                # Those that crashed are counted on until their grants end: not among the living, yet bounded.
                if alive >= self.budget.most or len(self.rows) >= MOST_ROWS * self.budget.most:
                    self.beyond += 1
                    continue
                alive += 1
                row = self.rows[ask.backend] = Row()
            if ask.n > row.n:
                self.heed_one(row, ask)
        for name, row in list(self.rows.items()):
            # What has ended by the clock is in use no more; a backend of which nothing is left that asks no
            # more, or has left, is forgotten.
            row.out = [one for one in row.out if one[2] > self.now]
            silent = self.now - row.read_at > self.budget.counted
            if not row.out and (silent or row.leaving):
                self.gone.append(name)
                del self.rows[name]

    def heed_one(self, row: Row, ask: Ask) -> None:
        def good(value: float, otherwise: float) -> float:
            return value if isfinite(value) and value > 0 else otherwise

        row.n, row.read_at, row.leaving = ask.n, self.now, ask.leaving
        row.want, row.weight = good(ask.want, 0.0), good(ask.weight, 1.0)
        # Ledgers go on from the newest that anybody saw: an older number would not be heeded.
        self.round = max(self.round, ask.round)
        self.handed_back(row, ask)

    def handed_back(self, row: Row, ask: Ask) -> None:
        """It goes by ledger `ask.round`: what was granted before that round is in use no more, but for what
        is still under way. A leaver begins nothing beyond its safe share any more, whatever it was
        granted."""
        kept = [] if ask.leaving else [one for one in row.out if one[0] >= ask.round]
        if isfinite(ask.use) and (beyond := ask.use - self.budget.safe) > 0:
            kept.append((ask.round - 1, beyond, self.now + self.budget.counted))
        row.out = kept

    def divide(self, asks: Iterable[Ask], ledger: Ledger | None) -> None:
        targets = self.targets()
        number = self.round + 1
        # First everybody's cut, then what that leaves free to those who have least of what they should get.
        extras = {name: min(row.extra, targets[name]) for name, row in self.rows.items()}
        free = self.budget.pool - sum(max(row.held(), extras[name]) for name, row in self.rows.items())
        lacking = sorted(self.rows, key=lambda name: (extras[name] / max(targets[name], 1e-9), name))
        for name in lacking:
            row, target = self.rows[name], targets[name]
            if row.leaving or target <= extras[name]:
                continue
            # Up to what it may still be using from before costs nothing that is not counted already.
            inside = min(target, max(row.held(), extras[name]))
            more = self.budget.whole_units(min(target - inside, max(free, 0.0)))
            extras[name], free = inside + more, free - more
        told = {name: (row.n, extras[name]) for name, row in self.rows.items()}
        if told == self.told and self.written_whole == self.budget.whole:
            return  # nobody asked anew and nothing moved: the ledger in force says it all
        self.told, self.round, self.written_whole = told, number, self.budget.whole
        for name, row in self.rows.items():
            row.extra = extras[name]
            if row.extra > 0:
                row.add(number, row.extra, row.read_at + self.budget.counted)
        rows = {name: Grant(row.n, row.extra, max(row.held(), row.extra)) for name, row in self.rows.items()}
        left = {
            name: max(until for _, _, until in row.out) - self.now
            for name, row in self.rows.items()
            if row.out
        }
        self.ledger = Ledger(number, self.budget.whole, rows, self.budget.life, left)

    def targets(self) -> dict[str, float]:
        """Each backend's fair part of the pool, beyond its safe share; none for one whose grant is ending."""
        budget = self.budget
        asking = [
            (
                name,
                0.0
                if row.leaving or self.now - row.read_at >= budget.usable
                else max(min(row.want, budget.whole) - budget.safe, 0.0),
                row.weight,
            )
            for name, row in self.rows.items()
        ]
        parts = fair(max(budget.pool, 0.0), asking)
        if budget.unit is not Unit.CALLS:
            return parts
        # Who has the odd unit keeps it for a while, as giving it on leaves it idle for two refreshes.
        keeps = KEPT_ODD * budget.life
        order = sorted(self.rows, key=lambda name: self.rows[name].odd_order(self.now, keeps, name))
        whole = in_whole_units(parts, budget.pool, order)
        for name, row in self.rows.items():
            if whole[name] > floor(parts[name] + 1e-9) and row.odd_order(self.now, keeps, name)[0]:
                row.odd_at = self.now
        return whole

    def counted(self) -> float:
        """The most that all backends together may be using, as far as the divider knows: never above the
        whole, but for a whole lowered below what is out."""
        return self.budget.safe * self.budget.most + sum(row.held() for row in self.rows.values())

    def picture(self) -> dict[str, object]:
        return {
            "stage": self.stage.name,
            "round": self.round,
            "backends": len(self.rows),
            "whole": self.budget.whole,
            "counted": self.counted(),
            "beyond": self.beyond,
        }
