"""The listening socket, and the places of all connections that came through it. No decisions."""

from __future__ import annotations

import errno
import select
import time
from collections.abc import Mapping
from contextlib import suppress
from itertools import chain

import gevent
from gevent import socket
from gevent.event import Event

from ringshift.runtime.bounds import Bounds, Budget
from ringshift.runtime.logs import counted
from ringshift.wire import fastcgi
from ringshift.wire.connection import Connection, Post
from ringshift.wire.connection_table import ConnectionTable
from ringshift.wire.fair_turn import FairTurn
from ringshift.wire.half_sent import HalfSent
from ringshift.wire.handshakes import refuse_handshakes

SWEEP = 0.5  # seconds between two looks at all connections
CROSSING = 0.05  # seconds within which a request may cross a close
FOR_ROOM = 0.001  # seconds that one may take to end before the next one is made to
MOST_FOR_ROOM = 32  # connections that end at once so that others have room
IDLE = 0.5  # seconds after which a connection whose requests were served goes before busy ones of others
REFUSE_AFTER = 1.0  # seconds without room after which those that wait are closed; above IDLE
LEAST_PART = 16  # of a small table, at most this part is kept free for the next ones
LAST_ANSWERS = 0.02  # seconds before the end in which nothing more is read, only answered
HANDSHAKE = 0.002  # seconds in which a handshake that has begun completes
BACKLOG = 1024
NO_ROOM = (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM)


