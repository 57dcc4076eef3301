"""A full table of connections: who makes room for whom, and what becomes of those that wait for it."""

from __future__ import annotations

import time
from collections.abc import Callable, Iterator
from contextlib import suppress
from dataclasses import dataclass, field

import gevent
import pytest
from gevent import socket
from gevent.queue import Queue

from ringshift.wire import calls, sidecars
from ringshift.wire.connection import Connection
from ringshift.wire.news import Called, News
from ringshift.wire.responder import Responder
from standins.sidecar import Sidecar
from tests.listening import listening

pytestmark = pytest.mark.alone

PLACES = 24
SOUND_JOBS = tuple(f"{number:016x}" for number in range(1, 40))
"""Ids under which sound clients ask; all others are turned away."""
TRY_SECONDS = 2.11
"""The shortest wait of a sidecar's try at the pages' sites."""
DESCRIPTORS, SILENT = 384, 850
"""Of the pages, and the silent clients of `review/2`."""


@dataclass
class Full:
    """A listener with few places, whose owner serves sound requests and turns away all others at once."""

    listener: sidecars.Sidecars
    heard: Queue[News]
    holding: bool = False
    """Sound requests are kept in `held` and not answered."""
    held: list[Called] = field(default_factory=list)
    bad: list[gevent.Greenlet[..., None]] = field(default_factory=list)

    def fill(self, bad_client: Callable[[Full], None]) -> None:
        """More bad clients than places."""
        self.bad = [gevent.spawn(bad_client, self) for _ in range(PLACES + 12)]
        until(lambda: len(self.listener.connections) >= PLACES - 1)

    def answer(self) -> None:
        while True:
            one = self.heard.get()
            if isinstance(one, Called):
                self.answer_one(one)

    def answer_one(self, one: Called) -> None:
        if one.job not in SOUND_JOBS:
            one.door.send(one.request, calls.throttled(one.request, {}, 0, False))
        elif self.holding:
            self.held.append(one)
        else:
            one.door.note_served()
            one.door.send(one.request, calls.succeeded(one.request, {}, b"done"))

    def client(self) -> Sidecar:
        return Sidecar(self.listener.sock.getsockname())

    def served(self) -> tuple[Sidecar, Connection]:
        """A client that was served, and the backend's end of its connection."""
        client, before = self.client(), set(self.listener.connections)
        ask(client, 1)
        (connection,) = [one for one in self.listener.connections - before if one.served]
        return client, connection


@pytest.fixture
def full(monkeypatch: pytest.MonkeyPatch) -> Iterator[Full]:
    monkeypatch.setattr(sidecars, "SWEEP", 0.1)
    heard: Queue[News] = Queue()
    with listening(heard.put) as (listener, _):
        listener.most, listener.spare = PLACES, 1
        here = Full(listener, heard)
        answering = gevent.spawn(here.answer)
        yield here
        gevent.killall([answering, *here.bad])


def until(test: Callable[[], bool], seconds: float = 10.0) -> None:
    with gevent.Timeout(seconds):
        while not test():
            gevent.sleep(0.005)


def ask(client: Sidecar, number: int) -> None:
    """A sound request, served."""
    client.send(client.call(number, HTTP_X_JOB_ID=SOUND_JOBS[number]))
    assert client.answer(number).status == 200


def ask_again(full: Full) -> None:
    """A bad client: one request open, again as soon as it is turned away; it comes again after each end."""
    while True:
        with suppress(OSError, AssertionError):
            client = full.client()
            while True:
                client.send(client.call(1, HTTP_X_JOB_ID="f" * 16))
                client.answer(1)


def pour(full: Full) -> None:
    """A bad client whose connection never rests."""
    while True:
        with suppress(OSError):
            client = full.client()
            data = b"".join(client.call(number, HTTP_X_JOB_ID="f" * 16) for number in range(1, 30))
            reading = gevent.spawn(discard, client)
            while not reading.dead:
                client.send(data)
                gevent.sleep(0)


def discard(client: Sidecar) -> None:
    with suppress(OSError):
        while client.sock.recv(65536):
            pass


def stop_half_way(full: Full) -> None:
    """A bad client whose request never comes whole."""
    while True:
        with suppress(OSError):
            client = full.client()
            client.send(client.call(1, HTTP_X_JOB_ID="f" * 16)[:-20])
            discard(client)


