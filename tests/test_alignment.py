"""Clocks that disagree, drift and step, under ties that are partly wrong: what is placed and what is not."""

from __future__ import annotations

from random import Random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from ringshift.alignment import Alignment, Ticking, Tie, agreed, align

S, MS = 10**9, 10**6
NOON = 1_796_000_000 * S


class Clocks:
    """Some runs whose true starts and rates are known, and what they see of common events."""

    def __init__(self, seed: int, count: int, seconds: int = 600, ppm: float = 200.0) -> None:
        self.random = Random(seed)
        self.seconds, self.names = seconds, [f"n{index}/r" for index in range(count)]
        self.begin = {name: NOON + self.random.randrange(60 * S) for name in self.names}
        self.rate = {name: self.random.uniform(-ppm, ppm) * 1e-6 for name in self.names}
        self.ahead = {name: self.random.randrange(-5 * S, 5 * S) for name in self.names}
        self.runs = {
            name: Ticking(self.begin[name] + self.ahead[name], 0, seconds * S) for name in self.names
        }

    def up(self, name: str, true: int) -> int:
        return round((true - self.begin[name]) * (1 + self.rate[name]))

    def tie(self, a: str, b: str, true: int, late: int = 0, within: int = 20 * MS) -> Tie:
        return Tie(a, self.up(a, true), b, self.up(b, true + late), -within, within, "event")

    def worst(self, placed: Alignment, names: list[str], reference: str) -> float:
        """Seconds by which any time of any of them is off, seen from the reference's start."""
        off = []
        for name in names:
            for share in (0.0, 0.5, 1.0):
                true = self.begin[name] + round(share * self.seconds * S)
                off.append(placed.time(name, self.up(name, true)) - true - self.ahead[reference])
        return max(map(abs, off)) / S


@settings(derandomize=True, max_examples=60, deadline=None)
@given(st.integers(0, 10**6), st.integers(2, 12))
def test_tied_clocks_are_placed_whatever_they_show(seed: int, count: int) -> None:
    clocks = Clocks(seed, count)
    hub, *others = clocks.names
    ties = [
        clocks.tie(
            hub, name, NOON + 60 * S + clocks.random.randrange(500 * S), clocks.random.randrange(20 * MS)
        )
        for name in others
        for _ in range(8)
    ]
    placed = align(clocks.runs, ties, reference=hub)
    # The reference's own drift is the scale that all are told on.
    assert clocks.worst(placed, clocks.names, hub) < 0.03 + 2e-4 * 660
    assert placed.groups == [clocks.names] or set(placed.groups[0]) == set(clocks.names)


def test_a_chain_of_ties_reaches_across_a_fleet() -> None:
    clocks = Clocks(3, 40, ppm=0.0)
    ties = [clocks.tie(a, b, NOON + 100 * S) for a, b in zip(clocks.names, clocks.names[1:], strict=False)]
    placed = align(clocks.runs, ties, reference="n0/r")
    assert clocks.worst(placed, clocks.names, "n0/r") < 0.01
    assert placed.placed["n39/r"].error > placed.placed["n1/r"].error


def test_nothing_is_guessed_where_nothing_ties() -> None:
    clocks = Clocks(5, 5)
    ties = [clocks.tie("n0/r", "n1/r", NOON + 70 * S), clocks.tie("n2/r", "n3/r", NOON + 70 * S)]
    placed = align(clocks.runs, ties)
    assert sorted(map(len, placed.groups)) == [1, 2, 2]
    assert len({placed.placed[name].group for name in clocks.names}) == 3


def test_wrong_ties_are_outvoted_and_named() -> None:
    clocks = Clocks(7, 2, ppm=0.0)
    right = [clocks.tie("n0/r", "n1/r", NOON + (60 + 7 * i) * S) for i in range(5)]
    wrong = [clocks.tie("n0/r", "n1/r", NOON + (61 + 9 * i) * S, late=(3 + i) * S) for i in range(3)]
    placed = align(clocks.runs, right + wrong, reference="n0/r")
    assert clocks.worst(placed, clocks.names, "n0/r") < 0.02
    assert {tie.b_up for tie in placed.outvoted} == {tie.b_up for tie in wrong}


def test_ties_without_a_majority_tie_nothing() -> None:
    clocks = Clocks(8, 2, ppm=0.0)
    ties = [clocks.tie("n0/r", "n1/r", NOON + 70 * S, late=5 * i * S) for i in range(4)]
    assert len(align(clocks.runs, ties).groups) == 2


def test_drift_is_learned_over_an_hour() -> None:
    clocks = Clocks(9, 2, seconds=3600)
    clocks.rate["n0/r"] = 0.0
    ties = [clocks.tie("n0/r", "n1/r", NOON + (60 + 50 * i) * S) for i in range(70)]
    placed = align(clocks.runs, ties, reference="n0/r")
    assert placed.placed["n1/r"].rate == pytest.approx(-clocks.rate["n1/r"], abs=1e-5)
    assert clocks.worst(placed, clocks.names, "n0/r") < 0.03


@pytest.mark.parametrize(
    "intervals,found",
    [
        ([(0, 2), (1, 3), (1.5, 9), (20, 21)], (1.5, 2, 3)),
        ([(0, 1), (5, 6)], (0, 1, 1)),
        ([(0, 9), (3, 4)], (3, 4, 2)),
    ],
)
def test_the_interval_that_most_share(
    intervals: list[tuple[float, float]], found: tuple[float, float, int]
) -> None:
    assert agreed(intervals) == found
