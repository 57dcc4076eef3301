"""What the decisions make of a share of a fleet-wide budget, and that without one they are as they were."""

from __future__ import annotations

from random import Random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from ringshift import interface as face
from ringshift.interface import Below, Effect, Granted, Outcome, Unit
from tests.world import MS, World, any_machine, machine, operation

FAR = 10**15


def kinds(actions: list[face.Action], kind: type) -> list[face.Action]:
    return [a for a in actions if isinstance(a, kind)]


def arrivals(world: World, count: int) -> list[face.Input]:
    return [world.arrive(unread=0, patience=None, repeats=None) for _ in range(count)]


@settings(max_examples=40, deadline=None, derandomize=True)
@given(st.integers(0, 2**32))
def test_a_share_that_binds_nothing_changes_no_action(seed: int) -> None:
    def play(granted: bool) -> list[list[face.Action]]:
        chance = Random(seed)
        world = World(any_machine(chance), chance)
        if granted:
            keys = ((Unit.CALLS, -1), (Unit.RATE, 0), (Unit.RETRIES, -1))
            shares = [Granted(unit, 1e9, FAR * 10, 1e9, operation) for unit, operation in keys]
            world.controller.decide(world.now, shares)
        said = []
        for _ in range(60):
            world.now += 20 * MS
            said.append(world.step(world.any_news()))
        return said

    assert play(True) == play(False)


@settings(max_examples=60, deadline=None, derandomize=True)
@given(st.integers(0, 2**32))
def test_the_rules_hold_whatever_share_comes_and_goes(seed: int) -> None:
    chance = Random(seed)
    world = World(any_machine(chance), chance)
    for _ in range(chance.randint(50, 120)):
        world.now += chance.choice([2, 20, 50]) * MS
        if world.kill and world.now >= world.kill:
            return
        news = world.any_news()
        if chance.random() < 0.2:
            unit = chance.choice(list(Unit))
            operation_ = 0 if unit is Unit.RATE else -1
            until = world.now + chance.randint(-500, 3000) * MS
            news.append(
                Granted(
                    unit, chance.choice([0.0, 1.0, 3.0, 50.0]), until, chance.choice([0.0, 1.0]), operation_
                )
            )
        world.step(news)


def test_runs_stay_within_the_share_and_fall_to_the_safe_one_when_it_ends() -> None:
    """Where no call is told of, as on sockets, each run is one at what the fleet shares."""
    world = World(machine(operation(objective=3000)), Random(1))
    world.step([Granted(Unit.CALLS, 2.0, world.now + 500 * MS, 1.0)])
    world.step(arrivals(world, 8))
    assert len(world.of("running")) == 2  # four cores, and a share of two
    world.now += 400 * MS
    world.step([world.finish(world.of("running")[0])])
    assert len(world.of("running")) == 2  # another took its place before the end
    world.now += 100 * MS
    world.step([world.finish(world.of("running")[0])])
    assert len(world.of("running")) == 1  # the end has come: no more than the safe share is begun
    world.step([world.finish(world.of("running")[0])])
    assert len(world.of("running")) == 1
    assert world.controller.demand(Unit.CALLS) == (1.0, float(len(world.of("held"))))


def test_a_share_that_grows_lets_more_begin_at_once() -> None:
    world = World(machine(operation(objective=3000)), Random(1))
    world.step([Granted(Unit.CALLS, 1.0, FAR * 10, 0.0)])
    world.step(arrivals(world, 2))
    assert len(world.of("running")) == 1 and len(world.of("held")) == 1
    world.step([Granted(Unit.CALLS, 3.0, FAR * 10, 0.0)])
    assert len(world.of("running")) == 2


def test_what_is_turned_away_for_want_of_a_share_counts_as_wanted() -> None:
    """A small share keeps the line short: by what is held alone it would never grow."""
    world = World(machine(operation(objective=3000)), Random(1))
    world.step([Granted(Unit.CALLS, 1.0, FAR * 10, 1.0)])
    for _ in range(100):
        world.now += 20 * MS
        world.step(arrivals(world, 2))
        for one in world.of("running"):
            if world.now - one.since >= 200 * MS:
                world.step([world.finish(one)])
    use, waiting = world.controller.demand(Unit.CALLS)
    assert use <= 1 and waiting > 10  # a hundred a second of a fifth of a second each


