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
from tests.schedule.against import compare

HALF = Move(WHOLE // 2, "p", "q")
X = Scope(frozenset("x"))
WORLD = World({"x": frozenset("pqr")}, {"q": 100}, {("x", "k", "p"): 60})


def change(name: str, does: Any, start: int, end: int, ramp: tuple[int, int] = (0, 0), **more: Any) -> Change:
    return Change(name, more.pop("scope", X), does, start, end, *ramp, **more)


def verdict(*changes: Change, late: int = 0, world: World = WORLD) -> str:
    found = validate(changes, world, late)
    compare(found, changes, world, late)
    if not isinstance(found, Broken):
        return ""
    return f"{found.rule.name} {found.first} {found.second} {found.instant}"


@pytest.mark.parametrize(
    ("other", "told"),
    [
        (change("b", Move(1, "p", "r"), 5, 20), "TWO_WAYS a b 5"),
        (change("b", Move(1, "q", "p"), 5, 20), "TWO_WAYS a b 5"),
        (change("b", Move(1, "p", "r"), 10, 20), ""),  # touches
        (change("b", Move(1, "p", "r"), 5, 20, scope=Scope(frozenset("y"))), ""),
        (change("b", Move(1, "q", "r"), 5, 20), "CHAINED a b 5"),
        (change("b", Move(1, "r", "p"), 5, 20), "CHAINED a b 5"),
        (change("b", Move(1, "q", "r"), 10, 20), ""),
        (change("b", Move(1, "q", "r"), 5, 20, scope=Scope(ALL, ALL, frozenset("q"))), "CHAINED a b 5"),
        (change("b", Move(1, "q", "r"), 5, 20, scope=Scope(frozenset("y"))), ""),
        (change("b", Move(1, "r", "q", "z"), 5, 20), ""),
        (
            change("b", Move(1, "r", "p", "z"), 5, 20),
            "",
        ),  # arrives as another operation, of which nothing moves
        (change("b", Move(1, "r", "p", "x"), 5, 20, scope=Scope(frozenset("y"))), "CHAINED a b 5"),
        (change("b", Move(1, "r", "s"), 5, 20), "UNSERVED b b 5"),
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
    ],
)
def test_two_changes(other: Change, told: str) -> None:
    first = change("a", HALF, 0, 12 if "SHARES" in told else 10)
    assert verdict(first, other) == verdict(other, first) == told


@pytest.mark.parametrize("gap", [2, 3])
def test_windows_closer_than_late_are_refused_on_both_edges(gap: int) -> None:
    first, second = change("a", HALF, 0, 10), change("b", Drain("q"), 10 + gap, 20)
    assert verdict(first, second, late=3) == ("CLOSE a b 12" if gap < 3 else "")
    first, second = change("a", Drain("q"), 0, 10), change("b", HALF, 10 + gap, 20)
    assert verdict(first, second, late=3) == ("CLOSE a b 12" if gap < 3 else "")


def test_what_a_chain_of_moves_brings_is_not_left_uncounted() -> None:
    """80 at p and at q, whole moves on to r that can take 100: q would send on what came from p."""
    world = World({}, {"r": 100}, {("x", "k", "p"): 80, ("x", "k", "q"): 80})
    into, on = change("a", Move(WHOLE, "p", "q"), 0, 10), change("b", Move(WHOLE, "q", "r"), 5, 10)
    assert verdict(into, on, world=world) == "CHAINED a b 5"
    assert verdict(into, change("b", Move(WHOLE, "q", "r"), 10, 20), world=world) == ""


def test_a_ring_of_moves() -> None:
    ways = ("a", "p", "q"), ("b", "q", "r"), ("c", "r", "p")
    ring = [change(name, Move(WHOLE, *way), at, 20) for at, (name, *way) in enumerate(ways, start=4)]
    assert verdict(*ring) == "CHAINED a b 5"  # it began to be one there, and the ring would close later
    at_once = [change(name, Move(WHOLE, *way), 4, 20) for name, *way in ways]
    assert verdict(*at_once) == "RING a b 4"
    back = [
        change(name, Move(WHOLE, a, b), 4, 20, scope=Scope(ALL, ALL, frozenset(a)))
        for name, a, b in (("a", "p", "q"), ("b", "q", "p"))
    ]
    assert verdict(*back) == "RING a b 4"  # each where the other's callers don't arrive


def test_a_place_that_does_not_serve_the_operation() -> None:
    world = World({"x": frozenset("pq"), "y": frozenset("q"), "z": frozenset("qr")})
    scopes = {X: True, Scope(): True, Scope(frozenset("xz")): True, Scope(frozenset("zn")): False}
    for scope, wrong in scopes.items():
        told = verdict(change("a", Move(1, "p", "r"), 3, 9, scope=scope), world=world)
        assert told == "UNSERVED a a 3" * wrong
    calm = World({"y": frozenset("q"), "z": frozenset("qr")})
    assert verdict(change("a", Move(1, "p", "r"), 3, 9, scope=Scope()), world=calm) == ""  # p has no y
    assert verdict(change("a", Move(1, "p", "r", "z"), 3, 9), world=world) == ""
    assert (
        verdict(change("a", Move(1, "p", "r", "y"), 3, 9, scope=Scope(frozenset("z"))), world=world)
        == "UNSERVED a a 3"
    )


K = Scope(ALL, frozenset("k"))
THIRD = Move(WHOLE // 3 + 1, "p", "q")


@pytest.mark.parametrize(
    ("changes", "told", "part"),
    [
        # Two thirds hold for all but k: only there they are too much, with the half.
        (
            [
                change("a", HALF, 0, 9, scope=K),
                change("b", THIRD, 0, 9, scope=Scope()),
                change("d", THIRD, 0, 9, scope=Scope()),
            ],
            "SHARES a b 0",
            K,
        ),
        (
            [
                change("a", THIRD, 0, 9, scope=Scope()),
                change("b", THIRD, 0, 9, scope=Scope()),
                change("d", HALF, 0, 9, scope=K),
            ],
            "SHARES a b 0",
            K,
        ),
        # The last begun is not needed for it.
        (
            [
                change("a", Move(900_000, "p", "q"), 0, 9),
                change("b", Move(900_000, "p", "q"), 3, 9, scope=K),
                change("d", Move(1, "p", "q"), 3, 9),
            ],
            "SHARES a b 3",
            Scope(frozenset("x"), frozenset("k")),
        ),
        (
            [
                change("a", Drain("p"), 0, 9, scope=Scope()),
                change("b", Drain("q"), 0, 9, scope=K),
                change("d", Drain("r"), 2, 9),
            ],
            "LAST_PLACE a d 2",
            Scope(frozenset("x"), frozenset("k")),
        ),
        (
            [change("a", HALF, 0, 9, left={"q": 90}), change("b", Quota(1), 1, 9, left={"q": 1})],
            "CAPACITY a a 0",
            Scope(ALL, ALL, frozenset("q")),
        ),
        (
            [change("a", HALF, 0, 9, scope=Scope()), change("b", Move(1, "q", "r"), 0, 9, scope=K)],
            "CHAINED a b 0",
            K,
        ),
        (
            [change("a", HALF, 0, 9, scope=Scope()), change("b", Move(1, "r", "s"), 0, 9, scope=Scope())],
            "UNSERVED b b 0",
            X,
        ),
    ],
)
def test_the_two_named_and_the_part_are_those_that_break_it(
    changes: list[Change], told: str, part: Scope
) -> None:
    assert verdict(*changes) == told and verdict(*reversed(changes)) == told
    found = validate(changes, WORLD, 0)
    assert isinstance(found, Broken) and found.part == part and f"; {part})" in str(found)


def test_those_that_it_needs_beside_the_two_are_told() -> None:
    found = validate([change(name, THIRD, 0, 9) for name in "abd"], WORLD, 0)
    assert isinstance(found, Broken) and (found.first, found.second, found.beside) == ("a", "b", ("d",))
    assert str(found).startswith("a and b, with d, contradict at 0 ns (shares; operations x): ")


def test_last_place() -> None:
    one = change("a", Drain("p"), 0, 9)
    other = change("b", Drain("q"), 4, 9, scope=Scope(ALL, frozenset("k")))
    assert verdict(one, other, world=World({"x": frozenset("pq")})) == "LAST_PLACE a b 4"
    apart = [
        change(name, Drain(place), 4, 9, scope=Scope(ALL, ALL, frozenset(place)))
        for name, place in (("a", "p"), ("b", "q"))
    ]
    assert verdict(*apart, world=World({"x": frozenset("pq")})) == "LAST_PLACE a b 4"  # each of its own
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
        "CAPACITY a b 51"
    )


@pytest.mark.parametrize(
    ("field", "wrong"),
    [
        ("end", {"end": 0}),
        ("end", {"end": 1}),
        ("ramp_in", {"ramp": (-1, 0)}),
        ("ramp_in", {"ramp": (10, 0)}),
        ("ramp_out", {"ramp": (6, 5)}),
        ("after", {"after": frozenset("a")}),
        ("left", {"left": {"p": 0}}),
        ("name", {"name": ""}),
    ],
)
def test_a_wrong_field_is_named(field: str, wrong: dict[str, Any]) -> None:
    with pytest.raises(ChangeError, match=f"^{field}:"):
        told: dict[str, Any] = {"name": "a", "does": HALF, "start": 0, "end": 10} | wrong
        change(**told)


def test_wrong_scopes_moves_and_names_twice() -> None:
    for field, make in (
        ("scope.places", lambda: Scope(places=frozenset())),
        ("does.share", lambda: Move(0, "p", "q")),
        ("name", lambda: validate([change("a", HALF, 0, 5)] * 2, WORLD, 0)),
    ):
        with pytest.raises(ChangeError, match=f"^{field}:"):
            make()