@pytest.mark.parametrize("bad_client", [ask_again, pour, stop_half_way])
def test_sound_clients_that_come_new_are_served_beside_a_table_of_busy_bad_ones(
    full: Full, bad_client: Callable[[Full], None]
) -> None:
    """No connection rested, so that none made room, and new ones lay unread until after their time."""
    full.fill(bad_client)
    with gevent.Timeout(5 * TRY_SECONDS):
        for number in range(1, 6):
            client = full.client()
            ask(client, number)
            client.sock.close()


def test_half_sent_requests_that_were_to_make_room_before_they_were_found_so_do_it_then(full: Full) -> None:
    """They stayed for five looks, and what waited meanwhile was closed."""
    full.listener.sweeping.kill()
    full.fill(stop_half_way)
    until(lambda: full.listener.table.closing >= PLACES - 1)
    full.listener.look()
    with gevent.Timeout(TRY_SECONDS):
        ask(full.client(), 1)


def test_half_sent_requests_make_room_once_they_were_found_so(full: Full) -> None:
    """They were given up after five looks at the earliest, with all that came meanwhile left waiting."""
    full.listener.sweeping.kill()
    full.fill(stop_half_way)
    until(lambda: all(one.half_sent for one in full.listener.connections))
    full.listener.look()
    with gevent.Timeout(TRY_SECONDS):
        ask(full.client(), 1)


def test_a_client_that_was_served_keeps_its_connection_beside_busy_bad_ones(full: Full) -> None:
    """Resting connections alone made room, which were those of the sound sidecars."""
    client, connection = full.served()
    full.fill(ask_again)
    for number in range(2, 12):
        gevent.sleep(2 * sidecars.CROSSING)  # a resting connection makes room after that
        ask(client, number)
    assert connection in full.listener.connections and not connection.half_closed.is_set()


def test_one_that_is_served_while_it_is_to_make_room_keeps_its_place(full: Full) -> None:
    """Else a busy sidecar, which never rests, lost what it had written when its time to rest was over."""
    full.holding = True
    client = full.client()
    client.send(client.call(1))
    until(lambda: len(full.held) == 1)
    (connection,) = full.listener.connections
    connection.accepted -= 1.0
    assert full.listener.end_busy() and full.listener.table.closing == 1
    full.holding = False
    full.answer_one(full.held.pop())
    assert client.answer(1).status == 200
    assert not connection.half_closed.is_set() and not full.listener.table.closing
    ask(client, 2)


def test_those_that_wait_for_room_in_vain_are_closed_with_nothing_run(full: Full) -> None:
    """All places are taken by busy clients that were served: what waits would have no answer in its time."""
    full.listener.most, full.listener.spare = 3, 0
    clients: list[Sidecar] = []
    for number in range(1, 4):
        full.holding = False
        clients.append(full.served()[0])
        full.holding = True
        clients[-1].send(clients[-1].call(2))
        until(lambda count=number: len(full.held) == count)  # type: ignore[misc]
    waiting, began = full.client(), time.monotonic()
    waiting.send(waiting.call(1))
    waiting.until_end()
    assert time.monotonic() - began < 2 * sidecars.REFUSE_AFTER
    assert len(full.held) == 3
    for one in full.held:
        one.door.send(one.request, calls.succeeded(one.request, {}, b"done"))
    assert [client.answer(2).status for client in clients] == [200] * 3


def test_silent_clients_make_room_as_fast_as_a_sidecars_try_needs(full: Full) -> None:
    """Eight ended at once, so that new connections waited for longer than a sidecar does."""
    rate, places = (SILENT - DESCRIPTORS) / TRY_SECONDS, 5 * PLACES
    full.listener.most = places
    address, more = full.listener.sock.getsockname(), 2 * places
    silent = [socket.create_connection(address) for _ in range(places)]
    until(lambda: len(full.listener.connections) >= places // 2)
    full.listener.sweeping.kill()
    gevent.sleep(2 * sidecars.CROSSING)
    accepted: list[object] = []
    add = full.listener.add

    def counted(sock: socket.socket) -> None:
        accepted.append(sock)
        add(sock)

    full.listener.add = counted  # type: ignore[method-assign]
    began = time.monotonic()
    silent += [socket.create_connection(address) for _ in range(more)]
    until(lambda: len(accepted) >= more)
    assert more / (time.monotonic() - began) > rate
    for sock in silent:
        sock.close()


def test_the_place_of_a_responder_is_its_connections(full: Full) -> None:
    """What the owner tells of one request reaches the table."""
    client = full.client()
    full.holding = True
    client.send(client.call(1))
    until(lambda: len(full.held) == 1)
    (one,) = full.held
    assert isinstance(one.door, Responder)
    one.door.note_served()
    assert list(full.listener.table.served) == list(full.listener.connections)
