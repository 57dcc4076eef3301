"""Each rule and boundary by a plain case."""

from __future__ import annotations

from typing import Any

import pytest

from ringshift.schedule.change import (
    ALL,
    WHOLE,
    Change,
    ChangeError,
    Drain,
    Freeze,
    Move,
    Quota,
    Scope,
    World,
)
from ringshift.schedule.rules import Broken
from ringshift.schedule.validate import validate

HALF = Move(WHOLE // 2, "p", "q")
X = Scope(frozenset("x"))
WORLD = World({"x": frozenset("pq")}, {"q": 100}, {("x", "k", "p"): 60})


def change(name: str, does: Any, start: int, end: int, ramp: tuple[int, int] = (0, 0), **more: Any) -> Change:
    return Change(name, more.pop("scope", X), does, start, end, *ramp, **more)


def verdict(*changes: Change, late: int = 0, world: World = WORLD) -> str:
    found = validate(changes, world, late)
    if not isinstance(found, Broken):
        return ""
    return f"{found.rule.name} {found.first} {found.second} {found.instant}"


@pytest.mark.parametrize(("other", "told"), [
    (change("b", Move(1, "p", "r"), 5, 20), "TWO_WAYS a b 5"),
    (change("b", Move(1, "q", "p"), 5, 20), "TWO_WAYS a b 5"),
    (change("b", Move(1, "p", "r"), 10, 20), ""),  # touches
    (change("b", Move(1, "p", "r"), 5, 20, scope=Scope(frozenset("y"))), ""),
    (change("b", Drain("q"), 3, 20), "INTO_DRAINED a b 3"),
    (change("b", Drain("p"), 3, 20), ""),
    (change("b", Freeze(), 9, 20), "FROZEN a b 9"),
    (change("b", Freeze(), 9, 20, scope=Scope(ALL, ALL, frozenset("r"))), "FROZEN a b 9"),
    (change("b", Quota(3), 0, 20), ""),
    (change("b", HALF, 0, 20), ""),
    (change("b", Move(600_000, "p", "q"), 2, 20, (10, 0)), "SHARES a b 11"),
    (change("b", Quota(1), 9, 20, after=frozenset("a")), "ENDS_LATE a b 9"),
    (change("b", Quota(1), 10, 20, after=frozenset("a")), ""),
    (change("b", Quota(1), 10, 20, after=frozenset("z")), "ENDS_LATE b z 10"),
    (change("b", Quota(1), 2, 20, left={"q": 70}), ""),
    (change("b", Quota(1), 2, 20, left={"q": 71}), "CAPACITY a b 2"),
])  # fmt: skip
def test_two_changes(other: Change, told: str) -> None:
    first = change("a", HALF, 0, 12 if "SHARES" in told else 10)
    assert verdict(first, other) == verdict(other, first) == told


@pytest.mark.parametrize("gap", [2, 3])
def test_windows_closer_than_late_are_refused_on_both_edges(gap: int) -> None:
    first, second = change("a", HALF, 0, 10), change("b", Drain("q"), 10 + gap, 20)
    assert verdict(first, second, late=3) == ("CLOSE a b 12" if gap < 3 else "")
    first, second = change("a", Drain("q"), 0, 10), change("b", HALF, 10 + gap, 20)
    assert verdict(first, second, late=3) == ("CLOSE a b 12" if gap < 3 else "")


def test_last_place() -> None:
    one = change("a", Drain("p"), 0, 9)
    other = change("b", Drain("q"), 4, 9, scope=Scope(ALL, frozenset("k")))
    assert verdict(one, other) == "LAST_PLACE a b 4"
    assert verdict(one) == ""
    assert verdict(one, world=World({"x": frozenset("p")})) == "LAST_PLACE a a 0"


def test_a_cycle() -> None:
    told = ("a", "b", 0), ("b", "a", 9)
    ones = [change(a, Quota(1), at, at + 5, after=frozenset(b)) for a, b, at in told]
    assert verdict(*ones) == "CYCLE a b 0"


def test_ramps_over_a_capacity_between_the_edges_of_their_windows() -> None:
    falls = change("a", Move(WHOLE, "p", "q"), 0, 100, (0, 100))
    rises = change("b", Move(WHOLE, "r", "q"), 0, 100, (50, 0))
    world = World({}, {"q": 100}, {("x", "k", "p"): 100, ("x", "k", "r"): 90})
    assert verdict(falls, rises, world=world) == "CAPACITY a b 1"
    mild = World({}, {"q": 100}, {("x", "k", "p"): 100, ("x", "k", "r"): 50})
    assert verdict(falls, rises, world=mild) == ""
    peak = change("b", Move(WHOLE, "r", "q"), 40, 80, (20, 20))  # nothing of it at either edge of its window
    hold = change("a", Move(WHOLE, "p", "q"), 0, 100)
    assert verdict(hold, peak, world=World({}, {"q": 130}, {("x", "k", "p"): 100, ("x", "k", "r"): 60})) == (
        "CAPACITY a b 51")


@pytest.mark.parametrize(("field", "wrong"), [
    ("end", {"end": 0}), ("end", {"end": 1}), ("ramp_in", {"ramp": (-1, 0)}), ("ramp_in", {"ramp": (10, 0)}),
    ("ramp_out", {"ramp": (6, 5)}),
    ("after", {"after": frozenset("a")}), ("left", {"left": {"p": 0}}), ("name", {"name": ""}),
])  # fmt: skip
def test_a_wrong_field_is_named(field: str, wrong: dict[str, Any]) -> None:
    with pytest.raises(ChangeError, match=f"^{field}:"):
        told: dict[str, Any] = {"name": "a", "does": HALF, "start": 0, "end": 10} | wrong
        change(**told)


def test_wrong_scopes_moves_and_names_twice() -> None:
    for field, make in (("scope.places", lambda: Scope(places=frozenset())),
                        ("does.share", lambda: Move(0, "p", "q")),
                        ("name", lambda: validate([change("a", HALF, 0, 5)] * 2, WORLD, 0))):  # fmt: skip
        with pytest.raises(ChangeError, match=f"^{field}:"):
            make()
