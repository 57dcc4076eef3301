"""A backend's side of a fleet-wide budget: it asks, goes by the ledger it reads, and falls to its safe share.

Decisions only: no I/O, no clock, no gevent; the rule and its reasons are in ringshift/fleet/budget.py.
`allowed` says how much may be in use now; whoever begins something asks it first, every time. A grant counts
from when the ask that it answers was *sent*, on this backend's own clock.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from enum import Enum, IntEnum
from math import exp

from ringshift.fleet.budget import REMEMBERED, Ask, Budget, Ledger, table

RISES, FALLS = 0.25, 2.0  # of a refresh: how soon the told want follows a rising demand, and a falling one
SOONER = 4  # a backend that wants more than it has without a grant asks so many times in a refresh


@dataclass
class Demand:
    """What is wanted, smoothed: in use and waiting. It follows a rise soon and a fall late, as a share too
    small costs answers and one too large only idles, until the next division."""

    span: int
    value: float = 0.0
    at: int | None = None

    def seen(self, now: int, amount: float) -> None:
        if self.at is None:
            self.value = amount
        else:
            over = (RISES if amount > self.value else FALLS) * self.span
            self.value += (amount - self.value) * (1 - exp((self.at - now) / over))
        self.at = now


State = IntEnum("State", "SAFE GRANTED LEFT")
SAFE, GRANTED, LEFT = State.SAFE, State.GRANTED, State.LEFT


class News(Enum):
    """LEDGER: a newer ledger, with a grant that still runs; BARE: one without; OLD: one seen before, or
    older; UNANSWERED: an ask failed or timed out; LATE: the deadline passed, found by a tick; LEAVE: the
    notice."""

    TICK = 1
    LEDGER = 2
    BARE = 3
    OLD = 4
    UNANSWERED = 5
    LATE = 6
    LEAVE = 7


SPECIFICATION = """
SAFE         | TICK            | SAFE    | ask_when_due
GRANTED      | TICK            | GRANTED | ask_when_due
SAFE GRANTED | LEDGER          | GRANTED | adopt answered
SAFE GRANTED | BARE            | SAFE    | fall adopt_round answered
SAFE         | OLD             | SAFE    | answered
GRANTED      | OLD             | GRANTED | answered
SAFE         | UNANSWERED      | SAFE    | answered
GRANTED      | UNANSWERED      | GRANTED | answered
GRANTED      | LATE            | SAFE    | fall ask_when_due
SAFE GRANTED | LEAVE           | LEFT    | fall hand_back
"""
TABLE = table(SPECIFICATION, State, News)


@dataclass(frozen=True)
class Change:
    """For the records: what this backend may use went from one amount to another."""

    old: float
    new: float
    why: str
    round: int


@dataclass
class Share:
    backend: str
    budget: Budget
    answer_within: int
    state: State = SAFE
    extra: float = 0.0
    round: int = 0  # of the ledger this backend goes by
    ends: int = 0  # nothing is in use beyond the safe share from then on
    n: int = 0  # the last ask
    sent: deque[tuple[int, int]] = field(default_factory=lambda: deque(maxlen=REMEMBERED))
    asked: int | None = None  # when the ask in flight was sent
    next_ask: int = 0
    use: float = 0.0  # in use now, as last told
    demand: Demand = field(default_factory=lambda: Demand(1))
    out: Ask | None = None
    change: Change | None = None
    now: int = 0

    def __post_init__(self) -> None:
        self.demand.span = self.budget.refresh

    def allowed(self, now: int) -> float:
        """How much may be in use if something more begins at `now`."""
        beyond = self.state is GRANTED and now < self.ends - self.budget.longest
        return self.budget.safe + (self.extra if beyond else 0.0)

    def wants(self, now: int, use: float, waiting: float) -> None:
        self.use = use
        self.demand.seen(now, use + waiting)

    def hear(self, news: News, now: int, ledger: Ledger | None = None) -> Ask | None:
        """The ask to send now, if any; `change` tells what became of the share."""
        self.now, self.out, self.change = now, None, None
        before = self.budget.safe + self.extra
        if news is News.TICK and self.state is GRANTED and now >= self.ends:
            news = News.LATE
        if news is News.LEDGER:
            assert ledger is not None
            news = self.judged(ledger)
        if (self.state, news) not in TABLE:
            return None
        state, effects = TABLE[self.state, news]
        self.state = State(state)
        for effect in effects:
            getattr(self, effect)(ledger)
        after = self.budget.safe + self.extra
        if after != before:
            self.change = Change(before, after, news.name, self.round)
        return self.out

    def judged(self, ledger: Ledger) -> News:
        if ledger.round <= self.round:
            return News.OLD
        grant = ledger.rows.get(self.backend)
        if grant is None or grant.extra <= 0 or self.end_of(grant.n, ledger.life) <= self.now:
            return News.BARE
        return News.LEDGER

    def end_of(self, n: int, life: int) -> int:
        """When a grant that answers ask `n` ends here: 0 where its sending is not remembered. `life`: as the
        divider counts it, whose settings may be older or newer than ours."""
        sent = next((at for number, at in self.sent if number == n), None)
        return 0 if sent is None else sent + min(self.budget.life, life) - self.budget.margin

    # Effects, named in the specification.

    def ask_when_due(self, ledger: Ledger | None) -> None:
        if self.asked is not None and self.now - self.asked < self.answer_within:
            return
        if self.now >= self.next_ask:
            self.ask()

    def ask(self, leaving: bool = False) -> None:
        self.n += 1
        self.sent.append((self.n, self.now))
        self.asked = self.now
        want = 0.0 if leaving else self.demand.value
        lacks = self.state is SAFE and want > self.budget.safe
        self.next_ask = self.now + self.budget.refresh // (SOONER if lacks else 1)
        self.out = Ask(self.backend, self.n, want, self.use, self.round, self.budget.weight, leaving)

    def hand_back(self, ledger: Ledger | None) -> None:
        self.ask(leaving=True)

    def adopt(self, ledger: Ledger | None) -> None:
        assert ledger is not None
        grant = ledger.rows[self.backend]
        self.extra, self.ends = grant.extra, self.end_of(grant.n, ledger.life)
        self.adopt_round(ledger)

    def adopt_round(self, ledger: Ledger | None) -> None:
        assert ledger is not None
        self.round = ledger.round

    def fall(self, ledger: Ledger | None) -> None:
        self.extra, self.ends = 0.0, 0

    def answered(self, ledger: Ledger | None) -> None:
        self.asked = None

    def picture(self) -> dict[str, object]:
        return {
            "budget": self.budget.name,
            "state": self.state.name,
            "share": self.budget.safe + self.extra,
            "use": self.use,
            "want": round(self.demand.value, 2),
            "round": self.round,
        }
