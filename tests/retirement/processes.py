"""Backends of one retirement as processes, each behind a proxy of its own, and the keeper."""

from __future__ import annotations

import signal
import sys
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from datetime import UTC, datetime, timedelta
from pathlib import Path
from typing import Any

import gevent
import orjson
from gevent import subprocess
from gevent.event import Event

from standins.fleet.harness import ROOT
from standins.fleet.proxy import Proxy

LONG = 40  # seconds that anything awaited may take on a loaded machine
FAR = 1_000  # seconds from now: not within a test
BOOK = """
[alone]

[[timelines]]
name = "order-book"
operation = "order-book"
successor = "order-book-2"
announced = {announced}
warned_from = {announced}
steps = [{steps}]
end = {end}
floor = {{ answers = 3, over_s = 0, clocks_apart_s = 0 }}
link = "/order-book-2"

[timelines.conditions]
successor_share = 0.0
moved = 0.0
least_answers = 1
heard = {heard}
fresh_s = 1
dwell_s = 0
back_after_s = 0
"""


def moment(seconds: float) -> str:
    """So long from now."""
    return (datetime.now(UTC) + timedelta(seconds=seconds)).isoformat()


def book(steps: list[tuple[float, float]], heard: float = 0.6) -> str:
    """`steps`: (seconds from now, share)."""
    rows = ", ".join(f"{{ at = {moment(at)}, share = {share} }}" for at, share in steps)
    announced, end = moment(-60), moment(3600)
    return BOOK.format(announced=announced, steps=rows, end=end, heard=heard)


class Keeper:
    def __init__(self, folder: Path) -> None:
        self.folder, self.port = folder / "keeper", 0
        self.start()

    def start(self) -> None:
        argv = [
            sys.executable,
            "-m",
            "standins.keeper",
            str(self.folder),
            "--listen",
            f"127.0.0.1:{self.port}",
        ]
        self.process = subprocess.Popen(argv, cwd=ROOT, stdout=subprocess.PIPE)
        assert self.process.stdout is not None
        with gevent.Timeout(LONG):
            self.port = int(self.process.stdout.readline().rsplit(b":", 1)[1])

    def image(self) -> bytes:
        return (self.folder / "member.json").read_bytes()

    def restore(self, image: bytes) -> None:
        """It is gone, and comes back with an older copy of its data."""
        self.stop()
        (self.folder / "member.json").write_bytes(image)
        self.start()

    @property
    def address(self) -> str:
        return f"127.0.0.1:{self.port}"

    def stop(self) -> None:
        self.process.kill()
        self.process.wait()


class Backend:
    """A process of standins/fleet/retiring.py: what it told, and calls to it."""

    def __init__(self, folder: Path, keeper: Keeper, book: Path, name: str, *more: str, ttl: int = 2) -> None:
        self.name, self.proxy = name, Proxy(("127.0.0.1", keeper.port))
        settings = folder / f"{name}.toml"
        settings.write_text(
            f'[leases]\nkeepers = ["{self.proxy.start()}"]\nttl_s = {ttl}\nmargin_ms = 200\n'
            "answer_within_ms = 400\ngrace_ms = 1000\n"
        )
        argv = [
            sys.executable,
            "-m",
            "standins.fleet.retiring",
            "--settings",
            str(settings),
            "--book",
            str(book),
            "--name",
            name,
            *more,
        ]
        self.process = subprocess.Popen(argv, cwd=ROOT, stdin=subprocess.PIPE, stdout=subprocess.PIPE)
        self.told = list[dict[str, Any]]()
        self.more, self.ended = Event(), False
        self.reading = gevent.spawn(self.read)

    def read(self) -> None:
        assert self.process.stdout is not None
        for line in self.process.stdout:
            self.told.append(orjson.loads(line))
            self.more.set()
        self.ended = True
        self.more.set()

    def until(self, found: Callable[[dict[str, Any]], bool], since: int = 0) -> dict[str, Any]:
        """The first line told from the `since`th on that is `found`, awaited."""
        with gevent.Timeout(LONG):
            while True:
                self.more.clear()
                for line in self.told[since:]:
                    if found(line):
                        return line
                since = len(self.told)
                assert not self.ended, (self.name, self.told[-3:])
                self.more.wait()

    def calls(self, operation: int, *callers: int) -> list[dict[str, Any]]:
        """Each caller's invocation, in order, as it was judged."""
        assert self.process.stdin is not None
        since, out = len(self.told), list[dict[str, Any]]()
        lines = "".join(f"call {operation} {caller}\n" for caller in callers)
        self.process.stdin.write(lines.encode())
        self.process.stdin.flush()
        for _ in callers:
            line = self.until(lambda one: one["ev"] == "called", since)
            since = self.told.index(line, since) + 1
            out.append(line)
        return out

    def read_book(self) -> None:
        """As if the next version were in force: the file, as it is now."""
        if self.process.stdin is not None and self.process.poll() is None:
            self.process.stdin.write(b"book\n")
            self.process.stdin.flush()

    def acts(self, rung: int) -> dict[str, Any]:
        return self.until(lambda one: one["ev"] == "acts" and one["rung"] == rung)

    @contextmanager
    def standing_still(self) -> Iterator[None]:
        """The process stopped; it goes on as nothing had been."""
        self.process.send_signal(signal.SIGSTOP)
        try:
            yield
        finally:
            self.process.send_signal(signal.SIGCONT)

    def kill(self) -> None:
        self.process.kill()
        self.process.wait()

    def stop(self) -> None:
        if self.process.poll() is None:
            self.process.kill()
        self.process.wait()
        self.reading.join(5)
        self.proxy.stop()


class Fleet:
    """`more`: options of each backend, by name. No step comes before `plan` says so."""

    def __init__(self, folder: Path, backends: int = 3, heard: float = 0.6, **more: tuple[str, ...]) -> None:
        self.folder, self.book, self.heard = folder, folder / "book.toml", heard
        folder.mkdir(parents=True)
        self.book.write_text(book([(FAR, 0.5)], heard))
        self.keeper = Keeper(folder)
        self.backends = list[Backend]()
        for number in range(backends):
            self.add(f"b{number}", *more.get(f"b{number}", ()))
            if not number:  # the first holds the ramp
                self.backends[0].until(lambda one: one["ev"] == "act")

    def add(self, name: str, *more: str) -> Backend:
        seed = str(len(self.backends) + 1)
        self.backends.append(Backend(self.folder, self.keeper, self.book, name, "--seed", seed, *more))
        return self.backends[-1]

    def plan(self, *steps: tuple[float, float]) -> None:
        """The timeline's steps are these from now on, at all backends; with none it is withdrawn."""
        self.book.write_text(book(list(steps), self.heard) if steps else "[alone]\n")
        for one in self.backends:
            one.read_book()

    def ramped(self) -> list[dict[str, Any]]:
        """What all holders told of their writes."""
        return [line for one in self.backends for line in one.told if line["ev"] == "ramped"]

    def __enter__(self) -> Fleet:
        return self

    def __exit__(self, *_: object) -> None:
        for one in self.backends:
            one.stop()
        self.keeper.stop()
