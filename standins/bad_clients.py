"""Clients that take memory or time: `python -m standins.bad_clients HOST PORT SEED SECONDS CLIENTS KIND...`.

They have one connection each at a time, and come again when a connection ends. Which kind a
client is follows from its number, and the sizes that it draws from the seed.
"""

from __future__ import annotations

import struct
import sys
import time
from collections.abc import Callable
from contextlib import suppress
from random import Random

import gevent
from gevent import socket

from ringshift.wire import fastcgi
from ringshift.wire.fastcgi import ABORT, GET_VALUES, PARAMS, STDIN, record

REQUESTS = 32
STAY_SECONDS = 10.0
STEP_SECONDS = 0.2
"""Between two pieces of those that write slowly or ask again."""
SLOW_BYTES = 3
"""Of a request in each piece of one that writes slowly."""
AT_ONCE = 32
"""Requests in each write of those that write at full speed."""
AGAIN_SECONDS = 0.02
FAR_MS = "999999999999999"
"""The longest wait that is within its range."""

Address = tuple[str, int]


def begin(request: int) -> bytes:
    """BEGIN_REQUEST of a responder on a connection that stays."""
    return record(fastcgi.BEGIN, request, struct.pack("!HB5x", fastcgi.RESPONDER, fastcgi.KEEP_CONN))


