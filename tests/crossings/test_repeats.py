"""Repeats of reads against their original's answer, failure, expiry, caller and eviction."""

from __future__ import annotations

from dataclasses import replace
from random import Random

import pytest

from ringshift import interface as face
from ringshift.interface import Effect
from ringshift.store.results import ENTRY
from ringshift.wire import news
from tests.simulation import MS, SimulatedServer, machine, operation
from tests.test_owner import Played, reads

FRESH = 300 * MS


def job(request: int) -> str:
    return f"{request:016x}"


@pytest.mark.parametrize("first", ["repeat", "end"])
def test_a_repeat_that_crosses_its_originals_answer_is_served_with_it(first: str) -> None:
    played = reads()
    played.step(played.call(1, item="a"))
    items: list[news.News] = [played.call(2, item="a"), played.ended(1)]
    played.step(*(items if first == "repeat" else reversed(items)))
    assert [played.status(n) for n in (1, 2)] == [[200]] * 2 and played.told("launch") == [job(1)]


def test_a_repeat_read_before_its_originals_failure_is_turned_back_at_once() -> None:
    """Both in one batch: it waited for a run that was over, until its due time."""
    played = reads()
    played.step(played.call(1, item="a"))
    played.step(played.call(2, item="a"), played.ended(1, "bad"))
    assert [played.status(n) for n in (1, 2)] == [[500], [429]]
    assert not list(played.owner.invocations)


def test_a_repeat_read_after_its_originals_failure_runs() -> None:
    played = reads()
    played.step(played.call(1, item="a"))
    played.step(played.ended(1, "bad"), played.call(2, item="a"))
    assert played.told("launch") == [job(1), job(2)]


@pytest.mark.parametrize("after, runs", [(FRESH - MS, 1), (FRESH, 1), (FRESH + 1, 2), (FRESH + MS, 2)])
def test_a_result_serves_to_the_end_of_its_window_and_no_longer(after: int, runs: int) -> None:
    played = reads(FRESH)
    played.step(played.call(1, item="a"))
    played.step(played.ended(1), after=MS)  # it took one
    played.step(played.call(2, item="a"), after=after)
    assert len(played.told("launch")) == runs


def test_the_window_counts_from_the_end_of_the_run_not_from_its_reading() -> None:
    """An end that lay unread made the result look fresh for that much longer."""
    played = reads(FRESH)
    played.step(played.call(1, item="a"))
    played.step(news.RunEnded(job(1), "good", 100 * MS, b"made"), after=350 * MS)
    played.step(played.call(2, item="a"), after=50 * MS)  # 300 after the end
    assert played.status(2) == [200]
    played.step(played.call(3, item="a"), after=1)
    assert played.told("launch") == [job(1), job(3)]


def test_a_window_shorter_than_any_run_still_serves_those_that_wait() -> None:
    played = reads(1)
    played.step(played.call(1, item="a"))
    played.step(played.call(2, item="a"), after=200 * MS)
    played.step(news.RunEnded(job(1), "good", 100 * MS, b"made"), after=200 * MS)
    assert [played.status(n) for n in (1, 2)] == [[200]] * 2
    played.step(played.call(3, item="a"))
    assert played.told("launch") == [job(1), job(3)]


def test_a_run_whose_caller_left_goes_on_for_its_repeats() -> None:
    """It was stopped, and the repeat, whose caller is there, failed with it."""
    played = reads()
    played.step(played.call(1, item="a"))
    played.step(played.call(2, item="a"))
    played.step(news.CallerLeft(played.hands, 1))
    assert not played.told("freeze")
    played.step(played.ended(1))
    assert played.status(2) == [200] and not played.status(1)
    assert not list(played.owner.invocations)


def test_a_run_that_nobody_waits_for_any_more_is_stopped() -> None:
    played = reads()
    played.step(played.call(1, item="a"))
    played.step(played.call(2, item="a"))
    played.step(news.CallerLeft(played.hands, 1), news.CallerLeft(played.hands, 2))
    for _ in range(6):
        played.step(after=50 * MS)
    assert job(1) in played.told("freeze")


