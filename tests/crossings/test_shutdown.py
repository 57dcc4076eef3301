"""The notice to drain, in each moment of the program's life, and what crosses it."""

from __future__ import annotations

import signal
import time
from pathlib import Path
from random import Random

import gevent
import orjson
import pytest

from ringshift import interface as face
from ringshift.interface import Effect
from ringshift.lifecycle.program import BEFORE_KILL
from ringshift.owner import QUIET, Owner
from ringshift.runtime.bounds import MIB, bounds
from ringshift.wire import news
from standins.agent import Agent
from standins.host import Host
from tests.simulation import MS, SimulatedServer, machine, operation
from tests.test_owner import Hands, Played

pytestmark = pytest.mark.alone


def at_once(job: str, kind: str, body: bytes) -> tuple[float, str, bytes]:
    return 0.0, "good", kind.encode() + b":" + body


def looks_only(job: str, kind: str, body: bytes) -> tuple[float, str, bytes] | None:
    return at_once(job, kind, body) if kind == "look" else None


def job(request: int) -> str:
    return f"{request:016x}"


def paused(host: Host) -> None:
    """Until the process is seen to stand."""
    stat = Path("/proc", str(host.process.pid), "stat")
    with gevent.Timeout(10):
        while stat.read_text().rpartition(")")[2].split()[0] != "T":
            gevent.sleep(0.005)


# Before anything listens.

HIT = "import os, signal, sys; hit = lambda *told: os.kill(os.getpid(), signal.{})\n"
IMPORTING = (  # within the import of all that `python -m ringshift` needs
    "import runpy; find = type('Find', (), {'find_spec': staticmethod("
    "lambda name, *_: hit() if name == 'ringshift.lifecycle.entry' else None)})\n"
    "sys.meta_path.insert(0, find); sys.argv = ['ringshift']\n"
    "runpy.run_module('ringshift', run_name='__main__')"
)
READING = (  # once the file is read
    "from ringshift.lifecycle import entry; read = entry.read_backend\n"
    "entry.read_backend = lambda: (read(), hit())[0]; sys.exit(entry.run())"
)
LOOPING = (  # and what follows lets the loop run, as it may where instances talk
    "import gevent; from ringshift.lifecycle import entry\n"
    "entry.sharing = lambda *told: (hit(), gevent.sleep(0.02))[1]; sys.exit(entry.run())"
)


@pytest.mark.parametrize("moment", [IMPORTING, READING, LOOPING], ids=["importing", "reading", "looping"])
@pytest.mark.parametrize("name", ["SIGTERM", "SIGINT"])
def test_a_notice_before_it_listens_ends_it_as_drained(moment: str, name: str) -> None:
    """It ended by the signal: a crash to whoever reads the status."""
    with Host(Agent(at_once), command=("-c", HIT.format(name) + moment)) as host:
        assert host.ended() == 0
        assert not [line for line in host.lines if "listening on" in line]


@pytest.mark.parametrize("name", ["SIGTERM", "SIGHUP"])
def test_signals_while_the_interpreter_exits_leave_its_status(name: str) -> None:
    ending = "import atexit; atexit.register(hit); from ringshift.lifecycle.entry import run; sys.exit(run())"
    with Host(Agent(up=False), command=("-c", HIT.format(name) + ending)) as host:
        host.line("-> waiting")
        host.process.send_signal(signal.SIGTERM)
        assert host.ended() == 0


# Between the listener and the greeting.


def test_a_notice_before_the_greeting_leaves_nothing_open() -> None:
    with Host(Agent(at_once, up=False), stop_ms=60_000.0) as host:
        host.line("-> waiting")
        sidecar = host.sidecar()
        sidecar.send(sidecar.call(1))
        assert sidecar.answer(1).status == 429
        sidecar.send(sidecar.call(2)[:-3])  # half of a request is in the kernel or in the program
        host.process.send_signal(signal.SIGTERM)
        host.line("waiting -> leaving")
        sidecar.send(sidecar.call(2)[-3:])
        assert sidecar.answer(2).status == 429
        assert host.ended() == 0 and not host.agent.launches and not host.announce.reports


