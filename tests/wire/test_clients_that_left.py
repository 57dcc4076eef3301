"""A client resets or closes its connection while requests of it are unread, held or running."""

from __future__ import annotations

import socket as plain
import struct
from collections.abc import Callable
from random import Random

import gevent
import pytest
from gevent import socket

from ringshift.wire import calls, news
from ringshift.wire.connection import Connection
from ringshift.wire.fair_turn import Share
from standins.sidecar import Sidecar
from tests.listening import Here, listening

REQUESTS = 24


def until(test: Callable[[], bool]) -> None:
    with gevent.Timeout(10):
        while not test():
            gevent.sleep(0)


def reset(client: Sidecar) -> None:
    """Closes so that the other side sees a reset."""
    client.sock.setsockopt(socket.SOL_SOCKET, plain.SO_LINGER, struct.pack("ii", 1, 0))
    client.sock.close()


def called(here: Here) -> list[news.Called]:
    return [item for item in here[1] if isinstance(item, news.Called)]


def left(here: Here) -> list[news.Door]:
    return [item.door for item in here[1] if isinstance(item, news.CallerLeft)]


def test_what_a_client_left_unread_by_a_reset_is_not_called() -> None:
    """The kernel gives out what came before the reset, and all of it was sent on to be run."""
    with listening() as here:
        listener, heard = here
        client = Sidecar(listener.sock.getsockname())
        until(lambda: len(listener.connections) == 1)
        with listener.turn.taken(Share()):
            client.send(b"".join(client.call(number) for number in range(1, REQUESTS + 1)))
            reset(client)
            gevent.idle()
        until(lambda: not listener.connections)
        assert not heard


def test_the_first_answer_that_finds_the_client_gone_gives_its_other_requests_up() -> None:
    """After a plain close, which looks like that of one direction, the others went on to be run."""
    with listening() as here:
        listener, _ = here
        client = Sidecar(listener.sock.getsockname())
        client.send(b"".join(client.call(number) for number in range(1, REQUESTS + 1)))
        until(lambda: len(called(here)) == REQUESTS)
        client.sock.close()
        first, second, *rest = called(here)
        for one in (first, second):
            one.door.send(one.request, calls.succeeded(one.request, {}, b"done"))
            gevent.idle()
        until(lambda: not listener.connections)
        assert left(here)[-len(rest) :] == [one.door for one in rest]


def test_one_that_closed_its_sending_side_only_gets_all_its_answers() -> None:
    """Beside the ones above: it is not gone."""
    with listening() as here:
        listener, _ = here
        client = Sidecar(listener.sock.getsockname())
        client.send(b"".join(client.call(number) for number in range(1, REQUESTS + 1)))
        client.sock.shutdown(socket.SHUT_WR)
        until(lambda: len(called(here)) == REQUESTS)
        for one in called(here):
            one.door.send(one.request, calls.succeeded(one.request, {}, b"done"))
            assert client.answer(one.request).body == b"done"
        assert not left(here)


def test_the_sweep_leaves_a_connection_that_half_closed_to_its_end(monkeypatch: pytest.MonkeyPatch) -> None:
    """With both directions closed it looks like a reset one, and ended before what had crossed was read, its
    last answers could be reset."""
    with listening() as (listener, _):
        client = Sidecar(listener.sock.getsockname())
        until(lambda: len(listener.connections) == 1)
        (connection,) = listener.connections
        monkeypatch.setattr(Connection, "gone", lambda self: True)
        connection.half_close(60.0)
        listener.look()
        gevent.idle()
        assert not connection.ended
        client.sock.close()
        until(lambda: connection.ended)


@pytest.mark.parametrize("seed", range(6))
def test_after_a_reset_at_any_moment_nothing_more_of_the_client_is_called(seed: int) -> None:
    """Cut at a random byte, while the reader is between two turns."""
    chance = Random(seed)
    with listening() as here:
        listener, heard = here
        client = Sidecar(listener.sock.getsockname())
        data = b"".join(client.call(number) for number in range(1, REQUESTS + 1))
        cut = chance.randrange(len(data))
        client.send(data[:cut])
        for _ in range(chance.randint(0, 6)):
            gevent.idle()
        with listener.turn.taken(Share()):
            client.send(data[cut:])
            before = len(called(here))
            reset(client)
            gevent.idle()
        until(lambda: not listener.connections)
        assert len(called(here)) == before and len(left(here)) == before
