"""A render farm agent whose cores are shared: it slows down, hangs and comes back as it is told."""

from __future__ import annotations

from random import Random
from typing import Any

from gevent.event import Event

from standins.agent import Agent


class Farm(Agent):
    """A run takes `base` seconds by chance around it, longer where more run than there are cores."""

    def __init__(self, random: Random, cores: int = 4, base: float = 0.04, state: str = "old") -> None:
        super().__init__(self.work_at, state=state)
        self.random, self.cores, self.base = random, cores, base
        self.slower = 1.0
        self.going = Event()
        self.going.set()

    def work_at(self, job: str, kind: str, body: bytes) -> tuple[float, str, bytes]:
        crowd = max(len(self.running) / self.cores, 1.0)
        return self.base * self.random.uniform(0.8, 1.2) * self.slower * crowd, "good", kind.encode()

    def hang(self) -> None:
        """Reads nothing, ends nothing, tells nothing; the link stays."""
        self.going.clear()

    def go_on(self) -> None:
        self.going.set()

    def on_sample(self, fields: dict[str, Any]) -> None:
        self.going.wait()
        running = len(self.running)
        self.gauges = [min(running / self.cores, 1.0), running, 0.1, self.cores]
        super().on_sample(fields)

    def on_launch(self, fields: dict[str, Any]) -> None:
        self.going.wait()
        super().on_launch(fields)

    def finish(self, job: str, state: str = "good", result: bytes = b"done") -> None:
        self.going.wait()
        if job in self.running:
            self.running.discard(job)
            took = self.base * self.slower * 1000 * max(len(self.running) / self.cores, 1.0)
            self.tell(job, state, result, took)

    def tell(self, job: str, state: str, result: bytes, took: float) -> None:
        from base64 import b64encode

        self.notify(type="outcome", job=job, state=state, took=took, data=b64encode(result).decode())
