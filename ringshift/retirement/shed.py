"""Which callers are turned away at a share: the same at every backend, and the same ones at any share above.

Decisions only. A caller's lot is a keyed hash of timeline and caller, so it depends on nothing that differs
between backends; it is below a share of one and the next, so whoever is turned away at a share stays so above
it, and a new try at another backend finds the same lot. xxHash (XXH3, 64 bits, seeded) is no cryptographic
hash: callers' numbers are handed out by the operators, not chosen.

What a step turns away (`Decided`) is decided once, for the fleet, with the callers warned to the floor named
in it; so two backends at one edition never differ, whatever each knows of counts.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum, IntEnum

import msgspec
from xxhash import xxh3_64_intdigest

from ringshift.retirement.conditions import WHOLE
from ringshift.retirement.timeline import Timeline, ns

NONE = -1  # a lot of whoever nothing sheds


def key(timeline: Timeline) -> int:
    """64 bits, of what doesn't change as dates and steps are moved. Never of a backend."""
    return xxh3_64_intdigest("\0".join((timeline.name, timeline.operation, timeline.version)).encode())


def lot(timeline_key: int, caller: int) -> int:
    """0 to 999,999, spread evenly over callers."""
    return xxh3_64_intdigest(caller.to_bytes(8, "little", signed=True), timeline_key) * WHOLE >> 64


def sheds(share: int, lot: int) -> bool:
    """`share` in millionths; a lot of -1 is shed by none."""
    return 0 <= lot < share


class Decided(msgspec.Struct, frozen=True):
    """One decision of the ramp, as all backends are told it. `edition` only grows, also when the share falls
    or when only `ready` has grown; one edition is one decision."""

    edition: int = 0
    key: int = 0
    """Of the timeline: decided for another, it binds nobody."""
    rung: int = 0
    share: int = 0
    """Millionths."""
    until: int = 0
    """Of a brownout: ns since the epoch from which nothing of it holds, contact or not. 0: none."""
    ready: frozenset[int] = frozenset()
    """Callers with a lot below the share that were warned to the floor: no other is turned away."""


class Fact(IntEnum):
    """Of one invocation, judged once, by the step under which it was read."""

    RUN = 1
    REPEATED = 2
    DRAWN = 3
    OVERLOAD = 4
    UNBOUND = 5
    ABOVE = 6
    EXEMPT = 7
    SHORT = 8


class Verdict(Enum):
    SERVED = "served"
    RETIRED = "retired"
    """For good: told as terminal, reckoned apart from overload."""
    OVERLOADED = "overloaded"


# The first fact that holds decides: fact | verdict | reason
SPECIFICATION = """
RUN      | SERVED     | it was taken in before, has run or runs: no later step turns it away
REPEATED | SERVED     | a keyed repeat of one that was served gets its result, after the end as well
DRAWN    | RETIRED    | its lot is below the share: before overload is looked at, not on top of it
OVERLOAD | OVERLOADED | for now: another time, or elsewhere, it may be served
UNBOUND  | SERVED     | no step turns anyone away at this instant
ABOVE    | SERVED     | its lot is not below the share
EXEMPT   | SERVED     | its exemption has not ended
SHORT    | SERVED     | it was not warned to the floor
"""
TABLE: dict[Fact, tuple[Verdict, str]] = {
    Fact[row[0].strip()]: (Verdict[row[1].strip()], row[2].strip())
    for row in (line.split("|") for line in SPECIFICATION.strip().splitlines())
}


class Exempt:
    """The exemptions of a timeline by caller, for the request path."""

    def __init__(self, timeline: Timeline) -> None:
        self.until = {one.caller: ns(one.until) for one in timeline.exemptions}

    def __call__(self, caller: int, now: int) -> bool:
        return now < self.until.get(caller, 0)


@dataclass(frozen=True)
class Shedding:
    """One timeline at the step that a backend acts by."""

    key: int
    exempt: Exempt
    decided: Decided = Decided()

    def share(self, now: int) -> int:
        """Millionths turned away at `now`, ns since the epoch."""
        one = self.decided
        return 0 if one.key != self.key or (one.until and now >= one.until) else one.share

    def lot(self, caller: int, now: int) -> int:
        """Of an invocation read at `now`: -1 where nothing sheds it, however high the share."""
        if not self.share(now) or caller not in self.decided.ready or self.exempt(caller, now):
            return NONE
        return lot(self.key, caller)

    def judge(self, caller: int, now: int, run: bool = False, repeated: bool = False,
              overload: bool = False) -> tuple[Verdict, str]:  # fmt: skip
        """What becomes of an invocation read at `now`, and why: the whole table, for plans and checkers."""
        return TABLE[self.fact(caller, now, run, repeated, overload)]

    def fact(self, caller: int, now: int, run: bool, repeated: bool, overload: bool) -> Fact:
        share = self.share(now)
        holds = {
            Fact.RUN: run,
            Fact.REPEATED: repeated,
            Fact.DRAWN: sheds(share, self.lot(caller, now)),
            Fact.OVERLOAD: overload,
            Fact.UNBOUND: not share,
            Fact.ABOVE: not sheds(share, lot(self.key, caller)),
            Fact.EXEMPT: self.exempt(caller, now),
            Fact.SHORT: True,
        }
        return next(fact for fact in Fact if holds[fact])


def shedding(timeline: Timeline, decided: Decided) -> Shedding:
    return Shedding(key(timeline), Exempt(timeline), decided)
