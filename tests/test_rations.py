"""What the decisions make of a share of a fleet-wide budget, and that without one they are as they were."""

from __future__ import annotations

from random import Random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from ringshift import interface as face
from ringshift.interface import Below, Effect, Granted, Outcome, Unit
from tests.simulation import MS, SimulatedServer, any_machine, machine, operation

FAR = 10**15


def kinds(actions: list[face.Action], kind: type) -> list[face.Action]:
    return [a for a in actions if isinstance(a, kind)]


def arrivals(server: SimulatedServer, count: int) -> list[face.Input]:
    return [server.arrive(unread=0, patience=None, repeats=None) for _ in range(count)]


@settings(max_examples=40, deadline=None, derandomize=True)
@given(st.integers(0, 2**32))
def test_a_share_that_binds_nothing_changes_no_action(seed: int) -> None:
    def play(granted: bool) -> list[list[face.Action]]:
        chance = Random(seed)
        server = SimulatedServer(any_machine(chance), chance)
        if granted:
            keys = ((Unit.CALLS, -1), (Unit.RATE, 0), (Unit.RETRIES, -1))
            shares = [Granted(unit, 1e9, FAR * 10, 1e9, operation) for unit, operation in keys]
            server.controller.decide(server.now, shares)
        said = []
        for _ in range(60):
            server.now += 20 * MS
            said.append(server.step(server.any_news()))
        return said

    assert play(True) == play(False)


@settings(max_examples=60, deadline=None, derandomize=True)
@given(st.integers(0, 2**32))
def test_the_rules_hold_whatever_share_comes_and_goes(seed: int) -> None:
    chance = Random(seed)
    server = SimulatedServer(any_machine(chance), chance)
    for _ in range(chance.randint(50, 120)):
        server.now += chance.choice([2, 20, 50]) * MS
        if server.kill and server.now >= server.kill:
            return
        news = server.any_news()
        if chance.random() < 0.2:
            unit = chance.choice(list(Unit))
            operation_ = 0 if unit is Unit.RATE else -1
            until = server.now + chance.randint(-500, 3000) * MS
            news.append(
                Granted(
                    unit, chance.choice([0.0, 1.0, 3.0, 50.0]), until, chance.choice([0.0, 1.0]), operation_
                )
            )
        server.step(news)


def test_runs_stay_within_the_share_and_fall_to_the_safe_one_when_it_ends() -> None:
    """Where no call is told of, as on sockets, each run is one at what the fleet shares."""
    server = SimulatedServer(machine(operation(objective=3000)), Random(1))
    server.step([Granted(Unit.CALLS, 2.0, server.now + 500 * MS, 1.0)])
    server.step(arrivals(server, 8))
    assert len(server.of("running")) == 2  # four cores, and a share of two
    server.now += 400 * MS
    server.step([server.finish(server.of("running")[0])])
    assert len(server.of("running")) == 2  # another took its place before the end
    server.now += 100 * MS
    server.step([server.finish(server.of("running")[0])])
    assert len(server.of("running")) == 1  # the end has come: no more than the safe share is begun
    server.step([server.finish(server.of("running")[0])])
    assert len(server.of("running")) == 1
    assert server.controller.demand(Unit.CALLS) == (1.0, float(len(server.of("held"))))


def test_a_share_that_grows_lets_more_begin_at_once() -> None:
    server = SimulatedServer(machine(operation(objective=3000)), Random(1))
    server.step([Granted(Unit.CALLS, 1.0, FAR * 10, 0.0)])
    server.step(arrivals(server, 2))
    assert len(server.of("running")) == 1 and len(server.of("held")) == 1
    server.step([Granted(Unit.CALLS, 3.0, FAR * 10, 0.0)])
    assert len(server.of("running")) == 2


def test_what_is_turned_away_for_want_of_a_share_counts_as_wanted() -> None:
    """A small share keeps the line short: by what is held alone it would never grow."""
    server = SimulatedServer(machine(operation(objective=3000)), Random(1))
    server.step([Granted(Unit.CALLS, 1.0, FAR * 10, 1.0)])
    for _ in range(100):
        server.now += 20 * MS
        server.step(arrivals(server, 2))
        for one in server.of("running"):
            if server.now - one.since >= 200 * MS:
                server.step([server.finish(one)])
    use, waiting = server.controller.demand(Unit.CALLS)
    assert use <= 1 and waiting > 10  # a hundred a second of a fifth of a second each


