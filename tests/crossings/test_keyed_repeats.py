"""Tries that share an idempotency key against each other's answer, failure, window and end."""

from __future__ import annotations

from dataclasses import replace
from random import Random
from typing import Any

import pytest

from ringshift.interface import Effect, Outcome
from ringshift.store.invocations import Invocation
from ringshift.store.keyed import KeyedOperation, KeyedResults
from ringshift.wire import news
from standins.agent import Agent
from standins.host import SETTINGS, Host
from tests.simulation import MS, machine, operation
from tests.test_owner import Played

WINDOW = 5000 * MS  # of the operations of tests.simulation
KEYED: dict[str, Any] = {
    **SETTINGS,
    "classes": [{**SETTINGS["classes"][0], "effect": "keyed", "window": 3000.0}, *SETTINGS["classes"][1:]],
}


def job(request: int) -> str:
    return f"{request:016x}"


def keyed() -> Played:
    return Played(machine(operation("add", Effect.TOKENED)))


def a_try(played: Played, request: int, key: str = "k") -> news.Called:
    return replace(played.call(request), key=key)


def test_a_repeat_while_its_original_runs_waits_and_gets_its_result() -> None:
    played = keyed()
    played.step(a_try(played, 1))
    played.step(a_try(played, 2), after=10 * MS)
    assert played.status(2) == []
    played.step(played.ended(1))
    assert [played.status(n) for n in (1, 2)] == [[200]] * 2 and played.told("launch") == [job(1)]


def test_two_tries_in_one_batch_run_once() -> None:
    played = keyed()
    played.step(a_try(played, 1), a_try(played, 2), a_try(played, 3, "other"))
    played.step(played.ended(1), played.ended(3))
    assert [played.status(n) for n in (1, 2, 3)] == [[200]] * 3
    assert played.told("launch") == [job(1), job(3)]


@pytest.mark.parametrize("end", ["bad", "cut"])
def test_a_repeat_after_a_run_that_failed_or_was_stopped_fails_and_never_runs(end: str) -> None:
    played = keyed()
    played.step(a_try(played, 1))
    played.step(played.ended(1, end))
    played.step(a_try(played, 2), after=10 * MS)
    assert played.status(2) == [500] and played.told("launch") == [job(1)]


def test_a_try_that_never_ran_frees_its_key() -> None:
    """The agent refuses an id that it does not know: nothing began."""
    played = keyed()
    played.step(a_try(played, 1))
    played.step(news.CommandRefused("launch", job(1)))
    played.step(a_try(played, 2), after=10 * MS)
    assert played.told("launch") == [job(1), job(2)]


def test_a_try_turned_away_unrun_frees_its_key() -> None:
    played = keyed()
    played.step(replace(a_try(played, 1), allow=10 * MS))
    assert played.status(1) == [429]
    played.step(a_try(played, 2), after=10 * MS)
    assert played.told("launch") == [job(2)]


@pytest.mark.parametrize("after, runs", [(WINDOW - MS, 1), (WINDOW - 1, 1), (WINDOW, 2), (WINDOW + MS, 2)])
def test_a_key_is_held_to_the_end_of_its_window(after: int, runs: int) -> None:
    played = keyed()
    played.step(a_try(played, 1))
    played.step(played.ended(1))
    played.hands.time += after
    played.step(a_try(played, 2))
    assert len(played.told("launch")) == runs
    assert played.status(2) == [200] * (runs == 1)


def test_a_repeat_that_came_in_the_window_and_was_read_after_it_does_not_run() -> None:
    results = KeyedResults({0: KeyedOperation(WINDOW, 3000 * MS)}, 4096)
    first, late = (Invocation(n, job(n), 0, b"", None, n, key="k") for n in (1, 2))  # type: ignore[arg-type]
    assert results.original(first, 0, 0) is None
    assert results.ended(1, Outcome.SUCCEEDED, b"made") == []
    assert results.original(late, WINDOW + 100 * MS, 101 * MS) == 1
    assert results.original(late, WINDOW + 100 * MS, 100 * MS) is None


def test_a_run_longer_than_its_window_still_serves_all_that_wait() -> None:
    """The try after the window took the key over, and those that waited were left to their due time."""
    played = Played(machine(replace(operation("add", Effect.TOKENED), window=100 * MS)))
    played.step(a_try(played, 1))
    for request, after in ((2, 50 * MS), (3, 100 * MS)):
        played.hands.time += after
        played.step(a_try(played, request))
    played.step(played.ended(1))
    assert [played.status(n) for n in (1, 2, 3)] == [[200]] * 3 and played.told("launch") == [job(1)]


def test_results_are_bounded_and_a_key_without_its_result_still_runs_nothing() -> None:
    played = keyed()
    played.owner.keyed.most = 10
    for request in (1, 2):
        played.step(a_try(played, request, f"k{request}"))
        played.step(played.ended(request, result=b"12345678"))
    assert played.owner.keyed.size <= 10
    played.step(a_try(played, 3, "k1"), a_try(played, 4, "k2"))
    assert (played.status(3), played.status(4)) == ([500], [200])
    assert played.told("launch") == [job(1), job(2)]


def test_entries_go_once_their_windows_are_over() -> None:
    played = keyed()
    for request in range(1, 60):
        played.step(a_try(played, request, f"k{request}"))
        played.step(played.ended(request), after=500 * MS)
    held = played.owner.keyed
    assert len(held.entries) <= (WINDOW + 4000 * MS) // (500 * MS) + 1
    assert held.keys.keys() == {entry.index for entry in held.entries.values()}
    assert held.size == sum(len(entry.result or b"") for entry in held.entries.values())


