"""What may come on a connection, in any pieces, beside others that must not wait for it.

The bound on what a connection can take from the others is stated in work, not in time: one read of at most
`fastcgi.ROOM` bytes, and then a turn of everyone else.
"""

from __future__ import annotations

import struct
from collections.abc import Iterator
from random import Random

import gevent
import pytest

from ringshift.wire import calls, fastcgi, lines
from ringshift.wire.agent import Agent as Link
from ringshift.wire.connection import Connection
from ringshift.wire.lines import Lines
from ringshift.wire.news import Called, News
from ringshift.wire.responder import Responder
from standins.sidecar import Sidecar
from tests.crossings.test_agent_link import Peer, greet
from tests.listening import Here


def until(test: object, seconds: float = 10.0) -> None:
    with gevent.Timeout(seconds):
        while not test():  # type: ignore[operator]
            gevent.sleep(0.002)


def padded(kind: int, request: int, content: bytes, padding: int) -> bytes:
    return struct.pack("!BBHHBx", 1, kind, request, len(content), padding) + content + bytes(padding)


def four(size: int) -> bytes:
    return struct.pack("!I", size | 1 << 31)


def one(size: int) -> bytes:
    return bytes((size,))


FORMS = {
    "both short": (one, one),
    "long name": (four, one),
    "long value": (one, four),
    "both long": (four, four),
}
PARAMS = {
    "REQUEST_METHOD": "POST",
    "SCRIPT_NAME": "/call/look",
    "HTTP_X_JOB_ID": "00000000000000ab",
    "HTTP_X_DOOR_TIME": "1",
    "HTTP_X_SENDER": "4",
    "HTTP_X_RAM_KB": "1",
    "HTTP_X_PRECEDENCE": "0.5",
}


def pairs(form: str, params: dict[str, str]) -> bytes:
    name_size, value_size = FORMS[form]
    return b"".join(
        name_size(len(n)) + value_size(len(v)) + n.encode() + v.encode() for n, v in params.items()
    )


def answer(heard: list[News], result: bytes = b"done") -> None:
    until(lambda: any(isinstance(news, Called) for news in heard))
    for news in heard:
        if isinstance(news, Called):
            news.door.send(news.request, calls.succeeded(news.request, {}, result))
    heard.clear()


@pytest.mark.parametrize("form", FORMS)
def test_all_forms_of_lengths_and_padding_in_pieces_of_one_byte_read_the_same(here: Here, form: str) -> None:
    door, heard = here
    caller = Sidecar(door.sock.getsockname())
    data = pairs(form, PARAMS)
    parts = [
        caller.begin(1),
        padded(fastcgi.PARAMS, 1, data[:9], 255),
        padded(fastcgi.PARAMS, 1, data[9:], 1),
    ]
    parts += [padded(fastcgi.PARAMS, 1, b"", 7), padded(fastcgi.STDIN, 1, b"bo", 3)]
    parts += [padded(fastcgi.STDIN, 1, b"dy", 0), padded(fastcgi.STDIN, 1, b"", 255)]
    for byte in b"".join(parts):
        caller.send(bytes((byte,)))
        gevent.sleep(0)
    until(lambda: bool(heard))
    (called,) = heard
    assert isinstance(called, Called) and (called.job, called.body) == ("00000000000000ab", b"body")
    answer(heard)
    assert caller.answer(1).status == 200


def test_requests_interleaved_record_by_record_and_byte_by_byte_keep_their_own(here: Here) -> None:
    door, heard = here
    caller = Sidecar(door.sock.getsockname())
    streams: list[list[bytes]] = []
    for n in (1, 2, 3):
        data = pairs("both short", {**PARAMS, "HTTP_X_JOB_ID": f"{n:016x}"})
        cuts = [padded(fastcgi.PARAMS, n, data[at : at + 20], n) for at in range(0, len(data), 20)]
        body = [padded(fastcgi.STDIN, n, b"%d" % n, n)] * n
        ends = [padded(fastcgi.PARAMS, n, b"", 0), *body, padded(fastcgi.STDIN, n, b"", 0)]
        streams.append([caller.begin(n), *cuts, *ends])
    while any(streams):
        for stream in streams:
            for byte in stream.pop(0) if stream else b"":
                caller.send(bytes((byte,)))
    until(lambda: len(heard) == 3)
    got = {news.request: (news.job, news.body) for news in heard if isinstance(news, Called)}
    assert got == {n: (f"{n:016x}", b"%d" % n * n) for n in (1, 2, 3)}


