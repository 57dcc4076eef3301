"""Timelines against routing changes and each other: the two by name, the first instant, the part."""

from __future__ import annotations

from typing import Any

from ringshift.retirement.conditions import WHOLE
from ringshift.retirement.lane import plan, standing, told
from ringshift.retirement.plan import AFTER_END, Contradiction, Rule, changes, judge
from ringshift.retirement.position import Position
from ringshift.retirement.shed import Decided, key
from ringshift.retirement.timeline import Timeline, ns
from ringshift.retirement.warn import Counted
from ringshift.schedule.change import ALL, Change, Drain, Freeze, Move, Quota, Scope, World
from ringshift.schedule.rules import Rule as Routing
from ringshift.schedule.validate import Schedule
from tests.retirement.builders import (
    ANNOUNCED,
    DARK,
    DAY,
    END,
    FIRST,
    LIGHT,
    LINE,
    SECOND,
    WARNED,
    S,
    timeline,
)

OP = Scope(frozenset(("order-book",)))
ONTO = [{"from": "hall-a", "to": "hall-b"}]
WORLD = World(
    {"order-book": frozenset(("hall-a", "hall-b")), "tank-lookup": frozenset(("hall-b", "hall-c"))},
    {"hall-b": 1_000},
    {
        ("order-book", "agency", "hall-a"): 500,
        ("order-book", "depot", "hall-a"): 100,
        ("tank-lookup", "depot", "hall-b"): 600,
    },
)
MOVED = timeline(onto=ONTO)
LATE = 7 * S


def against(*others: Change, lines: tuple[Timeline, ...] = (MOVED,), world: World = WORLD) -> tuple[Any, ...]:
    found = judge(lines, others, world, LATE)
    assert isinstance(found, Contradiction), found
    beneath = found.broken.beneath if found.broken else None
    assert str(found).startswith(f"{found.first}")
    return found.rule, beneath, found.first, found.second, found.instant


def change(does: Any, start: int, end: int, scope: Scope = OP, **more: Any) -> Change:
    return Change("other", scope, does, start, end, **more)