def call(request: int, random: Random, **other: str) -> bytes:
    """A whole request whose id no agent knows."""
    fields = {
        "REQUEST_METHOD": "POST",
        "SCRIPT_NAME": f"/call/{random.choice(['look', 'order'])}",
        "HTTP_X_JOB_ID": f"{random.getrandbits(64):016x}",
        "HTTP_X_DOOR_TIME": str(time.time_ns() // 1_000_000),
        "HTTP_X_SENDER": str(random.getrandbits(50)),
        "HTTP_X_ALLOW_MS": random.choice(["9300", FAR_MS]),
        "HTTP_X_RAM_KB": "0.001",
        "HTTP_X_PRECEDENCE": "0.9999",
        **other,
    }
    params = record(PARAMS, request, fastcgi.write_pairs(fields)) + record(PARAMS, request)
    body = random.randbytes(random.choice([1, 2048]))
    return begin(request) + params + record(STDIN, request, body) + record(STDIN, request)


def small_records(random: Random) -> bytes:
    """Messages that never end, in records of some bytes."""
    size = random.choice([1, 2, 3, 8, 40])
    numbers = range(1, 1 + random.choice([1, 4, REQUESTS]))
    return b"".join(begin(n) + record(PARAMS, n, bytes(size)) * (2000 // size) for n in numbers)


def large_records(random: Random) -> bytes:
    """The same in records as large as a stream may be."""
    return b"".join(begin(n) + record(PARAMS, n, bytes(8000)) for n in range(1, REQUESTS + 1))


def begun(random: Random) -> bytes:
    """Requests of which nothing more comes."""
    first = random.randrange(1, 60_000)
    return b"".join(begin(first + n) for n in range(REQUESTS))


def without_body(random: Random) -> bytes:
    """Many parameters, and no end of the body."""
    params = fastcgi.write_pairs({f"N{n}": "" for n in range(60)})
    return b"".join(
        begin(n)
        + record(PARAMS, n, params)
        + record(PARAMS, n)
        + record(STDIN, n, b"x") * random.randrange(500)
        for n in range(1, REQUESTS + 1)
    )


def cut_record(random: Random) -> bytes:
    """A record of which the last byte is missing."""
    size = random.choice([100, 255, 256, 257, 4000])
    return begin(1) + record(PARAMS, 1, bytes(size))[:-1]


def aborted(random: Random) -> bytes:
    """Requests taken back at once: each is owed an end."""
    return b"".join(begin(n) + record(ABORT, n) for n in range(1, 60)) * 1000


def many_calls(random: Random) -> bytes:
    """As many whole requests as may be open."""
    return b"".join(call(n, random) for n in range(1, REQUESTS + 1))


def long_words(random: Random) -> bytes:
    """Whole requests with the longest words that the server keeps."""
    words = [f"{random.getrandbits(64):x}" * (7000 // 16) for _ in range(REQUESTS)]
    return b"".join(call(n + 1, random, HTTP_X_ITEM=word) for n, word in enumerate(words))


def management(random: Random) -> bytes:
    """Records that are answered whatever they are about."""
    asked = fastcgi.write_pairs({"FCGI_MPXS_CONNS": ""})
    return (record(GET_VALUES, 0, asked) + record(random.randrange(12, 255), 0)) * 10_000


def large_request(random: Random) -> bytes:
    """One whole request, as large as it may be."""
    return call(1, random, HTTP_X_ITEM="x" * 7000)


def half_of_large(random: Random) -> bytes:
    """Large requests that stop half way, in their fields or in their bodies."""
    fields = [begin(n) + record(PARAMS, n, bytes(4000)) for n in range(1, REQUESTS)]
    last = call(REQUESTS, random, HTTP_X_ITEM="x" * 7000)
    return b"".join(fields) + last[: random.choice([4000, len(last) - 1000])]


def short_fields(random: Random) -> bytes:
    """Heads of very many short fields, whole ones and such as never end."""
    name = random.choice([b"", b"a", b"ab"])
    fields = (bytes((len(name), 0)) + name) * (8000 // (2 + len(name)))
    head = record(PARAMS, 1, fields)
    numbers = range(1, REQUESTS + 1)
    ends = [b"" if n % 2 else record(PARAMS, n) for n in numbers]
    return (
        b"".join(begin(n) + record(PARAMS, n, fields) + end for n, end in zip(numbers, ends, strict=True))
        + head
    )


def new_ids(random: Random) -> range:
    """Ids of requests that are not open any more, or were never."""
    first = random.randrange(1, 60_000)
    return range(first, first + AT_ONCE)


def no_such_operation(random: Random) -> bytes:
    """Small whole requests for operations with ever new names."""
    name = f"/call/{random.getrandbits(64):x}"
    fields = fastcgi.write_pairs({"REQUEST_METHOD": "POST", "SCRIPT_NAME": name})
    return b"".join(
        begin(n) + record(PARAMS, n, fields) + record(PARAMS, n) + record(STDIN, n) for n in new_ids(random)
    )


def unsound(random: Random) -> bytes:
    """Requests that can't be taken, in the fewest bytes: a body before its fields, lengths beyond the end."""
    early = [begin(n) + record(STDIN, n, b"x") for n in new_ids(random)]
    beyond = [begin(n) + record(PARAMS, n, b"\x7f\x7f") + record(PARAMS, n) for n in new_ids(random)]
    return b"".join(early + beyond)


def new_names(random: Random) -> bytes:
    """Whole requests with ever new ids, items, keys, senders and fields."""
    word = f"{random.getrandbits(64):x}"
    other = {"HTTP_X_ITEM": word, "HTTP_X_UNIQUE": word, f"HTTP_{word}": word}
    return b"".join(call(n, random, **other) for n in new_ids(random))


def taken_back(random: Random) -> bytes:
    """Whole requests, each with its abort behind it."""
    return b"".join(call(n, random) + record(ABORT, n) for n in new_ids(random))


def checks(random: Random) -> bytes:
    """Deep health checks."""
    fields = fastcgi.write_pairs({"SCRIPT_NAME": "/ping", "QUERY_STRING": "all=1"})
    return b"".join(
        begin(n) + record(PARAMS, n, fields) + record(PARAMS, n) + record(STDIN, n) for n in new_ids(random)
    )


def endless_fields(random: Random) -> bytes:
    """Heads of very many short fields, again and again: reading one takes the longest for its bytes."""
    fields = bytes(8000)
    return b"".join(begin(n) + record(PARAMS, n, fields) + record(PARAMS, n) for n in new_ids(random))


KINDS: dict[str, Callable[[Random], bytes]] = {
    made.__name__: made
    for made in (
        small_records,
        large_records,
        begun,
        without_body,
        cut_record,
        aborted,
        many_calls,
        long_words,
        management,
        large_request,
        half_of_large,
        short_fields,
        no_such_operation,
        unsound,
        new_names,
        taken_back,
        checks,
        endless_fields,
    )
}
UNREAD = {"aborted", "management"}
"""Kinds whose clients do not read what they are sent."""
SLOW = {"large_request"}
"""Kinds whose clients write a few bytes at a time."""
AGAIN = {"many_calls", "long_words"}
"""Kinds whose clients ask again and again on their connection."""
FULL_SPEED = {"no_such_operation", "unsound", "new_names", "taken_back", "checks", "endless_fields"}
"""Kinds whose clients write as fast as they can."""


def discard(sock: socket.socket) -> None:
    """Reads to the end of the connection."""
    with suppress(OSError):
        while sock.recv(65536):
            pass


def write(sock: socket.socket, random: Random, kind: str) -> None:
    """What a client of this kind sends on one connection."""
    data = KINDS[kind](random)
    if kind in SLOW:
        for at in range(0, len(data), SLOW_BYTES):
            sock.sendall(data[at : at + SLOW_BYTES])
            gevent.sleep(STEP_SECONDS)
        return
    sock.sendall(data)
    while kind in AGAIN | FULL_SPEED:
        gevent.sleep(STEP_SECONDS if kind in AGAIN else 0)
        sock.sendall(KINDS[kind](random))


def client(address: Address, random: Random, kind: str, until: float) -> None:
    """Comes again and again until a moment of the monotonic clock."""
    while (left := until - time.monotonic()) > 0:
        with suppress(OSError, gevent.Timeout), gevent.Timeout(min(left, STAY_SECONDS)):
            sock = socket.create_connection(address)
            reading = None if kind in UNREAD else gevent.spawn(discard, sock)
            try:
                write(sock, random, kind)
                gevent.sleep(STAY_SECONDS) if reading is None else reading.join()
            finally:
                sock.close()
                if reading is not None:
                    reading.kill(block=False)
        gevent.sleep(AGAIN_SECONDS)


def main() -> int:
    """The exit status."""
    address, seed, seconds = (sys.argv[1], int(sys.argv[2])), int(sys.argv[3]), float(sys.argv[4])
    count, kinds, until = int(sys.argv[5]), sys.argv[6:], time.monotonic() + seconds
    clients = [
        gevent.spawn(client, address, Random(seed * 1000 + n), kinds[n % len(kinds)], until)
        for n in range(count)
    ]
    gevent.joinall(clients, timeout=seconds + STAY_SECONDS)
    return 0


if __name__ == "__main__":
    sys.exit(main())