class Sidecars:
    """The listening socket and all connections that came through it."""

    def __init__(
        self, address: tuple[str, int], operations: Mapping[str, int], post: Post, bounds: Bounds
    ) -> None:
        self.operations, self.post = operations, post
        self.most = bounds.connections
        self.spare = min(MOST_FOR_ROOM, bounds.connections // LEAST_PART)
        self.table: ConnectionTable[Connection] = ConnectionTable()
        self.connections = self.table.connections
        self.room, self.buffer = Event(), fastcgi.new_buffer()
        self.unread, self.half_sent = Budget(bounds.unread), HalfSent(bounds.coming)
        self.turn = FairTurn()
        self.idle_after = 0.0  # seconds; 0 leaves it to the sidecars
        self.sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            self.sock.bind(address)
            self.sock.listen(BACKLOG)
        except OSError:
            self.sock.close()
            raise
        self.accepting, self.sweeping = gevent.spawn(self.accept), gevent.spawn(self.sweep)

    def accept(self) -> None:
        full_since = 0.0
        while True:
            if len(self.connections) >= self.most:
                full_since = full_since or time.monotonic()
                if time.monotonic() > full_since + REFUSE_AFTER:
                    self.refuse_waiting()
                    full_since = 0.0
                self.make_room(f"{len(self.connections)} connections open")
                continue
            full_since = 0.0
            try:
                sock, _ = self.sock.accept()
            except OSError as wrong:
                if wrong.errno in NO_ROOM:
                    self.make_room(str(wrong))
                elif wrong.errno not in (errno.ECONNABORTED, errno.EINTR):
                    raise
                continue
            self.add(sock)
            if len(self.connections) - self.table.closing > self.most - self.spare:
                self.end_resting(IDLE)  # ahead of need, so that those that end don't hold the next ones up
            gevent.sleep(0)

    def add(self, sock: socket.socket) -> None:
        self.table.add(
            Connection(
                sock,
                self.operations,
                self.post,
                self.unread,
                self.half_sent,
                self.buffer,
                self.turn,
                self.table,
                self.gone,
            )
        )

    def gone(self, connection: Connection) -> None:
        self.table.remove(connection)
        self.room.set()

    def make_room(self, why: str) -> None:
        """One connection more ends, see `end_one`. Those that end keep their places for a while, so that the
        next ones follow soon, few at once. The limit is waited for, never spun on."""
        ending = self.table.closing
        if ending < MOST_FOR_ROOM and self.end_one(alone=not ending):
            ending += 1
        if not ending:
            counted.warn("no room for a connection", why)
        self.room.clear()
        self.room.wait(FOR_ROOM if 0 < ending < MOST_FOR_ROOM else CROSSING)

    def end_one(self, alone: bool) -> bool:
        """A resting one, or one that is busy or half sent and never had a request served.

        Hundreds of silent or bad clients must not cost the sidecars their connections, nor those that come
        new their places. A sidecar's that rests only just goes where all were served and none ends.
        """
        if self.end_resting(IDLE) or self.end_busy():
            return True
        return alone and not self.table.unserved_by_age and self.end_resting(CROSSING)

    def end_resting(self, served_after: float) -> bool:
        """The one unused for longest, of those whose requests were served only after so many seconds."""
        now = time.monotonic()
        unserved = self.table.unserved_unused_since(now - CROSSING)
        for connection in chain(unserved, self.table.served_unused_since(now - served_after)):
            if connection.quiet(CROSSING):
                connection.half_close(CROSSING)
                return True
        return False

    def end_busy(self) -> bool:
        """The oldest that was never served ends after its next answer, unless that serves it."""
        connection = self.table.oldest_never_served()
        if connection is None or connection.accepted > time.monotonic() - CROSSING:
            return False
        connection.retire()
        return True

    def refuse_waiting(self) -> None:
        """Closes those that wait in the kernel's queue, with nothing run: their clients may go elsewhere."""
        refused = 0
        with suppress(OSError):
            while self.sock_waits():
                sock, _ = self.sock.accept()
                sock.close()
                refused += 1
        if refused:
            counted.warn("no room for a connection", "new ones closed")

    def sock_waits(self) -> bool:
        """A connection waits to be accepted."""
        poll = select.poll()
        poll.register(self.sock.fileno(), select.POLLIN)
        return bool(poll.poll(0))

    def sweep(self) -> None:
        while True:
            gevent.sleep(SWEEP)
            self.look()

    def look(self) -> None:
        """In a frame of its own: the sweep's would hold the last connection past its end."""
        for connection in list(self.connections):
            connection.look()
            if self.idle_after and connection.quiet(self.idle_after):
                connection.half_close()

    def close(self, seconds: float) -> None:
        """Loses nothing that the kernel accepted: what waits to be accepted is, and a connection closes only
        once nothing is open on it and nothing has come for a while, or in the last moments."""
        self.accepting.kill()
        self.sweeping.kill()
        until = time.monotonic() + seconds
        refuse_handshakes(self.sock)
        self.sock.settimeout(0.0)
        gevent.sleep(HANDSHAKE)
        listening = not self.accept_waiting()
        gevent.sleep(0)  # their readers begin
        while (listening or self.connections) and (left := until - time.monotonic()) > 0:
            for connection in list(self.connections):
                self.end(connection, left)
            gevent.sleep(min(left, CROSSING / 10))
            listening = listening and not self.accept_waiting()
        self.sock.close()
        for connection in list(self.connections):
            connection.abort()
        gevent.sleep(0)

    def accept_waiting(self) -> bool:
        """Accepts what waits in the kernel's queue. True once nothing does, and the listener is closed; false
        where descriptors ran out, which connections that end give back."""
        while True:
            try:
                self.add(self.sock.accept()[0])
            except OSError as wrong:
                if wrong.errno in NO_ROOM:
                    return False
                if wrong.errno not in (errno.ECONNABORTED, errno.EINTR):
                    self.sock.close()
                    return True

    def end(self, connection: Connection, left: float) -> None:
        """Callers that never pause leave no quiet moment: theirs end right after an answer, and at the very
        last unread, so that none who asks on is read and then left without its answer."""
        if left < LAST_ANSWERS:
            connection.stop_reading()
        elif left < CROSSING:
            connection.leave()
        elif connection.quiet(CROSSING):
            connection.half_close()
