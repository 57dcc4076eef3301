"""One process that seeks a task's lease, keeps it, and does the task's steps while it may.

One loop owns the lease's decisions (ringshift/fleet/lease.py). The keeper's blocking calls are made by a
thread of their own, in order, so that a keeper that does not answer takes no acting time from the task and
does not hold up a notice to leave; their answers and a watch's news come back through one queue. Each change
of phase is one structured record; the steps are a `Work`'s (ringshift/lifecycle/works.py), each given the
last look at the clock as a question it must ask right before it acts. With `history`, every seek, act, step,
halt and release is a line with the true monotonic time beside the holder's own, for the harness's checker
(standins/checkers/leases.py). SIGTERM and SIGINT are the notice to leave: the lease is revoked within the
terms' share of the grace, answered or not.
"""

from __future__ import annotations

import os
import signal
import threading
import time
from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass
from pathlib import Path
from queue import Empty, SimpleQueue
from random import Random
from typing import IO, Any, Protocol

import orjson
from loguru import logger

from ringshift.fleet.lease import MS, RELEASED, Effect, Heard, Lease, LeaseTerms, News
from ringshift.fleet.placement import Placement
from ringshift.records.schema import Body, LeaseChange
from ringshift.wire.keeper import KeeperLink

TICK = 20 * MS  # between two looks at the clock; well under any margin that the terms allow
STUCK = 4  # answer times after which a call that never came back is left to itself, and a new thread asks


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


@dataclass(frozen=True)
class Hold:
    """What a step is told of the hold it acts under. `may`: the last look at the clock, to be asked right
    before each effect; `write`: a line of the history."""

    token: int
    deadline: int
    may: Callable[[], bool]
    now: Callable[[], int]
    write: Callable[..., None]


class Work(Protocol):
    """A fleet task's doing. `step` does at most one step, short against the margin, and raises OSError or
    ValueError where it can't know what came of it; `done` once nothing is left to do."""

    pace: int
    """Nanoseconds between two steps."""
    done: bool

    def taken(self, token: int, now: int) -> None: ...
    def halted(self) -> None: ...
    def step(self, hold: Hold) -> None: ...
    def close(self) -> None: ...


class Asker:
    """The keeper's blocking calls, one at a time, in a thread of the system's own."""

    def __init__(self, link: KeeperLink, answers: SimpleQueue[Heard], stuck_after: int) -> None:
        self.link, self.answers, self.stuck_after = link, answers, stuck_after
        self.generation = 0
        self.begin()

    def begin(self) -> None:
        """A new thread; what an older one still hears is dropped, as nobody waits for it any more."""
        self.generation += 1
        self.orders: SimpleQueue[Callable[[], Heard | None]] = SimpleQueue()
        self.waiting, self.since = 0, 0
        work = self.generation, self.orders
        threading.Thread(target=self.work, args=work, name="keeper", daemon=True).start()

    def work(self, generation: int, orders: SimpleQueue[Callable[[], Heard | None]]) -> None:
        while generation == self.generation:
            heard = orders.get()()
            if generation == self.generation:
                self.waiting -= 1
                # What no fact came of wakes the loop all the same: it may wait for the last answer to leave.
                self.answers.put(heard or Heard(News.TICK, self.link.clock()))

    def ask(self, order: Callable[[], Heard | None], now: int, queue: bool = False) -> None:
        """Unless a call is under way (`queue`: after it). A call stuck far past its time is left behind."""
        if self.waiting and now - self.since > self.stuck_after:
            self.begin()
        if self.waiting and not queue:
            return
        if not self.waiting:
            self.since = now
        self.waiting += 1
        self.orders.put(order)


