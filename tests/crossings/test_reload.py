"""SIGHUP in each moment, files of each kind, addresses that move under way; no leak of settings."""

from __future__ import annotations

import ast
import signal
import sys
from collections.abc import Callable
from pathlib import Path
from random import Random

import gevent
import pytest
from gevent import socket
from gevent.queue import Queue

import ringshift
from ringshift import interface as face
from ringshift.interface import Effect
from ringshift.lifecycle.configuration import read_told
from ringshift.wire import news
from ringshift.wire.agent import Agent as Link
from standins.agent import Agent
from standins.announce import Announce
from standins.host import SETTINGS, Host
from tests.crossings.test_agent_link import Peer, greet, line
from tests.simulation import MS, SimulatedServer, any_machine, machine, operation
from tests.test_owner import Played
from tests.test_program import TOLD, at_once

OTHER = {
    **SETTINGS,
    "classes": [
        {"name": "quote", "effect": "unsafe", "aim": 90.0, "hard_limit": 200.0, "late_worth": 0.0},
        {"name": "list", "effect": "safe", "aim": 50.0, "hard_limit": 100.0, "late_worth": 0.9},
    ],
    "extra": {**SETTINGS["extra"], "n_cores": 1, "halt": "none", "advert": "none", "fresh": 40.0},
}


def test_a_sighup_before_the_handler_stands_ends_nothing() -> None:
    """As `run` starts it: the shell lets it pass, and the file is read after the handler stands."""
    shell = f"trap '' HUP; kill -HUP $$; exec {sys.executable} -m ringshift"
    with Host(Agent(at_once), shell=shell) as host:
        sidecar = host.serving()
        sidecar.send(sidecar.call(1))
        assert sidecar.answer(1).status == 200


def test_of_several_at_once_the_last_file_counts() -> None:
    """The process stands while three come: they are one signal, and one reading."""
    with Host(Agent(at_once)) as host:
        host.line("-> serving")
        host.process.send_signal(signal.SIGSTOP)
        listeners = [Announce() for _ in range(3)]
        servers = [host.agent.serve() for _ in range(3)]
        for server, listener in zip(servers, listeners, strict=True):
            host.replace(agent="{}:{}".format(*server.address), announce=listener.address)
        host.process.send_signal(signal.SIGCONT)
        host.agent.until(lambda: host.agent.ports[-1] == servers[-1].address[1])
        host.wait(listeners[-1].reported, lambda: bool(listeners[-1].reports))
        host.line("configuration read")
        assert sum("configuration read" in text for text in host.lines) == 1 and len(host.agent.ports) == 2
        sidecar = host.sidecar()
        sidecar.send(sidecar.call(1))
        assert sidecar.answer(1).status == 200


@pytest.mark.parametrize("what", ["missing", "empty"])
def test_a_file_that_is_not_there_or_empty_changes_nothing(what: str) -> None:
    with Host(Agent(at_once)) as host:
        sidecar = host.serving()
        if what == "missing":
            host.path.unlink()
            host.process.send_signal(signal.SIGHUP)
        else:
            host.replace(b"")
        host.line("configuration stays as it was")
        sidecar.send(sidecar.call(1))
        assert sidecar.answer(1).status == 200 and len(host.agent.ports) == 1


def test_another_customers_settings_move_addresses_and_change_nothing_else() -> None:
    """They count from the next start on, and a line says so."""
    with Host(Agent(at_once)) as host:
        sidecar = host.serving()
        server = host.agent.serve()
        host.replace(settings=OTHER, agent="{}:{}".format(*server.address))
        host.line("settings: changed, which counts from the next start on")
        host.agent.until(lambda: host.agent.ports[-1] == server.address[1])
        sidecar.send(sidecar.call(1, "look") + sidecar.call(2, "quote"))
        assert (sidecar.answer(1).status, sidecar.answer(2).status) == (200, 400)
        assert sidecar.out == {} and [kind for _, kind, _ in host.agent.launches] == ["look"]


def test_a_shorter_stop_read_before_the_notice_holds() -> None:
    with Host(stop_ms=60_000.0) as host:
        sidecar = host.serving()
        host.replace(stop_ms=900.0)
        host.line("configuration read")
        sidecar.send(sidecar.call(1, "order"))
        host.agent.until(lambda: bool(host.agent.launches))
        host.process.terminate()
        assert sidecar.answer(1, 0.9).status == 500
        assert host.ended(2) == 0


def test_an_address_moved_while_the_old_one_is_dialled_in_vain_is_taken_at_once() -> None:
    with Host(Agent(at_once)) as host:
        sidecar, agent = host.serving(), host.agent
        agent.server.stop(0)
        agent.cut_link()
        host.line("agent can't be reached")
        server = agent.serve()
        host.replace(agent="{}:{}".format(*server.address))
        agent.until(lambda: agent.ports[-1] == server.address[1], 2.0)
        sidecar.send(sidecar.call(1))
        assert sidecar.answer(1).status == 200


def full() -> tuple[socket.socket, list[socket.socket]]:
    """An address whose backlog is full: a connect to it hangs."""
    listener = socket.socket()
    listener.bind(("127.0.0.1", 0))
    listener.listen(0)
    held = [socket.socket() for _ in range(4)]
    for sock in held:
        sock.setblocking(False)
        sock.connect_ex(listener.getsockname())
    return listener, held


