"""Puts a server's records together and hands them to its carriers. Told by the owner; never waits."""

from __future__ import annotations

import os
import threading
import time
from typing import TYPE_CHECKING, Any

import orjson
from loguru import logger

from ringshift import __version__
from ringshift.records.schema import (
    NAMES,
    VERSION,
    Body,
    Ended,
    Greeted,
    Mark,
    Phase,
    Ready,
    Said,
    Started,
)
from ringshift.records.tally import BEAT, Tally
from ringshift.store.carriers import Carrier, Lines

if TYPE_CHECKING:
    from ringshift.control import Controller
    from ringshift.wire.news import Called

MOST_TEXT = 2000  # characters of one log line that are kept
ENDING = 0.3  # seconds that carriers have to write what they hold at the exit


class Recorder:
    """Implements `Watch`."""

    every = BEAT

    def __init__(self, server: str, carriers: list[Carrier]) -> None:
        self.server, self.carriers = server, carriers
        self.run = os.urandom(6).hex()
        self.seq, self.born = 0, time.monotonic_ns()
        self.tally = Tally(())
        self.lock = threading.Lock()

    def write(self, body: Body) -> None:
        # Holders of leases tell theirs from threads of their own; nothing in here waits.
        with self.lock:
            self.put(body)

    def put(self, body: Body) -> None:
        self.seq += 1
        at, up = time.time_ns(), time.monotonic_ns() - self.born
        data = orjson.dumps(
            {
                "ringshift": VERSION,
                "server": self.server,
                "run": self.run,
                "seq": self.seq,
                "at": at,
                "up": up,
                "kind": NAMES[type(body)],
                "body": body,
            }
        )
        for carrier in self.carriers:
            carrier.put(self.run, self.seq, at, data)

    def started(self, listen: str, operations: tuple[str, ...], cores: int, stop_ms: float) -> None:
        self.tally = Tally(operations)
        self.write(Started(__version__, listen, operations, cores, stop_ms))

    def arrived(self, item: Called, unread: int) -> None:
        what = hash((item.caller, item.operation, item.item, item.body))
        ahead = None if item.sent is None else time.time_ns() - item.sent
        self.tally.arrived(item.operation, what, item.caller, unread, ahead)

    def answered(self, operation: int, how: int) -> None:
        self.tally.rows[operation].ends[how] += 1

    def launched(self, operation: int) -> None:
        self.tally.rows[operation].launched += 1

    def ran(self, operation: int, took: int, good: bool) -> None:
        row = self.tally.rows[operation]
        row.ran, row.ran_ns, row.failed_runs = row.ran + 1, row.ran_ns + took, row.failed_runs + (not good)

    def asked(self) -> None:
        self.tally.asked += 1

    def sampled(self, gauges: Any) -> None:
        self.tally.sampled += 1

    def beat(self, now: int, late: int, controller: Controller | None) -> None:
        if self.tally.beat(now, late):
            for body in self.tally.cut(now, controller):
                self.write(body)
            for carrier in self.carriers:
                if carrier.trouble:
                    self.write(Said("error", carrier.trouble))
                    carrier.trouble = ""

    def greeted(self, cold: bool, took: int) -> None:
        self.write(Greeted(cold, round(took / 1e6, 3)))

    def ready(self, good: bool) -> None:
        self.write(Ready(good))

    def moved(self, old: str, new: str, why: str) -> None:
        self.write(Phase(old, new, why))

    def mark(self, token: str, spread_ms: float) -> None:
        self.write(Mark(token, spread_ms))

    def said(self, message: Any) -> None:
        """The sink of loguru: the text alone, and the trace where there is one."""
        told = message.record
        text = str(message).rstrip() if told["exception"] is not None else str(told["message"])
        self.write(Said(told["level"].name.lower(), text[:MOST_TEXT]))

    def end(self, status: int, owed: int) -> None:
        self.write(Ended(status, owed))
        until = time.monotonic() + ENDING
        for carrier in self.carriers:
            carrier.close(until - time.monotonic())


def start(server: str, lines: bool, folder: str, most: int) -> Recorder:
    """With `lines`, log lines become records as well, so that standard error holds one form only."""
    carriers: list[Carrier] = [Lines(2)] if lines else []
    if folder:
        from ringshift.store.ring import Ring

        carriers.append(Ring(folder, server, most))
    recorder = Recorder(server, carriers)
    if lines:
        logger.remove()
    logger.add(recorder.said, level="INFO", format="{message}", backtrace=False, diagnose=False)
    return recorder