def test_with_no_share_at_all_what_comes_is_turned_away_at_once() -> None:
    """Given up means answered at once: nothing is held for a share that is not there."""
    server = SimulatedServer(machine(operation(objective=3000)), Random(1))
    server.step([Granted(Unit.CALLS, 0.0, FAR * 10, 0.0)])
    server.step(arrivals(server, 1))
    said = server.step(arrivals(server, 4))
    assert len(kinds(said, face.Throttle)) == 4 and server.of("running") == []


def calling(share: float) -> SimulatedServer:
    server = SimulatedServer(
        machine(operation(calls=True, objective=3000), below=Below.SHARED, share=20.0), Random(1)
    )
    server.step([Granted(Unit.CALLS, share, FAR * 10, 0.0)])
    server.step(arrivals(server, 4))
    for one in server.of("running"):
        one.state = "at call"
        server.step([face.CallWanted(one.news.inv)])
    return server


def test_calls_at_the_dependency_stay_within_the_smaller_of_share_and_learned_limit() -> None:
    assert len(calling(2.0).of("calling")) == 2
    assert len(calling(50.0).of("calling")) == 4
    server = calling(2.0)
    assert server.controller.demand(Unit.CALLS) == (2.0, 2.0)
    server.step([server.end_call(server.of("calling")[0], Outcome.SUCCEEDED)])
    assert len(server.of("calling")) == 2  # the next in line


def test_a_call_that_never_ran_is_not_tried_again_beyond_the_share_of_retries() -> None:
    def refused(rate: float | None) -> SimulatedServer:
        server = calling(50.0)
        if rate is not None:
            server.step([Granted(Unit.RETRIES, rate, FAR * 10, 0.0)])
        for one in server.of("calling"):
            server.step([server.end_call(one, Outcome.REJECTED)], 1 * MS)
        return server

    free, none = refused(None), refused(0.0)
    assert not any(one.answered for one in free.seen.values())  # they stand in line and are tried again
    assert all(one.answered for one in none.seen.values())  # told at once that they failed
    assert none.controller.demand(Unit.RETRIES)[1] == 4.0 and none.controller.demand(Unit.RETRIES)[1] == 0.0
    some = refused(1.0)
    assert sum(one.answered for one in some.seen.values()) == 3  # one token was there


def test_an_operations_rate_is_kept_and_what_is_beyond_is_turned_away_at_once() -> None:
    ops = operation("a", objective=3000), operation("b", objective=3000)
    server = SimulatedServer(machine(*ops, cores=50, memory_kb=1e9), Random(1))
    server.step([Granted(Unit.RATE, 100.0, FAR * 10, 0.0, 0)])
    began = 0
    for _ in range(100):
        server.now += 10 * MS
        said = server.step([server.arrive(0, unread=0, patience=None, repeats=None) for _ in range(5)])
        began += len(kinds(said, face.Start))
        assert len(kinds(said, face.Start)) + len(kinds(said, face.Throttle)) == 5
        for one in server.of("running"):
            server.step([server.finish(one)])
    assert 95 <= began <= 112  # a second of a hundred, and a burst of a tenth
    other = server.step([server.arrive(1, unread=0, patience=None, repeats=None) for _ in range(5)])
    assert len(kinds(other, face.Start)) == 5  # another operation is not counted


@pytest.mark.parametrize("effect", [Effect.NON_IDEMPOTENT, Effect.IDEMPOTENT])
def test_a_share_under_one_a_second_still_lets_one_begin_in_time(effect: Effect) -> None:
    server = SimulatedServer(machine(operation(effect=effect, objective=3000)), Random(1))
    server.step([Granted(Unit.RATE, 0.5, FAR * 10, 0.0, 0)])
    began = 0
    for _ in range(100):
        server.now += 100 * MS
        began += len(kinds(server.step(arrivals(server, 1)), face.Start))
        for one in server.of("running"):
            server.step([server.finish(one)])
    assert 4 <= began <= 6  # ten seconds
