"""Gathering the records of several backends into one store: which portion of which source comes next.

Decisions only: no I/O, no clock. The task runs under a lease, one holder at a time; what has been taken in is
kept in the store with the holder's token (ringshift/store/fenced.py), so a successor goes on where the last
accepted portion ended. A look tells what the sources hold now; `next` names a portion; its fate is told back.

A source is in one of the states of the table below. Sources that have something are read in turn, the one
read longest ago first, so that one busy backend does not keep the others' records out. A source that can't be
read is tried again after a wait that doubles, up to `LONGEST_WAIT`, and holds nobody else up. A source that
became shorter, or begins with other bytes, was replaced: it is read from its start again, which adds nothing
twice since records carry their own number. A text log is read whole each time it grew, as its records are
numbered from its first line.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import Enum, IntEnum

S = 1_000_000_000
PORTION = 256 * 1024  # bytes of one step: some milliseconds of the store's time, far under any margin
ROWS = 500  # records of one step from a server's own store
LOOK_EVERY = 1 * S  # between two looks at the sources
FIRST_WAIT, LONGEST_WAIT = 1 * S, 60 * S  # after a source could not be read
GIVEN_UP = 4 * S  # a wait at which a gathering that is to end no longer waits for a source: three failures
MOST_SOURCES = 10_000  # sources followed; more are told, not taken, so that a wrong folder can't fill memory

Kind = Enum("Kind", "LINES TEXT ROWS")  # JSON lines, an older text log, a server's own store


@dataclass(frozen=True)
class Seen:
    """One source at a look. `size`: bytes, or the highest row of a store; `head`: what tells a replaced file
    from a grown one; `trouble`: why it can't be read, empty where it can."""

    path: str
    kind: Kind = Kind.LINES
    size: int = 0
    head: str = ""
    trouble: str = ""


@dataclass(frozen=True)
class Portion:
    """What to read: from `place` (bytes, or the last row taken) and at most `most` on; `head` as seen."""

    path: str
    kind: Kind
    place: int
    most: int
    head: str


State = IntEnum("State", "FINE FAILING GONE")
FINE, FAILING, GONE = State.FINE, State.FAILING, State.GONE


class News(Enum):
    """GREW: holds more than was taken; SAME: it does not; REPLACED: shorter, or another file in its place;
    UNREADABLE; MISSING: not there at a look; TAKEN: a portion was accepted; FAILED: a portion was not
    read."""

    GREW = 1
    SAME = 2
    REPLACED = 3
    UNREADABLE = 4
    MISSING = 5
    TAKEN = 6
    FAILED = 7


# The specification: states | news | next state | effects.
SPECIFICATION = """
FINE         | GREW SAME TAKEN   | FINE    |
FINE GONE    | REPLACED          | FINE    | from_start
FINE         | UNREADABLE FAILED | FAILING | first_wait
FAILING      | GREW              | FAILING |
FAILING      | SAME TAKEN        | FINE    | well
FAILING      | REPLACED          | FINE    | from_start well
FAILING      | UNREADABLE FAILED | FAILING | longer_wait
GONE         | GREW SAME         | FINE    | well
GONE         | UNREADABLE        | FAILING | first_wait
FINE FAILING | MISSING           | GONE    |
GONE         | MISSING           | GONE    |
"""
TABLE: dict[tuple[State, News], tuple[State, list[str]]] = {
    (State[state], News[name]): (State[row[2].strip()], row[3].split())
    for row in (line.split("|") for line in SPECIFICATION.strip().splitlines())
    for state in row[0].split()
    for name in row[1].split()
}


@dataclass
class Source:
    path: str
    kind: Kind = Kind.LINES
    state: State = FINE
    place: int = 0  # taken up to here
    size: int = 0  # at the last look
    head: str = ""
    read_at: int = 0  # the turn of its last portion: the lowest is next
    wait: int = 0
    again: int = 0  # when a failing one may be tried
    why: str = ""
    readable: bool = True  # at the last look

    # Effects, named in the specification.

    def from_start(self, now: int) -> None:
        self.place = 0

    def first_wait(self, now: int) -> None:
        self.wait, self.again = FIRST_WAIT, now + FIRST_WAIT

    def longer_wait(self, now: int) -> None:
        if now >= self.again:  # a look within the wait tells nothing new of it
            self.wait = min(self.wait * 2, LONGEST_WAIT)
            self.again = now + self.wait

    def well(self, now: int) -> None:
        self.wait, self.again, self.why = 0, 0, ""


