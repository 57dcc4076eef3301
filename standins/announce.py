"""An announce service: notes each report. No answer is owed."""

from __future__ import annotations

from typing import Any

from gevent.event import Event
from gevent.server import DatagramServer


class Announce:
    def __init__(self) -> None:
        self.reports: list[str] = []
        self.reported = Event()
        self.server = DatagramServer(("127.0.0.1", 0), self.heard)  # type: ignore[arg-type]
        self.server.start()

    @property
    def address(self) -> str:
        return "{}:{}".format(*self.server.address)

    def heard(self, data: bytes, _: Any) -> None:
        self.reports.append(data.decode())
        self.reported.set()
