"""The owner and what it keeps, without sockets: one answer each, repeats, timers, a new link, the clock."""

from __future__ import annotations

import os
import time
import tracemalloc
from contextlib import suppress
from dataclasses import replace
from random import Random
from typing import Any

import pytest
from gevent import socket
from hypothesis import given, settings
from hypothesis import strategies as st

from ringshift import interface as face
from ringshift.interface import Effect
from ringshift.lifecycle.program import PHASES, Happening, Phase
from ringshift.owner import GAUGES_IN, QUIET, Owner
from ringshift.records.watch import AWAY, RULED
from ringshift.runtime import logs
from ringshift.runtime.bounds import CONNECTION, GENERATIONS, IN_HAND, JOB, MIB, NEWS, OWN, Budget, bounds
from ringshift.runtime.clock import Clock
from ringshift.store.invocations import Invocations, Try
from ringshift.store.results import ENTRY, Results
from ringshift.wire import fastcgi, news
from ringshift.wire.agent import Agent
from ringshift.wire.outbox import Outbox
from tests.simulation import MS, machine, operation


class Hands:
    """A clock, an agent and a door that only note what they are told."""

    def __init__(self) -> None:
        self.time, self.said = 10**18, list[tuple[Any, ...]]()
        self.answers: dict[int, list[bytes]] = {}

    def now(self) -> int:
        return self.time

    def since(self, moment: int) -> int:
        return max(self.time - moment, 0)

    def send(self, request: int, data: bytes) -> None:
        self.answers.setdefault(request, []).append(data)

    def note_served(self) -> None:
        pass

    def __getattr__(self, name: str) -> Any:
        return lambda *told: self.said.append((name, *told))


class Played:
    def __init__(self, m: face.Machine | None = None) -> None:
        self.hands = Hands()
        m = m or machine(operation(), operation("order", Effect.NON_IDEMPOTENT))
        self.owner = Owner(
            m,
            bounds(64 * MIB, 384),
            True,
            1,
            self.hands,  # type: ignore[arg-type]
            self.hands,
            lambda good: None,
            lambda after: None,
        )
        self.owner.step([news.Greeted(False, 0)])

    def call(
        self, request: int, operation: int = 0, item: str = "", allow: int | None = 3000 * MS
    ) -> news.Called:
        job, came = f"{request:016x}", self.hands.time
        return news.Called(self.hands, request, job, operation, b"body", item, came, allow, 5.0, 0.5, 1)

    def ended(self, request: int, state: str = "good", result: bytes = b"made") -> news.RunEnded:
        return news.RunEnded(f"{request:016x}", state, MS, result)

    def step(self, *items: news.News, after: int = 0) -> None:
        self.hands.time += after
        self.owner.step(list(items))

    def status(self, request: int) -> list[int]:
        return [int(data.split(b"Status: ")[1][:3]) for data in self.hands.answers.get(request, [])]

    def told(self, what: str) -> list[Any]:
        return [said[1] for said in self.hands.said if said[0] == what]


def test_abort_end_and_lost_connection_in_one_batch_give_one_answer_at_most() -> None:
    for first in range(3):
        played = Played()
        played.step(played.call(1))
        items: list[news.News] = [played.ended(1), news.CallerLeft(played.hands, 1), played.ended(1, "bad")]
        played.step(*items[first:], *items[:first])
        assert len(played.status(1)) <= 1
        played.step(after=5000 * MS)
        assert not played.owner.invocations.owed and not list(played.owner.invocations)


def test_a_run_that_ends_after_its_answer_goes_to_the_module_alone() -> None:
    played = Played()
    played.step(played.call(1, 1, allow=500 * MS))
    played.step(after=450 * MS)
    played.step(after=GAUGES_IN)
    played.step(played.ended(1), after=200 * MS)
    assert played.status(1) == [500]


def test_a_run_that_the_module_ends_is_answered_as_failed_not_refused() -> None:
    """Where a safe run has passed its objective the module refuses it; on sockets that says it never ran."""
    played = Played()
    played.step(played.call(1))
    for _ in range(40):
        played.step(after=50 * MS)
    assert played.status(1) == [500] and played.told("freeze")


def test_it_warms_from_the_start_of_its_agent() -> None:
    played = Played()
    played.owner.controller = None
    played.step(news.Greeted(True, 700 * MS))
    assert played.owner.controller is not None and played.owner.controller.machine.cold
    assert played.owner.controller.born == played.hands.time - 700 * MS