@dataclass
class Gathering:
    follow: bool = False
    known: bool = False  # whether the store's progress was heard since the lease was taken
    step: int = 0  # the last step the store accepted
    turn: int = 0
    left_out: int = 0  # sources beyond the bound
    looked_at: int | None = None
    sources: dict[str, Source] = field(default_factory=dict)

    def taken(self) -> None:
        """A new hold, or a refusal: another may have gone on since, so nothing of before is believed."""
        self.known, self.looked_at = False, None
        self.sources.clear()

    def resumed(self, step: int, places: Iterable[tuple[str, int, str]]) -> None:
        """What the store holds: its last step, and for each source how far it was taken, with its head."""
        self.known, self.step = True, step
        for path, place, head in places:
            self.sources[path] = Source(path, place=place, head=head, state=GONE)

    def looks_due(self, now: int) -> bool:
        return self.looked_at is None or now - self.looked_at >= LOOK_EVERY

    def looked(self, seen: Iterable[Seen], now: int) -> None:
        """Everything the paths hold now; what is not among it is gone."""
        self.looked_at = now
        here = set()
        for one in seen:
            if one.path not in self.sources and len(self.sources) >= MOST_SOURCES:
                self.left_out += 1
                continue
            source = self.sources.setdefault(one.path, Source(one.path))
            here.add(one.path)
            self.tell(source, self.judged(source, one), now, one)
        for path, source in self.sources.items():
            if path not in here:
                self.tell(source, News.MISSING, now)

    @staticmethod
    def judged(source: Source, one: Seen) -> News:
        if one.trouble:
            return News.UNREADABLE
        if one.size < source.place or (source.place and one.head != source.head):
            return News.REPLACED
        return News.GREW if one.size > source.place else News.SAME

    def tell(self, source: Source, news: News, now: int, one: Seen | None = None) -> None:
        if one is not None:
            source.readable, source.why = not one.trouble, one.trouble or source.why
            if not one.trouble:
                source.kind, source.size, source.head = one.kind, one.size, one.head
        source.state, effects = TABLE[source.state, news]
        for effect in effects:
            getattr(source, effect)(now)

    def next(self, now: int) -> Portion | None:
        """The portion to read now, or None where no source has one."""
        ready = [
            one
            for one in self.sources.values()
            if one.place < one.size
            and (one.state is FINE or (one.state is FAILING and now >= one.again and one.readable))
        ]
        if not self.known or not ready:
            return None
        one = min(ready, key=lambda source: (source.read_at, source.path))
        whole = one.kind is Kind.TEXT
        most = ROWS if one.kind is Kind.ROWS else one.size if whole else PORTION
        return Portion(one.path, one.kind, 0 if whole else one.place, most, one.head)

    def accepted(self, portion: Portion, reached: int, now: int) -> None:
        """The store took the portion in, up to `reached`."""
        self.step += 1
        self.turn += 1
        source = self.sources[portion.path]
        source.place, source.read_at = reached, self.turn
        self.tell(source, News.TAKEN, now)

    def nothing(self, path: str) -> None:
        """The portion held nothing whole (a line without its end yet): not before the next look again."""
        source = self.sources[path]
        source.size = source.place

    def failed(self, path: str, now: int, why: str) -> None:
        self.tell(self.sources[path], News.FAILED, now)
        self.sources[path].why = why

    @property
    def finished(self) -> bool:
        """Nothing is left of what the last look saw, but for sources given up; never so while following."""
        if self.follow or not self.known or self.looked_at is None:
            return False
        return all(
            one.state is GONE
            or (one.state is FINE and one.place >= one.size)
            or (one.state is FAILING and one.wait >= GIVEN_UP)
            for one in self.sources.values()
        )

    def picture(self) -> dict[str, object]:
        states = [one.state.name for one in self.sources.values()]
        return {
            "step": self.step,
            "sources": len(self.sources),
            "left_out": self.left_out,
            "states": {name: states.count(name) for name in sorted(set(states))},
            "behind": sum(max(one.size - one.place, 0) for one in self.sources.values()),
            "failing": [one.path for one in self.sources.values() if one.state is FAILING][:20],
        }
