"""`python -m standins.stage`: an incident on loopback, with the real program, false clocks and a truth file.

It starts a fleet of backends, their agents, callers and an announce service, injects troubles at moments
drawn from a seed, and writes into a folder a log for each server and for the announce service, and
`truth.json`: what was injected, when by the true clock, and when each server's callers were turned away.
"""

from __future__ import annotations

import argparse
import os
import signal
import sys
import tempfile
import time
from collections import defaultdict
from collections.abc import Callable
from dataclasses import asdict, dataclass, field
from pathlib import Path
from random import Random
from typing import Any

import gevent
import orjson
from gevent import subprocess

from standins.caller import Caller, Target
from standins.farm import Farm
from standins.host import ROOT, SETTINGS
from standins.skew import Skew
from standins.watcher import Watcher

S = 10**9
SERVERS, CALLERS, CORES, BASE = 4, 5, 4, 0.04
CALM = 9.0  # seconds of calm service before the first trouble, so that what is usual is known
AFTER = 6.0  # after the last one
RATE = 30.0  # calls a second and server: a third of what its cores end
KINDS = ("kill", "drain", "cold", "slow", "hung", "jump", "storm", "announce", "gap", "pause")


@dataclass
class Event:
    """What was injected; `until` where it ended."""

    what: str
    servers: list[str]
    at: int
    until: int | None = None


@dataclass
class Truth:
    seed: int
    kinds: list[str]
    events: list[Event] = field(default_factory=list)
    clocks: dict[str, dict[str, float]] = field(default_factory=dict)
    shed: list[Event] = field(default_factory=list)
    """Where callers were turned away, as they saw it."""


class Server:
    """One backend process after another under one name, and the agent beside it."""

    def __init__(self, stage: Stage, name: str, clock: Skew) -> None:
        self.stage, self.name, self.clock = stage, name, clock
        self.path = stage.folder / f"{name}.log"
        self.process: subprocess.Popen[bytes] | None = None
        self.address: tuple[str, int] | None = None
        self.farm = Farm(stage.random, CORES, BASE)

    def start(self, state: str = "old") -> None:
        if state == "new":
            self.farm = Farm(self.stage.random, CORES, BASE, state="new")
        told = {
            "name": self.name,
            "listen": "127.0.0.1:0",
            "agent": self.farm.address,
            "announce": self.stage.watcher_address,
            "seed": f"{self.stage.random.getrandbits(64):x}",
            "stop_ms": 2000.0,
            "settings": self.stage.settings,
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        }
        config = self.stage.scratch / f"{self.name}.json"
        config.write_bytes(orjson.dumps(told))
        environ = {
            **os.environ,
            "PROXY_CONFIG": str(config),
            "RINGSHIFT_RECORDS": "lines",
            "SKEW": self.clock.told(),
        }
        file = os.open(self.path, os.O_CREAT | os.O_APPEND | os.O_WRONLY)
        size = os.fstat(file).st_size
        command = [sys.executable, "-m", "standins.skew"]
        self.process = subprocess.Popen(command, cwd=ROOT, env=environ, stderr=file)
        os.close(file)
        with gevent.Timeout(20):
            while not (found := self.listening(size)):
                gevent.sleep(0.02)
        self.address = found

    def listening(self, size: int) -> tuple[str, int] | None:
        data = self.path.read_bytes()[size:]
        at = data.find(b"listening on 127.0.0.1:")
        if at < 0:
            return None
        port = data[at + 23 : at + 29].split(b'"')[0]
        return ("127.0.0.1", int(port)) if port.isdigit() else None

    def signal(self, number: int) -> None:
        assert self.process is not None
        self.process.send_signal(number)

    def wait(self) -> None:
        assert self.process is not None
        self.process.wait()


