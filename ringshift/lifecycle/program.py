"""One backend from start to exit. Its phases are named, and a table says what leads from one to the next."""

from __future__ import annotations

import signal
from dataclasses import replace
from enum import Enum
from random import Random
from typing import Any
from zlib import crc32

import gevent
from gevent.event import Event
from loguru import logger

from ringshift.lifecycle.configuration import Backend, reread
from ringshift.machine import NS_PER_MS, Malformed
from ringshift.owner import Owner
from ringshift.records.watch import Watch
from ringshift.runtime.clock import Clock
from ringshift.wire.agent import Agent
from ringshift.wire.announce import Announcer
from ringshift.wire.news import ToldToLeave
from ringshift.wire.sidecars import Sidecars

BEFORE_KILL = 0.1  # seconds: by then everything is answered, and closing must not be cut off
LEFT_AT_LEAST = 300 * NS_PER_MS  # to answer all in, where the notice may be older than `stop_ms`
LATER = {"settings": "machine", "limits": "bounds"}  # what is made of them is in use
TOGETHER = 3000.0  # milliseconds over which a fleet's configuration is replaced
SPARE = 0.02  # what is left of that for the exit itself


class Phase(Enum):
    STARTING = "starting"  # nothing listens yet
    WAITING = "waiting"  # listens; the agent has not greeted
    SERVING = "serving"
    LEAVING = "leaving"  # told to: answers what is there, throttles what comes late
    CLOSING = "closing"  # nothing is owed; connections end
    CLOSED = "closed"
    FAILED = "failed"  # a bug, or an address that can't be had


class Happening(Enum):
    LISTENS = "listens"
    GREETED = "greeted"
    TOLD = "told to leave"
    REPLACED = "configuration replaced"
    SETTLED = "settled"
    ENDED = "ended"
    BROKEN = "broken"


P, H = Phase, Happening
# phase, event -> next phase, what is done. What is missing changes nothing, such as a second notice.
PHASES: dict[tuple[Phase, Happening], tuple[Phase, tuple[str, ...]]] = {
    (P.STARTING, H.LISTENS): (P.WAITING, ()),
    (P.STARTING, H.TOLD): (P.CLOSED, ("finish",)),
    (P.STARTING, H.BROKEN): (P.FAILED, ("finish",)),
    (P.WAITING, H.GREETED): (P.SERVING, ("announce",)),
    (P.WAITING, H.TOLD): (P.LEAVING, ("tell_owner",)),
    (P.WAITING, H.BROKEN): (P.FAILED, ("finish",)),
    (P.WAITING, H.REPLACED): (P.WAITING, ("reread",)),
    (P.SERVING, H.REPLACED): (P.SERVING, ("reread",)),
    (P.LEAVING, H.REPLACED): (P.LEAVING, ("reread",)),  # runs still end at the agent, wherever it is now
    (P.SERVING, H.TOLD): (P.LEAVING, ("hush", "tell_owner")),
    (P.SERVING, H.BROKEN): (P.FAILED, ("finish",)),
    (P.LEAVING, H.SETTLED): (P.CLOSING, ("close",)),
    (P.LEAVING, H.BROKEN): (P.FAILED, ("finish",)),
    (P.CLOSING, H.ENDED): (P.CLOSED, ("finish",)),
    (P.CLOSING, H.BROKEN): (P.FAILED, ("finish",)),
}


