"""What waits to be written to one socket, under a bound, and the greenlet that writes it."""

from __future__ import annotations

import os

import gevent
from gevent import socket
from gevent.event import Event

from ringshift.runtime.bounds import Budget


class Outbox:
    """`put` never waits: what the socket takes at once is written at once, and only where it takes no more is
    there a greenlet that writes the rest; one for each socket, mostly idle, took 20 KB and two switches an
    answer. Beyond its bound the other side does not read, and the socket is given up. What waits is joined as
    it comes, as the shortest answers take four times their bytes as objects of their own."""

    def __init__(self, sock: socket.socket, most: int, budget: Budget) -> None:
        self.sock, self.most, self.size, self.budget = sock, most, 0, budget
        self.waiting = bytearray()
        self.empty = Event()
        self.empty.set()
        self.broken = False
        self.writer: gevent.Greenlet[..., None] | None = None

    def put(self, data: bytes) -> bool:
        """False where it was not taken: the socket is broken or full."""
        if self.broken or self.size + len(data) > self.most or len(data) > self.budget.left:
            return False
        if self.writer is None:
            try:
                data = data[os.write(self.sock.fileno(), data) :]  # gevent's sockets never block
            except BlockingIOError:
                pass
            except OSError:
                self.give_up()
                return True
        if data:
            self.waiting += data
            self.took(len(data))
            self.empty.clear()
            self.writer = self.writer or gevent.spawn(self.write)
        return True

    def write(self) -> None:
        try:
            while self.waiting:
                data, self.waiting = self.waiting, bytearray()
                self.sock.sendall(data)
                if not self.broken:
                    self.took(-len(data))
            self.writer = None
            self.empty.set()
        except OSError:
            self.give_up()

    def took(self, size: int) -> None:
        self.size += size
        self.budget.left -= size

    def give_up(self) -> None:
        self.broken = True
        self.waiting = bytearray()
        self.took(-self.size)
        self.empty.set()

    def close(self) -> None:
        self.give_up()
        if self.writer is not None:
            self.writer.kill(block=False)
            self.writer = None
