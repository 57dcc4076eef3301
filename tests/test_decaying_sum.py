"""The decaying sum and its mean, against their definition over all values that were ever added."""

from __future__ import annotations

from math import exp, isclose

from hypothesis import given
from hypothesis import strategies as st

from ringshift.decaying_sum import DecayingSum

SECOND = 10**9
VALUES = st.lists(st.tuples(st.integers(0, 5 * SECOND), st.floats(-100, 100)), max_size=40)


@given(VALUES, st.integers(1, 20 * SECOND), st.floats(0, 10), st.integers(0, 30 * SECOND))
def test_sum_and_mean_are_those_of_values_weighted_by_their_age(
    values: list[tuple[int, float]], span: int, prior: float, later: int
) -> None:
    decaying, now, added = DecayingSum(span, prior), 0, list[tuple[int, float]]()
    for after, value in values:
        now += after
        decaying.add(now, value)
        added.append((now, value))
    now += later
    weights = [exp((at - now) / span) for at, _ in added]
    expected = sum(weight * value for weight, (_, value) in zip(weights, added, strict=True))
    assert isclose(decaying.sum(now), expected, rel_tol=1e-9, abs_tol=1e-6)
    assert isclose(decaying.mean(now), (expected + prior) / (sum(weights) + 1), rel_tol=1e-9, abs_tol=1e-6)


def test_without_new_values_the_mean_returns_to_the_prior_and_the_sum_to_none() -> None:
    decaying = DecayingSum(SECOND, prior=0.5)
    for _ in range(100):
        decaying.add(0, 3.0)
    assert decaying.mean(0) > 2.9
    assert isclose(decaying.mean(60 * SECOND), 0.5) and decaying.sum(60 * SECOND) < 1e-9


def test_an_earlier_moment_changes_nothing() -> None:
    decaying = DecayingSum(SECOND)
    decaying.add(5 * SECOND, 1.0)
    assert decaying.sum(SECOND) == 1.0
