"""A scheduled routing change: where it applies, what it does, when, and what it requires.

Decisions only: no I/O, no clock. Times are whole nanoseconds of one absolute time line (since the epoch,
UTC); a window is half-open, [start, end). Shares are whole millionths and rates whole invocations a second,
so that sums over many ramps are exact and two planners never differ by a rounding.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from enum import Enum
from fractions import Fraction
from typing import Literal

WHOLE = 1_000_000  # a share of one, in millionths
FIELDS = ("operations", "customers", "places")
FEW = 4  # names told of one field


class All(Enum):
    ALL = "all"


ALL: Literal[All.ALL] = All.ALL
Names = frozenset[str] | Literal[All.ALL]
"""Some names, or every name there is and will be."""


class ChangeError(ValueError):
    """A change that can't be; the message begins with the field's name."""


def common(one: Names, other: Names) -> Names:
    if isinstance(one, All):
        return other
    return one if isinstance(other, All) else one & other


def within(name: str, names: Names) -> bool:
    return isinstance(names, All) or name in names


def named(names: Iterable[str]) -> str:
    """For people: the first few, and how many more."""
    told = sorted(names)
    return ", ".join(told[:FEW]) + (f" and {len(told) - FEW} more" if len(told) > FEW else "")


@dataclass(frozen=True)
class Scope:
    """Every invocation of one of `operations`, by one of `customers`, that arrives at one of `places`."""

    operations: Names = ALL
    customers: Names = ALL
    places: Names = ALL

    def __post_init__(self) -> None:
        for name, names in zip(FIELDS, self.parts, strict=True):
            if not names:
                raise ChangeError(f"scope.{name}: empty; name at least one, or all")

    @property
    def parts(self) -> tuple[Names, Names, Names]:
        return self.operations, self.customers, self.places

    def meets(self, other: Scope) -> Scope | None:
        """What both cover, None where that is nothing."""
        parts = [common(a, b) for a, b in zip(self.parts, other.parts, strict=True)]
        return Scope(*parts) if all(parts) else None

    def anywhere(self) -> Scope:
        """Wherever its invocations arrive."""
        return Scope(self.operations, self.customers)

    def __str__(self) -> str:
        told = [
            f"{field} {named(names)}"
            for field, names in zip(FIELDS, self.parts, strict=True)
            if not isinstance(names, All)
        ]
        return "; ".join(told) or "everywhere"

    @property
    def order(self) -> list[tuple[bool, list[str]]]:
        """By which scopes are sorted: every name first."""
        return [(False, []) if isinstance(names, All) else (True, sorted(names)) for names in self.parts]


@dataclass(frozen=True)
class Move:
    """`share` (millionths) of what is served at `source` goes to `target` instead. `served_as`: the operation
    that the target serves it as, where that is another one (a retired one's successor); "": the same."""

    share: int
    source: str
    target: str
    served_as: str = ""

    def __post_init__(self) -> None:
        if not 0 < self.share <= WHOLE:
            raise ChangeError(f"does.share: {self.share} millionths; above 0 and at most {WHOLE}")
        if self.source == self.target:
            raise ChangeError(f"does.target: {self.target!r} is the source too")


@dataclass(frozen=True)
class Drain:
    """Nothing in scope is served at `place`."""

    place: str


@dataclass(frozen=True)
class Quota:
    """What is in scope is held down to `rate` invocations a second."""

    rate: int

    def __post_init__(self) -> None:
        if self.rate < 0:
            raise ChangeError(f"does.rate: {self.rate}; not below 0")


@dataclass(frozen=True)
class Freeze:
    """Nothing else may change in scope."""


Does = Move | Drain | Quota | Freeze


@dataclass(frozen=True)
class Change:
    """`start`, `end`: the window [start, end), ns. `ramp_in`, `ramp_out`: ns from nothing to the full effect
    and back, inside the window; 0 is at once. `after`: names of changes that have ended before this one
    begins. `left`: invocations a second that a place must have free through the whole window."""

    name: str
    scope: Scope
    does: Does
    start: int
    end: int
    ramp_in: int = 0
    ramp_out: int = 0
    after: frozenset[str] = frozenset()
    left: Mapping[str, int] = field(default_factory=dict)

    def __post_init__(self) -> None:
        if not self.name:
            raise ChangeError("name: empty")
        if self.end <= self.start:
            raise ChangeError(f"end: {self.end} is not after start, {self.start}: an empty window")
        if self.end == self.start + 1:
            raise ChangeError(f"end: {self.end} leaves one instant after start, {self.start}")
        if self.ramp_in < 0 or self.ramp_out < 0:
            raise ChangeError(f"{'ramp_in' if self.ramp_in < 0 else 'ramp_out'}: below 0")
        if self.ramp_in + self.ramp_out > self.end - self.start:
            raise ChangeError(
                f"ramp_out: {self.ramp_out} ns beside ramp_in, {self.ramp_in} ns, don't fit "
                f"into {self.end - self.start} ns"
            )
        if self.start + self.ramp_in == self.end:
            raise ChangeError(f"ramp_in: {self.ramp_in} ns is the whole window: never in full effect")
        if self.name in self.after:
            raise ChangeError(f"after: {self.name!r} requires itself")
        if any(rate <= 0 for rate in self.left.values()):
            raise ChangeError("left: rates above 0")

    def part(self, now: int, late: int = 0) -> Fraction:
        """How much of the effect is in force at `now`, from 0 to 1, at the backend where it is the most of
        all backends that are at most `late` ns behind: the fall comes `late` ns later."""
        end = self.end + late
        if not self.start <= now < end:
            return Fraction(0)
        part = Fraction(1)
        if now - self.start < self.ramp_in:
            part = Fraction(now - self.start, self.ramp_in)
        if end - now < self.ramp_out:
            part = min(part, Fraction(end - now, self.ramp_out))
        return part

    def bends(self, late: int = 0) -> tuple[int, int, int, int]:
        """The instants between which `part` is linear."""
        end = self.end + late
        return self.start, self.start + self.ramp_in, end - self.ramp_out, end


@dataclass(frozen=True)
class World:
    """What the operators state beside the changes. `serves`: operation -> the places that serve it.
    `capacity`: place -> invocations a second that it can take; a place without one is not bounded. `load`:
    (operation, customer, place) -> invocations a second served there at present."""

    serves: Mapping[str, frozenset[str]] = field(default_factory=dict)
    capacity: Mapping[str, int] = field(default_factory=dict)
    load: Mapping[tuple[str, str, str], int] = field(default_factory=dict)