def test_management_records_in_pieces_within_a_request_are_answered_and_leave_it_be(here: Here) -> None:
    door, heard = here
    caller = Sidecar(door.sock.getsockname())
    whole, at = caller.call(1), 30
    asked = padded(fastcgi.GET_VALUES, 0, pairs("long name", {"FCGI_MPXS_CONNS": "", "FCGI_X": ""}), 9)
    begin, rest = whole[:16], whole[16:]
    for byte in begin + asked + padded(77, 0, b"what", 5) + rest[:at]:
        caller.send(bytes((byte,)))
    caller.send(rest[at:])
    answer(heard)
    assert caller.answer(1).status == 200
    assert caller.other == [
        (fastcgi.GET_VALUES_RESULT, fastcgi.write_pairs({"FCGI_MPXS_CONNS": "1"})),
        (fastcgi.UNKNOWN_TYPE, struct.pack("!B7x", 77)),
    ]


@pytest.mark.parametrize("size, status", [(0, 200), (2048, 200), (2049, 400)])
def test_bodies_at_the_limit_are_taken_and_one_byte_over_fails_alone(
    here: Here, size: int, status: int
) -> None:
    door, heard = here
    caller = Sidecar(door.sock.getsockname())
    caller.send(caller.call(1, body=bytes(size)) + caller.call(2))
    answer(heard)
    assert (caller.answer(1).status, caller.answer(2).status) == (status, 200)


def filled(size: int) -> dict[str, str]:
    """Params whose encoding has just that size."""
    params = {**PARAMS, "HTTP_X_ITEM": ""}
    spare = size - len(pairs("both long", params))
    return {**params, "HTTP_X_ITEM": "x" * spare}


@pytest.mark.parametrize("size, status", [(fastcgi.MOST_PARAMS, 200), (fastcgi.MOST_PARAMS + 1, 400)])
def test_params_at_the_bound_are_taken_and_one_byte_over_fails_alone(
    here: Here, size: int, status: int
) -> None:
    door, heard = here
    caller = Sidecar(door.sock.getsockname())
    data = pairs("both long", filled(size))
    assert len(data) == size
    ends = padded(fastcgi.PARAMS, 1, b"", 0) + padded(fastcgi.STDIN, 1, b"", 0)
    caller.send(caller.begin(1) + padded(fastcgi.PARAMS, 1, data, 0) + ends + caller.call(2))
    answer(heard)
    assert (caller.answer(1).status, caller.answer(2).status) == (status, 200)


@pytest.mark.parametrize("count, status", [(fastcgi.MOST_PAIRS, 200), (fastcgi.MOST_PAIRS + 1, 400)])
def test_as_many_params_as_are_taken_and_one_more(here: Here, count: int, status: int) -> None:
    door, heard = here
    caller = Sidecar(door.sock.getsockname())
    params = {**PARAMS, **{f"P{n}": "" for n in range(count - len(PARAMS))}}
    caller.send(caller.whole(1, params) + caller.call(2))
    answer(heard)
    assert (caller.answer(1).status, caller.answer(2).status) == (status, 200)


@pytest.mark.parametrize("lengths", [b"\x81", b"\x7f\x00", b"\xff\xff\xff\xff\xff\xff\xff\xff", b"\x80\x00"])
def test_lengths_that_point_beyond_the_params_fail_their_request_alone(here: Here, lengths: bytes) -> None:
    door, heard = here
    caller = Sidecar(door.sock.getsockname())
    ends = padded(fastcgi.PARAMS, 1, b"", 0) + padded(fastcgi.STDIN, 1, b"", 0)
    caller.send(caller.begin(1) + padded(fastcgi.PARAMS, 1, lengths, 0) + ends + caller.call(2))
    answer(heard)
    assert (caller.answer(1).status, caller.answer(2).status) == (400, 200)


