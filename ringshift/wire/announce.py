"""Reports to the announce service: one datagram each, no answer."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import gevent
from gevent import socket
from gevent.event import Event

from ringshift.runtime.logs import counted

SENT = 5.0  # milliseconds between sending and its record
EVERY = 0.3  # seconds: with a quarter lost and a lapse after three, less than one lapse a day


def report_token(name: str, port: int, changes: int, word: str) -> str:
    """By which the one who sent a changed report and the one who heard it know the same event."""
    return f"report {name} {port} {changes} {word}"


class Announcer:
    def __init__(
        self, address: tuple[str, int], name: str, mark: Callable[[str, float], None] | None = None
    ) -> None:
        self.address, self.name, self.ready, self.mark = address, name, True, mark
        self.changed = Event()
        self.sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)  # now, while descriptors are to be had
        self.sock.settimeout(0.0)  # what can't go now is out of date by the time that it can
        self.stopped = False
        self.reporting: gevent.Greenlet[..., Any] | None = None

    def start(self) -> None:
        if self.reporting is None:
            self.reporting = gevent.spawn(self.report)

    def move(self, address: tuple[str, int]) -> None:
        """To another announce service, which has not heard of this backend yet."""
        if address != self.address:
            self.address = address
            self.changed.set()

    def tell(self, ready: bool) -> None:
        if ready != self.ready:
            self.ready = ready
            self.changed.set()

    def stop(self) -> None:
        """For good, also where a report is due in this step: its greenlet runs once more before it ends."""
        self.stopped = True
        if self.reporting is not None:
            self.reporting.kill(block=False)

    def report(self) -> None:
        told, changes = None, 0
        while not self.stopped:
            word = str(self.ready).lower()
            try:
                self.sock.sendto(f"announce {self.name} {word}".encode(), self.address)
                if word != told and self.mark is not None:
                    told, changes = word, changes + 1
                    self.mark(report_token(self.name, self.sock.getsockname()[1], changes, word), SENT)
            except OSError as wrong:
                counted.warn("announce service can't be reached", str(wrong))
            self.changed.wait(EVERY)
            self.changed.clear()
