"""The fleet's decision on a timeline: stay, move on by one rung, pause, step back; one decision at a time.

Decisions only; times are ns since the epoch, of the lease-holder's clock, taken as never falling. The holder
of the ramp's lease reads the position and all rows, asks `look`, and writes what it returns in a transaction
that holds only at its lease's token: the fence is the keeper's (docs/leases.md), not here.

**Never two steps at once**: what turns more callers away is decided only when all fresh backends act by the
decision before, and enough of the known ones are fresh; what turns fewer away does not wait for that. **Never
by stale figures**: `judge.py`. **Hysteresis**: a finding must stand for its dwell time, in this holder's own
sight, before it changes anything; between `errors_below` and `errors_above` nothing changes; a pause stops
the clock of the hold, so a ramp that goes on waits out the rest of it. A new holder has seen nothing yet, so
it moves on later than the old one would have, never earlier.

**Operators' pause** stops all that turns more callers away, also a brownout under way; steps are still taken
back, and exemptions end by their dates. **The end** is a rung like the others: it comes at its date at the
earliest, never by a clock alone.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import IntEnum

import msgspec

from ringshift.retirement.conditions import WHOLE, millionths
from ringshift.retirement.judge import Finding, Seen, Summed, heard, judge, summed
from ringshift.retirement.position import Picture, Position
from ringshift.retirement.shed import Decided, Exempt, key, lot
from ringshift.retirement.timeline import Phase, Timeline, ns
from ringshift.retirement.warn import MOST_CALLERS, Counts, cut, ready

Word = IntEnum(
    "Word", "GONE LOST OWED ANNOUNCE WARN LIGHT WORSE STOP CONFIRMED BAD SHORT AGAIN DARK LAST DUE MORE"
)
# The first that holds is heard. GONE: no more in the rulebook; LOST: a backend acts by an edition above the
# keeper's, which lost data: all are brought to one again, by the lesser share of both; OWED: backends tell of
# callers turned away before, whom the keeper does not have down; ANNOUNCE, WARN: their
# dates have come (WARN also where a ramp without a rung goes on); LIGHT: a brownout is over, or must be;
# WORSE: stood long enough; STOP: by operators; CONFIRMED: all fresh ones act by the decision; BAD: or
# unheard, stood long enough; SHORT: a rung is due, but what it asks for doesn't hold; AGAIN: a pause may end;
# DARK: a brownout's hours; LAST: the end's conditions hold; DUE: the next rung; MORE: callers below the share
# reached the floor since.

# phases | words | next phase | effect. What is missing changes nothing.
SPECIFICATION = """
PLANNED ANNOUNCED WARNING BROWNOUT SHEDDING HOLDING PAUSED STEPPING_BACK ENDED | LOST | = | unite
PLANNED ANNOUNCED WARNING BROWNOUT SHEDDING HOLDING PAUSED STEPPING_BACK ENDED | OWED | = | put_down
PLANNED                             | ANNOUNCE      | ANNOUNCED     |
ANNOUNCED                           | WARN          | WARNING       |
WARNING                             | DARK          | BROWNOUT      | darken
BROWNOUT                            | LIGHT         | WARNING       | lighten
WARNING HOLDING                     | DUE           | SHEDDING      | move_on
SHEDDING                            | CONFIRMED     | HOLDING       | begin_hold
HOLDING                             | LAST          | ENDED         |
HOLDING ENDED                       | MORE          | =             | widen
SHEDDING HOLDING                    | WORSE         | STEPPING_BACK | step_back
PAUSED                              | WORSE         | STEPPING_BACK | step_back
STEPPING_BACK                       | CONFIRMED     | PAUSED        |
WARNING SHEDDING HOLDING            | STOP          | PAUSED        | stop_hold
SHEDDING HOLDING                    | BAD           | PAUSED        | stop_hold
HOLDING                             | SHORT         | PAUSED        | stop_hold
PAUSED                              | AGAIN         | HOLDING       |
PAUSED                              | WARN          | WARNING       |
ANNOUNCED WARNING BROWNOUT SHEDDING HOLDING PAUSED STEPPING_BACK ENDED | GONE | WITHDRAWN | withdraw
WITHDRAWN                           | ANNOUNCE      | ANNOUNCED     |
"""
TABLE: dict[tuple[Phase, Word], tuple[Phase | None, str]] = {
    (Phase[phase], Word[word]): (None if row[2].strip() == "=" else Phase[row[2].strip()], row[3].strip())
    for row in (line.split("|") for line in SPECIFICATION.strip().splitlines())
    for phase in row[0].split()
    for word in row[1].split()
}
SHORT = (Finding.UNPROVEN, Finding.UNSERVED, Finding.UNMOVED)


@dataclass
class Ramp:
    """One holder's sight of one timeline. `timeline` None: it is no more in the rulebook."""

    timeline: Timeline | None
    position: Position = Position()
    now: int = 0
    stands: dict[str, int] = field(default_factory=dict)  # what stands -> since when, in this holder's sight
    finding: Finding = Finding.UNHEARD
    told: Summed = Summed(0, 0, 0, 0, 0, 0, 0, 0, 0)
    counts: Counts = field(default_factory=dict)
    highest: int = 0
    acted: int = 0  # share of the highest edition that a row names
    owed: frozenset[int] = frozenset()  # callers that rows say were turned away before
    cut: int = WHOLE  # lot up to which all callers are counted
    stopped: bool = False
    word: Word | None = None

    def look(self, now: int, seen: Seen, counts: Counts, stopped: bool = False) -> Position | None:
        """The position to write, if it is another one than the keeper's; at most one decision a look. Call
        `landed` with it once the keeper's compare held; otherwise begin anew from what the keeper holds.
        `counts`: warnings of the whole fleet (`warn.lowest`); `stopped`: paused by operators."""
        if self.timeline is not None and now - self.now > self.timeline.conditions.fresh:
            self.stands.clear()  # not looked at meanwhile: nothing is known to have stood
        self.now, self.stopped = max(now, self.now), stopped
        self.counts, self.acted = counts, seen.share
        self.owed = self.lowest(self.position.kept | seen.owed) - self.position.kept
        self.highest = max(seen.highest, self.position.decided.edition)
        self.weigh(seen)
        self.word = self.next_word()
        return None if self.word is None else self.follow(self.word)

    def landed(self, position: Position) -> None:
        if position.decided != self.position.decided:
            self.stands.clear()  # what stood was of the decision before: one step back is not followed by two
        self.position = position

    @property
    def phase(self) -> Phase:
        return Phase[self.position.phase]

    def picture(self) -> Picture:
        one = self.position
        return Picture(
            self.timeline.name if self.timeline else "",
            one.decided.edition,
            one.phase,
            self.word.name if self.word else "",
            self.finding.name,
            one.decided.rung,
            one.decided.share,
            self.told,
        )

    # What holds.

    def weigh(self, seen: Seen) -> None:
        """The finding of this look, and what of it stands since when."""
        if self.timeline is None:
            return
        one, conditions = self.position.decided, self.timeline.conditions
        self.cut = cut(self.counts, key(self.timeline))
        exempt = Exempt(self.timeline)
        bound = frozenset(caller for caller in one.ready if not exempt(caller, self.now))
        self.told = summed(seen, one.edition, bound)
        self.finding = judge(self.told, conditions, one.share)
        holds = {
            "worse": self.finding is Finding.WORSE,
            "bad": self.finding in (Finding.UNHEARD, Finding.WORSE, Finding.BAD),
            "short": self.finding in SHORT or not self.counted,
            "good": self.finding is Finding.GOOD,
        }
        self.stands = {what: self.stands.get(what, self.now) for what, held in holds.items() if held}

    def stood(self, what: str, long: int) -> bool:
        return what in self.stands and self.now - self.stands[what] >= long

    @property
    def rung(self) -> int:
        """The rung whose share is acted by: where the document's steps were changed meanwhile, the highest
        that turns no more away."""
        assert self.timeline is not None
        one, rungs = self.position.decided, self.timeline.rungs
        if 0 < one.rung <= len(rungs) and rungs[one.rung - 1][1] == one.share:
            return one.rung
        return 0 if one.until else sum(share <= one.share for _, share, _ in rungs[:-1])

    @property
    def next_rung(self) -> tuple[int, int, int] | None:
        assert self.timeline is not None
        rungs = self.timeline.rungs
        return rungs[self.rung] if self.rung < len(rungs) else None

    @property
    def counted(self) -> bool:
        """Whether all callers that the next rung draws are counted: none left out for the counts' bound."""
        return self.next_rung is None or self.next_rung[1] <= self.cut

    @property
    def confirmed(self) -> bool:
        assert self.timeline is not None
        return heard(self.told, self.timeline.conditions) and not self.told.behind

    @property
    def hold_over(self) -> bool:
        assert self.timeline is not None
        hold = self.timeline.rungs[self.rung - 1][2] if self.rung else 0
        waited = self.position.held + (self.now - self.position.since if self.phase is Phase.HOLDING else 0)
        return waited >= hold

    @property
    def more(self) -> frozenset[int]:
        """Callers to be turned away by the share acted by, that are not yet."""
        assert self.timeline is not None
        one = self.position.decided
        return ready(self.counts, self.timeline.floor, one.key, one.share) - one.ready

    def next_word(self) -> Word | None:
        """The first word that holds, in the order of `Word`, of those that this phase hears."""
        if self.timeline is None:
            return Word.GONE if (self.phase, Word.GONE) in TABLE else None
        return next((word for word in Word if (self.phase, word) in TABLE and self.holds(word)), None)

    def holds(self, word: Word) -> bool:
        line, now = self.timeline, self.now
        assert line is not None
        conditions, stopped, rung = line.conditions, self.stopped, self.rung
        going = not stopped and self.stood("good", conditions.dwell) and self.confirmed
        match word:
            case Word.GONE:
                return self.position.decided.key not in (0, key(line))  # another of the same name
            case Word.LOST:
                return self.highest > self.position.decided.edition
            case Word.OWED:
                return bool(self.owed)
            case Word.ANNOUNCE:
                return now >= ns(line.announced)
            case Word.WARN:
                return (going and not rung) if self.phase is Phase.PAUSED else now >= ns(line.warned_from)
            case Word.LIGHT:
                return not line.dark(now) or stopped or self.finding in (Finding.WORSE, Finding.BAD)
            case Word.WORSE:
                return self.position.decided.share > 0 and self.stood("worse", conditions.back_after)
            case Word.STOP:
                return stopped
            case Word.CONFIRMED:
                return self.confirmed
            case Word.BAD:
                return self.stood("bad", conditions.dwell)
            case Word.SHORT:
                return self.due and self.stood("short", conditions.dwell)
            case Word.AGAIN:
                return going and rung > 0 and self.counted
            case Word.DARK:
                return going and not rung and line.dark(now) is not None
            case Word.LAST:
                return going and rung == len(line.rungs)
            case Word.DUE:
                return going and self.due and self.counted
            case Word.MORE:
                rested = now - max(self.position.widened, self.position.since) >= conditions.dwell
                return going and rested and bool(self.more)

    @property
    def due(self) -> bool:
        """By the dates and the hold alone."""
        return self.next_rung is not None and self.hold_over and self.now >= self.next_rung[0]

    # What follows.

    def follow(self, word: Word) -> Position:
        phase, effect = TABLE[self.phase, word]
        why = f"{word.name.lower()}, {self.finding.name.lower()}"
        after = msgspec.structs.replace(self.position, why=why)
        if phase is not None:
            after = msgspec.structs.replace(after, phase=phase.name, since=self.now)
        return getattr(self, effect)(after) if effect else after

    def lowest(self, callers: frozenset[int]) -> frozenset[int]:
        """Under the bound, those drawn first."""
        if len(callers) <= MOST_CALLERS or self.timeline is None:
            return callers
        lots = key(self.timeline)
        return frozenset(sorted(callers, key=lambda caller: lot(lots, caller))[:MOST_CALLERS])

    def decide(self, after: Position, rung: int, share: int, until: int = 0) -> Position:
        """A decision under the next edition, above every one that any row names: a keeper restored from an
        older copy may hold a lower one than the backends. Whoever was turned away at a share stays so."""
        assert self.timeline is not None
        one, lots = self.position.decided, key(self.timeline)
        before = after.kept | one.ready if one.key == lots else after.kept
        kept = frozenset(caller for caller in before if lot(lots, caller) < share)
        callers = self.lowest(kept | ready(self.counts, self.timeline.floor, lots, share))
        decided = Decided(self.highest + 1, lots, rung, share, until, callers)
        return msgspec.structs.replace(after, decided=decided)

    # Effects, named in the specification.

    def unite(self, after: Position) -> Position:
        """By the share that the keeper holds, unless the decision that it lost had taken a step back."""
        assert self.timeline is not None
        one = self.position.decided
        share = min(one.share, self.acted)
        if share == one.share:
            return self.decide(after, one.rung, share, one.until)
        rung = sum(least <= share for _, least, _ in self.timeline.rungs[:-1])
        return msgspec.structs.replace(self.decide(after, rung, share, one.until), held=0, since=self.now)

    def put_down(self, after: Position) -> Position:
        """Kept for when the share comes back to them, and turned away at once where it already has."""
        assert self.timeline is not None
        one, lots = self.position.decided, key(self.timeline)
        kept = self.lowest(after.kept | self.owed)
        after = msgspec.structs.replace(after, kept=kept)
        if all(caller in one.ready or lot(lots, caller) >= one.share for caller in kept):
            return after
        return self.decide(after, one.rung, one.share, one.until)

    def darken(self, after: Position) -> Position:
        assert self.timeline is not None
        hours = self.timeline.dark(self.now)
        assert hours is not None
        return self.decide(after, 0, min(millionths(hours.share), self.cut), ns(hours.end))

    def lighten(self, after: Position) -> Position:
        return self.decide(after, 0, 0)

    def move_on(self, after: Position) -> Position:
        assert self.next_rung is not None
        moved = self.decide(after, self.rung + 1, self.next_rung[1])
        return msgspec.structs.replace(moved, held=0)

    def begin_hold(self, after: Position) -> Position:
        return msgspec.structs.replace(after, held=0, widened=self.now)

    def stop_hold(self, after: Position) -> Position:
        waited = self.now - self.position.since if self.phase is Phase.HOLDING else 0
        return msgspec.structs.replace(after, held=self.position.held + waited)

    def step_back(self, after: Position) -> Position:
        """One rung, and the hold of the lower one is waited out anew before the ramp moves on again."""
        assert self.timeline is not None
        rung = max(self.rung - 1, 0)
        share = self.timeline.rungs[rung - 1][1] if rung else 0
        return msgspec.structs.replace(self.decide(after, rung, share), held=0)

    def widen(self, after: Position) -> Position:
        one = self.position.decided
        return msgspec.structs.replace(self.decide(after, one.rung, one.share), widened=self.now)

    def withdraw(self, after: Position) -> Position:
        """Nobody is turned away; the editions go on."""
        lots = key(self.timeline) if self.timeline else self.position.decided.key
        decided = Decided(self.highest + 1, lots)
        return msgspec.structs.replace(after, decided=decided, held=0, kept=frozenset())
