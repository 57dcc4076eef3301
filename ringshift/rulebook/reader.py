"""One backend's side: by which version it acts, until when, and to what it falls without contact.

Decisions only. Times are whole nanoseconds of this backend's clock. It confirms at the keeper; the keeper's
answer (`Told`) says what is in force and what is proposed. The version answered is acted by until the
deadline: when that confirmation was *sent*, plus `life`, less drift and `margin` (bound.py).

From its acknowledgement of a proposal on, a backend acts by the **meet** of both versions, so whichever of
them another acts by, both keep one. Answers are ordered by the keeper's place in its history: one that
overtook an older one must not be undone by it, or a backend that acknowledged would act by the old version
alone once more. A version below one that was seen, or the same number with another digest, is refused and
gives no time; so a keeper that lost its data leaves this backend `alone`, not on older rules.

Without contact it acts by `alone` of what it held last. What the disk kept is a head start: its `alone` is
acted by and lower versions are refused, and nothing else of it counts before the keeper confirmed it.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from enum import Enum, IntEnum

from ringshift.rulebook.bound import ReadingTerms
from ringshift.rulebook.document import Rules
from ringshift.rulebook.meet import alone_of, meet
from ringshift.rulebook.version import NOTHING, UNMARKED, Mark, Row, Stamp, Told, Version
from ringshift.rulebook.words import MARKED

REMEMBERED = 16  # send times of the last confirmations; an answer to an older one is of no use

State = IntEnum("State", "STARTING READING BETWEEN ALONE")
STARTING, READING, BETWEEN, ALONE = State.STARTING, State.READING, State.BETWEEN, State.ALONE


class News(Enum):
    """ANSWERED and HEARD (by a watch: gives no time) come in; each is judged to be PROPOSAL (one stands
    beside the version in force), FORCE (none does), UNFIT (the proposal is refused here), LOWER (refused:
    older or odd), AHEAD (what is in force is lower, as the keeper lost data, but the proposal is above all
    seen), ODD (the same, and the proposal is refused here), STALE (the deadline it gives has passed)."""

    TICK = 1
    ANSWERED = 2
    HEARD = 3
    UNANSWERED = 4
    PROPOSAL = 5
    FORCE = 6
    UNFIT = 7
    LOWER = 8
    STALE = 9
    AHEAD = 10
    ODD = 11
    LATE = 12  # the deadline has passed: found by a tick, never told


# states | news | next state | effects
SPECIFICATION = """
STARTING READING BETWEEN ALONE | TICK       | =       | confirm_when_due
STARTING READING BETWEEN ALONE | FORCE      | READING | adopt extend
STARTING READING BETWEEN ALONE | PROPOSAL   | BETWEEN | adopt_both extend acknowledge
STARTING READING BETWEEN ALONE | UNFIT      | READING | adopt extend refuse
STARTING READING BETWEEN ALONE | LOWER      | =       | answered
STARTING ALONE                 | AHEAD      | =       | join answered acknowledge
READING BETWEEN                | AHEAD      | BETWEEN | join answered acknowledge
STARTING READING BETWEEN ALONE | ODD        | =       | answered refuse
STARTING READING BETWEEN ALONE | STALE      | =       | answered
READING BETWEEN ALONE          | UNANSWERED | =       | answered
STARTING                       | UNANSWERED | ALONE   | answered
READING BETWEEN                | LATE       | ALONE   | confirm_when_due
"""
TABLE: dict[tuple[State, News], tuple[State | None, list[str]]] = {
    (State[state], News[row[1].strip()]): (
        None if row[2].strip() == "=" else State[row[2].strip()],
        row[3].split(),
    )
    for row in (line.split("|") for line in SPECIFICATION.strip().splitlines())
    for state in row[0].split()
}


@dataclass(frozen=True)
class Picture:
    """What a reader believes, for the records."""

    state: str
    acts_by: tuple[Stamp, ...]  # met; without contact, those whose `alone` is met
    until: int
    seen: Stamp
    place: tuple[int, int]
    refused: Stamp
    why: str


def fits(version: Version) -> str:
    """Why a proposal can't be taken in, or empty: a program that knows more checks more."""
    return version.odd


