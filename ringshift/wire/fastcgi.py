"""FastCGI 1.0 in the Responder role: bytes to messages and back, without input or output.

Bytes are read straight into a buffer (`space`, then `took`) that all decoders of a program may share: one for
each of hundreds of connections took most of a small memory limit. The contents of a request's records are
joined as they come, so that it takes the memory of its bytes however small the records are.
"""

from __future__ import annotations

import struct
from collections.abc import Iterator, Mapping
from dataclasses import dataclass, field

VERSION, HEADER = 1, struct.Struct("!BBHHBx")
BEGIN, ABORT, END, PARAMS, STDIN, STDOUT = 1, 2, 3, 4, 5, 6
GET_VALUES, GET_VALUES_RESULT, UNKNOWN_TYPE = 9, 10, 11
RESPONDER, KEEP_CONN = 1, 1
COMPLETE, CANT_MULTIPLEX, OVERLOADED, UNKNOWN_ROLE = 0, 1, 2, 3
MANAGEMENT = 0

ROOM = 16 * 1024  # bytes taken at once: the turn of one that floods
ROOM_FOR_SMALL = ROOM // 8  # at first, and after a turn of so many records that it cost more than its bytes
MOST_RECORDS = 256  # records of a turn at full room
WHOLE = 256  # a record with more than that in it comes in parts
MOST_OPEN = 32
MOST_PARAMS = 8 * 1024
MOST_BODY = 2 * 1024
MOST_PAIRS = 64
REQUEST_BYTES = 832  # memory of a request that has begun, with its places in tables, beside what came of it
MOST_COMING = 160 * 1024  # bytes of memory for one connection's requests that are not whole yet
MOST_PASSED = 64 * 1024  # bytes of requests that are over; what crosses an answer is under 2 KiB each


class NotFastCGI(Exception):
    """The bytes are no FastCGI: nothing more can be read from this connection."""


@dataclass(slots=True)
class Request:
    """One request as far as it has come; `body` and `params` are whole once it was yielded, unless `wrong`
    tells why it can't be taken: then it is yielded at once, since its end may never come."""

    id: int
    keep: bool
    serial: int = 0
    """How many requests began on its connection before it: ids come again, serials do not."""
    pairs: bytearray = field(default_factory=bytearray)
    """The parameters as they came, kept until the request is whole."""
    content: bytearray = field(default_factory=bytearray)
    """What came of the body."""
    params: dict[str, str] | None = None
    """Once their stream has ended. They take many times the memory of their bytes: they are not kept beyond
    one turn but read anew when the body has ended."""
    params_ended: bool = False
    wrong: str = ""
    looks: int = 0
    """How often the sweep has found it half sent."""

    @property
    def body(self) -> bytes:
        """The whole body."""
        return bytes(self.content)

    @property
    def memory(self) -> int:
        """Bytes of memory that it takes; arrays that grow hold an eighth more than is in them."""
        size = len(self.pairs) + len(self.content)
        return REQUEST_BYTES + size + size // 8


@dataclass(frozen=True, slots=True)
class Aborted:
    """ABORT_REQUEST of an open request; `serial` is that of the request."""

    id: int
    serial: int


@dataclass(frozen=True, slots=True)
class Answer:
    """What the specification has answered at once, whatever the request is about."""

    data: bytes
    close: bool = False


Message = Request | Aborted | Answer


def record(kind: int, request: int, content: bytes = b"") -> bytes:
    return HEADER.pack(VERSION, kind, request, len(content), 0) + content


def end(request: int, protocol: int = COMPLETE) -> bytes:
    return record(END, request, struct.pack("!IB3x", 0, protocol))


def reply(request: int, status: int, fields: Mapping[str, str], body: bytes = b"") -> bytes:
    head = [f"Status: {status}", "Content-Type: application/octet-stream"]
    head += [f"{name}: {value}" for name, value in fields.items()]
    content = "\r\n".join(head).encode() + b"\r\n\r\n" + body
    return record(STDOUT, request, content) + record(STDOUT, request) + end(request)


