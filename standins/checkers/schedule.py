"""Judges a set of scheduled changes by looking at every instant and every point of scope: slow and plain.

It shares nothing with the validator but the types of a change. Windows of a few dozen instants and a handful
of names; a backend that is late is not reckoned but tried, each delay from 0 to `late` in turn. The first
instant at which anything is wrong ends it; of what is wrong there, the first by rule and names is told, with
the points where those two, and whom they need for it, are at it.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Iterator, Sequence
from fractions import Fraction
from itertools import combinations, product

from ringshift.schedule.change import WHOLE, All, Change, Drain, Freeze, Move, World

ORDER = (
    "cycle",
    "ends_late",
    "frozen",
    "two_ways",
    "ring",
    "chained",
    "into_drained",
    "unserved",
    "last_place",
    "shares",
    "capacity",
)
Point = tuple[str, str, str]
Where = dict[str, set[Point]]
Found = tuple[int, str, str, str, bool]
"""Instant, rule, the two names in order, whether the two windows themselves don't meet there."""
Wrong = tuple[int, str, str, bool, frozenset[Point]]
"""The rule by its place in `ORDER`, names and whether they don't meet as in `Found`, and the points."""


def check(changes: Sequence[Change], world: World, late: int) -> Found | None:
    told = judged(changes, world, late)
    return None if told is None else told[0]


def judged(changes: Sequence[Change], world: World, late: int) -> tuple[Found, set[frozenset[Point]]] | None:
    """What is told, and each part in which those two break that rule then: where there are several, each is
    true."""
    points = every_point(changes, world)
    where = {c.name: {point for point in points if covers(c, point)} for c in changes}
    for now in range(min(c.start for c in changes), max(c.end for c in changes) + late):
        here = [c for c in changes if live(c, now, late)]
        wrong = list(requirements(changes, where, now, late))
        wrong += pairs(here, where, now)
        wrong += unserved(here, where, world, now)
        wrong += rings(here, where, now)
        wrong += sums(here, points, where, world, now, late)
        if wrong:
            rule, first, second, apart, _ = min(wrong, key=lambda one: one[:4])
            parts = {one[4] for one in wrong if one[:3] == (rule, first, second)}
            return (now, ORDER[rule], first, second, apart), parts
    return None


def every_point(changes: Sequence[Change], world: World) -> list[Point]:
    """Each dimension: every name that anybody uses, and one that nobody does."""
    operations, customers, places = set(world.serves) | {"-"}, {"-"}, {"-"}
    for operation, customer, place in world.load:
        operations, customers, places = operations | {operation}, customers | {customer}, places | {place}
    for c in changes:
        for found, named in (
            (operations, c.scope.operations),
            (customers, c.scope.customers),
            (places, c.scope.places),
        ):
            found |= set() if isinstance(named, All) else named
        places |= touched(c)
    return list(product(sorted(operations), sorted(customers), sorted(places)))


def covers(change: Change, point: Point) -> bool:
    scope = (change.scope.operations, change.scope.customers, change.scope.places)
    return all(isinstance(named, All) or name in named for name, named in zip(point, scope, strict=True))


def touched(change: Change) -> set[str]:
    if isinstance(change.does, Move):
        return {change.does.source, change.does.target}
    return {change.does.place} if isinstance(change.does, Drain) else set()


def amount(change: Change, now: int) -> Fraction:
    """Of the whole effect, by a clock that shows `now`."""
    if not change.start <= now < change.end:
        return Fraction(0)
    up = Fraction(now - change.start, change.ramp_in) if change.ramp_in else Fraction(1)
    down = Fraction(change.end - now, change.ramp_out) if change.ramp_out else Fraction(1)
    return min(up, down, Fraction(1))


def most(change: Change, now: int, late: int) -> Fraction:
    return max(amount(change, now - delay) for delay in range(late + 1))


def live(change: Change, now: int, late: int) -> bool:
    return any(change.start <= now - delay < change.end for delay in range(late + 1))


