"""Who is told of what several changes break together: two that it needs, and where all that it needs meets.

Of several in force, those that are not needed for it are left out first, the earlier begun before the later:
what is left breaks the rule, and wherever their scopes meet, and would hold without any one of them. Named
are the two of it that began last. So two planners name the same.
"""

from __future__ import annotations

from bisect import bisect_left
from collections.abc import Callable, Iterable, Iterator, Sequence
from fractions import Fraction

from ringshift.schedule.change import ALL, WHOLE, Change, Drain, Move, Scope
from ringshift.schedule.moving import links, round_about
from ringshift.schedule.rules import Broken, Rule, Sums, drain_of, groups, places, target


def pair(
    rule: Rule, one: str, other: str, at: int, part: Scope, apart: bool, beside: Sequence[str] = ()
) -> Broken:
    first, second = sorted((one, other))
    return Broken(Rule.CLOSE if apart else rule, rule, first, second, at, part, tuple(sorted(beside)))


def latest(rule: Rule, ones: Sequence[Change], at: int, part: Scope) -> Broken:
    """`ones` as `needed` gives them."""
    one, other = ones[0], ones[min(1, len(ones) - 1)]
    beside = [c.name for c in ones[2:]]
    return pair(rule, one.name, other.name, at, part, min(one.end, other.end) <= at, beside)


def last_first(ones: Sequence[Change]) -> list[Change]:
    return sorted(ones, key=lambda c: (-c.start, c.name))


def needed(ones: Sequence[Change], breaks: Callable[[Sequence[Change]], bool]) -> list[Change]:
    """Those left, last begun first, when each that it breaks without is left out, the earliest first. More of
    them never break it less, so whoever is needed next is sought by bisection."""
    told, kept = last_first(ones), list[Change]()
    while not breaks(kept):
        count = bisect_left(range(len(told)), True, key=lambda n: breaks([*told[: n + 1], *kept]))
        kept.insert(0, told[count])
        told = told[:count]
    return kept


def needed_in_sum(asked: Sequence[tuple[Change, Fraction, int]], most: int) -> list[Change]:
    """As `needed`, where the sum of the first figure and the most of the second are above `most` together."""
    told = sorted(asked, key=lambda one: (-one[0].start, one[0].name))
    total = sum((one[1] for one in told), Fraction(0))
    kept = list(told)
    for one in reversed(told):
        rest = [other for other in kept if other is not one]
        if total - one[1] + max((other[2] for other in rest), default=0) > most:
            total, kept = total - one[1], rest
    return [one[0] for one in kept]


def met(scopes: Iterable[Scope]) -> Scope:
    """What all of some cover, which cover a point together."""
    part = Scope()
    for one in scopes:
        both = part.meets(one)
        assert both is not None
        part = both
    return part


def together(sums: Sums, at: int, live: Sequence[Change]) -> Iterator[Broken]:
    moves = [c for c in live if isinstance(c.does, Move)]
    yield from rings(moves, at)
    for operation, ones in sums.drained([c for c in live if isinstance(c.does, Drain)]):
        serving = sums.world.serves[operation]
        some = needed(ones, lambda held, all_of=serving: all_of <= {drain_of(c) for c in held})  # type: ignore[misc]
        callers = met(c.scope.anywhere() for c in some).customers
        yield latest(Rule.LAST_PLACE, some, at, Scope(frozenset((operation,)), callers))
    ways: dict[tuple[str, str], list[tuple[Change, Fraction, int]]] = {}
    for c in moves:
        if taken := sums.share([c], at):
            assert isinstance(c.does, Move)
            ways.setdefault((c.does.source, c.does.target), []).append((c, taken, 0))
    for shares in ways.values():
        for group in groups([c.scope for c, _, _ in shares]):
            if sum(shares[n][1] for n in group) > WHOLE:
                some = needed_in_sum([shares[n] for n in group], WHOLE)
                yield latest(Rule.SHARES, some, at, met(c.scope for c in some))
    for place in {place for c in live for place in places(c)} & sums.world.capacity.keys():
        if sums.over(place, live, at):
            asked = [
                (
                    c,
                    sums.moved(c) * c.part(at, sums.late) if target(c) == place else Fraction(0),
                    c.left.get(place, 0) * WHOLE,
                )
                for c in live
            ]
            some = needed_in_sum([one for one in asked if one[1] or one[2]], sums.free(place))
            yield latest(Rule.CAPACITY, some, at, Scope(ALL, ALL, frozenset({place})))


def rings(moves: Sequence[Change], at: int) -> Iterator[Broken]:
    to = links(moves)
    there = round_about(set(to), to)
    ones = [c for c in moves if c.name in there]
    for group in groups([c.scope.anywhere() for c in ones]) if ones else ():
        some = [ones[n] for n in group]
        if round_about({c.name for c in some}, to):
            ring = needed(some, lambda held: bool(round_about({c.name for c in held}, to)))
            yield latest(Rule.RING, ring, at, round_part(ring))


def round_part(ring: Sequence[Change]) -> Scope:
    """Whose invocations go round, at the places that send them on."""
    part = met(c.scope.anywhere() for c in ring)
    places = frozenset(c.does.source for c in ring if isinstance(c.does, Move))
    return Scope(part.operations, part.customers, places)
