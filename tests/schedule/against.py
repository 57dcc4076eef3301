"""What the validator tells against what the brute force does: verdict, instant, the two and the part."""

from __future__ import annotations

from collections.abc import Sequence

from ringshift.schedule.change import Change, Freeze, Scope, World
from ringshift.schedule.rules import Broken, Rule
from ringshift.schedule.validate import Schedule
from standins.checkers.schedule import Point, covers, every_point, judged


def told(found: Schedule | Broken) -> tuple[int, str, str, str, bool] | None:
    if isinstance(found, Schedule):
        return None
    return found.instant, found.beneath.name.lower(), found.first, found.second, found.rule is Rule.CLOSE


def points_of(part: Scope, changes: Sequence[Change], world: World) -> frozenset[Point]:
    covering = Change("part", part, Freeze(), 0, 2)
    return frozenset(one for one in every_point(changes, world) if covers(covering, one))


def compare(found: Schedule | Broken, changes: Sequence[Change], world: World, late: int) -> None:
    brute = judged(changes, world, late)
    assert told(found) == (brute[0] if brute else None)
    if isinstance(found, Broken):
        assert brute is not None and points_of(found.part, changes, world) in brute[1], found