@dataclass
class Reader:
    """`alone`: by which it acts before it has heard any version, from its own installation."""

    terms: ReadingTerms
    alone: Rules
    head_start: Version | None = None
    check: Callable[[Version], str] = fits
    answer_within: int = 1_000_000_000
    state: State = STARTING
    basis: tuple[Version, ...] = ()
    deadline: int = 0
    n: int = 0
    sent: deque[tuple[int, int]] = field(default_factory=lambda: deque(maxlen=REMEMBERED))
    asked: int | None = None
    next_ask: int = 0
    place: tuple[int, int] = (0, 0)
    row: Row = Row(0)
    digests: dict[Stamp, str] = field(default_factory=dict)  # of the last two seen
    out: Row | None = None
    now: int = 0

    def __post_init__(self) -> None:
        if self.head_start is not None:
            self.alone = meet(self.alone, alone_of(self.head_start.book))
            self.see(self.head_start)

    def hear(self, news: News, now: int, told: Told | None = None, n: int = 0) -> Row | None:
        """The confirmation to send now, if any. `n`: of the confirmation that was answered."""
        self.now, self.out = now, None
        if self.state in (READING, BETWEEN) and now >= self.deadline:
            self.step(News.LATE, None, 0)  # whatever came in, the deadline comes first
        if news in (News.ANSWERED, News.HEARD):
            assert told is not None
            end = self.end_of(n) if news is News.ANSWERED else self.deadline
            self.step(self.judged(told, end), told, end)
        elif not (news is News.TICK and self.out is not None):
            self.step(news, None, 0)
        return self.out

    def step(self, news: News, told: Told | None, end: int) -> None:
        if (self.state, news) not in TABLE:
            return
        state, effects = TABLE[self.state, news]
        self.state = self.state if state is None else state
        for effect in effects:
            getattr(self, effect)(told, end)

    def judged(self, told: Told, end: int) -> News:
        if told.place < self.place:
            return News.LOWER
        if self.lower(told.in_force):
            if told.proposed is None or told.proposed.stamp <= max(self.digests, default=NOTHING):
                return News.LOWER
            return News.ODD if self.check(told.proposed) else News.AHEAD
        if end <= self.now:
            return News.STALE
        if told.proposed is None:
            return News.FORCE
        if self.lower(told.proposed):
            return News.LOWER
        return News.UNFIT if self.check(told.proposed) else News.PROPOSAL

    def lower(self, version: Version) -> bool:
        """Below every version that this backend still goes by, or a number that it saw with other rules."""
        known = self.digests.get(version.stamp)
        floor = min(self.digests, default=NOTHING)
        return version.stamp < floor or (known is not None and known != version.digest)

    def end_of(self, n: int) -> int:
        """When the answer to confirmation `n` ends here; 0 where its sending is not remembered."""
        sent = next((at for number, at in self.sent if number == n), None)
        return 0 if sent is None else sent + self.terms.acting_time

    def high(self) -> Mark:
        stamp = max(self.digests, default=NOTHING)
        return (*stamp, self.digests[stamp][:MARKED]) if stamp in self.digests else UNMARKED

    def acting(self, now: int) -> bool:
        return self.state in (READING, BETWEEN) and now < self.deadline

    def rules(self, now: int) -> Rules:
        """By what an invocation read at `now` is judged. Kept by the caller until the basis changes."""
        parts = [one.book.rules() for one in self.basis] if self.acting(now) else self.alones()
        met = parts[0]
        for one in parts[1:]:
            met = meet(met, one)
        return met

    def alones(self) -> list[Rules]:
        return [alone_of(one.book) for one in self.basis] or [self.alone]

    def picture(self) -> Picture:
        stamps = tuple(one.stamp for one in self.basis)
        row, seen = self.row, max(self.digests, default=NOTHING)
        return Picture(self.state.name, stamps, self.deadline, seen, self.place, row.refused[:2], row.why)

    # Effects, named in the specification.

    def confirm_when_due(self, told: Told | None, end: int) -> None:
        waiting = self.asked is not None and self.now - self.asked < self.answer_within
        if not waiting and self.now >= self.next_ask:
            self.confirm()

    def confirm(self) -> None:
        self.n += 1
        self.sent.append((self.n, self.now))
        self.asked, self.next_ask = self.now, self.now + self.terms.refresh
        low = min(self.digests, default=NOTHING)
        self.row = replace(self.row, n=self.n, seen=self.place, high=self.high(), floor=low)
        self.out = self.row

    def adopt(self, told: Told | None, end: int) -> None:
        assert told is not None
        self.place, self.basis = told.place, (told.in_force,)
        self.digests.clear()
        self.see(told.in_force)

    def adopt_both(self, told: Told | None, end: int) -> None:
        assert told is not None and told.proposed is not None
        self.adopt(told, end)
        self.basis = told.in_force, told.proposed
        self.see(told.proposed)

    def join(self, told: Told | None, end: int) -> None:
        # No time is given by it, and what was held still counts: a restored keeper needs this reader's word
        # to lead a new epoch into force, and would wait for one that only refuses for ever.
        assert told is not None and told.proposed is not None
        self.place, self.basis = told.place, (*self.basis[:2], told.proposed)
        self.see(told.proposed)

    def see(self, version: Version) -> None:
        self.digests[version.stamp] = version.digest

    def extend(self, told: Told | None, end: int) -> None:
        # `end` is counted from the sending: an answer that took long gives no more time (bound.py).
        self.deadline = max(self.deadline, end)
        self.asked = None

    def answered(self, told: Told | None, end: int) -> None:
        self.asked = None

    def acknowledge(self, told: Told | None, end: int) -> None:
        assert told is not None and told.proposed is not None
        if self.row.acked != told.proposed.mark:
            self.row = replace(self.row, acked=told.proposed.mark)
            self.confirm()  # at once: the fleet waits for the last one

    def refuse(self, told: Told | None, end: int) -> None:
        assert told is not None and told.proposed is not None
        if self.row.refused != told.proposed.mark:
            why = self.check(told.proposed)
            self.row = replace(self.row, refused=told.proposed.mark, why=why)
            self.confirm()
