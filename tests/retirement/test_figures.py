"""Figures of the last stretch, and findings by fresh ones alone: each row of the findings' table."""

from __future__ import annotations

import pytest

from ringshift.retirement.conditions import Conditions
from ringshift.retirement.figures import Figures, Tally
from ringshift.retirement.judge import Finding, Freshness, Summed, judge, summed
from tests.retirement.builders import S

CONDITIONS = Conditions(least_answers=100)


def test_a_stretch_forgets_by_halves() -> None:
    tally = Tally(10 * S, 0)
    tally.decided(frozenset((1, 2)))
    tally.answered(0)
    tally.answered(1, shed=True)
    tally.succeeded(2, caller=1)
    tally.succeeded(3, caller=2, error=True)
    tally.succeeded(4, caller=9)
    told = Figures(3, old=1, new=3, errors=1, shed=1, moved=frozenset((1,)))
    assert tally.figures(5 * S, 3) == told == tally.figures(10 * S - 1, 3)
    assert tally.figures(10 * S, 3) == Figures(3, moved=frozenset((1,)))
    tally.answered(11 * S)
    assert tally.figures(40 * S, 3).old == 0
    tally.decided(frozenset((2,)))
    assert tally.figures(40 * S, 4).moved == frozenset()


def fleet(**changed: int) -> Summed:
    told = {
        "known": 10,
        "fresh": 9,
        "behind": 0,
        "old": 400,
        "new": 600,
        "errors": 0,
        "shed": 9,
        "moved": 40,
        "ready": 50,
        **changed,
    }
    return Summed(**told)


@pytest.mark.parametrize(
    ("told", "share", "finding"),
    [
        (fleet(fresh=8), 500_000, Finding.UNHEARD),
        (fleet(fresh=8, errors=600), 500_000, Finding.UNHEARD),
        (fleet(known=0, fresh=0), 0, Finding.UNHEARD),
        (fleet(errors=60), 500_000, Finding.WORSE),
        (fleet(errors=59), 500_000, Finding.BAD),
        (fleet(errors=18), 500_000, Finding.BAD),
        (fleet(errors=17), 500_000, Finding.BETWEEN),
        (fleet(errors=6), 500_000, Finding.BETWEEN),
        (fleet(errors=5), 500_000, Finding.GOOD),
        (fleet(new=99, errors=99), 500_000, Finding.UNPROVEN),
        (fleet(new=99, errors=99, ready=0, moved=0), 500_000, Finding.GOOD),
        (fleet(new=99), 0, Finding.GOOD),
        (fleet(old=601, new=399), 500_000, Finding.UNSERVED),
        (fleet(old=600, new=400), 500_000, Finding.GOOD),
        (fleet(moved=39), 500_000, Finding.UNMOVED),
    ],
)
def test_each_finding_at_its_edge(told: Summed, share: int, finding: Finding) -> None:
    assert judge(told, CONDITIONS, share) is finding


def test_a_row_counts_once_it_was_seen_to_change_and_for_as_long_as_stated() -> None:
    fresh = Freshness(10)
    row = Figures(4, new=7)
    assert fresh.look(0, {"a": (5, row), "b": (9, row)}).figures == {}  # of any age
    seen = fresh.look(3, {"a": (6, row), "b": (9, row), "c": (1, row)})
    assert seen.figures == {"a": row} and seen.known == 3 and seen.highest == 4
    assert fresh.look(13, {"a": (6, row), "b": (8, row)}).figures == {"a": row}  # b's: a restored keeper
    assert fresh.look(14, {"a": (6, row), "b": (10, row)}).figures == {"b": row}


def test_callers_moved_are_counted_once_over_the_fleet() -> None:
    rows = {"a": (2, Figures(4, moved=frozenset((1, 2)))), "b": (2, Figures(3, moved=frozenset((2, 3, 9))))}
    fresh = Freshness(10)
    fresh.look(0, {name: (1, told) for name, (_, told) in rows.items()})
    told = summed(fresh.look(1, rows), 4, frozenset((1, 2, 3, 5)))
    assert (told.moved, told.ready, told.behind, told.fresh) == (3, 4, 1, 2)


def test_whoever_is_not_turned_away_any_more_is_told_until_the_keeper_has_it_down() -> None:
    tally = Tally(10 * S, 0)
    tally.decided(frozenset({1, 2, 3}))
    assert tally.figures(0, 1).owed == frozenset()
    tally.decided(frozenset({2}))
    tally.decided(frozenset())
    assert tally.figures(0, 3).owed == {1, 2, 3}
    tally.down(frozenset({1, 9}))
    assert tally.figures(0, 3).owed == {2, 3}
    tally.decided(frozenset({2}))
    assert tally.figures(0, 4).owed == {3}