def test_refused_launches_are_no_evidence_about_runs() -> None:
    """A bad client's ids are unknown to the agent: told as errored runs, enough of them shut the door to all,
    and counted as quick ones they made it wide."""
    played = Played()
    for request in range(1, 40):
        played.step(played.call(request), after=10 * MS)
        played.step(news.CommandRefused("launch", f"{request:016x}"))
        assert played.status(request) == [500]
    played.step(after=50 * MS)
    played.step(after=GAUGES_IN)
    controller = played.owner.controller
    assert controller is not None and played.owner.health[0] and not controller.lines[0].run.count
    played.step(played.call(99), news.CommandRefused("freeze", f"{99:016x}"))
    assert played.told("launch")[-1] == f"{99:016x}" and not played.status(99)


def test_leaving_lasts_over_the_grace_and_until_nothing_comes() -> None:
    """A backend that left earlier would turn back by a refused connection what it still had to run."""
    played = Played()
    played.step(news.ToldToLeave(9000 * MS))
    assert not played.owner.settled.is_set()
    played.step(after=1990 * MS)
    played.step(played.call(1))
    played.step(played.ended(1))
    played.step(after=100 * MS)
    assert played.status(1) == [200] and not played.owner.settled.is_set()
    played.step(after=QUIET)
    assert played.owner.settled.is_set()


def test_a_notice_told_again_counts_once() -> None:
    agent = Agent(("127.0.0.1", 1), Random(1))
    line = memoryview(b'{"type":"outcome","n":1,"job":"a","state":"good","took":1,"data":"aGk="}')
    assert agent.read(line) == news.RunEnded("a", "good", MS, b"hi") and agent.read(line) is None


def test_cut_without_an_answer_is_answered_as_failed() -> None:
    """An agent that stops a run by itself leaves an invocation that the module forgets: not lost."""
    played = Played()
    played.step(played.call(1, 1))
    played.step(played.ended(1, "cut"))
    assert played.status(1) == [500]


def test_a_new_link_repeats_only_what_is_not_known_to_have_been_read() -> None:
    played = Played()
    played.step(played.call(1))
    played.step(after=60 * MS)  # a timer asks for gauges, after the launch
    ref = played.told("sample")[-1]
    played.step(news.Sampled(ref, [0.1, 1.0, 0.1]))
    played.step(played.call(2), played.call(3))
    played.step(news.Greeted(False, 0))
    barrier = played.told("sample")[-1]
    assert len(played.told("launch")) == 3
    played.step(played.ended(3))  # told by the new link: it was read
    played.step(played.call(4))
    played.step(news.Sampled(barrier, []))
    assert played.told("launch") == [f"{n:016x}" for n in (1, 2, 3, 4, 2)]


def test_a_check_in_hand_is_asked_again_on_a_new_link() -> None:
    played = Played()
    played.owner.health = True, False
    played.step(news.Checked(played.hands, 5, True))
    (ref,) = played.told("exercise")
    played.step(news.Greeted(False, 0))
    assert played.told("exercise") == [ref, ref]
    played.step(news.Exercised(ref, True), news.Exercised(ref, True))
    assert played.status(5) == [200]


def test_gauges_that_do_not_come_are_told_as_not_known(monkeypatch: pytest.MonkeyPatch) -> None:
    played = Played()
    heard: list[face.Input] = []
    controller = played.owner.controller
    assert controller is not None
    decide = controller.decide

    def noting(now: int, inputs: list[face.Input]) -> list[face.Action]:
        heard.extend(inputs)
        return decide(now, inputs)

    monkeypatch.setattr(controller, "decide", noting)
    played.step(after=50 * MS)
    played.step(after=GAUGES_IN)
    ref = played.told("sample")[-1]
    played.step(news.Sampled(ref, [1.0, 2.0, 3.0]))
    assert heard == [face.TimerFired(0, ())]


def test_what_lay_unread_is_told_and_taken_off_its_patience(monkeypatch: pytest.MonkeyPatch) -> None:
    played = Played()
    call = played.call(1)
    played.hands.time += 30 * MS
    played.owner.on_called(call)
    (arrived,) = played.owner.inputs
    assert isinstance(arrived, face.Arrived) and (arrived.unread, arrived.patience) == (30 * MS, 2970 * MS)


def test_a_drain_and_a_name_held_back_are_counted_apart(monkeypatch: pytest.MonkeyPatch) -> None:
    played, seen = Played(), list[int]()
    monkeypatch.setattr(played.owner.watch, "answered", lambda operation, how: seen.append(how))
    drain = face.Ruled(clauses=({(3, 0): [face.Clause(away=10**6)]},))
    for request, rules in enumerate((drain, face.Ruled(let_through=(None, None, frozenset())))):
        played.owner.inputs.append(rules)
        played.step(played.call(request))
    assert seen == [AWAY, RULED]


