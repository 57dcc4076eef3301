"""What carries records away: a bounded queue and a thread of the system's own that writes.

A thread, since a write to a full pipe or a busy disk waits, and a greenlet that waits so stops every other.
"""

from __future__ import annotations

import os
import threading
import time
from abc import abstractmethod
from collections import deque
from contextlib import suppress
from typing import Protocol

import orjson

from ringshift.records.schema import VERSION, Dropped

MOST_WAITING = 2000  # records in the queue: some minutes of heartbeats
Item = tuple[str, int, int, bytes]  # run, seq, at, the record


class Carrier(Protocol):
    trouble: str
    """What went wrong last; whoever says it empties it, as the carrier's thread can't."""

    def put(self, run: str, seq: int, at: int, data: bytes) -> None: ...
    def close(self, seconds: float) -> None: ...


class Queued:
    """`put` never waits: beyond `most` waiting records the new one is dropped, counted, and told as a record
    in its place, under its own seq, as soon as there is room."""

    def __init__(self, name: str, most: int = MOST_WAITING) -> None:
        self.most, self.waiting, self.dropped, self.first = most, deque[Item](), 0, 0
        self.trouble, self.lost = "", 0
        """Records dropped in all."""
        self.some, self.closing = threading.Event(), False
        self.thread = threading.Thread(target=self.work, name=name, daemon=True)
        self.thread.start()

    def put(self, run: str, seq: int, at: int, data: bytes) -> None:
        if len(self.waiting) >= self.most:
            self.first = self.first or seq
            self.dropped, self.lost = self.dropped + 1, self.lost + 1
            return
        if self.dropped:
            self.waiting.append(self.gap(run, at, data))
        self.waiting.append((run, seq, at, data))
        self.some.set()

    def gap(self, run: str, at: int, data: bytes) -> Item:
        """In the place of the last one that is missing: the next record's envelope, one seq earlier."""
        told, last = orjson.loads(data), self.first + self.dropped - 1
        body = Dropped(self.dropped, self.first, "carrier full")
        self.dropped = self.first = 0
        told |= {"ringshift": VERSION, "seq": last, "kind": "dropped", "body": body}
        return run, last, at, orjson.dumps(told)

    def work(self) -> None:
        while True:
            self.some.wait()
            self.some.clear()
            batch: list[Item] = []
            with suppress(IndexError):
                while True:
                    batch.append(self.waiting.popleft())
            if batch:
                self.write(batch)
            if self.closing and not self.waiting:
                self.finish()
                return

    @abstractmethod
    def write(self, batch: list[Item]) -> None: ...

    def finish(self) -> None:
        pass

    def close(self, seconds: float) -> None:
        self.closing = True
        self.some.set()
        # Not `join`, whose wait would hold the loop's other greenlets for longer than asked at a stuck pipe.
        self.thread.join(max(seconds, 0.0))


class Lines(Queued):
    """JSON lines on a file descriptor that someone else keeps; 2 is standard error."""

    def __init__(self, descriptor: int, most: int = MOST_WAITING) -> None:
        self.descriptor = descriptor
        super().__init__("records-lines", most)

    def write(self, batch: list[Item]) -> None:
        data = b"".join(item[3] + b"\n" for item in batch)
        while data:
            try:
                data = data[os.write(self.descriptor, data) :]
            except BlockingIOError:
                time.sleep(0.01)  # the pipe was made non-blocking by who reads it
            except OSError:
                return  # nobody reads any more