def test_a_greeting_after_the_notice_runs_nothing() -> None:
    hands, ready = Hands(), list[bool]()
    owner = Owner(
        machine(),
        bounds(64 * MIB, 384),
        True,
        1,
        hands,  # type: ignore[arg-type]
        hands,
        ready.append,
        lambda after: None,
    )
    owner.step([news.ToldToLeave(3000 * MS)])
    assert owner.settled.is_set()
    hands.time += 2001 * MS
    owner.step([news.Greeted(False, 0)])
    called = news.Called(hands, 1, job(1), 0, b"", "", hands.time, 900 * MS, 5.0, 0.5, 1)
    owner.step([called])
    assert b"Status: 429" in hands.answers[1][0] and len(hands.answers[1]) == 1
    assert not [said for said in hands.said if said[0] == "launch"]


# During a reload.

IN_REREAD = (  # the notice comes while the file is read anew
    "import os, signal, sys; from ringshift.lifecycle import program; reread = program.reread\n"
    "def hit(*told): os.kill(os.getpid(), signal.SIGTERM); return reread(*told)\n"
    "program.reread = hit; from ringshift.lifecycle.entry import run; sys.exit(run())"
)
IN_NOTICE = (  # the file is replaced while the notice is carried out
    "import os, signal, sys; from ringshift.wire import announce; stop = announce.Announcer.stop\n"
    "def hit(*told): os.kill(os.getpid(), signal.SIGHUP); stop(*told)\n"
    "announce.Announcer.stop = hit; from ringshift.lifecycle.entry import run; sys.exit(run())"
)


@pytest.mark.parametrize("order", ["notice within the reload", "reload within the notice", "both at once"])
def test_a_reload_and_a_notice_that_cross_are_both_carried_out(order: str) -> None:
    """What runs is heard of at the agent's new address, and the drain ends as any."""
    code = {"notice within the reload": IN_REREAD, "reload within the notice": IN_NOTICE}.get(order)
    command = ("-m", "ringshift") if code is None else ("-c", code)
    with Host(Agent(), stop_ms=6000.0, command=command) as host:
        sidecar, agent = host.serving(), host.agent
        sidecar.send(sidecar.call(1, "order"))
        agent.until(lambda: bool(agent.launches))
        server = agent.serve()
        moved = "{}:{}".format(*server.address)
        if order == "both at once":
            host.process.send_signal(signal.SIGSTOP)
            paused(host)
        if order == "reload within the notice":
            host.path.write_bytes(orjson.dumps({**host.told, "agent": moved}))
        else:
            host.replace(agent=moved)
        if order != "notice within the reload":
            host.process.send_signal(signal.SIGTERM)
        host.process.send_signal(signal.SIGCONT)
        host.line("serving -> leaving")
        host.line("configuration read")
        agent.until(lambda: agent.ports[-1] == server.address[1])
        agent.finish(job(1), result=b"moved")
        assert sidecar.answer(1).body == b"moved" and host.ended() == 0


# The agent's link.


def test_a_notice_during_the_links_reconnect_still_answers_all() -> None:
    with Host(stop_ms=3000.0) as host:
        sidecar = host.serving()
        sidecar.send(sidecar.call(1, "order", HTTP_X_ALLOW_MS="900"))
        host.agent.until(lambda: bool(host.agent.launches))
        host.agent.server.stop(0)
        host.agent.cut_link()
        host.line("agent can't be reached")
        host.process.send_signal(signal.SIGTERM)
        host.line("serving -> leaving")
        sidecar.send(sidecar.call(2))
        assert sidecar.answer(1, 3).status == 500  # it may have run
        assert sidecar.answer(2, 3).status in (429, 500)
        assert host.ended() == 0