def test_a_clock_set_back_moves_nothing(monkeypatch: pytest.MonkeyPatch) -> None:
    clock = Clock()
    before = clock.now()
    real = time.time_ns()
    monkeypatch.setattr(time, "time_ns", lambda: real - 3600 * 10**9)
    assert clock.now() >= before and clock.since(real) == 0


def test_more_in_hand_than_the_memory_bears_is_refused_unrun() -> None:
    """What sidecars book says nothing of what a try costs this program: the least rank goes, unrun."""
    played = Played()
    assert played.owner.machine.in_hand == bounds(64 * MIB, 384).in_hand
    controller = played.owner.controller
    assert controller is not None
    controller.machine = replace(controller.machine, in_hand=6)
    played.step(*(replace(played.call(n), kb=0.1, rank=0.1 if n in (3, 7) else 0.99) for n in range(1, 9)))
    assert [played.status(n) for n in (3, 7)] == [[429]] * 2 and len(played.hands.answers) == 2


@pytest.mark.parametrize("memory", [32, 48, 64, 96, 192])
def test_all_that_is_held_at_its_worst_fits_into_the_limit(memory: int) -> None:
    """Bounds of a fixed size came to over 90 MB, whatever the limit was."""
    most = bounds(memory * MIB, 384)
    held = most.connections * CONNECTION + most.in_hand * IN_HAND + most.news * NEWS
    grown = (most.unread + most.commands) * 9 // 8  # waiting bytes are joined in arrays that grow
    held += most.finished_jobs * JOB * GENERATIONS
    assert OWN + held + grown + most.coming + most.results <= memory * MIB
    assert most.connections >= 300 and most.in_hand >= 200


def test_slow_readers_share_one_budget_and_give_it_back() -> None:
    budget, (ours, theirs) = Budget(5000), socket.socketpair()
    first, second = (Outbox(ours, 4000, budget) for _ in range(2))
    filled = 0
    with suppress(BlockingIOError):
        while True:
            filled += os.write(ours.fileno(), bytes(1000))
    assert [first.put(bytes(3900)), second.put(bytes(3900)), first.put(bytes(200))] == [True, False, False]
    assert second.put(bytes(1000))
    second.close()
    for _ in range(0, filled + 3900, 100):
        assert len(theirs.recv(100, socket.MSG_WAITALL)) == 100
    assert first.empty.wait(10) and budget.left == 5000


def test_short_answers_that_nobody_reads_take_the_memory_of_their_bytes() -> None:
    """Each was an object of its own: the ends of aborted requests took over four times what was counted."""
    ours, _theirs = socket.socketpair()
    with suppress(BlockingIOError):
        while True:
            os.write(ours.fileno(), bytes(1000))
    outbox = Outbox(ours, 256 * 1024, Budget(256 * 1024))
    assert outbox.put(fastcgi.end(1))
    tracemalloc.start()
    for request in range(10_000):
        assert outbox.put(fastcgi.end(request))
    taken, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    assert taken <= outbox.size * 9 // 8


def test_what_a_socket_takes_at_once_costs_no_greenlet() -> None:
    """A writer for each connection took 20 KB of it and two switches an answer."""
    ours, theirs = socket.socketpair()
    outbox = Outbox(ours, 4000, Budget(4000))
    assert outbox.put(b"whole") and outbox.writer is None and outbox.empty.is_set()
    assert theirs.recv(5) == b"whole"
    theirs.close()
    assert outbox.put(b"lost") and outbox.broken and not outbox.put(b"more")


def reads(fresh: int = 300 * MS) -> Played:
    return Played(machine(operation(), fresh=fresh))


def test_reads_of_one_item_share_a_run_and_its_result() -> None:
    played = reads()
    played.step(played.call(1, item="a"))
    played.step(played.call(2, item="a"), played.call(3, item="b"))
    assert played.told("launch") == [f"{n:016x}" for n in (1, 3)]
    played.step(played.ended(1, result=b"shared"))
    played.step(played.call(4, item="a"), after=100 * MS)
    assert [played.status(n) for n in (1, 2, 4)] == [[200]] * 3
    assert all(b"shared" in played.hands.answers[n][0] for n in (2, 4))
    played.step(played.call(5, item="a"), after=301 * MS)
    assert played.told("launch")[-1] == f"{5:016x}"


def test_repeats_of_a_run_that_fails_fail_with_it() -> None:
    played = reads()
    played.step(played.call(1, item="a"))
    played.step(played.call(2, item="a"))
    played.step(played.ended(1, "bad"))
    assert [played.status(n) for n in (1, 2)] == [[500]] * 2


def test_nothing_is_kept_where_no_read_may_be_shared() -> None:
    played = reads(0)
    played.step(played.call(1, item="a"), played.call(2, item="a"))
    assert len(played.told("launch")) == 2 and not played.owner.results.entries


