"""`ringshift lease hold`: one process that seeks a task's lease, keeps it, and steps the task while it may.

One loop owns the lease's decisions (ringshift/fleet/lease.py); the keeper's answers come back from blocking
calls made by that loop, a watch's news through a queue. Each change of phase is one structured record; each
step of the task, accepted or refused, is a line of the history when one is asked for (`history`), with the
true monotonic time beside the holder's own, for the harness's checker (standins/checkers/leases.py).
SIGTERM and SIGINT are the notice to leave: the lease is revoked within `leave_within` of it.
"""

from __future__ import annotations

import os
import signal
import threading
import time
from dataclasses import dataclass
from pathlib import Path
from queue import Empty, Queue
from random import Random
from typing import IO, Any

import orjson
from loguru import logger

from ringshift.fleet.lease import MS, Effect, Heard, Lease, LeaseTerms, News
from ringshift.fleet.tasks import Progress
from ringshift.wire.fenced import FencedLink
from ringshift.wire.keeper import KeeperLink

TICK = 20 * MS  # between two looks at the clock; well under any margin that the terms allow


@dataclass(frozen=True)
class OwnClock:
    """The holder's clock: monotonic, run `skew_ppm` fast (or slow, below 0), stepped by `step_ns` at
    `step_at_ns` after the start; for fault tests, set through the command's options."""

    start: int
    skew_ppm: int = 0
    step_at_ns: int = 0
    step_ns: int = 0

    def now(self) -> int:
        real = time.monotonic_ns() - self.start
        own = real + real * self.skew_ppm // 1_000_000
        if self.step_ns and real >= self.step_at_ns:
            own += self.step_ns
        return own


class Holder:
    def __init__(self, name: str, task: str, terms: LeaseTerms, link: KeeperLink, resource: FencedLink,
                 progress: Progress, clock: OwnClock, seed: int,
                 history: IO[bytes] | None = None) -> None:  # fmt: skip
        self.name, self.task, self.key = name, task, f"/ringshift/tasks/{task}".encode()
        self.terms, self.link, self.resource, self.progress = terms, link, resource, progress
        self.lease, self.clock, self.random, self.history = Lease(terms), clock, Random(seed), history
        self.heard: Queue[Heard] = Queue()
        # The key's value: unique to this process, so that two started with one name never take one hold.
        self.identity = f"{name} {os.getpid()} {self.random.getrandbits(64):016x}".encode()
        self.leaving = threading.Event()
        self.watching: threading.Thread | None = None
        self.permitted = False
        self.pause: tuple[int, int] | None = None  # (step, ns): a pause after the last look, for fault tests

    def write(self, kind: str, **more: Any) -> None:
        if self.history is not None:
            line = {"t": time.monotonic_ns(), "own": self.clock.now(), "holder": self.name,
                    "pid": os.getpid(), "ev": kind, **more}  # fmt: skip
            self.history.write(orjson.dumps(line) + b"\n")
            self.history.flush()

    def run(self) -> int:
        for number in (signal.SIGTERM, signal.SIGINT):
            signal.signal(number, lambda *_: self.leaving.set())
        logger.bind(kind="lease").info(f"lease {self.key.decode()}: seeking as {self.name}")
        while True:
            if self.leaving.is_set():
                self.hear(Heard(News.LEAVE, self.clock.now()))
                return 0
            self.hear(Heard(News.TICK, self.clock.now()))
            while True:
                try:
                    self.hear(self.heard.get_nowait())
                except Empty:
                    break
            if self.permitted and self.lease.acting(self.clock.now()):
                self.step()
            self.leaving.wait(TICK / 1e9)

    def hear(self, heard: Heard) -> None:
        for effect in self.lease.hear(heard, self.random.random()):
            self.do(effect)

    def do(self, effect: Effect) -> None:
        kind = effect.kind
        if kind == "seek":
            self.write("seek")
            self.hear(self.link.seek(self.key, self.identity, self.terms.ttl // 1_000_000_000))
        elif kind == "renew":
            self.hear(self.link.renew(effect.lease, self.key, effect.token))
        elif kind == "revoke":
            self.link.revoke(effect.lease)
            self.write("released", token=effect.token)
        elif kind == "watch":
            if self.watching is None or not self.watching.is_alive():
                self.watching = self.link.watch(self.key, effect.revision, self.heard)
        elif kind == "act":
            if not self.permitted:
                self.progress.taken()
            self.permitted = True
            self.write("act", token=effect.token, deadline=effect.until)
        elif kind == "halt":
            self.permitted = False
            self.write("halt", token=effect.token)
        elif kind == "record":
            logger.bind(kind="lease").info(f"lease {self.key.decode()}: {effect.note}, token {effect.token}")

    def step(self) -> None:
        """One step of the task, or the question of where it stands; a failure is only not knowing."""
        token, deadline = self.lease.token, self.lease.deadline
        number = self.progress.next()
        try:
            if number is None:
                if self.progress.known:
                    return  # the task is done
                self.progress.heard(False, self.resource.last(self.task))
                return
            sent = self.clock.now()
            if sent >= deadline:
                return  # the last look, as close to the sending as the program can make it
            self.write("step", token=token, step=number, deadline=deadline, own_sent=sent)
            if self.pause is not None and number == self.pause[0]:
                time.sleep(self.pause[1] / 1e9)  # fault tests: a pause after the last look, a GC's or VM's
            accepted, last = self.resource.step(self.task, token, number, self.name)
        except (OSError, ValueError, IndexError):
            self.progress.taken()
            return
        self.write("stepped", token=token, step=number, accepted=accepted, last=last)
        self.progress.heard(accepted, last)


def hold(name: str, task: str, terms: LeaseTerms, keepers: list[str], resource: str, seed: int,
         history: Path | None, clock: OwnClock, most_steps: int = 0,
         pause: tuple[int, int] | None = None) -> int:  # fmt: skip
    """Runs a holder until the notice to leave; the task's steps go to `resource` (HOST:PORT)."""
    out = history.open("ab") if history is not None else None
    link = KeeperLink(keepers, clock.now, terms.answer_within / 1e9)
    fenced = FencedLink(resource, terms.answer_within / 1e9)
    holder = Holder(name, task, terms, link, fenced, Progress(most_steps), clock, seed, out)
    holder.pause = pause
    try:
        return holder.run()
    finally:
        if out is not None:
            out.close()