def test_an_address_moved_during_a_connect_that_hangs_is_dialled_at_once() -> None:
    listener, held = full()
    peer, heard = Peer(), Queue[news.News]()
    link = Link(listener.getsockname(), Random(1))
    greenlet = link.start(heard.put)
    try:
        with gevent.Timeout(5):
            while link.sock is None:
                gevent.sleep(0)
        assert not link.connected
        link.move(peer.address)
        _, lines = peer.link(1.0)  # the hung connect would last two seconds
        assert line(lines) == {"type": "subscribe", "n": 0}
    finally:
        greenlet.kill()
        for sock in [listener, *held]:
            sock.close()


def test_a_move_between_connect_and_greeting_leaves_nothing_to_the_old_address() -> None:
    """The old one greets as the move is under way: no command goes there."""
    old, new, heard = Peer(), Peer(), Queue[news.News]()
    link = Link(old.address, Random(1))
    greenlet = link.start(heard.put)
    try:
        sock, lines = old.link()
        assert line(lines)["type"] == "subscribe"
        greet(sock)  # lies unread as it moves
        link.move(new.address)
        assert link.launch("a", "order", b"") is False
        other, others = new.link()
        assert line(others)["type"] == "subscribe"
        assert link.launch("b", "order", b"") is False
        greet(other)
        with gevent.Timeout(5):
            while link.outbox is None:
                heard.get()
        assert link.launch("c", "order", b"")
        assert line(others)["job"] == "c"
        with gevent.Timeout(5):
            assert lines.read() == b""
    finally:
        greenlet.kill()


def test_two_moves_at_once_and_one_back_end_at_the_last_address() -> None:
    first, second, heard = Peer(), Peer(), Queue[news.News]()
    link = Link(first.address, Random(1))
    greenlet = link.start(heard.put)
    try:
        sock, lines = first.link()
        assert line(lines)["type"] == "subscribe"
        greet(sock)
        heard.get(timeout=5)
        link.move(second.address)
        link.move(first.address)
        sock, lines = first.link()
        assert line(lines) == {"type": "subscribe", "n": 0}
        greet(sock)
        heard.get(timeout=5)
        assert link.launch("a", "order", b"") and line(lines)["job"] == "a"
        second.sock.setblocking(False)
        with pytest.raises(BlockingIOError):
            second.sock.accept()
    finally:
        greenlet.kill()


# Settings of one customer never leak into another.


Turn = Callable[[], object]


def decisions(seed: int) -> Turn:
    chance = Random(seed)
    server = SimulatedServer(any_machine(chance), chance)

    def turn() -> object:
        if server.kill and server.now + 20 * MS >= server.kill:
            return None
        server.now += 20 * MS
        return server.step(server.any_news())

    return turn


def owned(seed: int) -> Turn:
    ops = operation(), operation("order", Effect.NON_IDEMPOTENT, objective=500 + seed)
    made = [machine(*ops, fresh=300 * MS), machine(ops[1], cores=1, halt=face.Halt.NONE, longest_pause=0)]
    played, chance = Played(made[seed % 2]), Random(seed)
    requests = iter(range(1, 10**6))

    def turn() -> object:
        request = next(requests)
        played.step(played.call(request, 0, chance.choice(["", "a"])), after=30 * MS)
        played.step(played.ended(chance.randint(1, request), chance.choice(["good", "bad"])))
        return list(played.hands.said), {key: list(told) for key, told in played.hands.answers.items()}

    return turn


@pytest.mark.parametrize("make", [decisions, owned])
@pytest.mark.parametrize("seeds", [(1, 2), (2, 1), (5, 8), (11, 4)])
def test_two_customers_in_one_process_get_what_each_gets_alone(
    make: Callable[[int], Turn], seeds: tuple[int, int]
) -> None:
    alone = {seed: [turn() for turn in [make(seed)] for _ in range(40)] for seed in seeds}
    together = [make(seed) for seed in seeds]
    said: list[list[object]] = [[], []]
    for _ in range(40):
        for one, turn in enumerate(together):
            said[one].append(turn())
    assert said == [alone[seed] for seed in seeds]


def test_two_customers_files_are_read_alike_in_either_order() -> None:
    one, other = TOLD, {**TOLD, "settings": OTHER, "limits": {"memory_mb": 192, "sockets": 1024}}
    first = [read_told(told, {}) for told in (one, other)]
    assert first == [read_told(told, {}) for told in (other, one)][::-1] and first[0] != first[1]


COMPUTED = {
    "read_machine",
    "read_backend",
    "read_told",
    "read_operation",
    "bounds",
    "Controller",
    "Owner",
    "Bounds",
    "Machine",
    "need",
    "maybe",
    "rows",
    "getenv",
    "loads",
    "read_text",
    "read_bytes",
    "open",
}


def called_at_import(tree: ast.AST) -> set[str]:
    """Names called as a module is imported: all but the bodies of functions."""
    found, left = set[str](), list(ast.iter_child_nodes(tree))
    while left:
        node = left.pop()
        if isinstance(node, ast.FunctionDef | ast.AsyncFunctionDef | ast.Lambda):
            left += [] if isinstance(node, ast.Lambda) else [*node.decorator_list, node.args]
            continue
        if isinstance(node, ast.Call):
            func = node.func
            found.add(func.attr if isinstance(func, ast.Attribute) else getattr(func, "id", ""))
        left += ast.iter_child_nodes(node)
    return found


def test_no_module_reads_settings_as_it_is_imported() -> None:
    root = Path(ringshift.__file__).parent
    for path in sorted(root.rglob("*.py")):
        if path.name != "__main__.py":
            tree = ast.parse(path.read_text(encoding="utf-8"))
            assert not called_at_import(tree) & COMPUTED, path