def test_a_link_lost_in_drain_and_made_anew_brings_the_outcome() -> None:
    with Host(stop_ms=5000.0) as host:
        sidecar, agent = host.serving(), host.agent
        sidecar.send(sidecar.call(1, "order"))
        agent.until(lambda: bool(agent.launches))
        host.process.send_signal(signal.SIGTERM)
        host.line("leaving: 1 in hand")
        agent.cut_link()
        agent.finish(job(1), result=b"kept")  # while there is no link
        assert sidecar.answer(1).body == b"kept" and len(agent.launched(job(1))) <= 2
        assert host.ended() == 0


# The grace, to the millisecond.


@pytest.mark.parametrize("grace", [700, 2000, 5000])
@pytest.mark.parametrize("unread", [0, 40])
def test_the_grace_ends_within_a_millisecond(grace: int, unread: int) -> None:
    """By when it came, whenever it is read; and never later than the list forgets, 3 s after the notice."""
    for past, runs in ((-1, True), (0, True), (1, False)):
        server = SimulatedServer(machine(operation(), grace=grace * MS), Random(1))
        server.step([server.leave(20_000 * MS)])
        arrived = server.arrive(patience=3000 * MS, rank=1.0, kb=5.0, unread=unread * MS, repeats=None)
        said = server.step([arrived], forward=(min(grace, 3000) + past + unread) * MS)
        assert any(isinstance(action, face.Start) for action in said) is runs
        assert any(isinstance(action, face.Throttle) for action in said) is not runs


def test_a_run_that_ends_after_the_grace_is_answered_with_its_result() -> None:
    with Host(Agent(looks_only), stop_ms=6000.0) as host:
        sidecar, agent = host.serving(), host.agent
        sidecar.send(sidecar.call(1, "order"))
        agent.until(lambda: bool(agent.launches))
        host.process.send_signal(signal.SIGTERM)
        host.line("leaving: 1 in hand")
        sidecar.send(sidecar.call(2))
        assert sidecar.answer(2).status == 200  # within the grace
        last, status = 2, 200
        with gevent.Timeout(5):
            while status == 200:
                last += 1
                sidecar.send(sidecar.call(last))
                status = sidecar.answer(last).status
        assert status == 429 and not agent.launched(job(last))
        agent.finish(job(1), result=b"late")
        assert sidecar.answer(1).body == b"late" and host.ended() == 0


# Launches, the queue and the last look.


@pytest.mark.parametrize("first", ["call", "notice"])
def test_a_run_launched_in_the_step_of_the_notice_is_answered_by_its_result(first: str) -> None:
    played = Played()
    batch: list[news.News] = [played.call(1, 1), news.ToldToLeave(3000 * MS)]
    played.step(*(batch if first == "call" else reversed(batch)))
    assert played.told("launch") == [job(1)] and not played.status(1)
    played.step(played.ended(1), after=2500 * MS)
    assert played.status(1) == [200] and not played.owner.invocations.owed


@pytest.mark.parametrize("first", ["call", "notice"])
def test_what_is_read_beside_a_notice_shortly_before_the_kill_is_turned_away(first: str) -> None:
    played = Played()
    batch: list[news.News] = [played.call(1, 1), news.ToldToLeave(80 * MS)]
    played.step(*(batch if first == "call" else reversed(batch)))
    assert played.status(1) == [429] and not played.told("launch")


def test_what_the_queue_holds_once_settled_is_turned_away_at_once() -> None:
    played = Played(machine(operation(), operation("order", Effect.NON_IDEMPOTENT)))
    played.step(news.ToldToLeave(9000 * MS))
    played.step(after=2001 * MS + QUIET)
    assert played.owner.settled.is_set()
    played.step(played.call(1), played.call(2, 1))
    assert played.status(1) == played.status(2) == [429] and not played.told("launch")


