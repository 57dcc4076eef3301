"""An announce service that keeps records of what it hears, by a true clock: an observer of the servers."""

from __future__ import annotations

import os
import time
from pathlib import Path
from typing import Any

import gevent
from gevent.server import DatagramServer

from ringshift.records.recorder import Recorder
from ringshift.records.schema import Mark, Saw, Second, Started
from ringshift.store.carriers import Lines
from ringshift.wire.announce import SENT, report_token

LAPSE = 3.0  # seconds after its last report
S = 10**9


class Watcher:
    def __init__(self, path: Path, address: tuple[str, int] = ("127.0.0.1", 0)) -> None:
        self.file = os.open(path, os.O_CREAT | os.O_APPEND | os.O_WRONLY)
        self.recorder = Recorder("announce", [Lines(self.file)])
        self.heard_last: dict[str, float] = {}
        self.words: dict[str, tuple[str, int, int]] = {}
        """server -> its word, from which port, how many words came from that port"""
        self.server = DatagramServer(address, self.heard)  # type: ignore[arg-type]
        self.server.start()
        self.recorder.write(Started("", self.address, (), 0, 0.0, role="observer"))
        self.beating = gevent.spawn(self.beat)

    @property
    def address(self) -> str:
        return "{}:{}".format(*self.server.address)

    def heard(self, data: bytes, source: tuple[Any, ...]) -> None:
        _, name, word = data.decode().split(" ")
        port = int(source[1])
        self.heard_last[name] = time.monotonic()
        old = self.words.get(name)
        if old is not None and old[:2] == (word, port):
            return
        count = old[2] + 1 if old is not None and old[1] == port else 1
        self.words[name] = word, port, count
        self.recorder.write(Mark(report_token(name, port, count, word), SENT))
        self.recorder.write(Saw(name, "announced", word))

    def listed(self) -> list[str]:
        return [name for name in self.words if name in self.heard_last]

    def beat(self) -> None:
        last = time.monotonic()
        while True:
            gevent.sleep(0.25)
            now = time.monotonic()
            for name, at in list(self.heard_last.items()):
                if now - at > LAPSE:
                    del self.heard_last[name], self.words[name]
                    self.recorder.write(Saw(name, "lapsed", f"{(now - at) * 1000:.0f}"))
            if now - last >= 1.0:
                self.recorder.write(Second(round((now - last) * 1000, 3), ()))
                last = now

    def die(self) -> None:
        """Without a last word."""
        self.beating.kill()
        self.server.stop(0)
        for carrier in self.recorder.carriers:
            carrier.close(1.0)
        os.close(self.file)