def test_what_it_is_in_changes() -> None:
    found = {one.name: one for one in changes(MOVED, WORLD)}
    dark, first, second, end = (f"retire:order-book-1:{at}" for at in (DARK, FIRST, SECOND, END))
    names = (dark, first, second, end)
    assert found.keys() == {name + place for name in names for place in ("", ":hall-a")}
    assert found[dark] == Change(dark, OP, Quota(0), DARK, LIGHT)
    assert [found[name].does for name in names] == [Quota(left) for left in (0, 480, 240, 0)]
    moves = [found[f"{name}:hall-a"] for name in (first, second, end)]
    assert [one.does for one in moves] == [
        Move(n * WHOLE // 5, "hall-a", "hall-b", "tank-lookup") for n in (1, 2, 2)
    ]
    assert {one.end for one in moves} == {END + AFTER_END} and {one.scope for one in moves} == {OP}
    taken = timeline(steps=[{"at": "2026-05-01T00:00:00Z", "share": 1.0}])
    assert [one.start for one in changes(taken)] == [DARK, SECOND]  # the end adds nothing to a whole


def test_one_alone_is_accepted_and_what_is_elsewhere_beside_it() -> None:
    narrow = World(WORLD.serves, {"hall-b": 1_200}, WORLD.load)
    assert isinstance(judge([MOVED], [], narrow, LATE), Schedule)
    elsewhere = Scope(frozenset(("tank-lookup",)), ALL, frozenset(("hall-c",)))
    apart = [change(Freeze(), ANNOUNCED, END, elsewhere)]
    assert isinstance(judge([MOVED], apart, narrow, LATE), Schedule)
    before = [change(Freeze(), WARNED, DARK - LATE)]
    assert isinstance(judge([MOVED], before, narrow, LATE), Schedule)


def test_a_ramp_that_the_successors_place_can_not_take() -> None:
    """600 of 1,000 are in use, 600 come in all: a brownout of all is too much, or what passes 400."""
    dark = f"retire:order-book-1:{DARK}:hall-a"
    assert against() == (Rule.ROUTING, Routing.CAPACITY, dark, dark, DARK)
    calm = timeline(onto=ONTO, brownouts=None)
    second, end = (f"retire:order-book-1:{at}:hall-a" for at in (SECOND, END))
    assert against(lines=(calm,)) == (Rule.ROUTING, Routing.CAPACITY, *sorted((second, end)), END)
    busy = change(Move(WHOLE // 2, "hall-c", "hall-b"), FIRST, END, Scope(frozenset(("other",))))
    load = World(WORLD.serves, WORLD.capacity, {**WORLD.load, ("other", "depot", "hall-c"): 300})
    assert against(busy, lines=(calm,), world=load)[1:] == (Routing.CAPACITY, "other", second, SECOND)


def test_a_freeze_over_a_brownout_or_a_step() -> None:
    dark, first = f"retire:order-book-1:{DARK}", f"retire:order-book-1:{FIRST}"
    calm = World(WORLD.serves)
    over = change(Freeze(), DARK - DAY, DARK + 1)
    assert against(over, world=calm) == (Rule.ROUTING, Routing.FROZEN, "other", dark, DARK)
    near = change(Freeze(), DARK - DAY, DARK - LATE + 1)  # one backend is in it yet as another begins
    assert against(near, world=calm) == (Rule.ROUTING, Routing.FROZEN, "other", dark, DARK)
    here = change(Freeze(), FIRST, FIRST + DAY, Scope(ALL, ALL, frozenset(("hall-b",))))
    assert against(here, world=calm)[2:] == ("other", first, FIRST)


def test_a_routing_change_of_the_operation() -> None:
    calm, first = World(WORLD.serves), f"retire:order-book-1:{FIRST}:hall-a"
    away = change(Move(WHOLE // 10, "hall-a", "hall-c"), FIRST + DAY, FIRST + 2 * DAY)
    assert against(away, world=calm) == (Rule.ROUTING, Routing.TWO_WAYS, "other", first, FIRST + DAY)
    drained = change(Drain("hall-b"), SECOND - DAY, SECOND - 1)
    assert against(drained, world=calm) == (Rule.ROUTING, Routing.INTO_DRAINED, "other", first, SECOND - DAY)
    new = Scope(frozenset(("tank-lookup",)))
    sent_on = change(Move(WHOLE // 2, "hall-b", "hall-c"), FIRST + DAY, FIRST + 2 * DAY, new)
    assert against(sent_on, world=calm)[1:] == (Routing.CHAINED, "other", first, FIRST + DAY)
    emptied = change(Drain("hall-b"), SECOND - DAY, SECOND - 1, new)
    assert against(emptied, world=calm)[1] is Routing.INTO_DRAINED
    along = change(Move(WHOLE // 2, "hall-a", "hall-b"), FIRST, SECOND + DAY)
    assert against(along, world=calm)[1] is Routing.SHARES


def line(name: str, operation: str, successor: str, months: int = 0) -> Timeline:
    """The made timeline, so many months later."""
    text = {
        field: f"2026-{month + months:02}-01T00:00:00Z"
        for field, month in (("announced", 1), ("warned_from", 2), ("end", 6))
    }
    steps = [{"at": f"2026-{4 + months:02}-01T00:00:00Z", "share": 0.5}]
    return timeline(name=name, operation=operation, successor=successor, steps=steps, brownouts=[], **text)


def test_a_successor_that_is_itself_retired() -> None:
    old, new = line("a", "order-book", "tank-lookup"), line("b", "tank-lookup", "tank-search", 4)
    bare = World()
    assert against(lines=(new, old), world=bare) == (Rule.RETIRED, None, "a", "b", ns(new.announced))
    later = line("b", "tank-lookup", "tank-search", 6)
    assert isinstance(judge([old, later], [], bare, LATE), Schedule)
    circle = line("b", "tank-lookup", "order-book", 6)  # b's successor has ended long before
    assert against(lines=(old, circle), world=bare) == (Rule.RETIRED, None, "a", "b", ns(circle.announced))
    near = timeline(
        name="b",
        operation="tank-lookup",
        successor="x",
        announced="2026-06-01T00:00:06Z",
        warned_from="2026-06-01T00:00:06Z",
        end="2027-06-01T00:00:00Z",
        brownouts=[],
        steps=[{"at": "2027-01-01T00:00:00Z", "share": 0.5}],
    )
    assert against(lines=(old, near), world=bare)[0] is Rule.RETIRED  # a backend may be that late


def test_two_timelines_of_one_operation() -> None:
    one, other = line("a", "order-book", "tank-lookup"), line("b", "order-book", "tank-search", 2)
    told = (Rule.TWO_OF_ONE, None, "a", "b", ns(other.announced))
    assert against(lines=(one, other), world=World()) == told == against(lines=(other, one), world=World())


def test_places_that_do_not_serve_the_successor() -> None:
    first = (Rule.UNPLACED, None, "order-book-1", "order-book-1", DARK)
    assert against(lines=(LINE,)) == first
    wrong = timeline(onto=[{"from": "hall-a", "to": "hall-d"}])
    assert against(lines=(wrong,), world=World(WORLD.serves)) == first
    nowhere = World({**WORLD.serves, "tank-lookup": frozenset()})
    assert against(world=nowhere)[0] is Rule.NOWHERE
    both = timeline(onto=[*ONTO, {"from": "hall-b", "to": "hall-c"}])  # where order-book isn't served
    assert isinstance(judge([both], [], World(WORLD.serves), LATE), Schedule)
    found = judge([LINE], [], WORLD, LATE)
    assert isinstance(found, Contradiction)
    assert found.part == Scope(OP.operations, ALL, frozenset(("hall-a",)))
    assert str(found).startswith(f"order-book-1 contradict at {DARK} ns (unplaced): ")


def test_the_plan_and_the_standing_as_they_are_shown() -> None:
    lines = list(told(LINE))
    assert lines[2] == "2026-03-01T08:00:00Z brownout 100% turned away for 7200 s"
    assert lines[3] == "2026-04-01T00:00:00Z step 1 20% turned away, held for 86400 s at least"
    assert lines[-1] == "2026-06-01T00:00:00Z end 100% turned away"
    assert [mark.at for mark in plan(LINE)] == sorted(mark.at for mark in plan(LINE))
    decided = Decided(7, key(LINE), 1, 200_000, 0, frozenset((1, 2)))
    one = Position(decided, "PAUSED", FIRST, why="bad, unheard")
    counts = {1: Counted(9, WARNED, FIRST), 3: Counted(1, FIRST, FIRST)}
    found = standing(LINE, one, counts, SECOND + DAY, stopped=True)
    assert (found.phase, found.planned, found.shed) == ("PAUSED", "HOLDING", 2)
    assert (found.rung, found.planned_rung) == (1, 2)
    assert (found.late, found.counted, found.short, found.stopped) == (DAY, 2, 1, True)
    assert standing(LINE, one, counts, SECOND - 1).late == 0