def length(value: int) -> bytes:
    return bytes((value,)) if value < 128 else struct.pack("!I", value | 1 << 31)


def write_pairs(pairs: Mapping[str, str]) -> bytes:
    encoded = ((name.encode("latin-1"), value.encode("latin-1")) for name, value in pairs.items())
    return b"".join(length(len(n)) + length(len(v)) + n + v for n, v in encoded)


def read_pairs(data: memoryview | bytes | bytearray) -> dict[str, str]:
    """Raises ValueError where lengths point beyond the end."""
    pairs: dict[str, str] = {}
    at, sizes, read = 0, [0, 0], 0
    while at < len(data):
        for which in (0, 1):
            if at >= len(data):
                raise ValueError("name-value pair: lengths are cut short")
            size = data[at]
            at += 1
            if size & 128:
                if at + 3 > len(data):
                    raise ValueError("name-value pair: lengths are cut short")
                size = (size & 127) << 24 | data[at] << 16 | data[at + 1] << 8 | data[at + 2]
                at += 3
            sizes[which] = size
        name, value = at + sizes[0], at + sizes[0] + sizes[1]
        if value > len(data):
            raise ValueError("name-value pair: longer than its stream")
        read += 1
        if read > MOST_PAIRS:  # counted as they come: thousands of one name cost as much time as of many
            raise ValueError("name-value pair: too many")
        pairs[str(data[at:name], "latin-1")] = str(data[name:value], "latin-1")
        at = value
    return pairs


def new_buffer() -> bytearray:
    return bytearray(WHOLE + ROOM)