def test_what_comes_between_the_last_look_and_the_close_is_answered() -> None:
    """Whole requests on an open connection and in the backlog, with the process held at that very point."""
    code = (
        "import os, signal, sys; from ringshift.lifecycle.program import Program; close = Program.close\n"
        "def held(self): os.kill(os.getpid(), signal.SIGSTOP); close(self)\n"
        "Program.close = held; from ringshift.lifecycle.entry import run; sys.exit(run())"
    )
    with Host(Agent(at_once), stop_ms=8000.0, command=("-c", code)) as host:
        known = host.serving()
        known.send(known.call(1))
        assert known.answer(1).status == 200
        host.process.send_signal(signal.SIGTERM)
        paused(host)
        new = host.sidecar()
        for request, sidecar in ((2, known), (3, new)):
            sidecar.send(sidecar.call(request))
        host.process.send_signal(signal.SIGCONT)
        for request, sidecar in ((2, known), (3, new)):
            assert sidecar.answer(request).status == 429
            sidecar.until_end()
        assert host.ended() == 0 and [id for id, _, _ in host.agent.launches] == [job(1)]


def test_answers_that_lie_in_the_kernel_survive_the_exit() -> None:
    """Thirty-two of the largest, of which the sidecar reads none until the process is gone."""
    with Host(Agent(lambda job, kind, body: (0.0, "good", bytes(4096))), stop_ms=4000.0) as host:
        sidecar = host.serving()
        for request in range(1, 33):
            sidecar.send(sidecar.call(request))
        host.agent.until(lambda: bool(host.agent.launches))
        host.process.send_signal(signal.SIGTERM)
        assert host.ended() == 0
        assert {sidecar.answer(request).status for request in range(1, 33)} <= {200, 429}
        assert not sidecar.ended


# A pause.


def test_a_pause_longer_than_the_grace_runs_nothing_that_came_after_it() -> None:
    """The grace counted from the end of the pause: what came long after the notice was run."""
    with Host(Agent(looks_only), stop_ms=5000.0) as host:
        sidecar, agent = host.serving(), host.agent
        sidecar.send(sidecar.call(1, "order"))
        agent.until(lambda: bool(agent.launches))
        host.process.send_signal(signal.SIGSTOP)
        paused(host)
        host.process.send_signal(signal.SIGTERM)
        gevent.sleep(0.4)  # the grace is 0.3
        sidecar.send(sidecar.call(2))
        other = host.sidecar()
        other.send(other.call(3))
        host.process.send_signal(signal.SIGCONT)
        assert [sidecar.answer(2).status, other.answer(3).status] == [429, 429]
        agent.finish(job(1))
        assert sidecar.answer(1).status == 200
        assert host.ended() == 0 and [id for id, _, _ in agent.launches] == [job(1)]


@pytest.mark.alone
def test_after_a_pause_all_is_answered_by_the_kill_that_follows_the_notice() -> None:
    """The kill counted from the end of the pause: a run in hand had no answer when it came."""
    with Host(stop_ms=2000.0) as host:
        sidecar = host.serving()
        sidecar.send(sidecar.call(1, "order"))
        host.agent.until(lambda: bool(host.agent.launches))
        host.process.send_signal(signal.SIGSTOP)
        paused(host)
        noticed = time.monotonic()
        host.process.send_signal(signal.SIGTERM)
        gevent.sleep(1.0)
        host.process.send_signal(signal.SIGCONT)
        assert sidecar.answer(1).status == 500 and time.monotonic() < noticed + 2.0
        assert host.ended() == 0


def test_a_pause_longer_than_the_time_to_the_kill_still_answers_all() -> None:
    """The machine stood with all on it, its killer too: what is in hand is answered at once."""
    with Host(stop_ms=600.0) as host:
        sidecar = host.serving()
        sidecar.send(sidecar.call(1, "order", HTTP_X_ALLOW_MS="9000"))
        host.agent.until(lambda: bool(host.agent.launches))
        host.process.send_signal(signal.SIGSTOP)
        paused(host)
        host.process.send_signal(signal.SIGTERM)
        gevent.sleep(0.7 + BEFORE_KILL)
        sidecar.send(sidecar.call(2))
        host.process.send_signal(signal.SIGCONT)
        assert sidecar.answer(1, 1).status == 500 and sidecar.answer(2, 1).status == 429
        assert host.ended() == 0
