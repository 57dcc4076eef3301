"""Where a move's invocations go on to: moves that hand on to each other, and targets that don't serve them.

A backend sends away a share of whatever arrives at its place and doesn't tell which of it another move
brought there. So what a move brings is subject to each change at its target, under the operation that the
target serves it as.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence

from ringshift.schedule.change import All, Change, Move, Names, Scope, World


def arrived(move: Change) -> Scope | None:
    """What a move hands to its target, as it arrives there. None of what is no move."""
    does = move.does
    if not isinstance(does, Move):
        return None
    operations: Names = frozenset((does.served_as,)) if does.served_as else move.scope.operations
    return Scope(operations, move.scope.customers, frozenset((does.target,)))


def onward(one: Change, other: Change) -> Scope | None:
    """The part in which `other` sends on what `one` moved; None where it doesn't. Scopes are compared as they
    are, and by the target as the place where it arrives: either reading of `places` may be the planner's."""
    if not isinstance(one.does, Move) or not isinstance(other.does, Move):
        return None
    if one.does.target != other.does.source:
        return None
    there = arrived(one)
    assert there is not None
    return (None if one.does.served_as else one.scope.meets(other.scope)) or there.meets(other.scope)


def unserved(change: Change, world: World) -> Scope | None:
    """The part that a move brings to where its operation isn't served; None where there is none. Of every
    operation, those that the source serves; operations that nothing is stated of are not judged."""
    does, scope = change.does, change.scope
    if not isinstance(does, Move) or not world.serves:
        return None
    named = (
        [one for one, there in world.serves.items() if does.source in there]
        if isinstance(scope.operations, All)
        else scope.operations
    )
    wrong = frozenset(one for one in named if outside(does.served_as or one, does.target, world))
    return Scope(wrong, scope.customers, scope.places) if wrong else None


def outside(operation: str, place: str, world: World) -> bool:
    there = world.serves.get(operation)
    return there is not None and place not in there


Links = Mapping[str, frozenset[str]]
"""Of each move by name, those that send on what it brings."""


def links(moves: Sequence[Change]) -> Links:
    """Of moves that keep the operation: one that hands it over has left the ring."""
    at: dict[str, list[Change]] = {}
    for one in moves:
        if isinstance(one.does, Move) and not one.does.served_as:
            at.setdefault(one.does.source, []).append(one)
    found = {}
    for ones in at.values():
        for one in ones:
            assert isinstance(one.does, Move)
            found[one.name] = frozenset(c.name for c in at.get(one.does.target, ()) if onward(one, c))
    return found


def round_about(names: set[str], to: Links) -> set[str]:
    """Of `names` those of a ring, or that lead from one ring to another; empty where there is none."""
    kept = set(names)
    while True:
        led_to = {far for near in kept for far in to[near] if far in kept}
        left = {one for one in led_to if to[one] & led_to}
        if left == kept:
            return kept
        kept = left