def test_a_read_behind_a_stopped_run_of_its_item_runs_itself() -> None:
    """It waited for that run and failed as it was cut."""
    played = reads()
    played.step(played.call(1, item="a"))
    played.step(news.CallerLeft(played.hands, 1))
    assert played.told("freeze") == [job(1)]
    played.step(played.call(2, item="a"))
    played.step(played.ended(1, "cut"))
    played.step(played.ended(2))
    assert played.told("launch") == [job(1), job(2)] and played.status(2) == [200]


def test_a_result_evicted_as_its_repeat_is_read_turns_it_back_at_once() -> None:
    """Under pressure inside the window, and in one batch: the repeat waited until its due time."""
    played = reads()
    results = played.owner.results
    played.step(played.call(1, item="a"), played.call(2, item="b"))
    played.step(played.ended(1))
    results.most = results.size
    played.step(played.call(3, item="a"), played.ended(2))
    assert played.status(3) == [429] and job(3) not in played.told("launch")
    played.step(played.call(4, item="a"))
    assert played.told("launch")[-1] == job(4)


def test_pressure_never_evicts_a_run_that_others_wait_for() -> None:
    played = reads()
    results = played.owner.results
    played.step(played.call(1, item="a"))
    played.step(played.call(2, item="a"))
    results.most = ENTRY
    played.step(played.call(3, item="b"))
    played.step(played.ended(1), played.ended(3))
    assert [played.status(n) for n in (1, 2, 3)] == [[200]] * 3
    assert results.size <= results.most and not results.entries.keys() ^ set(results.keys.values())


def test_an_end_told_of_an_id_that_was_never_launched_serves_nobody() -> None:
    """An id used again while its first run's end is still to come: what waits to run or for another's run
    was answered with a result that no run had made for it."""
    played = reads()
    played.step(played.call(1, item="a"))
    played.step(played.call(2, item="a"))
    played.step(played.ended(2), news.CommandRefused("launch", job(2)))
    assert not played.status(2)
    played.step(played.ended(1, result=b"own"))
    assert played.status(2) == [200] and b"own" in played.hands.answers[2][0]


def test_an_id_seen_before_with_another_class_or_body_is_the_agents_to_refuse() -> None:
    """While the first is in hand the newcomer fails; afterwards the agent, which keeps ids, says no."""
    played = Played(machine(operation(), operation("order", Effect.NON_IDEMPOTENT), fresh=FRESH))
    again = replace(played.call(2, 1), job=job(1), body=b"other")
    played.step(played.call(1))
    played.step(again)
    assert played.status(2) == [400] and len(played.told("launch")) == 1
    played.step(played.ended(1))
    played.step(replace(again, request=3))
    assert played.told("launch") == [job(1), job(1)]
    played.step(news.CommandRefused("launch", job(1)))
    assert played.status(1) == [200] and played.status(3) == [500]
    assert not list(played.owner.invocations) and played.owner.health[0]


# Keyed effects, at the decisions: no request on sockets carries a token.


def test_a_tokened_one_is_kept_for_its_window_to_the_millisecond() -> None:
    server = SimulatedServer(machine(operation(effect=Effect.TOKENED)), Random(1))
    window, kept = server.m.operations[0].window, server.m.entry_kb
    first = server.arrive(unread=0, patience=None)
    said = server.step([first])
    assert [(a.inv, a.ttl) for a in said if isinstance(a, face.Remember)] == [(first.inv, window)]
    server.step([server.finish(server.seen[first.inv])])
    server.step([], window - MS)
    again = server.arrive(unread=0, patience=None, repeats=first.inv)
    said = server.step([again])
    assert any(isinstance(a, face.Reuse) for a in said) and not any(isinstance(a, face.Start) for a in said)
    server.step([server.finish(server.seen[again.inv])])
    assert server.controller.memory == pytest.approx(kept)  # booked a little longer than it lives
    server.step([], MS + 20 * MS)
    assert server.controller.memory == pytest.approx(0.0, abs=1e-6)


def test_a_tokened_one_that_can_not_be_kept_is_turned_away_unrun() -> None:
    """Run with no entry, its repeat inside the window would look like new work and run again."""
    server = SimulatedServer(machine(operation(effect=Effect.TOKENED), entry_kb=50_000.0), Random(1))
    said = server.step([server.arrive(unread=0, patience=None, kb=5.0)])
    kinds = {type(action) for action in said}
    assert face.Throttle in kinds and face.Start not in kinds
