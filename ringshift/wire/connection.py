"""One sidecar's connection: bytes in, whole requests to the owner's queue, answers out. No decisions."""

from __future__ import annotations

import fcntl
import struct
import termios
import time
from collections.abc import Callable, Iterator, Mapping

import gevent
from gevent import socket
from gevent.event import Event
from loguru import logger

from ringshift.runtime.bounds import Budget
from ringshift.runtime.logs import counted
from ringshift.wire import calls, fastcgi
from ringshift.wire.news import CallerLeft, News
from ringshift.wire.outbox import Outbox

UNREAD_ANSWERS = 256 * 1024  # bytes: more than all answers to open requests, so that only no reader fills it
KERNELS_PART = 128 * 1024  # bytes of them that the kernel may hold, which otherwise grows to megabytes
LOOKS = 4  # after which one who sent half a request, or none at all, is given up: an end is owed in 3 s
LAST_READ = 0.2  # seconds for the other side's end, as unread bytes would reset what was written
Post = Callable[[News], None]


class Connection:
    def __init__(self, sock: socket.socket, operations: Mapping[str, int], post: Post, unread: Budget,
                 coming: Budget, buffer: bytearray, over: Callable[[Connection], None]) -> None:  # fmt: skip
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, KERNELS_PART)
        self.sock, self.operations, self.post, self.over = sock, operations, post, over
        self.decoder = fastcgi.Decoder(buffer, coming)
        self.outbox = Outbox(sock, UNREAD_ANSWERS, unread)
        self.finishing: set[int] = set()  # requests after whose answer the connection closes
        self.ended = self.spoken = False
        self.looks = self.records = 0
        """How often the sweep has found it without one whole request, or at the same cut record."""
        self.touched = time.monotonic()
        self.answered = Event()
        self.reader = gevent.spawn(self.run)

    # Called by the owner and the sweep: never waits.

    def send(self, request: int, data: bytes) -> None:
        if self.ended or request not in self.decoder.open:
            return
        self.decoder.close(request)
        self.touched = time.monotonic()
        self.write(data)
        self.answered.set()
        if request in self.finishing:
            gevent.spawn(self.hang_up)

    def write(self, data: bytes) -> None:
        if not self.outbox.put(data):
            counted.warn("sidecar does not read its answers", "connection closed")
            self.close()

    def close(self) -> None:
        self.reader.kill(block=False)

    @property
    def idle(self) -> bool:
        return not self.decoder.open and self.outbox.empty.is_set()

    @property
    def half_sent(self) -> bool:
        return bool(self.decoder.coming) or self.decoder.partial

    def unread(self) -> bool:
        """Bytes lie in the kernel that no one has read: closing now would reset the connection."""
        size = fcntl.ioctl(self.sock.fileno(), termios.FIONREAD, b"\0\0\0\0")
        return bool(struct.unpack("i", size)[0])

    def quiet(self, seconds: float) -> bool:
        still = self.idle and not self.half_sent and time.monotonic() > self.touched + seconds
        return still and not self.unread()

    def look(self) -> None:
        """A client that says nothing, or not all, or goes on without end, is given up: silence was borne for
        30 s and more. Counted in looks and not in time, so that what waited in the kernel while this program
        did not run is read first. Requests that never come whole fail alone; a first one that never comes, or
        a record cut short, takes the connection."""
        for request in list(self.decoder.coming.values()):
            request.looks += 1
            if request.looks > LOOKS:
                self.fail_coming("request half sent", request.id)
        waits = not self.spoken or (self.decoder.partial and self.decoder.records == self.records)
        self.records = self.decoder.records
        self.looks = self.looks + 1 if waits else 0
        if self.looks > LOOKS and self.idle:
            self.close()

    def fail_coming(self, why: str, *some: int) -> None:
        for request in some or list(self.decoder.coming):
            del self.decoder.coming[request]
            self.fail(request, why)

    def fail(self, request: int, why: str) -> None:
        counted.warn("request answered as errored", why)
        self.send(request, calls.errored(request, {}, 400))

    # The reader.

    def run(self) -> None:
        try:
            self.read()
        except OSError:
            pass  # reset: what is open is told as gone below
        except gevent.GreenletExit:
            pass
        except Exception as bug:
            logger.exception("bug in a connection, which ends: {}", bug)
        finally:
            self.end()

    def read(self) -> None:
        try:
            while size := self.sock.recv_into(self.decoder.space()):
                self.touched = time.monotonic()
                self.take(size)
                gevent.sleep(0)  # a read that finds bytes never waits: a flood would leave no one a turn
        except fastcgi.NotFastCGI as wrong:
            counted.warn("bytes that are not FastCGI", str(wrong))
        # Nothing more is read, yet what came whole is still answered: the sidecar may have closed its sending
        # side only.
        self.fail_coming("connection ended within a request")
        while not (self.idle or self.outbox.broken):
            self.answered.clear()
            (self.answered if self.decoder.open else self.outbox.empty).wait()
        self.sock.shutdown(socket.SHUT_WR)
        self.sock.settimeout(LAST_READ)
        for _ in range(64):
            if not self.sock.recv_into(self.decoder.view):
                break

    def take(self, size: int) -> None:
        """All of it before the first word to the owner, which may wait: other connections read into the same
        buffer meanwhile."""
        news: list[News] = []
        try:
            for message in self.decoder.took(size):
                news += self.handle(message)
        finally:
            for item in news:
                self.post(item)

    def handle(self, message: fastcgi.Message) -> Iterator[News]:
        if isinstance(message, fastcgi.Request):
            if not message.keep:
                self.finishing.add(message.id)
            try:
                if not message.wrong:
                    self.spoken = True
                yield calls.read(message, self, self.operations)
            except calls.Wrong as wrong:
                self.fail(message.id, str(wrong))
        elif isinstance(message, fastcgi.Aborted):
            # The specification wants its end told; as an answer that is none of the three.
            self.decoder.close(message.id)
            self.write(fastcgi.end(message.id))
            yield CallerLeft(self, message.id)
        else:
            self.write(message.data)
            if message.close:
                gevent.spawn(self.hang_up)

    def hang_up(self) -> None:
        self.outbox.empty.wait()
        self.close()

    def end(self) -> None:
        if self.ended:
            return
        self.ended = True
        for request in self.decoder.open - set(self.decoder.coming):
            self.post(CallerLeft(self, request))
        self.outbox.close()
        self.decoder.hold(0)
        self.sock.close()
        self.over(self)
