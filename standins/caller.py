"""A sidecar with habits: it calls any of the servers it knows of, waits, and may repeat what was refused."""

from __future__ import annotations

import time
from collections.abc import Callable
from dataclasses import dataclass
from random import Random

import gevent
from gevent.event import AsyncResult

from standins.sidecar import Answer, Sidecar
from standins.skew import Skew

Address = tuple[str, int]


@dataclass(frozen=True, slots=True)
class Target:
    """A server as this caller knows it; its machine stamps what comes by its own clock."""

    name: str
    address: Address
    clock: Skew


class Link(Sidecar):
    """One connection with a reader, so that many calls wait on it."""

    def __init__(self, address: Address) -> None:
        super().__init__(address)
        self.free = list(range(1, 33))
        self.waiting: dict[int, AsyncResult[Answer | None]] = {}
        self.broken = False
        self.reading = gevent.spawn(self.keep_reading)

    def keep_reading(self) -> None:
        self.sock.settimeout(None)
        try:
            while self.read():
                for request in list(self.ended):
                    head, _, body = self.out.pop(request, b"").partition(b"\r\n\r\n")
                    fields = dict(line.split(": ", 1) for line in head.decode().split("\r\n") if line)
                    status = int(fields.pop("Status", "0"))
                    told = Answer(status, fields, body, self.ended.pop(request))
                    self.free.append(request)
                    if request in self.waiting:
                        self.waiting.pop(request).set(told)
        except OSError:
            pass
        self.broken = True
        for waits in self.waiting.values():
            waits.set(None)

    def ask(self, operation: str, body: bytes, job: int, patience: float, **fields: str) -> Answer | None:
        if not self.free or self.broken:
            return None
        request = self.free.pop(0)
        waits: AsyncResult[Answer | None] = AsyncResult()
        self.waiting[request] = waits
        try:
            self.send(self.call(request, operation, body, True, HTTP_X_JOB_ID=f"{job:016x}", **fields))
            return waits.get(timeout=patience + 0.5)
        except (OSError, gevent.Timeout):
            return None


class Caller:
    def __init__(
        self,
        number: int,
        clock: Skew,
        random: Random,
        targets: Callable[[], list[Target]],
        heard: Callable[[str, str, int], None],
    ) -> None:
        self.number, self.clock, self.random = number, clock, random
        self.targets, self.heard = targets, heard
        self.links: dict[Address, Link] = {}
        self.repeats = 0
        """How often it sends again at once what it got no result for, or sent already: a storm's habit."""

    def run(self, rate: Callable[[], float]) -> None:
        """An open loop: calls come by chance, whatever became of the ones before."""
        while True:
            gevent.sleep(self.random.expovariate(max(rate(), 0.1)))
            gevent.spawn(self.call)

    def call(self) -> None:
        targets = self.targets()
        if not targets:
            return
        target = self.random.choice(targets)
        operation = "order" if self.random.random() < 0.25 else "look"
        body, rank = self.random.randbytes(12), self.random.random()
        for _ in range(1 + self.repeats):
            self.try_once(target, operation, body, rank)

    def try_once(self, target: Target, operation: str, body: bytes, rank: float) -> None:
        link = self.links.get(target.address)
        if link is None or link.broken:
            try:
                link = self.links[target.address] = Link(target.address)
            except OSError:
                return
        now = time.time_ns()
        answer = link.ask(
            operation,
            body,
            self.random.getrandbits(64),
            3.0,
            HTTP_X_SENDER=str(self.number),
            HTTP_X_DOOR_TIME=str(target.clock.wall(now) // 10**6),
            HTTP_X_PRECEDENCE=f"{rank:.4f}",
            HTTP_X_SENT_TIME=str(self.clock.wall(now) // 10**6),
        )
        if answer is not None:
            self.heard(target.name, operation, answer.status)