class Stage:
    def __init__(self, kinds: list[str], seed: int, folder: Path) -> None:
        self.random, self.folder = Random(seed), folder
        folder.mkdir(parents=True, exist_ok=True)
        self.scratch = Path(tempfile.mkdtemp())
        self.truth = Truth(seed, kinds)
        extra = {**SETTINGS["extra"], "n_cores": CORES, "upstreams": CALLERS}
        self.settings: dict[str, Any] = {**SETTINGS, "extra": extra}
        self.watcher = Watcher(folder / "announce.log")
        self.watcher_address = self.watcher.address
        self.zero = time.time_ns()
        self.servers = {name: Server(self, name, self.skew(name)) for name in self.names()}
        self.known: list[Target] = []
        self.more = 1.0
        """The fleet's load, as a multiple of the calm one."""
        self.turned: dict[tuple[str, str], list[int]] = defaultdict(list)
        self.callers = [
            Caller(
                index, self.skew(f"caller-{index}"), Random(f"{seed}-{index}"), lambda: self.known, self.heard
            )
            for index in range(CALLERS)
        ]

    @staticmethod
    def names() -> list[str]:
        return [f"n{index}" for index in range(1, SERVERS + 1)]

    def skew(self, name: str) -> Skew:
        """Up to five seconds off and 200 ppm; one server of some incidents steps back in its middle."""
        off, ppm = round(self.random.uniform(-5, 5) * S), self.random.uniform(-200, 200)
        step_at = step = 0
        if name == "n1" and self.random.random() < 0.35:
            step_at = self.zero + round((CALM + self.random.uniform(0, 4)) * S)
            step = -round(self.random.uniform(1.0, 4.0) * S)
        self.truth.clocks[name] = {"ahead_s": off / S, "ppm": ppm, "step_s": step / S}
        if step:
            self.truth.events.append(Event("clock stepped", [name], step_at))
        return Skew(off, ppm, step_at, step, self.zero)

    def heard(self, server: str, operation: str, status: int) -> None:
        if status == 429:
            self.turned[server, operation].append(time.time_ns())

    def know(self) -> None:
        """Callers hear of servers from the announce service, a second late; they keep the list if it dies."""
        while True:
            listed = self.watcher.listed()
            gevent.sleep(1.0)
            if self.watcher.beating.dead:
                continue
            targets = [
                Target(name, server.address, server.clock)
                for name, server in self.servers.items()
                if name in listed and server.address
            ]
            self.known = targets or self.known

    def play(self) -> Truth:
        try:
            for server in self.servers.values():
                server.start()
            gevent.spawn(self.know)
            with gevent.Timeout(20):
                while len(self.known) < SERVERS:
                    gevent.sleep(0.05)
            for caller in self.callers:
                gevent.spawn(caller.run, lambda: RATE * SERVERS / CALLERS * self.more)
            victims = self.random.sample(list(self.servers.values()), len(self.truth.kinds))
            waits = [CALM + self.random.uniform(0, 1)]
            for _ in self.truth.kinds[1:]:
                waits.append(waits[-1] + self.random.uniform(2.0, 4.0))
            jobs = [
                gevent.spawn_later(wait, INJECT[kind], self, server)
                for kind, server, wait in zip(self.truth.kinds, victims, waits, strict=True)
            ]
            gevent.joinall(jobs, raise_error=True)
            gevent.sleep(AFTER)
        finally:
            for server in self.servers.values():
                if server.process is not None and server.process.poll() is None:
                    server.process.kill()
                    server.process.wait()
            if not self.watcher.beating.dead:
                self.watcher.die()
        self.truth.shed = self.shed_spells()
        self.truth.events.sort(key=lambda event: event.at)
        (self.folder / "truth.json").write_bytes(orjson.dumps(asdict(self.truth), option=orjson.OPT_INDENT_2))
        return self.truth

    def shed_spells(self) -> list[Event]:
        """Stretches with at least three refusals a second at their begin, three seconds apart."""
        spells = list[Event]()
        for (server, operation), moments in sorted(self.turned.items()):
            current: Event | None = None
            for index, at in enumerate(moments):
                dense = len(moments) > index + 2 and moments[index + 2] - at < S
                if current is not None and current.until is not None and at - current.until < 3 * S:
                    current.until = at
                elif dense:
                    current = Event(f"shedding {operation}", [server], at, at)
                    spells.append(current)
                else:
                    current = None
        return sorted(spells, key=lambda event: event.at)

    def note(self, what: str, servers: list[str], at: int, until: int | None = None) -> None:
        self.truth.events.append(Event(what, servers, at, until))


def now() -> int:
    return time.time_ns()


def kill(stage: Stage, server: Server) -> None:
    server.signal(signal.SIGKILL)
    stage.note("vanished", [server.name], now())
    server.wait()
    gevent.sleep(5)


