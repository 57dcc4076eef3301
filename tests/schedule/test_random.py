"""Random sets on small grids: the validator and the brute force give one verdict, instant, pair and part."""

from __future__ import annotations

import os

from hypothesis import HealthCheck, Phase, given, settings
from hypothesis import strategies as st

from ringshift.schedule.change import (
    ALL,
    WHOLE,
    Change,
    Does,
    Drain,
    Freeze,
    Move,
    Names,
    Quota,
    Scope,
    World,
)
from ringshift.schedule.validate import Schedule, validate
from standins.checkers.schedule import check
from tests.schedule.against import compare

NAMES = "abcde"
PLACES = ("p", "q", "r")


def some(names: tuple[str, ...]) -> st.SearchStrategy[Names]:
    return st.sampled_from((ALL, ALL, *(frozenset(ones) for ones in (names, names[:1], names[1:]))))


SCOPES = st.builds(Scope, some(("x", "y")), some(("k", "l")), some(PLACES))
SUMMED = (("p", "q"), ("r", "q"), ("p", "q")), (("p", "q"),)  # ways along which nothing but a sum is too much
WAYS = (
    *SUMMED,
    *SUMMED,
    (("p", "q"), ("q", "r"), ("r", "p")),
    tuple((a, b) for a in PLACES for b in PLACES if a != b),
)
OTHERS: list[Does] = [*map(Drain, PLACES), Quota(5), Freeze()]
MOVES = {
    ways: st.builds(
        lambda share, way, becomes: Move(share * WHOLE // 10, way[0], way[1], becomes),
        st.sampled_from((1, 3, 4, 6, 10)),
        st.sampled_from(ways),
        st.sampled_from((*[""] * 9, "y")),
    )
    for ways in WAYS
}
# Requirements are rare: broken ones hide the rest.
AFTER = st.sampled_from((*[frozenset[str]()] * 60, *(frozenset(name) for name in NAMES)))
LEFT = st.sampled_from(({}, {}, {"p": 2}, {"q": 4}))
CELLS = [(o, c, p) for o in "xy" for c in "kl" for p in "pqr"]
WORLDS = st.builds(
    World,
    st.sampled_from(("p", "q", "pq", "pqr", "pqr", "pqr")).map(
        lambda x: {"x": frozenset(x), "y": frozenset(PLACES)}
    ),
    st.dictionaries(st.sampled_from(PLACES), st.integers(3, 40), max_size=2),
    st.dictionaries(st.sampled_from(CELLS), st.integers(1, 9), max_size=5),
)


@st.composite
def sets(draw: st.DrawFn) -> list[Change]:
    told, ways = [], draw(st.sampled_from(WAYS))
    for name in NAMES[: draw(st.integers(1, 5))]:
        start = draw(st.integers(0, 9))
        long = draw(st.integers(2, 12 - start)) if start < 10 else 2
        ramp_in = draw(st.integers(0, long - 1))
        does = draw(MOVES[ways] if draw(st.integers(0, 3)) else st.sampled_from(OTHERS))
        told.append(
            Change(
                name,
                draw(SCOPES),
                does,
                start,
                start + long,
                ramp_in,
                draw(st.integers(0, long - ramp_in)),
                draw(AFTER) - {name},
                draw(LEFT),
            )
        )
    return told


@settings(
    max_examples=int(os.environ.get("SCHEDULE_EXAMPLES", "1200")),
    derandomize=True,
    deadline=None,
    database=None,
    phases=(Phase.generate,),
    suppress_health_check=list(HealthCheck),
)
@given(sets(), WORLDS, st.integers(0, 3))
def test_the_validator_and_the_brute_force_agree(changes: list[Change], world: World, late: int) -> None:
    compare(validate(changes, world, late), changes, world, late)
    schedule = Schedule(world, late)
    kept: list[Change] = []
    for change in changes:  # one by one, what is refused left out
        found = schedule.add(change)
        if found:
            compare(found, [*kept, change], world, late)
        else:
            assert check([*kept, change], world, late) is None
        kept += [] if found else [change]
