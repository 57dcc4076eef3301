"""Ids of requests that come again after their client has left, or their answer was given."""

from __future__ import annotations

import sys
from dataclasses import replace
from random import Random

import pytest

from ringshift.interface import Effect
from ringshift.runtime.bounds import JOB, MIB, bounds
from ringshift.store.finished_jobs import FinishedJobs
from ringshift.wire import news
from tests.simulation import MS, machine, operation
from tests.test_owner import Played

SPAN = 4000 * MS


def playing(effect: Effect) -> Played:
    return Played(machine(operation(effect=effect)))


@pytest.mark.parametrize("end", ["good", "bad", "cut"])
@pytest.mark.parametrize("effect", [Effect.NON_IDEMPOTENT, Effect.TOKENED])
def test_an_id_that_comes_again_after_its_client_left_does_not_run_twice(effect: Effect, end: str) -> None:
    """The owner forgot it with its run's end: an order was booked a second time."""
    played = playing(effect)
    played.step(played.call(1))
    played.step(news.CallerLeft(played.hands, 1))
    played.step(played.ended(1, end))
    played.step(played.call(1), after=1000 * MS)
    assert len(played.told("launch")) == 1 and played.status(1) == [400]


def test_one_whose_end_was_never_told_does_not_run_twice() -> None:
    """Given up long after a new link told all it had."""
    played = playing(Effect.NON_IDEMPOTENT)
    played.step(played.call(1))
    played.step(news.CallerLeft(played.hands, 1))
    played.step(news.Greeted(False, 0))
    played.step(news.Sampled(played.told("sample")[-1], []))
    for _ in range(100):
        played.step(after=50 * MS)
    assert not list(played.owner.invocations)
    played.step(played.call(1))
    assert len(played.told("launch")) == 1 and played.status(1) == [400]


def test_what_never_ran_may_come_again() -> None:
    """A bad client that knows an id first must not keep the sound request from running."""
    for proof in (news.CommandRefused("launch", f"{1:016x}"), news.RunEnded(f"{1:016x}", "gone", 0, b"")):
        played = playing(Effect.NON_IDEMPOTENT)
        played.step(played.call(1))
        played.step(proof)
        played.hands.answers.clear()
        played.step(played.call(1))
        played.step(played.ended(1))
        assert len(played.told("launch")) == 2 and played.status(1) == [200]


def test_what_may_run_twice_and_what_has_a_key_is_judged_as_before() -> None:
    for effect, key, status in ((Effect.IDEMPOTENT, "", 200), (Effect.TOKENED, "key", 200)):
        played = playing(effect)
        for _ in range(2):
            played.step(replace(played.call(1), key=key))
            played.step(*[played.ended(1)] * (len(played.told("launch")) > 0))
        assert played.status(1) == [status] * 2


@pytest.mark.parametrize("seed", range(10))
def test_no_id_runs_twice_in_any_order_of_calls_ends_and_clients_that_leave(seed: int) -> None:
    """Six ids, for ten seconds; a launch counts unless the agent told that nothing began."""
    played, chance, ran = playing(Effect.NON_IDEMPOTENT), Random(seed), set[str]()
    seen = 0
    for _ in range(400):
        number = chance.randint(1, 6)
        ended = played.ended(number, chance.choice(["good", "bad", "cut", "gone"]))
        left = news.CallerLeft(played.hands, number)
        items: list[news.News] = chance.sample([played.call(number), ended, left], chance.randint(1, 3))
        running = {inv.job for inv in played.owner.invocations if inv.launched}
        if ended in items and ended.job in running and ended.state == "gone":
            ran.discard(ended.job)
        played.step(*items, after=25 * MS)
        launched = played.told("launch")[seen:]
        seen += len(launched)
        assert not ran & set(launched)
        ran |= set(launched)
    assert len(ran) >= 4


def test_ids_are_kept_for_the_span_and_forgotten_after_two() -> None:
    jobs = FinishedJobs(SPAN, 100)
    jobs.add("0" * 15 + "1", 10 * SPAN)
    jobs.add("0" * 15 + "2", 11 * SPAN - 1)
    jobs.add("0" * 15 + "3", 12 * SPAN - 2)
    assert all("0" * 15 + digit in jobs for digit in "123")
    jobs.add("0" * 15 + "4", 14 * SPAN)
    assert [digit for digit in "1234" if "0" * 15 + digit in jobs] == ["4"]


@pytest.mark.parametrize("memory", [32, 192])
def test_ids_stay_under_their_bound_however_many_come(memory: int) -> None:
    most = bounds(memory * MIB, 384).finished_jobs
    jobs, chance = FinishedJobs(SPAN, most), Random(1)
    for _ in range(5 * most):
        jobs.add(f"{chance.getrandbits(64):016x}", 1)
        assert len(jobs.recent) <= most and len(jobs.older) <= most
    held = sum(sys.getsizeof(part) + sum(map(sys.getsizeof, part)) for part in (jobs.recent, jobs.older))
    assert held <= 2 * most * JOB