def wrong(rule: str, one: Change, other: Change, now: int, part: Iterable[Point]) -> Wrong:
    first, second = min(one.name, other.name), max(one.name, other.name)
    return ORDER.index(rule), first, second, not (now < one.end and now < other.end), frozenset(part)


def requirements(changes: Sequence[Change], where: Where, now: int, late: int) -> Iterator[Wrong]:
    named = {c.name: c for c in changes}
    for c in changes:
        for name in c.after if c.start == now else ():
            reached = {name}
            for _ in changes:
                reached |= {far for near in reached if near in named for far in named[near].after}
            known = named.get(name)
            if known and not any(
                at < known.start or live(known, at, late) for at in range(now, known.end + late + 1)
            ):
                continue
            circle = c.name in reached
            apart = not circle and known is not None and known.end <= now
            yield (
                ORDER.index("cycle" if circle else "ends_late"),
                min(c.name, name),
                max(c.name, name),
                apart,
                frozenset(where[c.name]),
            )


def pairs(here: Sequence[Change], where: Where, now: int) -> Iterator[Wrong]:
    for a, b in combinations(here, 2):
        both = where[a.name] & where[b.name]
        kinds = isinstance(a.does, Freeze), isinstance(b.does, Freeze)
        if any(kinds):
            ice, other = (a, b) if kinds[0] else (b, a)
            felt = {(o, c, place) for o, c, _ in where[other.name] for place in touched(other)}
            if not all(kinds) and (there := both or felt & where[ice.name]):
                yield wrong("frozen", a, b, now, there)
            continue
        if both and isinstance(a.does, Move) and isinstance(b.does, Move):
            one, other_way = (a.does.source, a.does.target), (b.does.source, b.does.target)
            if (one[0] == other_way[0] and one != other_way) or one == other_way[::-1]:
                yield wrong("two_ways", a, b, now, both)
        for move, then in ((a, b), (b, a)):
            if there := handed_on(move, then, where):
                yield wrong("chained", a, b, now, there)
            if not isinstance(move.does, Move) or then.does != Drain(move.does.target):
                continue
            if there := both or handed_over(move, where) & where[then.name]:
                yield wrong("into_drained", a, b, now, there)


def handed_over(move: Change, where: Where) -> set[Point]:
    """What a move brings to its target, as it arrives there."""
    assert isinstance(move.does, Move)
    return {(move.does.served_as or o, c, move.does.target) for o, c, _ in where[move.name]}


def handed_on(move: Change, then: Change, where: Where) -> set[Point]:
    """Where a move sends on what another one brought: wherever both hold, or else once it arrived."""
    if not (isinstance(move.does, Move) and isinstance(then.does, Move)):
        return set()
    if move.does.target != then.does.source:
        return set()
    both = set() if move.does.served_as else where[move.name] & where[then.name]
    return both or handed_over(move, where) & where[then.name]


def unserved(here: Sequence[Change], where: Where, world: World, now: int) -> Iterator[Wrong]:
    for c in here:
        if not isinstance(c.does, Move):
            continue
        nowhere = []
        for point in where[c.name]:
            moved = not isinstance(c.scope.operations, All) or c.does.source in world.serves.get(point[0], ())
            becomes = c.does.served_as or point[0]
            if moved and becomes in world.serves and c.does.target not in world.serves[becomes]:
                nowhere.append(point)
        if nowhere:
            yield wrong("unserved", c, c, now, nowhere)


