"""The end of a connection crossed by what still comes on it, in each order that can occur."""

from __future__ import annotations

import errno
import time
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from typing import Any

import gevent
import pytest
from gevent import socket
from gevent.socket import wait_write

from ringshift.runtime.bounds import MIB, bounds
from ringshift.wire import calls, connection, fastcgi, sidecars
from ringshift.wire.connection import Connection
from ringshift.wire.news import Called, CallerLeft, News
from standins.sidecar import Sidecar

pytestmark = pytest.mark.alone

RESULT = bytes(4096)


@dataclass
class Here:
    """Sidecars without the program: the news is kept, and the tests answer."""

    heard: list[News] = field(default_factory=list)

    def __post_init__(self) -> None:
        self.door = sidecars.Sidecars(
            ("127.0.0.1", 0), {"look": 0}, self.heard.append, bounds(192 * MIB, 1024)
        )

    def caller(self) -> tuple[Sidecar, Connection]:
        """One more, and the backend's end of it."""
        before = set(self.door.connections)
        caller = Sidecar(self.door.sock.getsockname())
        until(lambda: len(self.door.connections) > len(before))
        return caller, next(iter(self.door.connections - before))

    def rested(self) -> tuple[Sidecar, Connection]:
        """A caller that was answered and has rested for longer than a request may cross a close."""
        caller, place = self.caller()
        caller.send(caller.call(1))
        self.answer()
        assert caller.answer(1).status == 200
        self.heard.clear()
        place.touched -= 1.0
        return caller, place

    def calls(self) -> list[Called]:
        return [news for news in self.heard if isinstance(news, Called)]

    def answer(self, result: bytes = b"done") -> None:
        until(lambda: bool(self.calls()))
        for news in self.calls():
            news.door.send(news.request, calls.succeeded(news.request, {}, result))


@pytest.fixture
def here(monkeypatch: pytest.MonkeyPatch) -> Iterator[Here]:
    monkeypatch.setattr(sidecars, "SWEEP", 60.0)  # the tests look themselves, where the order wants it
    here = Here()
    yield here
    gevent.killall([here.door.accepting, here.door.sweeping, *(c.reader for c in here.door.connections)])
    here.door.sock.close()


def until(test: Callable[[], bool], seconds: float = 10.0) -> None:
    with gevent.Timeout(seconds):
        while not test():
            gevent.sleep(0.002)


def for_room(here: Here, place: Connection) -> None:
    here.door.make_room("full")


def for_idleness(here: Here, place: Connection) -> None:
    here.door.idle_after = 0.5
    here.door.look()


def by_the_sweep(here: Here, place: Connection) -> None:
    place.spoken = False
    place.looks = connection.LOOKS
    here.door.look()


def at_the_end_of_drain(here: Here, place: Connection) -> None:
    here.door.close(1.0)


WAYS = [for_room, for_idleness, by_the_sweep, at_the_end_of_drain]
ways = pytest.mark.parametrize("way", WAYS)


def cross(monkeypatch: pytest.MonkeyPatch, place: Connection, then: Callable[[], object]) -> None:
    """`then` happens after the last look for unread bytes and before the connection is closed in any way."""
    unread = place.unread

    def crossed() -> bool:
        found = unread()
        if not found:
            then()
        return found

    monkeypatch.setattr(place, "unread", crossed)


@ways
def test_a_request_between_the_last_look_and_the_close_is_not_run_and_resets_nothing(
    here: Here, monkeypatch: pytest.MonkeyPatch, way: Callable[[Here, Connection], None]
) -> None:
    caller, place = here.rested()
    cross(monkeypatch, place, lambda: caller.sock.send(caller.call(2)))  # no switch: in this very step
    ending = gevent.spawn(way, here, place)
    with gevent.Timeout(10):
        while caller.read():  # an end, where a reset would raise
            pass
    caller.sock.close()
    ending.join(10)
    assert not here.heard and 2 not in caller.ended
    until(lambda: not here.door.connections)


