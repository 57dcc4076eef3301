"""A budget of a rate: in no window the fleet begins more than the whole and the bursts, in emulated time.

On sockets: tests/test_shares.py."""

from __future__ import annotations

from random import Random

import pytest

from ringshift.control.shares import Shares
from ringshift.fleet.budget import MS, Budget, S
from ringshift.interface import Unit
from standins.fleet.emulated import Trouble
from standins.fleet.emulated_rate import RateWorld
from standins.fleet.planted import planted

TERMS = Budget(
    "orders", Unit.RATE, 200, 8, 1, operation="order", life=3 * S, refresh=300 * MS, margin=0, longest=0
)
ROUGH = Trouble(
    loss=0.05,
    delay=100 * MS,
    stalls=0.05,
    crashes=0.02,
    cuts=0.05,
    leaves=0.05,
    joins=0.5,
    failovers=0.1,
    skew_ppm=10_000,
)


def demand(random: Random) -> float:
    return random.choice([0.0, 5.0, 40.0, 500.0, 500.0])


def played(seed: int, trouble: Trouble = ROUGH, **more: object) -> RateWorld:
    world = RateWorld(TERMS, seed, trouble, demand=demand, **more)  # type: ignore[arg-type]
    world.run(40 * S)
    return world


@pytest.mark.parametrize("seed", range(6))
def test_no_window_is_over_the_whole_and_the_bursts_in_emulated_time(seed: int) -> None:
    world = played(seed)
    for span in (100 * MS, 1 * S, 5 * S, 20 * S):
        assert world.beyond(span) == []
    # Not vacuous: with all that trouble half of the whole was used in some second.
    assert max(sum(at <= one < at + S for one in world.began) for at in range(0, 39 * S, S)) >= 100


def test_a_fleet_at_rest_begins_the_whole_and_a_tenth_of_a_second_of_it() -> None:
    world = RateWorld(TERMS, 1, Trouble(), start=8, demand=lambda random: 500.0)
    world.run(40 * S)
    begin, end = 10 * S, 40 * S
    began = sum(begin <= at < end for at in world.began)
    assert world.excess(begin, end) == pytest.approx(20.0)  # 0.1 s of 200 a second, and no share moved
    assert 0.98 * 30 * 200 <= began <= 30 * 200 + 20


def test_the_windows_are_not_blind(monkeypatch: pytest.MonkeyPatch) -> None:
    """Tokens of twice the share are seen; so is a grant kept without contact, as the rest divide it anew."""
    bound = Shares.bound
    monkeypatch.setattr(Shares, "bound", lambda self, *unit: 2 * bound(self, *unit))
    twice = RateWorld(TERMS, 1, Trouble(), demand=lambda random: 500.0)
    twice.run(10 * S)
    monkeypatch.undo()
    # The world's word of rates is the decisions' own: the bursts it allows are twice as large as well.
    assert twice.beyond(5 * S)
    cut = Trouble(cuts=0.2, failovers=0.02, lasting=15 * S)
    with planted("no_fall"):
        found = next((seed for seed in range(12) if played(seed, cut).beyond(5 * S)), None)
    assert found is not None and not played(found, cut).beyond(5 * S)