def rings(here: Sequence[Change], where: Where, now: int) -> Iterator[Wrong]:
    moves = [c for c in here if isinstance(c.does, Move) and not c.does.served_as]
    next_to = {c.name: [then.name for then in moves if handed_on(c, then, where)] for c in moves}

    def round_about(ones: Sequence[Change]) -> bool:
        names = {c.name for c in ones}
        for name in names:
            reached, front = set[str](), [name]
            while front:
                fresh = {far for far in next_to[front.pop()] if far in names} - reached
                reached |= fresh
                front.extend(fresh)
            if name in reached:
                return True
        return False

    callers = {c.name: {point[:2] for point in where[c.name]} for c in moves}
    for caller in sorted(set().union(*callers.values())):
        ones = [c for c in moves if caller in callers[c.name]]
        if round_about(ones):
            some = least(ones, round_about)
            shared = set.intersection(*(callers[c.name] for c in some))
            sources = {c.does.source for c in some if isinstance(c.does, Move)}
            part = {(*who, place) for who in shared for place in sources}
            yield wrong("ring", *last_two(some), now, part)


def sums(
    here: Sequence[Change], points: list[Point], where: Where, world: World, now: int, late: int
) -> Iterator[Wrong]:
    moving = [(c, c.does, most(c, now, late)) for c in here if isinstance(c.does, Move)]
    callers = {c.name: {point[:2] for point in where[c.name]} for c in here}
    for caller in sorted({point[:2] for point in points}):  # wherever they arrive
        serving = world.serves.get(caller[0], frozenset())
        drains = [
            c
            for c in here
            if isinstance(c.does, Drain) and c.does.place in serving and caller in callers[c.name]
        ]

        def emptied(ones: Sequence[Change], all_of: frozenset[str] = serving) -> bool:
            return {place for c in ones for place in touched(c)} == all_of

        if serving and emptied(drains):
            some = least(drains, emptied)
            shared = set.intersection(*(callers[c.name] for c in some))
            part = [point for point in points if point[0] == caller[0] and point[:2] in shared]
            yield wrong("last_place", *last_two(some), now, part)
    for point in points:
        at = [c for c in here if point in where[c.name]]
        ways: dict[tuple[str, str], list[tuple[Change, Fraction]]] = {}
        for c, move, part_of in moving:
            if c in at and part_of:
                ways.setdefault((move.source, move.target), []).append((c, part_of * move.share))
        for taken in ways.values():
            shares = {c.name: share for c, share in taken}

            def above_one(ones: Sequence[Change], shares: dict[str, Fraction] = shares) -> bool:
                return sum(shares[c.name] for c in ones) > WHOLE

            if above_one(whole := [c for c, _ in taken]):
                some = least(whole, above_one)
                yield wrong("shares", *last_two(some), now, met(some, where))
    for place, capacity in world.capacity.items():
        there = sum(rate for cell, rate in world.load.items() if cell[2] == place)
        brought = {}
        for c, move, part_of in moving:
            if move.target == place:
                brought[c.name] = (
                    part_of
                    * Fraction(move.share, WHOLE)
                    * sum(
                        rate
                        for cell, rate in world.load.items()
                        if cell[2] == move.source and cell[:2] in callers[c.name]
                    )
                )

        def too_much(
            ones: Sequence[Change],
            place: str = place,
            free: int = capacity - there,
            brought: dict[str, Fraction] = brought,
        ) -> bool:
            asked = sum(brought.get(c.name, 0) for c in ones)
            asked += max((c.left.get(place, 0) for c in ones), default=0)
            return asked > 0 and asked > free

        if too_much(here):
            part = [point for point in points if point[2] == place]
            yield wrong("capacity", *last_two(least(here, too_much)), now, part)


def met(ones: Sequence[Change], where: Where) -> set[Point]:
    return set.intersection(*(where[c.name] for c in ones))


def least(ones: Sequence[Change], breaks: Callable[[Sequence[Change]], bool]) -> list[Change]:
    """Without those that it breaks without, each in turn, whoever began first left out first."""
    kept = sorted(ones, key=lambda c: (-c.start, c.name))
    for one in reversed(list(kept)):
        rest = [c for c in kept if c is not one]
        kept = rest if breaks(rest) else kept
    return kept


def last_two(ones: Sequence[Change]) -> tuple[Change, Change]:
    told = sorted(ones, key=lambda c: (-c.start, c.name))
    return told[0], told[min(1, len(told) - 1)]