@ways
def test_a_request_unread_at_the_last_look_is_taken_and_answered(
    here: Here, way: Callable[[Here, Connection], None]
) -> None:
    caller, place = here.rested()
    caller.sock.send(caller.call(2))  # the reader has had no turn since
    ending = gevent.spawn(way, here, place)
    here.answer(b"second")
    assert caller.answer(2).body == b"second"
    ending.kill()


@ways
@pytest.mark.parametrize("part", [3, 8, 12], ids=["half a header", "a header", "half a record"])
def test_what_is_half_sent_at_the_last_look_is_waited_for(
    here: Here, way: Callable[[Here, Connection], None], part: int
) -> None:
    caller, place = here.rested()
    data = caller.call(2)
    caller.sock.send(data[:part])
    ending = gevent.spawn(way, here, place)
    gevent.sleep(0)
    assert not place.half_closed.is_set()
    caller.send(data[part:])
    here.answer(b"second")
    assert caller.answer(2).body == b"second"
    ending.kill()


@ways
def test_a_client_that_rests_until_its_end_sees_an_end_and_no_reset(
    here: Here, way: Callable[[Here, Connection], None]
) -> None:
    caller, place = here.rested()
    ending = gevent.spawn(way, here, place)
    with gevent.Timeout(10):
        assert not caller.read()
    caller.sock.close()
    ending.join(10)
    until(lambda: not here.door.connections)


@ways
def test_a_client_that_never_ends_keeps_its_place_for_a_bounded_time(
    here: Here, way: Callable[[Here, Connection], None]
) -> None:
    _caller, place = here.rested()
    ending = gevent.spawn(way, here, place)
    until(place.half_closed.is_set)
    until(lambda: not here.door.connections, connection.LAST_READ + 2.0)
    ending.join(10)


