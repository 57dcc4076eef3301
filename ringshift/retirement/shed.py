"""Which callers are turned away at a share: the same at every backend, and the same ones at any share above.

Decisions only. A caller's lot is a keyed hash of timeline and caller, so it depends on nothing that differs
between backends; it is below a share of one and the next, so whoever is turned away at a share stays so above
it, and a new try at another backend finds the same lot. xxHash (XXH3, 64 bits, seeded) is no cryptographic
hash: callers' numbers are handed out by the operators, not chosen.

What a step turns away (`Decided`) is decided once, for the fleet, with the callers warned to the floor named
in it; so two backends at one edition never differ, whatever each knows of counts.

This says who is drawn. What becomes of an invocation, and in which order with the door, is decided in
ringshift/control (`Controller.on_arrived`, `Shares.ruled_out`) by the lot that is handed over with it.
"""

from __future__ import annotations

from dataclasses import dataclass

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


def shedding(timeline: Timeline, decided: Decided) -> Shedding:
    return Shedding(key(timeline), Exempt(timeline), decided)