def drain(stage: Stage, server: Server) -> None:
    at = now()
    server.signal(signal.SIGTERM)
    server.wait()
    stage.note("drained", [server.name], at, now())
    gevent.sleep(4)


def cold(stage: Stage, server: Server) -> None:
    """Killed, and back with an agent that starts cold; some within the second."""
    server.signal(signal.SIGKILL)
    gone = now()
    server.wait()
    gevent.sleep(stage.random.choice([0.0, 2.0, 4.0]))
    at = now()
    server.start("new")
    stage.note("vanished", [server.name], gone, at)
    stage.note("came back", [server.name], at)
    stage.note("cold start", [server.name], at)
    gevent.sleep(5)


def slow(stage: Stage, server: Server) -> None:
    at, server.farm.slower = now(), stage.random.uniform(3.0, 6.0)
    gevent.sleep(stage.random.uniform(5, 7))
    server.farm.slower = 1.0
    stage.note("slow", [server.name], at, now())
    gevent.sleep(3)


def hung(stage: Stage, server: Server) -> None:
    at = now()
    server.farm.hang()
    gevent.sleep(stage.random.uniform(3, 5))
    server.farm.go_on()
    stage.note("agent hung", [server.name], at, now())
    gevent.sleep(3)


def jump(stage: Stage, server: Server) -> None:
    at, stage.more = now(), stage.random.uniform(2.2, 3.5)
    gevent.sleep(stage.random.uniform(4, 6))
    stage.more = 1.0
    stage.note("traffic jump", list(stage.servers), at, now())
    gevent.sleep(3)


def storm(stage: Stage, server: Server) -> None:
    """Callers begin to send everything again, two to four times."""
    at, habit = now(), stage.random.randint(2, 4)
    for caller in stage.callers:
        caller.repeats = habit
    gevent.sleep(stage.random.uniform(4, 6))
    for caller in stage.callers:
        caller.repeats = 0
    stage.note("retry storm", list(stage.servers), at, now())
    gevent.sleep(3)


def announce(stage: Stage, server: Server) -> None:
    at = now()
    stage.watcher.die()
    gevent.sleep(stage.random.uniform(4, 6))
    host, port = stage.watcher_address.split(":")
    back = now()
    stage.watcher = Watcher(stage.folder / "announce.log", (host, int(port)))
    stage.note("announce service lost", ["announce"], at, back)
    gevent.sleep(2)


def gap(stage: Stage, server: Server) -> None:
    """Its lines of some seconds get lost on the way to who keeps them."""
    at = now()
    before = server.path.stat().st_size
    gevent.sleep(stage.random.uniform(3, 5))
    after, until = server.path.stat().st_size, now()
    stage.note("gap in records", [server.name], at, until)
    gevent.sleep(3)
    # The process goes on appending to the same file: what was lost becomes empty lines of the same length.
    with server.path.open("r+b") as file:
        file.seek(before)
        lost = file.read(after - before)
        file.seek(before)
        file.write(b"\n" * len(lost))


def pause(stage: Stage, server: Server) -> None:
    server.signal(signal.SIGSTOP)
    at = now()
    gevent.sleep(stage.random.uniform(2, 4))
    server.signal(signal.SIGCONT)
    stage.note("paused", [server.name], at, now())
    gevent.sleep(3)


INJECT: dict[str, Callable[[Stage, Server], None]] = {
    "kill": kill,
    "drain": drain,
    "cold": cold,
    "slow": slow,
    "hung": hung,
    "jump": jump,
    "storm": storm,
    "announce": announce,
    "gap": gap,
    "pause": pause,
}


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--kinds", default="kill", help=f"one or two, joined by +, of {', '.join(KINDS)}")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("folder", type=Path)
    told = parser.parse_args()
    kinds = told.kinds.split("+")
    for kind in kinds:
        if kind not in INJECT:
            parser.error(f"--kinds: {kind!r} is none of {', '.join(KINDS)}")
    truth = Stage(kinds, told.seed, told.folder).play()
    print(orjson.dumps(asdict(truth), option=orjson.OPT_INDENT_2).decode())
    return 0


if __name__ == "__main__":
    sys.exit(main())
