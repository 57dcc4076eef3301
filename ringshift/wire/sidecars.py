"""Sidecars' connections: bytes in, whole requests to the owner's queue, answers out. No decision is made here."""

from __future__ import annotations

import errno
import time
from collections.abc import Callable, Mapping
from contextlib import suppress

import gevent
from gevent import socket
from gevent.event import Event
from loguru import logger

from ringshift.lifecycle.logs import counted
from ringshift.wire import calls, fastcgi
from ringshift.wire.news import CallerLeft, News
from ringshift.wire.outbox import Outbox

UNREAD_ANSWERS = 256 * 1024  # bytes: more than all answers a connection can have open, so only no reader fills it
SILENCE = 30.0  # seconds that a request may stay half sent
BACKLOG = 1024
SPARE = 64  # descriptors kept for everything that is no sidecar's connection
CROSSING = 0.05  # seconds within which a request may cross a close
NO_ROOM = (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM)
Post = Callable[[News], None]


class Connection:
    def __init__(self, sock: socket.socket, operations: Mapping[str, int], post: Post,
                 over: Callable[[Connection], None]) -> None:  # fmt: skip
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.sock, self.operations, self.post, self.over = sock, operations, post, over
        self.decoder = fastcgi.Decoder()
        self.outbox = Outbox(sock, UNREAD_ANSWERS)
        self.finishing: set[int] = set()  # requests after whose answer the connection closes
        self.ended = False
        self.heard = time.monotonic()
        self.changed = Event()
        self.reader = gevent.spawn(self.run)

    # Called by the owner: never waits.

    def send(self, request: int, data: bytes) -> None:
        if self.ended or request not in self.decoder.open:
            return
        self.decoder.close(request)
        if not self.outbox.put(data):
            counted.warn("sidecar does not read its answers", "connection closed")
            self.reader.kill(block=False)
        self.changed.set()

    @property
    def idle(self) -> bool:
        return not self.decoder.open and self.outbox.empty.is_set()

    # The reader.

    def run(self) -> None:
        try:
            self.read()
        except fastcgi.NotFastCGI as wrong:
            counted.warn("bytes that are not FastCGI", str(wrong))
        except OSError:
            pass  # reset or timed out: what is open is told as gone below
        except gevent.GreenletExit:
            pass
        except Exception as bug:
            logger.exception("bug in a connection, which ends: {}", bug)
        finally:
            self.end()

    def read(self) -> None:
        while True:
            self.sock.settimeout(SILENCE if self.decoder.coming else None)
            size = self.sock.recv_into(self.decoder.space())
            if not size:
                break
            self.heard = time.monotonic()
            for message in self.decoder.took(size):
                self.handle(message)
        # The sidecar may have closed its sending side only: what it asked before is still answered.
        for request in list(self.decoder.coming):
            self.decoder.close(request)
        while not (self.idle or self.outbox.broken):
            self.changed.clear()
            if self.decoder.open:
                self.changed.wait()
            else:
                self.outbox.empty.wait()

    def handle(self, message: fastcgi.Message) -> None:
        if isinstance(message, fastcgi.Request):
            if not message.keep:
                self.finishing.add(message.id)
            try:
                self.post(calls.read(message, self, self.operations))
            except calls.Wrong as wrong:
                counted.warn("request answered as failed", str(wrong))
                self.send(message.id, calls.failed(message.id, {}, 400))
        elif isinstance(message, fastcgi.Aborted):
            # The specification wants the end of the request told; as an answer it is neither served nor refused.
            self.decoder.close(message.id)
            self.outbox.put(fastcgi.end(message.id))
            self.post(CallerLeft(self, message.id))
        elif not self.outbox.put(message.data):
            self.reader.kill(block=False)

    def end(self) -> None:
        if self.ended:
            return
        self.ended = True
        for request in self.decoder.open - set(self.decoder.coming):
            self.post(CallerLeft(self, request))
        self.outbox.close()
        self.sock.close()
        self.over(self)


class Sidecars:
    """The listening socket and all connections that came through it."""

    def __init__(self, address: tuple[str, int], operations: Mapping[str, int], post: Post, sockets: int) -> None:
        self.operations, self.post, self.most = operations, post, max(sockets - SPARE, 8)
        self.connections: set[Connection] = set()
        self.room = Event()
        self.sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.sock.bind(address)
        self.sock.listen(BACKLOG)
        self.accepting = gevent.spawn(self.accept)

    def accept(self) -> None:
        while True:
            if len(self.connections) >= self.most:
                counted.warn("connection table full", f"{len(self.connections)} open; accepting waits")
                self.room.clear()
                self.room.wait()
            try:
                sock, _ = self.sock.accept()
            except OSError as wrong:
                if wrong.errno in NO_ROOM:
                    counted.warn("no descriptor for a connection", str(wrong))
                    gevent.sleep(0.05)  # it can't be waited for: the limit is the process's, not this table's
                    continue
                if wrong.errno in (errno.ECONNABORTED, errno.EINTR):
                    continue
                raise
            self.add(sock)

    def add(self, sock: socket.socket) -> None:
        self.connections.add(Connection(sock, self.operations, self.post, self.gone))

    def gone(self, connection: Connection) -> None:
        self.connections.discard(connection)
        self.room.set()

    def close(self, seconds: float) -> None:
        """Loses nothing that the kernel accepted: what waits to be accepted is, and a connection closes only
        once nothing is open on it and nothing has come for a while, as its unread bytes would reset it."""
        self.accepting.kill()
        self.sock.settimeout(0.0)
        with suppress(OSError):
            while True:
                self.add(self.sock.accept()[0])
        self.sock.close()
        until = time.monotonic() + seconds
        while self.connections and time.monotonic() < until:
            for connection in list(self.connections):
                if connection.idle and time.monotonic() > connection.heard + CROSSING:
                    connection.reader.kill(block=False)
            gevent.sleep(0.005)
