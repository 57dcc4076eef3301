"""Which of the keeper's members to ask: one that answers, and none that failed lately, unless all did.

Decisions only: no I/O, no clock. A call to a member that is down or cut off costs a holder up to its answer
time, of an acting time that is not much longer; so a member that failed rests, for a time that doubles with
each failure in a row, and the others are asked. The one that answered last is asked again, since a connection
to it is open. Once a rest is over one call tries the member; where every member rests, the one whose rest
ends first is asked all the same, as doing nothing can't be better. Rests are drawn longer by chance, so that
a fleet whose members all came back at once does not find them at once.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum, IntEnum

S = 1_000_000_000
FIRST_REST, LONGEST_REST = S // 2, 30 * S  # after a failure, and after many in a row
SLOWER = 3.0  # times the quickest member's usual answer, from which another is asked instead
WEIGHT = 0.2  # of the newest answer in a member's usual time

State = IntEnum("State", "FINE RESTING TRYING")
FINE, RESTING, TRYING = State.FINE, State.RESTING, State.TRYING


class News(Enum):
    ANSWERED = 1
    FAILED = 2
    RESTED = 3  # its rest is over: found when a member is chosen


# The specification: states | news | next state | effects. What is missing changes nothing.
SPECIFICATION = """
FINE           | ANSWERED | FINE    | timed well
TRYING         | ANSWERED | FINE    | timed well
RESTING        | ANSWERED | FINE    | timed well
FINE           | FAILED   | RESTING | rest_now
TRYING         | FAILED   | RESTING | rest_longer
RESTING        | FAILED   | RESTING | rest_longer
RESTING        | RESTED   | TRYING  |
"""
TABLE: dict[tuple[State, News], tuple[State, list[str]]] = {
    (State[state], News[name]): (State[row[2].strip()], row[3].split())
    for row in (line.split("|") for line in SPECIFICATION.strip().splitlines())
    for state in row[0].split()
    for name in row[1].split()
}


@dataclass
class Member:
    state: State = FINE
    rest: int = 0  # how long it rests now
    until: int = 0
    usual: float = 0.0  # nanoseconds of an answer, 0 while none is known
    failures: int = 0  # in a row

    def hear(self, news: News, now: int, took: int = 0, chance: float = 0.0) -> None:
        if (self.state, news) not in TABLE:
            return
        self.state, effects = TABLE[self.state, news]
        for effect in effects:
            getattr(self, effect)(now, took, chance)

    # Effects, named in the specification.

    def timed(self, now: int, took: int, chance: float) -> None:
        self.usual = took if not self.usual else self.usual + WEIGHT * (took - self.usual)

    def well(self, now: int, took: int, chance: float) -> None:
        self.rest, self.failures = 0, 0

    def rest_now(self, now: int, took: int, chance: float) -> None:
        self.rest, self.failures = FIRST_REST, 1
        self.until = now + self.rest + int(self.rest * chance)

    def rest_longer(self, now: int, took: int, chance: float) -> None:
        self.rest, self.failures = min(self.rest * 2, LONGEST_REST), self.failures + 1
        self.until = now + self.rest + int(self.rest * chance)


@dataclass
class Members:
    """The keeper's members, by their place in the operators' list."""

    count: int
    first: int = 0  # where this process begins, drawn by chance, so that a fleet spreads over the members
    members: list[Member] = field(init=False)
    last: int = field(init=False)

    def __post_init__(self) -> None:
        self.members = [Member() for _ in range(self.count)]
        self.last = self.first % self.count

    def choose(self, now: int) -> int:
        """The member to ask now."""
        for member in self.members:
            if member.state is RESTING and now >= member.until:
                member.hear(News.RESTED, now)
        here = self.members[self.last]
        if here.state is FINE and not self.slow(here):
            return self.last
        # In turn from the last one, so that a fleet that lost one member does not all go to the same next.
        order = [(self.last + step) % self.count for step in range(1, self.count + 1)]
        for state in (TRYING, FINE):
            for place in order:
                if self.members[place].state is state and not self.slow(self.members[place]):
                    self.last = place
                    return place
        fine = [place for place in order if self.members[place].state is not RESTING]
        self.last = fine[0] if fine else min(order, key=lambda place: self.members[place].until)
        return self.last

    def slow(self, member: Member) -> bool:
        """Whether another that is fine answers in a third of its time, as a member beside a full disk
        does."""
        known = [one.usual for one in self.members if one.usual and one.state is FINE]
        return bool(known) and member.usual > SLOWER * min(known)

    def heard(self, place: int, good: bool, took: int, now: int, chance: float = 0.0) -> None:
        self.members[place].hear(News.ANSWERED if good else News.FAILED, now, took, chance)

    def picture(self) -> list[dict[str, object]]:
        return [
            {"state": one.state.name, "failures": one.failures, "usual_ms": round(one.usual / 1e6, 2)}
            for one in self.members
        ]
