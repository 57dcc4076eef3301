"""Judges a set of scheduled changes by looking at every instant and every point of scope: slow and plain.

It shares nothing with the validator but the types of a change. Windows of a few dozen instants and a handful
of names; a backend that is late is not reckoned but tried, each delay from 0 to `late` in turn. The first
instant at which anything is wrong ends it; of what is wrong there, the first by rule and names is told.
"""

from __future__ import annotations

from collections.abc import Iterator, Sequence
from fractions import Fraction
from itertools import combinations, product

from ringshift.schedule.change import WHOLE, All, Change, Drain, Freeze, Move, World

ORDER = ("cycle", "ends_late", "frozen", "two_ways", "into_drained", "last_place", "shares", "capacity")
Found = tuple[int, str, str, str, bool]
"""Instant, rule, the two names in order, whether the two windows themselves don't meet there."""
Point = tuple[str, str, str]


def check(changes: Sequence[Change], world: World, late: int) -> Found | None:
    points = every_point(changes, world)
    where = {c.name: [point for point in points if covers(c, point)] for c in changes}
    for now in range(min(c.start for c in changes), max(c.end for c in changes) + late):
        wrong = list(requirements(changes, now, late))
        wrong += pairs(changes, where, now, late)
        wrong += sums(changes, points, where, world, now, late)
        if wrong:
            rule, first, second, apart = min(wrong)
            return now, ORDER[rule], first, second, apart
    return None


def every_point(changes: Sequence[Change], world: World) -> list[Point]:
    """Each dimension: every name that anybody uses, and one that nobody does."""
    operations, customers, places = set(world.serves) | {"-"}, {"-"}, {"-"}
    for operation, customer, place in world.load:
        operations, customers, places = operations | {operation}, customers | {customer}, places | {place}
    for c in changes:
        for found, named in ((operations, c.scope.operations), (customers, c.scope.customers),
                             (places, c.scope.places)):  # fmt: skip
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


def wrong(rule: str, one: Change, other: Change, now: int) -> tuple[int, str, str, bool]:
    first, second = min(one.name, other.name), max(one.name, other.name)
    return ORDER.index(rule), first, second, not (now < one.end and now < other.end)


def requirements(changes: Sequence[Change], now: int, late: int) -> Iterator[tuple[int, str, str, bool]]:
    named = {c.name: c for c in changes}
    for c in changes:
        for name in c.after if c.start == now else ():
            reached = {name}
            for _ in changes:
                reached |= {far for near in reached if near in named for far in named[near].after}
            known = named.get(name)
            if known and not any(at < known.start or live(known, at, late)
                                 for at in range(now, known.end + late + 1)):  # fmt: skip
                continue
            circle = c.name in reached
            apart = not circle and known is not None and known.end <= now
            yield ORDER.index("cycle" if circle else "ends_late"), min(c.name, name), max(c.name, name), apart


def pairs(changes: Sequence[Change], where: dict[str, list[Point]], now: int,
          late: int) -> Iterator[tuple[int, str, str, bool]]:  # fmt: skip
    for a, b in combinations([c for c in changes if live(c, now, late)], 2):
        kinds = isinstance(a.does, Freeze), isinstance(b.does, Freeze)
        if any(kinds):
            ice, other = (a, b) if kinds[0] else (b, a)
            felt = set(where[other.name])
            felt |= {(o, c, place) for o, c, _ in where[other.name] for place in touched(other)}
            if not all(kinds) and felt & set(where[ice.name]):
                yield wrong("frozen", a, b, now)
            continue
        if not set(where[a.name]) & set(where[b.name]):
            continue
        if isinstance(a.does, Move) and isinstance(b.does, Move):
            one, other_way = (a.does.source, a.does.target), (b.does.source, b.does.target)
            if (one[0] == other_way[0] and one != other_way) or one == other_way[::-1]:
                yield wrong("two_ways", a, b, now)
        for move, drain in ((a.does, b.does), (b.does, a.does)):
            if isinstance(move, Move) and isinstance(drain, Drain) and drain.place == move.target:
                yield wrong("into_drained", a, b, now)


def sums(changes: Sequence[Change], points: list[Point], where: dict[str, list[Point]], world: World,
         now: int, late: int) -> Iterator[tuple[int, str, str, bool]]:  # fmt: skip
    here = [c for c in changes if live(c, now, late)]
    moving = [(c, c.does, most(c, now, late)) for c in here if isinstance(c.does, Move)]
    for point in points:
        at = [c for c in here if point in where[c.name]]
        serving = world.serves.get(point[0], frozenset())
        drains = [c for c in at if isinstance(c.does, Drain) and c.does.place in serving]
        if serving and {place for c in drains for place in touched(c)} == serving:
            yield wrong("last_place", *last_two(drains), now)
        ways: dict[tuple[str, str], list[tuple[Change, Fraction]]] = {}
        for c, move, part in moving:
            if c in at and part:
                ways.setdefault((move.source, move.target), []).append((c, part * move.share))
        for taken in ways.values():
            if sum(share for _, share in taken) > WHOLE:
                yield wrong("shares", *last_two([c for c, _ in taken]), now)
    for place, capacity in world.capacity.items():
        there = sum(rate for cell, rate in world.load.items() if cell[2] == place)
        brought = {}
        for c, move, part in moving:
            if move.target == place:
                callers = {point[:2] for point in where[c.name]}
                brought[c.name] = part * Fraction(move.share, WHOLE) * sum(
                    rate for cell, rate in world.load.items()
                    if cell[2] == move.source and cell[:2] in callers
                )  # fmt: skip
        left = max((c.left.get(place, 0) for c in here), default=0)
        asked = sum(brought.values()) + left
        if asked > 0 and there + asked > capacity:
            asking = [c for c in here if brought.get(c.name) or place in c.left]
            yield wrong("capacity", *last_two(asking), now)


def last_two(ones: Sequence[Change]) -> tuple[Change, Change]:
    told = sorted(ones, key=lambda c: (-c.start, c.name))
    return told[0], told[min(1, len(told) - 1)]