def test_a_caller_that_left_takes_no_repeat_with_it() -> None:
    """Its run goes on while a repeat waits for it."""
    played = keyed()
    played.step(a_try(played, 1))
    played.step(a_try(played, 2))
    played.step(news.CallerLeft(played.hands, 1))
    assert not played.told("freeze")
    played.step(played.ended(1))
    assert played.status(2) == [200]


@pytest.mark.parametrize("seed", range(40))
def test_whatever_ends_and_comes_again_no_key_runs_twice_in_its_window(seed: int) -> None:
    chance, played = Random(seed), keyed()
    running: list[int] = []
    arrived: dict[int, tuple[str, int]] = {}
    launched, ran = 0, dict[str, int]()
    for request in range(1, 200):
        key = f"k{chance.randrange(6)}"
        arrived[request] = key, played.hands.time
        items: list[news.News] = [a_try(played, request, key)]
        if running and chance.random() < 0.6:
            ending = running.pop(chance.randrange(len(running)))
            items.append(played.ended(ending, chance.choice(["good", "good", "bad", "cut"])))
        if chance.random() < 0.2:
            items.append(news.CallerLeft(played.hands, chance.randint(1, request)))
        chance.shuffle(items)
        played.step(*items, after=chance.choice([0, 20 * MS, 300 * MS, 2000 * MS]))
        for told in played.told("launch")[launched:]:
            launched += 1
            number = int(told, 16)
            running.append(number)
            name, at = arrived[number]
            assert name not in ran or at - ran[name] >= WINDOW, f"{name} ran twice"
            ran[name] = at
    assert launched > 10


def test_tries_of_one_key_on_two_connections_run_once_and_get_one_result() -> None:
    with Host(settings=KEYED) as host:
        first, second = host.serving(), host.sidecar()
        first.send(first.call(1, HTTP_X_UNIQUE="a" * 32))
        host.agent.until(lambda: bool(host.agent.launched(job(1))))
        second.send(second.call(2, HTTP_X_UNIQUE="a" * 32) + second.call(3, HTTP_X_UNIQUE="b" * 32))
        host.agent.until(lambda: bool(host.agent.launched(job(3))))
        host.agent.finish(job(1), result=b"once")
        assert [first.answer(1).body, second.answer(2).body] == [b"once"] * 2
        second.send(second.call(4, HTTP_X_UNIQUE="a" * 32))
        assert second.answer(4).body == b"once"
        assert not host.agent.launched(job(2)) and not host.agent.launched(job(4))


def test_a_copied_key_with_another_body_is_neither_served_nor_holds_it() -> None:
    """A bad client was given the result of the request whose key it had copied."""
    with Host(settings=KEYED) as host:
        sidecar, agent = host.serving(), host.agent
        sidecar.send(sidecar.call(1, body=b"copied", HTTP_X_UNIQUE="a" * 32))
        agent.until(lambda: bool(agent.launched(job(1))))
        sidecar.send(sidecar.call(2, HTTP_X_UNIQUE="a" * 32))
        agent.until(lambda: bool(agent.launched(job(2))))
        agent.finish(job(2), result=b"genuine")
        assert sidecar.answer(2).body == b"genuine"
        sidecar.send(sidecar.call(3, body=b"copied too", HTTP_X_UNIQUE="a" * 32))
        agent.until(lambda: bool(agent.launched(job(3))))
        agent.notify(type="refusal", state="launch", job=job(3))
        assert sidecar.answer(3).status == 500
        sidecar.send(sidecar.call(4, HTTP_X_UNIQUE="a" * 32))
        assert sidecar.answer(4).body == b"genuine"


def test_a_key_longer_than_its_bound_fails_its_request_alone() -> None:
    with Host(Agent(lambda job, kind, body: (0.0, "good", b"made")), settings=KEYED) as host:
        sidecar = host.serving()
        sidecar.send(sidecar.call(1, HTTP_X_UNIQUE="a" * 129) + sidecar.call(2, HTTP_X_UNIQUE="a" * 128))
        assert [sidecar.answer(request).status for request in (1, 2)] == [400, 200]


def drained(played: Played) -> None:
    """Told to leave, and past the grace, with time left before the kill."""
    played.step(news.ToldToLeave(9000 * MS))
    played.step(after=2500 * MS)


def test_a_repeat_of_what_has_run_is_answered_after_the_grace_of_a_drain() -> None:
    """It was turned away, which tells its sidecar that nothing was done (`review/9`)."""
    played = keyed()
    played.step(a_try(played, 1))
    played.step(played.ended(1))
    drained(played)
    played.step(a_try(played, 2), a_try(played, 3, "new"))
    assert (played.status(2), played.status(3)) == ([200], [429])
    assert played.told("launch") == [job(1)]


@pytest.mark.parametrize("end, status", [("good", 200), ("bad", 500), ("cut", 500)])
def test_a_repeat_of_what_still_runs_waits_for_its_end_after_the_grace_of_a_drain(
    end: str, status: int
) -> None:
    played = keyed()
    drain = news.ToldToLeave(9000 * MS)
    played.step(a_try(played, 1), drain)
    played.step(after=2500 * MS)
    played.step(a_try(played, 2))
    assert played.status(2) == []
    played.step(played.ended(1, end))
    assert played.status(2) == [status] and played.told("launch") == [job(1)]


def test_a_repeat_that_comes_before_the_kill_gets_its_one_answer_in_time() -> None:
    played = keyed()
    played.step(a_try(played, 1))
    played.step(played.ended(1))
    played.step(news.ToldToLeave(3000 * MS))
    played.step(after=2990 * MS)
    played.step(a_try(played, 2))
    assert played.status(2) == [200]