FLOODS = {
    "garbage": b"\xff" * 8,
    "management": padded(77, 0, b"", 0),
    "values": padded(fastcgi.GET_VALUES, 0, b"", 0),
    "unknown roles": fastcgi.record(fastcgi.BEGIN, 1, struct.pack("!HB5x", 9, 1)),
    "requests that are over": padded(fastcgi.STDIN, 9, bytes(1000), 0),
    "padding": padded(99, 0, b"", 255),
}


@pytest.mark.parametrize("flood", FLOODS)
def test_a_flood_costs_the_others_one_read_between_two_of_their_turns(
    here: Here, monkeypatch: pytest.MonkeyPatch, flood: str
) -> None:
    """All reads are counted in their order: none takes more than its share, and no connection reads twice
    while another one has bytes that wait. The flood ends or goes on; the other is answered all the same."""
    door, heard = here
    take, reads = Connection.take, list[tuple[Connection, int]]()

    def counted(self: Connection, size: int) -> None:
        reads.append((self, size))
        take(self, size)

    monkeypatch.setattr(Connection, "take", counted)

    def pour(caller: Sidecar) -> None:
        try:
            while True:
                caller.send(FLOODS[flood] * 4000)
        except OSError:
            return

    def drain(caller: Sidecar) -> None:
        try:
            while caller.sock.recv(65536):
                pass
        except OSError:
            return

    bad, good = Sidecar(door.sock.getsockname()), Sidecar(door.sock.getsockname())
    until(lambda: len(door.connections) == 2)
    pouring = [gevent.spawn(pour, bad), gevent.spawn(drain, bad)]
    until(lambda: len(reads) > 0)
    for request in range(1, 6):
        good.send(good.call(request))
        since = len(reads)
        until(lambda: bool(heard))
        (called,) = heard
        assert isinstance(called, Called) and isinstance(called.door, Responder)
        before = [one for one, _ in reads[since:]].index(called.door.connection)  # type: ignore[arg-type]
        assert before <= 2, "reads of the flood before the other one's"
        answer(heard)
        assert good.answer(request).status == 200
    assert max(size for _, size in reads) <= fastcgi.ROOM
    gevent.killall(pouring)


def test_a_flood_on_the_agents_link_costs_the_others_one_read_between_two_of_their_turns(
    here: Here, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Remarks without end, as whole lines: each read of them is followed by a look at all sockets."""
    door, heard = here
    took, take, reads = Lines.took, Connection.take, list[object]()

    def counted_lines(self: Lines, size: int) -> Iterator[memoryview]:
        reads.append(self)
        return took(self, size)

    def counted(self: Connection, size: int) -> None:
        reads.append(self)
        take(self, size)

    monkeypatch.setattr(lines, "LONGEST_LINE", 2048)  # so that the kernel holds many reads of it
    monkeypatch.setattr(Lines, "took", counted_lines)
    monkeypatch.setattr(Connection, "take", counted)
    peer = Peer()
    link = Link(peer.address, Random(1)).start(heard.append)
    sock, _ = peer.link()
    greet(sock)
    until(lambda: bool(heard))
    heard.clear()

    def pour() -> None:
        while True:
            sock.sendall(b'{"type":"aside","state":"so it goes"}\n' * 4000)

    pouring, good = gevent.spawn(pour), Sidecar(door.sock.getsockname())
    until(lambda: len(reads) > 2)
    for request in range(1, 6):
        good.send(good.call(request))
        since = len(reads)
        until(lambda: bool(heard))
        (called,) = heard
        assert isinstance(called, Called) and isinstance(called.door, Responder)
        assert reads[since:].index(called.door.connection) <= 2, "reads of the flood before the other one's"
        answer(heard)
        assert good.answer(request).status == 200
    gevent.killall([pouring, link])


def test_a_slow_writer_holds_nobody_up_and_is_answered(here: Here) -> None:
    """Its last byte is held back until the other one has had all its answers."""
    door, heard = here
    slow, other = Sidecar(door.sock.getsockname()), Sidecar(door.sock.getsockname())
    data = slow.call(1)
    for at in range(len(data) - 1):
        slow.send(data[at : at + 1])
        if at % 40 == 0:
            other.send(other.call(7))
            answer(heard)
            assert other.answer(7).status == 200
    assert not heard
    slow.send(data[-1:])
    answer(heard)
    assert slow.answer(1).status == 200