def test_results_stay_under_their_bounds() -> None:
    store, results = Invocations(), Results(1000, 8 * MIB)
    door = Hands()
    for n in range(9000):
        inv = store.add(str(n), 0, b"", door, n, f"item{n}")
        results.keep(inv, 10**6)
        results.ended(inv.index, 1, bytes(4096))
        assert len(results.entries) * ENTRY < results.size <= 8 * MIB
    assert results.entries.keys() == set(results.keys.values())
    assert results.size == sum(ENTRY + len(entry.result) for entry in results.entries.values())


@settings(derandomize=True, deadline=None, max_examples=200)
@given(
    st.lists(
        st.tuples(st.sampled_from(("add", "launch", "answer", "left", "drop")), st.integers(0, 5)),
        max_size=60,
    )
)
def test_no_order_of_news_lets_a_second_answer_out(steps: list[tuple[str, int]]) -> None:
    store, door, made = Invocations(), Hands(), 0
    for what, which in steps:
        invs = list(store)
        if what == "add":
            store.add(str(made), 0, b"", door, made)
            made += 1
        elif invs:
            inv = invs[which % len(invs)]
            if what == "launch":
                store.launch(inv, 0)
            elif what == "answer":
                state = inv.state
                assert store.answer(inv, b"x") == (state in (Try.HELD, Try.LAUNCHED))
            elif what == "left":
                store.caller_left(door, inv.request)
            elif inv.state in (Try.ANSWERED, Try.GONE):
                store.drop(inv.index)
        assert all(len(answers) == 1 for answers in door.answers.values())
        assert store.owed == sum(inv.state in (Try.HELD, Try.LAUNCHED) for inv in store)
        assert {inv.job for inv in store} == store.by_job.keys()


@settings(derandomize=True, deadline=None, max_examples=60)
@given(st.randoms(use_true_random=False))
def test_any_news_in_any_order_answers_each_once_and_leaves_nothing(chance: Random) -> None:
    """Launches, ends, aborts, lost links and lost gauges at random: all are answered by their due times."""
    played = Played(
        machine(operation(), operation("order", Effect.NON_IDEMPOTENT), fresh=chance.choice([0, 300 * MS]))
    )
    gone: set[int] = set()
    for request in range(1, 40):
        items: list[news.News] = [
            played.call(
                request, chance.randint(0, 1), chance.choice(["", "a"]), chance.choice([20, 700, 3000]) * MS
            )
        ]
        other = chance.randint(1, request)
        ended = played.ended(other, chance.choice(["good", "bad", "cut", "gone", "odd"]))
        refusal = news.CommandRefused("launch", f"{other:016x}")
        left, greeted = news.CallerLeft(played.hands, other), news.Greeted(False, 0)
        items += chance.sample([ended, left, greeted, refusal], chance.randint(0, 3))
        gone |= {item.request for item in items if isinstance(item, news.CallerLeft)}
        if samples := played.told("sample"):
            items += [news.Sampled(samples[-1], [0.5, chance.choice([0.0, 9.0]), 0.1])] * chance.randint(0, 1)
        played.step(*items, after=chance.choice([0, 5, 60]) * MS)
    for _ in range(90):
        played.step(after=50 * MS)
    assert not played.owner.invocations.owed
    for request in range(1, 40):
        assert len(played.status(request)) == 1 or (request in gone and not played.status(request))


# Start and stop.


def test_every_phase_but_the_last_ends_on_a_notice_and_on_a_bug() -> None:
    last = {Phase.CLOSED, Phase.FAILED}
    for phase in set(Phase) - last:
        assert PHASES[phase, Happening.BROKEN] == (Phase.FAILED, ("finish",))
        told = {step[0] for (at, _), step in PHASES.items() if at is phase}
        assert Phase.LEAVING in told or Phase.CLOSED in told or Phase.CLOSING in told
    assert not [key for key in PHASES if key[0] in last]


def test_log_lines_of_one_kind_are_counted_and_bounded(monkeypatch: pytest.MonkeyPatch) -> None:
    lines: list[str] = []
    monkeypatch.setattr(
        "loguru._logger.Logger.warning", lambda _, text, *told: lines.append(text.format(*told))
    )
    clock = [100.0]
    monkeypatch.setattr(time, "monotonic", lambda: clock[0])
    counted = logs.Counted()
    for _ in range(50):
        counted.warn("kind", "detail")
    clock[0] += logs.EVERY
    counted.warn("kind", "detail")
    assert lines == [
        "kind: detail (1 since the last such line)",
        "kind: detail (50 since the last such line)",
    ]
    for n in range(2 * logs.MOST_KINDS):
        counted.warn(f"kind {n}")
    assert len(counted.kinds) == logs.MOST_KINDS