class Holder:
    def __init__(
        self,
        name: str,
        task: str,
        terms: LeaseTerms,
        link: KeeperLink,
        work: Work,
        clock: OwnClock,
        seed: int,
        history: IO[bytes] | None = None,
        tell: Callable[[Body], None] | None = None,
        placement: Placement | None = None,
    ) -> None:
        self.name, self.task, self.key = name, task, f"/ringshift/tasks/{task}".encode()
        self.terms, self.link, self.work = terms, link, work
        self.lease, self.clock, self.random, self.history = Lease(terms), clock, Random(seed), history
        self.placement = placement or Placement((task,))
        self.lease.next_ask = clock.now() + self.placement.first_wait(task, self.random.random())
        self.heard: SimpleQueue[Heard] = SimpleQueue()
        self.asker = Asker(link, self.heard, STUCK * terms.answer_within)
        # The key's value: unique to this process, so that two started with one name never take one hold.
        self.identity = f"{name} {os.getpid()} {self.random.getrandbits(64):016x}".encode()
        self.leaving, self.leave_by, self.revoked = False, 0, 0
        self.watching: threading.Thread | None = None
        self.permitted, self.next_step = False, 0
        self.tell = tell

    def write(self, kind: str, **more: Any) -> None:
        if self.history is not None:
            line = {
                "t": time.monotonic_ns(),
                "own": self.clock.now(),
                "holder": self.name,
                "pid": os.getpid(),
                "ev": kind,
                **more,
            }
            self.history.write(orjson.dumps(line) + b"\n")
            self.history.flush()

    def leave(self, *_: object) -> None:
        self.leaving = True
        self.heard.put(Heard(News.TICK, self.clock.now()))  # a SimpleQueue: safe within a signal's handler

    def run(self) -> int:
        for number in (signal.SIGTERM, signal.SIGINT):
            signal.signal(number, self.leave)
        logger.bind(kind="lease").info(f"lease {self.key.decode()}: seeking as {self.name}")
        while not self.turn():
            pass
        if self.revoked:
            self.write("released", token=self.revoked)
        return 0

    def turn(self) -> bool:
        """One turn of the loop; whether the holder may end."""
        now = self.clock.now()
        if (self.leaving or self.work.done) and self.lease.phase is not RELEASED:
            self.leave_by = now + self.terms.leave_within
            self.hear(Heard(News.LEAVE, now))
        if self.lease.phase is RELEASED and (not self.asker.waiting or now >= self.leave_by):
            return True
        self.hear(Heard(News.TICK, self.clock.now()))
        with suppress(Empty):
            while True:
                self.hear(self.heard.get_nowait())
        if self.permitted and self.lease.acting(self.clock.now()) and self.clock.now() >= self.next_step:
            self.step()
        with suppress(Empty):
            self.hear(self.heard.get(timeout=min(TICK, self.work.pace) / 1e9))
        return False

    def may(self) -> bool:
        return self.permitted and self.lease.acting(self.clock.now())

    def step(self) -> None:
        self.next_step = self.clock.now() + self.work.pace
        try:
            self.work.step(Hold(self.lease.token, self.lease.deadline, self.may, self.clock.now, self.write))
        except (OSError, ValueError) as wrong:
            logger.bind(kind="lease").debug(f"lease {self.key.decode()}: a step's fate is not known: {wrong}")

    def hear(self, heard: Heard) -> None:
        if heard.news in (News.GRANTED, News.RENEWED):
            self.write(heard.news.name.lower(), token=heard.token, sent=heard.sent)
        self.lease.handicap = self.placement.wait(self.task)
        for effect in self.lease.hear(heard, self.random.random()):
            getattr(self, f"do_{effect.kind}")(effect)

    # Effects of the lease (ringshift/fleet/lease.py).

    def do_seek(self, effect: Effect) -> None:
        self.write("seek")
        ttl_s = self.terms.ttl // 1_000_000_000
        self.asker.ask(lambda: self.link.seek(self.key, self.identity, ttl_s), self.clock.now())

    def do_renew(self, effect: Effect) -> None:
        self.asker.ask(lambda: self.link.renew(effect.lease, self.key, effect.token), self.clock.now())

    def do_check(self, effect: Effect) -> None:
        self.asker.ask(lambda: self.link.check(effect.lease, self.key, effect.token), self.clock.now())

    def do_revoke(self, effect: Effect) -> None:
        def revoke() -> None:
            if self.link.revoke(effect.lease):
                self.revoked = effect.token

        self.asker.ask(revoke, self.clock.now(), queue=True)

    def do_watch(self, effect: Effect) -> None:
        if self.watching is None or not self.watching.is_alive():
            quiet_s = self.terms.ttl / 1e9
            self.watching = self.link.watch(self.key, effect.revision, self.heard, quiet_s)

    def do_act(self, effect: Effect) -> None:
        if not self.permitted:
            self.work.taken(effect.token, self.clock.now())
            self.placement.took(self.task)
        self.permitted = True
        self.write("act", token=effect.token, deadline=effect.until)

    def do_halt(self, effect: Effect) -> None:
        if self.permitted:
            self.work.halted()
        self.permitted = False
        self.placement.let_go(self.task)
        self.write("halt", token=effect.token)

    def do_record(self, effect: Effect) -> None:
        logger.bind(kind="lease").info(f"lease {self.key.decode()}: {effect.note}, token {effect.token}")
        if self.tell is not None:
            left = max(effect.until - self.clock.now(), 0)
            old, _, rest = effect.note.partition(" -> ")
            new, _, why = rest.partition(" on ")
            self.tell(LeaseChange(self.task, self.name, old, new, why, effect.token, round(left / MS, 3)))


def apart(holder: Holder) -> threading.Thread:
    """The holder begun in a thread of its own, until it has left."""

    def run() -> None:
        try:
            while not holder.turn():
                pass
        except Exception as wrong:  # the lease ends by itself, and another process goes on with the task
            logger.error("{}: ended by a bug: {!r}", holder.task, wrong)

    thread = threading.Thread(target=run, name=holder.task, daemon=True)
    thread.start()
    return thread


def hold(
    name: str,
    task: str,
    terms: LeaseTerms,
    keepers: list[str],
    work: Work,
    seed: int,
    history: Path | None,
    clock: OwnClock,
    tell: Callable[[Body], None] | None = None,
) -> int:
    """Runs a holder until the notice to leave, or until the work is done."""
    out = history.open("ab") if history is not None else None
    link = KeeperLink(keepers, clock.now, terms.answer_within / 1e9)
    try:
        return Holder(name, task, terms, link, work, clock, seed, out, tell).run()
    finally:
        work.close()
        if out is not None:
            out.close()