def test_with_no_share_at_all_what_comes_is_turned_away_at_once() -> None:
    """Given up means answered at once: nothing is held for a share that is not there."""
    world = World(machine(operation(objective=3000)), Random(1))
    world.step([Granted(Unit.CALLS, 0.0, FAR * 10, 0.0)])
    world.step(arrivals(world, 1))
    said = world.step(arrivals(world, 4))
    assert len(kinds(said, face.Throttle)) == 4 and world.of("running") == []


def calling(share: float) -> World:
    world = World(machine(operation(calls=True, objective=3000), below=Below.SHARED, share=20.0), Random(1))
    world.step([Granted(Unit.CALLS, share, FAR * 10, 0.0)])
    world.step(arrivals(world, 4))
    for one in world.of("running"):
        one.state = "at call"
        world.step([face.CallWanted(one.news.inv)])
    return world


def test_calls_at_the_dependency_stay_within_the_smaller_of_share_and_learned_limit() -> None:
    assert len(calling(2.0).of("calling")) == 2
    assert len(calling(50.0).of("calling")) == 4
    world = calling(2.0)
    assert world.controller.demand(Unit.CALLS) == (2.0, 2.0)
    world.step([world.end_call(world.of("calling")[0], Outcome.SUCCEEDED)])
    assert len(world.of("calling")) == 2  # the next in line


def test_a_call_that_never_ran_is_not_tried_again_beyond_the_share_of_retries() -> None:
    def refused(rate: float | None) -> World:
        world = calling(50.0)
        if rate is not None:
            world.step([Granted(Unit.RETRIES, rate, FAR * 10, 0.0)])
        for one in world.of("calling"):
            world.step([world.end_call(one, Outcome.REJECTED)], 1 * MS)
        return world

    free, none = refused(None), refused(0.0)
    assert not any(one.answered for one in free.seen.values())  # they stand in line and are tried again
    assert all(one.answered for one in none.seen.values())  # told at once that they failed
    assert none.controller.demand(Unit.RETRIES)[1] == 4.0 and none.controller.demand(Unit.RETRIES)[1] == 0.0
    some = refused(1.0)
    assert sum(one.answered for one in some.seen.values()) == 3  # one token was there


def test_an_operations_rate_is_kept_and_what_is_beyond_is_turned_away_at_once() -> None:
    ops = operation("a", objective=3000), operation("b", objective=3000)
    world = World(machine(*ops, cores=50, memory_kb=1e9), Random(1))
    world.step([Granted(Unit.RATE, 100.0, FAR * 10, 0.0, 0)])
    began = 0
    for _ in range(100):
        world.now += 10 * MS
        said = world.step([world.arrive(0, unread=0, patience=None, repeats=None) for _ in range(5)])
        began += len(kinds(said, face.Start))
        assert len(kinds(said, face.Start)) + len(kinds(said, face.Throttle)) == 5
        for one in world.of("running"):
            world.step([world.finish(one)])
    assert 95 <= began <= 112  # a second of a hundred, and a burst of a tenth
    other = world.step([world.arrive(1, unread=0, patience=None, repeats=None) for _ in range(5)])
    assert len(kinds(other, face.Start)) == 5  # another operation is not counted


@pytest.mark.parametrize("effect", [Effect.NON_IDEMPOTENT, Effect.IDEMPOTENT])
def test_a_share_under_one_a_second_still_lets_one_begin_in_time(effect: Effect) -> None:
    world = World(machine(operation(effect=effect, objective=3000)), Random(1))
    world.step([Granted(Unit.RATE, 0.5, FAR * 10, 0.0, 0)])
    began = 0
    for _ in range(100):
        world.now += 100 * MS
        began += len(kinds(world.step(arrivals(world, 1)), face.Start))
        for one in world.of("running"):
            world.step([world.finish(one)])
    assert 4 <= began <= 6  # ten seconds