def test_a_flood_after_the_half_close_is_cut_off_and_none_of_it_is_run(
    here: Here, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The bound in bytes alone: time stands still for it."""
    caller, place = here.rested()
    monkeypatch.setattr(connection, "LAST_READ", 600.0)
    place.half_close(600.0)
    with pytest.raises(OSError), gevent.Timeout(30):
        while True:
            caller.send(caller.call(2) * 100)
    until(lambda: not here.door.connections)
    assert not here.heard


def test_an_answer_to_what_a_closing_connection_does_not_owe_is_dropped(here: Here) -> None:
    caller, place = here.rested()
    place.half_close()
    place.send(1, calls.succeeded(1, {}, b"again"))
    with gevent.Timeout(10):
        assert not caller.read()


def test_making_room_ends_each_once_and_few_at_once(here: Here, monkeypatch: pytest.MonkeyPatch) -> None:
    """Places are kept while they linger: what waits for room must neither spin nor end all."""
    callers = [here.rested() for _ in range(sidecars.MOST_FOR_ROOM + 4)]
    ends: list[Connection] = []

    def ending(place: Connection, seconds: float) -> None:
        ends.append(place)
        half_close(place, 600.0)

    half_close = Connection.half_close
    monkeypatch.setattr(Connection, "half_close", ending)
    for _ in range(sidecars.MOST_FOR_ROOM + 3):
        here.door.make_room("full")
    assert len(ends) == len(set(ends)) == sidecars.MOST_FOR_ROOM
    callers[0][0].sock.close()
    until(lambda: len(here.door.connections) == len(callers) - 1)
    here.door.make_room("full")
    assert len(set(ends)) == len(ends) == sidecars.MOST_FOR_ROOM + 1


def test_an_abort_that_crosses_its_answer_is_passed_over(here: Here) -> None:
    caller, _ = here.caller()
    caller.send(caller.call(1))
    here.answer(b"first")  # before the abort is read
    caller.sock.send(fastcgi.record(fastcgi.ABORT, 1) + caller.call(1))
    assert caller.answer(1).body == b"first"
    here.heard.clear()
    here.answer(b"second")
    assert caller.answer(1).body == b"second"
    assert not [news for news in here.heard if isinstance(news, CallerLeft)]


def test_without_keep_conn_what_is_open_beside_it_is_answered_before_the_end(here: Here) -> None:
    """The connection was closed with the other one's answer owed."""
    caller, _ = here.caller()
    caller.send(caller.call(1) + caller.call(2, keep=False))
    until(lambda: len(here.calls()) == 2)
    first, last = here.calls()
    last.door.send(2, calls.succeeded(2, {}, b"last"))
    assert caller.answer(2).body == b"last"
    first.door.send(1, calls.succeeded(1, {}, b"first"))
    assert caller.answer(1).body == b"first"
    with gevent.Timeout(10):
        assert not caller.read()


def test_a_request_behind_one_that_ends_its_connection_at_once_is_answered(here: Here) -> None:
    """In one piece: the first is refused while the second is not decoded."""
    caller, _ = here.caller()
    caller.send(caller.call(1, "unknown", keep=False) + caller.call(2))
    here.answer(b"second")
    assert (caller.answer(1).status, caller.answer(2).body) == (400, b"second")
    with gevent.Timeout(10):
        assert not caller.read()


def test_a_half_close_of_the_client_ends_after_all_its_answers(here: Here) -> None:
    caller, _ = here.caller()
    caller.send(caller.call(1) + caller.call(2))
    caller.sock.shutdown(socket.SHUT_WR)
    until(lambda: len(here.calls()) == 2)
    here.answer(RESULT)
    assert [caller.answer(n).body for n in (1, 2)] == [RESULT, RESULT]
    assert not caller.read()
    until(lambda: not here.door.connections)


def fill(here: Here, caller: Sidecar, place: Connection) -> int:
    """Answers that the caller does not read, until some wait in the outbox; how many."""
    sent = 0
    while place.outbox.empty.is_set():
        sent += 1
        caller.send(caller.call(sent))
        here.answer(RESULT)
        here.heard.clear()
    return sent


def test_a_reset_with_answers_queued_frees_all_that_was_held(here: Here) -> None:
    left = here.door.unread.left
    caller, place = here.caller()
    fill(here, caller, place)
    assert here.door.unread.left < left
    caller.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
    caller.sock.close()
    until(lambda: not here.door.connections)
    assert here.door.unread.left == left


def test_answers_beyond_the_send_buffer_outlive_the_drain(here: Here) -> None:
    """A slow reader's answers were left in the program's own memory as it ended."""
    caller, place = here.caller()
    sent = fill(here, caller, place)
    here.door.close(0.2)
    until(lambda: not here.door.connections)
    assert [caller.answer(n).body for n in range(1, sent + 1)] == [RESULT] * sent
    with gevent.Timeout(10):
        assert not caller.read()


def test_callers_that_never_pause_get_an_answer_to_all_that_was_read(here: Here) -> None:
    """One was always open, so that the last one read had no answer as the program ended."""
    caller, place = here.caller()
    owed: list[Called] = []

    def ask() -> None:
        """Two at a time: the next one is sent as soon as one is answered."""
        caller.send(caller.call(1) + caller.call(2))
        request = 0
        while True:
            request = request % 2 + 1
            while request not in caller.ended:
                if not caller.read():
                    return
            caller.answer(request)
            caller.send(caller.call(request))

    def serve() -> None:
        """The older one of two; the last one only when nothing comes any more."""
        waited = 0
        while True:
            owed.extend(here.calls())
            here.heard.clear()
            waited = 0 if len(owed) > 1 else waited + 1
            if len(owed) > 1 or (owed and waited > 5):
                news = owed.pop(0)
                news.door.send(news.request, calls.throttled(news.request, {}, 0, False))
            gevent.sleep(0.001)

    asking, serving = gevent.spawn(ask), gevent.spawn(serve)
    here.door.close(0.3)
    serving.kill()
    asking.join(10)
    assert place.half_closed.is_set() and not place.decoder.open and not owed and not here.heard


def test_nothing_is_read_in_the_very_last_moments_and_what_was_read_is_answered(here: Here) -> None:
    caller, place = here.caller()
    caller.send(caller.call(1))
    until(lambda: len(here.calls()) == 1)
    place.stop_reading()
    caller.send(caller.call(2))
    here.answer(b"first")
    assert caller.answer(1).body == b"first"
    with gevent.Timeout(10):
        assert not caller.read()
    assert len(here.calls()) == 1


def test_a_request_half_sent_in_the_very_last_moments_is_told_that_it_never_ran(here: Here) -> None:
    caller, place = here.caller()
    caller.send(caller.call(1)[:40])
    until(lambda: bool(place.decoder.coming))
    here.door.close(0.1)
    assert caller.answer(1).status == 429 and not here.heard


def test_a_nearly_full_table_evicts_the_least_recently_used_ahead_of_need(here: Here) -> None:
    """Each new one waited until another had ended: in a flood hundreds waited in the kernel's queue, which
    the bench counts as this process's descriptors."""
    here.door.most, here.door.spare = 32, 2
    resting = [here.caller() for _ in range(30)]
    assert not here.door.table.closing
    for _, place in resting:
        place.touched -= 1.0
    _, newest = here.caller()
    assert [place for place in here.door.connections if place.half_closed.is_set()] == [resting[0][1]]
    with gevent.Timeout(10):
        assert not resting[0][0].read()
    resting[0][0].sock.close()
    until(lambda: len(here.door.connections) == 30)
    assert newest in here.door.connections and not here.door.table.closing


@dataclass
class Listener:
    """The backend's listening socket, with a moment of the test's within `accept`."""

    sock: socket.socket
    before_accept: Callable[[], None] = lambda: None
    found_none: Callable[[], None] = lambda: None

    def __getattr__(self, name: str) -> Any:
        return getattr(self.sock, name)

    def accept(self) -> tuple[socket.socket, Any]:
        self.before_accept()
        try:
            return self.sock.accept()
        except BlockingIOError:
            self.found_none()
            raise


def test_a_connection_between_the_last_accept_and_the_listeners_close_does_not_complete(here: Here) -> None:
    """It completed, and the close of the listener reset it together with the request on it."""
    caller = socket.socket()
    caller.setblocking(False)
    begun: list[int] = []

    def connect() -> None:
        begun.append(caller.connect_ex(address))

    address = here.door.sock.getsockname()
    here.door.sock = Listener(here.door.sock, found_none=connect)  # type: ignore[assignment]
    here.door.close(0.1)
    assert begun == [errno.EINPROGRESS]
    with gevent.Timeout(10):
        wait_write(caller.fileno())  # its SYN is sent again after a second
    assert caller.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR) == errno.ECONNREFUSED
    caller.close()


def test_one_that_waits_to_be_accepted_without_a_descriptor_is_answered_once_one_ends(here: Here) -> None:
    """The listener was closed at the first `accept` that found no descriptor."""
    idle, _ = here.rested()

    def end() -> None:
        idle.read()
        idle.sock.close()

    ended = gevent.spawn(end)
    here.door.accepting.kill()
    waiting = Sidecar(here.door.sock.getsockname())
    waiting.send(waiting.call(1))

    def no_descriptor() -> None:
        if here.door.connections:
            raise OSError(errno.EMFILE, "Too many open files")

    here.door.sock = Listener(here.door.sock, before_accept=no_descriptor)  # type: ignore[assignment]
    closing = gevent.spawn(here.door.close, 5.0)
    here.answer()
    assert waiting.answer(1).status == 200 and ended.ready()
    closing.get(timeout=10)
    assert not here.door.connections


def test_closing_ends_all_connections_side_by_side_within_its_time(here: Here) -> None:
    """None of them ends by itself."""
    _callers = [here.caller() for _ in range(20)]
    started = time.monotonic()
    here.door.close(0.3)
    assert not here.door.connections and time.monotonic() < started + 1.0