class Decoder:
    """One connection's bytes. The owner of the connection closes a request it has answered (`close`)."""

    def __init__(self, buffer: bytearray | None = None) -> None:
        self.buffer = new_buffer() if buffer is None else buffer
        self.view = memoryview(self.buffer)
        self.rest = b""
        self.start = self.stop = 0
        self.kind = self.request = self.content = self.padding = self.skip = 0
        self.inside = False
        self.passed = self.records = 0
        self.room = ROOM_FOR_SMALL
        self.coming: dict[int, Request] = {}
        self.coming_memory = 0
        self.open: dict[int, int] = {}
        """The serial of each open request by its id."""
        self.begun = 0
        """How many requests have begun."""

    @property
    def held(self) -> int:
        """Bytes of memory that what is not whole takes."""
        return len(self.rest) + self.coming_memory

    def space(self) -> memoryview:
        """Where the next bytes go; before them is room for what was left of the last ones."""
        return self.view[WHOLE : WHOLE + self.room]

    def took(self, size: int) -> Iterator[Message]:
        """To be exhausted before the buffer is used again."""
        self.start, self.stop = WHOLE - len(self.rest), WHOLE + size
        self.buffer[self.start : WHOLE] = self.rest
        before = self.records
        yield from self.messages()
        self.room = ROOM if self.records - before <= MOST_RECORDS else ROOM_FOR_SMALL
        self.rest = bytes(self.view[self.start : self.stop])
        for request in self.coming.values():
            request.params = None

    def drop(self, number: int) -> None:
        """Lets a request that is not whole go; what still comes of it is passed over once it is closed."""
        request = self.coming.pop(number, None)
        if request is not None:
            self.coming_memory -= request.memory
        if not self.coming:
            self.coming.clear()  # an emptied table would keep its size

    def messages(self) -> Iterator[Message]:
        while True:
            skipped = min(self.skip, self.stop - self.start)
            self.start, self.skip = self.start + skipped, self.skip - skipped
            have = self.stop - self.start
            if not self.inside:
                if have < HEADER.size:
                    return
                header = HEADER.unpack_from(self.buffer, self.start)
                version, self.kind, self.request, self.content, self.padding = header
                if version != VERSION:
                    raise NotFastCGI(f"version {version} where FastCGI has {VERSION}")
                self.inside = True
                self.start, have = self.start + HEADER.size, have - HEADER.size
            # A long record comes in parts; all others are taken whole.
            if have < self.content and (self.content <= WHOLE or not have):
                return
            part = self.view[self.start : self.start + min(have, self.content)]
            self.start, self.content = self.start + len(part), self.content - len(part)
            if not self.content:
                self.inside, self.skip, self.records = False, self.padding, self.records + 1
            yield from self.record(part, not self.inside)

    def record(self, part: memoryview, ended: bool) -> Iterator[Message]:
        kind, number = self.kind, self.request
        if number == MANAGEMENT:
            if kind == GET_VALUES and ended:
                yield Answer(record(GET_VALUES_RESULT, MANAGEMENT, self.values(part)))
            elif kind != GET_VALUES and ended:
                yield Answer(record(UNKNOWN_TYPE, MANAGEMENT, struct.pack("!B7x", kind)))
        elif kind == BEGIN:
            yield from self.begin(part)
        elif kind == ABORT and number in self.open:
            self.drop(number)
            yield Aborted(number, self.open[number])
        elif kind in (PARAMS, STDIN) and number in self.coming:
            yield from self.stream(self.coming[number], part, kind is STDIN)
        else:
            # Records of a request that is not open any more crossed its end: they are passed over, but not
            # for ever, as one who was answered may still send what never ends.
            self.passed += len(part)
            if self.passed > MOST_PASSED:
                raise NotFastCGI("too much sent for requests that are over")

    def begin(self, part: memoryview) -> Iterator[Message]:
        number = self.request
        if len(part) != 8:
            raise NotFastCGI("a BEGIN_REQUEST that is not 8 bytes long")
        role, flags = part[0] << 8 | part[1], part[2]
        if number in self.open:
            raise NotFastCGI("a BEGIN_REQUEST with the id of an open request")
        if role != RESPONDER:
            yield Answer(end(number, UNKNOWN_ROLE), not flags & KEEP_CONN)
        elif len(self.open) >= MOST_OPEN:
            yield Answer(end(number, OVERLOADED), not flags & KEEP_CONN)
        else:
            self.begun += 1
            self.open[number] = self.begun
            self.coming[number] = request = Request(number, bool(flags & KEEP_CONN), self.begun)
            self.coming_memory += request.memory

    def stream(self, request: Request, part: memoryview, body: bool) -> Iterator[Message]:
        if len(part):
            self.join(request, part, body)
        elif not body and not request.params_ended:
            request.params_ended = True
            self.read_params(request)
        elif body and not request.params_ended:
            request.wrong = "body before the end of the params"
        if request.wrong or (body and not len(part)):
            self.drop(request.id)
            if request.wrong:
                request.pairs, request.content = bytearray(), bytearray()
            else:
                self.passed = 0
                if request.params is None:
                    self.read_params(request)
            yield request

    def join(self, request: Request, part: memoryview, body: bool) -> None:
        """Adds a record's content to its stream, within the bounds."""
        stream, most = (request.content, MOST_BODY) if body else (request.pairs, MOST_PARAMS)
        if len(stream) + len(part) > most:
            request.wrong = "body over 2 KiB" if body else "params too long"
        elif self.coming_memory + len(part) > MOST_COMING:
            request.wrong = "too much half sent on one connection"
        elif body or not request.params_ended:
            before = request.memory
            stream += part
            self.coming_memory += request.memory - before

    def read_params(self, request: Request) -> None:
        try:
            request.params = read_pairs(request.pairs)
        except ValueError as wrong:
            request.wrong = str(wrong)

    def values(self, part: memoryview) -> bytes:
        known = {"FCGI_MPXS_CONNS": "1"}
        try:
            asked = read_pairs(part)
        except ValueError:
            return b""
        return write_pairs({name: value for name, value in known.items() if name in asked})

    @property
    def partial(self) -> bool:
        """A record has begun and not ended."""
        return self.inside or bool(self.rest) or self.skip > 0

    def close(self, number: int) -> None:
        """The request is answered: its number may come again."""
        self.open.pop(number, None)
        if not self.open:
            self.open.clear()  # an emptied table would keep its size
