"""What contradicts, each a rule of its own: between two changes, and in the sum of several.

**Late backends.** Two backends may be `late` ns apart in what they act by, so at a true instant a change is
in force at some backend from its start until `late` after its end, and its ramp out falls `late` later. Every
rule is judged on that longer window. It is the same as refusing a pair whose windows are closer than `late`,
whichever comes first, and it holds for sums of ramps too.

Sums only grow by one more change (nothing moved away is counted as relief: a withdrawal brings it back at any
time), so the first instant beyond a bound can be sought at each change among those that were there before it.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Iterator, Sequence
from dataclasses import dataclass
from enum import IntEnum
from fractions import Fraction
from functools import partial

from ringshift.schedule.change import (
    ALL,
    WHOLE,
    All,
    Change,
    Drain,
    Freeze,
    Move,
    Scope,
    World,
    named,
    within,
)
from ringshift.schedule.moving import arrived, onward


class Rule(IntEnum):
    """In the order in which they are told where several are broken at one instant."""

    CYCLE = 1
    ENDS_LATE = 2
    FROZEN = 3
    TWO_WAYS = 4
    RING = 5
    CHAINED = 6
    INTO_DRAINED = 7
    UNSERVED = 8
    LAST_PLACE = 9
    SHARES = 10
    CAPACITY = 11
    CLOSE = 12


REASONS = {
    Rule.CYCLE: "each waits for the other, so none would ever begin",
    Rule.ENDS_LATE: "it begins before a change that it requires has ended, or requires one that isn't in the "
    "book (once over, a change goes from it: the requirement is met then, leave it out)",
    Rule.FROZEN: "nothing else may change where and while a freeze holds",
    Rule.TWO_WAYS: "one invocation can't be sent to two places, nor there and back",
    Rule.RING: "what is sent round from place to place comes back to where it began, and is served nowhere",
    Rule.CHAINED: "what one brings to a place the other sends on with the rest, to a place not asked for it",
    Rule.INTO_DRAINED: "what is moved into a drained place would be served nowhere",
    Rule.UNSERVED: "it is moved to a place that doesn't serve the operation",
    Rule.LAST_PLACE: "an operation whose last place is drained is served nowhere",
    Rule.SHARES: "more than the whole can't be moved away from a place",
    Rule.CAPACITY: "a place asked for more than it can take turns away its own callers as well",
    Rule.CLOSE: "two backends may be this far apart: one acts by the first yet, another by the second",
}


@dataclass(frozen=True)
class Broken:
    """`first` and `second` are names in order, the same where one change breaks the rule alone. `rule` is
    CLOSE where the two windows themselves don't meet at `instant` (ns), and `beneath` then what they would
    break. `part`: where they break it at that instant. `beside`: others that they need for it, in order."""

    rule: Rule
    beneath: Rule
    first: str
    second: str
    instant: int
    part: Scope
    beside: tuple[str, ...] = ()

    def __str__(self) -> str:
        names = self.first if self.first == self.second else f"{self.first} and {self.second}"
        names += f", with {named(self.beside)}," if self.beside else ""
        return (
            f"{names} contradict{'s itself' * (self.first == self.second)} at {self.instant} ns "
            f"({self.rule.name.lower()}; {self.part}): {REASONS[self.rule]}"
        )


def two(a: Change, b: Change) -> tuple[Rule, Scope] | None:
    """The rule that two changes break by being in force at once, and the part of the scope where."""
    one, other = a.does, b.does
    if isinstance(one, Freeze) or isinstance(other, Freeze):
        both = isinstance(one, Freeze) and isinstance(other, Freeze)
        met = None if both else a.scope.meets(b.scope) or through(a, b)
        return (Rule.FROZEN, met) if met else None
    if isinstance(one, Move) and isinstance(other, Move):
        apart = one.source == other.source and one.target != other.target
        back = one.source == other.target and other.source == one.target
        if (apart or back) and (met := a.scope.meets(b.scope)):
            return Rule.TWO_WAYS, met
        first, then = (a, b) if a.name < b.name else (b, a)  # one part, whoever asks
        met = onward(first, then) or onward(then, first)
        return (Rule.CHAINED, met) if met else None
    for move, drain in ((a, b), (b, a)):
        if isinstance(drain.does, Drain) and target(move) == drain.does.place:
            there = arrived(move)
            met = move.scope.meets(drain.scope) or (there and there.meets(drain.scope))
            return (Rule.INTO_DRAINED, met) if met else None
    return None


def through(a: Change, b: Change) -> Scope | None:
    """One of them a freeze of a place that the other moves from or to, or drains, wherever its callers
    arrive."""
    for freeze, other in ((a, b), (b, a)):
        touched = (
            {other.does.source, other.does.target}
            if isinstance(other.does, Move)
            else {other.does.place}
            if isinstance(other.does, Drain)
            else set()
        )
        if isinstance(freeze.does, Freeze) and touched:
            wide = Scope(other.scope.operations, other.scope.customers, frozenset(touched))
            if met := freeze.scope.meets(wide):
                return met
    return None


def groups(scopes: Sequence[Scope]) -> set[frozenset[int]]:
    """The sets of scopes (by position) that cover a point together, for every kind of point there is. Names
    that the same scopes hold are one kind; one that no scope names stands for all others."""
    kinds: list[set[frozenset[int]]] = []
    for dimension in range(3):
        parts = [scope.parts[dimension] for scope in scopes]
        names = {name for part in parts if not isinstance(part, All) for name in part}
        kinds.append(
            {frozenset(n for n, part in enumerate(parts) if within(name, part)) for name in (*names, "")}
        )
    found = {a & b & c for a in kinds[0] for b in kinds[1] for c in kinds[2]}
    return {group for group in found if group}


def first_over(total: Callable[[int], object], bends: Iterable[int], start: int, end: int) -> int | None:
    """The first instant in [start, end) at which `total`, linear between `bends`, is over (`total` is
    truthy)."""
    edges = sorted({start, end, *(at for at in bends if start < at < end)})
    for low, high in zip(edges, edges[1:], strict=False):
        if total(low):
            return low
        if not total(high - 1):
            continue
        over = high - 1
        while over - low > 1:  # linear and not over at `low`: once over, it stays so in this stretch
            middle = (low + over) // 2
            low, over = (low, middle) if total(middle) else (middle, over)
        return over
    return None


class Sums:
    """The rules on sums, by what the operators state of their places."""

    def __init__(self, world: World, late: int) -> None:
        self.world, self.late = world, late
        self.at: dict[str, int] = {}
        self.cells: dict[str, dict[str, dict[str, int]]] = {}  # place -> operation -> customer -> rate
        for (operation, customer, place), rate in world.load.items():
            self.at[place] = self.at.get(place, 0) + rate
            self.cells.setdefault(place, {}).setdefault(operation, {})[customer] = rate

    def moved(self, change: Change) -> int:
        """Millionths of an invocation a second that a move brings to its target when it holds. A load doesn't
        tell where its callers arrive, so the scope's places don't lessen it: rather too much is counted. What
        other moves brought to its source is not in it: CHAINED refuses those."""
        if not isinstance(change.does, Move):
            return 0
        scope, source = change.scope, change.does.source
        cells, total = self.cells.get(source, {}), 0
        for operation in cells if isinstance(scope.operations, All) else scope.operations:
            rates = cells.get(operation, {})
            customers = rates if isinstance(scope.customers, All) else scope.customers
            total += sum(rates.get(customer, 0) for customer in customers)
        return change.does.share * total

    def first(self, one: Change, others: Sequence[Change]) -> int | None:
        """The first instant at which `one` and `others` break a rule on sums, while `one` is in force."""
        found = [*self.shares(one, others), *self.capacity(one, others), *self.last(one, others)]
        return min(found, default=None)

    def seek(self, one: Change, ones: Sequence[Change], over: Callable[[int], object]) -> int | None:
        bends = [at for change in ones for at in change.bends(self.late)]
        return first_over(over, bends, one.start, one.end + self.late)

    def shares(self, one: Change, others: Sequence[Change]) -> Iterator[int]:
        if not isinstance(one.does, Move):
            return
        way = one.does.source, one.does.target
        ones = [one, *(c for c in others if same_way(c, way) and c.scope.meets(one.scope))]
        if peak(ones) <= WHOLE:
            return
        for group in groups([c.scope for c in ones]):
            some = [ones[n] for n in group]
            if 0 in group and peak(some) > WHOLE:
                over = self.seek(one, some, partial(self.too_much, some))
                if over is not None:
                    yield over

    def share(self, ones: Iterable[Change], now: int) -> Fraction:
        """Millionths that moves take away together at `now`."""
        taken = (c.does.share * c.part(now, self.late) for c in ones if isinstance(c.does, Move))
        return sum(taken, Fraction(0))

    def too_much(self, ones: Iterable[Change], now: int) -> bool:
        return self.share(ones, now) > WHOLE

    def capacity(self, one: Change, others: Sequence[Change]) -> Iterator[int]:
        for place in places(one):
            if place not in self.world.capacity:
                continue
            ones = [one, *(c for c in others if place in places(c))]
            free = self.free(place)
            most = sum(self.moved(c) for c in ones if target(c) == place)
            if most + max(c.left.get(place, 0) for c in ones) * WHOLE <= free:
                continue
            over = self.seek(one, ones, partial(self.over, place, ones))
            if over is not None:
                yield over

    def over(self, place: str, ones: Iterable[Change], now: int) -> bool:
        """Whether a place has to take, with the most that one of them wants left free, more than it can."""
        brought, left = Fraction(0), 0
        for change in ones:
            if change.start <= now < change.end + self.late:
                left = max(left, change.left.get(place, 0))
                if target(change) == place:
                    brought += self.moved(change) * change.part(now, self.late)
        return brought + left * WHOLE > self.free(place)

    def free(self, place: str) -> int:
        """Millionths of an invocation a second that a place of stated capacity can take beside its own."""
        return max(self.world.capacity[place] - self.at.get(place, 0), 0) * WHOLE

    def last(self, one: Change, others: Sequence[Change]) -> Iterator[int]:
        if not isinstance(one.does, Drain):
            return
        far = one.scope.anywhere()
        ones = [one, *(c for c in others if isinstance(c.does, Drain) and far.meets(c.scope.anywhere()))]
        for at in sorted({max(one.start, c.start) for c in ones}):
            if any(self.drained([c for c in ones if c.start <= at < c.end + self.late])):
                yield at
                return

    def drained(self, drains: Sequence[Change]) -> Iterator[tuple[str, list[Change]]]:
        """Each operation that is left without a place, and the drains of its places, for each kind of caller.
        Wherever those arrive: one drained for its own callers is so for whoever is sent there as well."""
        empty = {place for place in (drain_of(c) for c in drains)}
        for operation, serving in self.world.serves.items():
            if not serving or not serving <= empty:
                continue
            ones = [c for c in drains if within(operation, c.scope.operations) and drain_of(c) in serving]
            if not ones:
                continue
            for group in groups([Scope(ALL, c.scope.customers) for c in ones]):
                some = [ones[n] for n in group]
                if serving <= {drain_of(c) for c in some}:
                    yield operation, some


def same_way(change: Change, way: tuple[str, str]) -> bool:
    return isinstance(change.does, Move) and (change.does.source, change.does.target) == way


def peak(ones: Iterable[Change]) -> int:
    return sum(c.does.share for c in ones if isinstance(c.does, Move))


def target(change: Change) -> str:
    return change.does.target if isinstance(change.does, Move) else ""


def drain_of(change: Change) -> str:
    return change.does.place if isinstance(change.does, Drain) else ""


def places(change: Change) -> set[str]:
    """Those whose capacity a change concerns."""
    return {*change.left, *([target(change)] if target(change) else [])}