class Program:
    def __init__(self, backend: Backend, told: Event, replaced: Event, watch: Watch) -> None:
        self.told, self.replaced, self.words = told, replaced, watch
        self.backend, self.phase, self.done = backend, Phase.STARTING, Event()
        self.clock, random = Clock(), Random(backend.seed)
        self.announcer = Announcer(backend.announce, backend.name, watch.mark)
        self.agent = Agent(backend.agent, random, backend.bounds.commands)
        self.owner = Owner(
            backend.machine,
            backend.bounds,
            backend.deep_checks,
            backend.seed,
            self.clock,
            self.agent,
            self.ready,
            self.close_idle,
            watch,
        )

    def run(self) -> int:
        """The exit status."""
        for number in (signal.SIGTERM, signal.SIGINT):
            gevent.signal_handler(number, self.to, Happening.TOLD)
        gevent.idle()  # signals that came since the start are heard before anyone can connect
        if self.told.is_set():
            self.to(Happening.TOLD)
        if self.phase is Phase.STARTING and not self.listen():
            return 1
        self.done.wait()
        return 0 if self.phase is Phase.CLOSED else 1

    def listen(self) -> bool:
        """Whether the address could be had; all that runs begins with it."""
        operations = {op.name: index for index, op in enumerate(self.backend.machine.operations)}
        try:
            self.sidecars = Sidecars(self.backend.listen, operations, self.owner.post, self.backend.bounds)
        except OSError as wrong:
            host, port = self.backend.listen
            logger.error("listen: {}:{} can't be bound: {}", host, port, wrong.strerror)
            return False
        logger.info("listening on {}:{}", *self.sidecars.sock.getsockname())
        self.to(Happening.LISTENS)
        owner, agent = gevent.spawn(self.owner.run), self.agent.start(self.owner.post)
        watch = gevent.spawn(self.watch)
        for greenlet in (owner, agent, watch, self.sidecars.accepting, self.sidecars.sweeping):
            greenlet.link_exception(self.broken)
        return True

    def to(self, event: Happening) -> None:
        step = PHASES.get((self.phase, event))
        if step is None:
            return
        old, (self.phase, effects) = self.phase, step
        logger.info("{}: {} -> {}", event.value, old.value, self.phase.value)
        self.words.moved(old.value, self.phase.value, event.value)
        for effect in effects:
            getattr(self, effect)()

    def watch(self) -> None:
        """One reading for each SIGHUP or more that came together, in whatever moment since the start."""
        while True:
            self.replaced.wait()
            self.replaced.clear()
            self.to(Happening.REPLACED)

    def ready(self, good: bool) -> None:
        """The owner's word for readiness; the first one comes with the agent's greeting."""
        self.announcer.tell(good)
        self.to(Happening.GREETED)

    def close_idle(self, after: int) -> None:
        self.sidecars.idle_after = after / 1e9

    def broken(self, greenlet: gevent.Greenlet[..., Any]) -> None:
        logger.error("ended by a bug: {}", repr(greenlet.exception))
        self.to(Happening.BROKEN)

    # What a step of the table does.

    def reread(self) -> None:
        try:
            new = reread(self.backend)
        except Malformed as wrong:
            logger.error("configuration stays as it was: {}", wrong)
            return
        for field, kept in LATER.items():
            if getattr(new, kept) != getattr(self.backend, kept):
                logger.warning("{}: changed, which counts from the next start on", field)
        self.agent.move(new.agent)
        self.announcer.move(new.announce)
        self.backend = replace(self.backend, agent=new.agent, announce=new.announce, stop=new.stop)
        logger.info("configuration read: agent {}:{}, announce {}:{}", *new.agent, *new.announce)
        # A fleet's files are replaced within seconds, which ties clocks that nothing else does.
        self.words.mark(f"configuration:{crc32(repr((new.machine, new.announce)).encode()):08x}", TOGETHER)

    def announce(self) -> None:
        self.announcer.start()

    def hush(self) -> None:
        # An entry lapses three seconds after its last report: the sooner they end, the fewer still come.
        self.announcer.stop()

    def tell_owner(self) -> None:
        self.kill_at = self.owner.drain(self.backend.stop, LEFT_AT_LEAST)
        gevent.spawn(self.leave)

    def leave(self) -> None:
        left = self.kill_at - self.clock.now()
        self.owner.post(ToldToLeave(left))
        self.owner.settled.wait(left / 1e9 - BEFORE_KILL)
        self.to(Happening.SETTLED)

    def close(self) -> None:
        self.sidecars.close((self.kill_at - self.clock.now()) / 1e9 - SPARE)
        self.to(Happening.ENDED)

    def finish(self) -> None:
        self.done.set()
