"""Connections without the program: what is left half sent, what is left idle, and the last moments."""

from __future__ import annotations

import gc
import time
import weakref
from collections.abc import Iterator
from contextlib import suppress

import gevent
import pytest
from gevent.queue import Queue

from ringshift.wire import calls, connection, fastcgi, sidecars
from ringshift.wire.news import Called, CallerLeft, News
from ringshift.wire.responder import Responder
from standins.sidecar import Sidecar
from tests.listening import Here, listening


@pytest.fixture
def here(monkeypatch: pytest.MonkeyPatch) -> Iterator[Here]:
    monkeypatch.setattr(sidecars, "SWEEP", 0.02)
    with listening() as door_and_heard:
        yield door_and_heard


def serving(door: sidecars.Sidecars) -> list[bool]:
    """Whether each one has spoken that has not been ended; an ended one keeps its place while it lingers."""
    return sorted(one.spoken for one in door.connections if not one.half_closed.is_set())


def until(test: object, seconds: float = 10.0) -> None:
    with gevent.Timeout(seconds):
        while not test():  # type: ignore[operator]
            gevent.sleep(0.005)


def test_a_request_half_sent_fails_alone_and_others_stay_open(here) -> None:  # type: ignore[no-untyped-def]
    """A sidecar that stops within a request held its memory for good, or took others' answers with it."""
    door, heard = here
    sidecar = Sidecar(door.sock.getsockname())
    sidecar.send(sidecar.call(1) + sidecar.call(2)[:40])
    assert sidecar.answer(2).status == 400
    (called,) = heard
    assert isinstance(called, Called)
    called.door.send(1, calls.succeeded(1, {}, b"kept"))
    assert sidecar.answer(1).body == b"kept"


def test_a_record_cut_short_ends_its_connection_once_nothing_is_open(here) -> None:  # type: ignore[no-untyped-def]
    door, heard = here
    sidecar, other = (Sidecar(door.sock.getsockname()) for _ in range(2))
    other.send(other.call(1))
    sidecar.send(b"\x01\x01\x00")
    sidecar.until_end()
    until(lambda: len(door.connections) == 1)
    assert not any(isinstance(news, CallerLeft) for news in heard)


def test_a_message_that_never_ends_is_given_up_though_its_client_goes_on(here) -> None:  # type: ignore[no-untyped-def]
    """Each byte that trickled in bought it more time."""
    door, heard = here
    whole, none = (Sidecar(door.sock.getsockname()) for _ in range(2))
    whole.send(whole.call(1) + whole.begin(2))

    def trickle(sidecar: Sidecar, data: bytes) -> None:
        with suppress(OSError):
            while True:
                sidecar.send(data)
                gevent.sleep(0.01)

    trickling = [
        gevent.spawn(trickle, whole, fastcgi.record(fastcgi.PARAMS, 2, b"x")),
        gevent.spawn(trickle, none, fastcgi.record(fastcgi.GET_VALUES, 0)),
    ]
    assert whole.answer(2).status == 400
    none.until_end()
    assert len(heard) == 1 and serving(door) == [True]
    until(lambda: len(door.connections) == 1, connection.LAST_READ + 1.0)
    gevent.killall(trickling)


def test_those_that_never_asked_make_room_first_and_leave_by_themselves(here) -> None:  # type: ignore[no-untyped-def]
    """Hundreds of silent clients cost the sidecars their connections, and stayed for good."""
    door, heard = here
    asked = Sidecar(door.sock.getsockname())
    asked.send(asked.call(1))
    until(lambda: bool(heard))
    heard[0].door.send(1, calls.succeeded(1, {}, b"done"))
    assert asked.answer(1).status == 200
    door.sweeping.kill()
    silent, other = (Sidecar(door.sock.getsockname()) for _ in range(2))
    until(lambda: len(door.connections) == 3 and all(c.quiet(sidecars.CROSSING) for c in door.connections))
    door.make_room("full")
    assert serving(door) == [False, True]
    door.sweeping = gevent.spawn(door.sweep)
    silent.until_end()
    other.until_end()
    assert serving(door) == [True]
    until(lambda: len(door.connections) == 1, connection.LAST_READ + 1.0)


def test_connections_left_idle_close_when_the_module_says_so(here) -> None:  # type: ignore[no-untyped-def]
    door, heard = here
    idle, busy = (Sidecar(door.sock.getsockname()) for _ in range(2))
    busy.send(busy.call(1))
    until(lambda: bool(heard))
    assert len(door.connections) == 2
    door.idle_after = 0.05
    idle.until_end()
    assert serving(door) == [True]
    until(lambda: len(door.connections) == 1, connection.LAST_READ + 1.0)
    heard[0].door.send(1, calls.succeeded(1, {}, b"done"))
    assert busy.answer(1).status == 200
    busy.until_end()


def test_a_broken_connection_tells_its_open_requests_once(here) -> None:  # type: ignore[no-untyped-def]
    door, heard = here
    sidecar = Sidecar(door.sock.getsockname())
    sidecar.send(sidecar.call(1) + sidecar.call(2))
    until(lambda: len(heard) == 2)
    heard[0].door.send(1, calls.succeeded(1, {}, b"unread"))
    sidecar.sock.setsockopt(1, 13, b"\1\0\0\0\0\0\0\0")  # SO_LINGER of none: a reset, not an end
    sidecar.sock.close()
    until(lambda: not door.connections)
    assert [news.request for news in heard if isinstance(news, CallerLeft)] == [2]


def test_a_connection_that_ended_is_gone_without_the_collector(here) -> None:  # type: ignore[no-untyped-def]
    """Ever new connections: what only the collector frees grew for minutes, a buffer each with it."""
    door, heard = here
    sidecars_ = [Sidecar(door.sock.getsockname()) for _ in range(5)]
    for sidecar in sidecars_:
        sidecar.send(sidecar.call(1))
    until(lambda: len(heard) == 5)
    assert len({id(connection.decoder.buffer) for connection in door.connections}) == 1
    gone = [weakref.ref(connection) for connection in door.connections]
    gc.disable()
    try:
        while heard:
            heard.pop().door.send(1, calls.succeeded(1, {}, b"done"))
        for sidecar in sidecars_:
            sidecar.sock.close()
        until(lambda: not any(connection() for connection in gone))
    finally:
        gc.enable()


TURNS = 50


def test_readers_whose_words_the_owner_has_no_room_for_leave_the_rest_unread() -> None:
    """Each connection held all requests of one read until the owner's queue had room: after a pause of the
    process, hundreds of them at once."""
    queue: Queue[News] = Queue(4)
    with listening(queue.put) as (door, _):
        hold_readers_back(door, queue)


def hold_readers_back(door: sidecars.Sidecars, queue: Queue[News]) -> None:
    clients = [Sidecar(door.sock.getsockname()) for _ in range(20)]
    for client in clients:
        client.send(b"".join(client.call(number) for number in range(1, 31)))
    until(lambda: len(door.connections) == len(clients))
    until(queue.full)
    for _ in range(TURNS):  # of the loop, in which whoever still may read does
        gevent.idle()
    in_hand = sum(len(one.decoder.open) for one in door.connections)
    assert in_hand <= 30
    heard = set[tuple[int, int]]()
    with gevent.Timeout(10):
        while len(heard) < 600:
            news = queue.get()
            assert isinstance(news, Called) and isinstance(news.door, Responder)
            heard.add((id(news.door.connection), news.request))
    rest = gevent.spawn(lambda: [queue.get() for _ in heard])  # each open request's caller leaves
    gevent.killall([one.reader for one in door.connections])
    rest.kill()


def test_an_abort_is_told_once_and_ends_the_request(here) -> None:  # type: ignore[no-untyped-def]
    door, heard = here
    sidecar = Sidecar(door.sock.getsockname())
    sidecar.send(sidecar.call(1) + fastcgi.record(fastcgi.ABORT, 1) * 2)
    assert sidecar.answer(1).status == 0
    assert [type(news) for news in heard] == [Called, CallerLeft]
    heard[0].door.send(1, calls.succeeded(1, {}, b"too late"))
    sidecar.send(sidecar.check(2))
    until(lambda: len(heard) == 3)
    heard[2].door.send(2, calls.checked(2, {}, True))
    assert sidecar.answer(2).status == 200 and 1 not in sidecar.ended


def test_closing_takes_what_waits_to_be_accepted(here) -> None:  # type: ignore[no-untyped-def]
    """Closing a listener resets what the kernel has accepted and the program has not."""
    door, heard = here
    door.accepting.kill()
    waiting = [Sidecar(door.sock.getsockname()) for _ in range(3)]
    for sidecar in waiting:
        sidecar.send(sidecar.call(1))
    closing = gevent.spawn(door.close, 5.0)
    until(lambda: len(heard) == 3)
    for news in heard:
        news.door.send(1, calls.throttled(1, {}, 0, False))
    assert [sidecar.answer(1).status for sidecar in waiting] == [429] * 3
    closing.join(10)


def test_closing_waits_for_what_still_comes_and_ends_in_time(here) -> None:  # type: ignore[no-untyped-def]
    """A connection that closes with bytes unread resets the answers that were sent before."""
    door, heard = here
    sidecar = Sidecar(door.sock.getsockname())
    sidecar.send(sidecar.call(1))
    until(lambda: bool(heard))
    started, port = time.monotonic(), door.sock.getsockname()[1]
    closing = gevent.spawn(door.close, 5.0)
    gevent.sleep(0)
    sidecar.send(sidecar.call(2))
    until(lambda: len(heard) == 2)
    for news in heard:
        news.door.send(news.request, calls.throttled(news.request, {}, 0, False))
        assert sidecar.answer(news.request).status == 429
    sidecar.until_end()
    closing.join(10)
    assert sidecars.CROSSING < time.monotonic() - started < 4 and not door.connections
    with pytest.raises(ConnectionRefusedError):
        Sidecar(("127.0.0.1", port))
