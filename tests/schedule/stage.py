"""A keeper's process, planners' and backends' processes by proxies of their own, for faults between them."""

from __future__ import annotations

import json
import sys
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import gevent
import orjson
from gevent import subprocess
from gevent.event import Event

from ringshift.rulebook.document import Rulebook, Rules, digest
from ringshift.rulebook.version import Row, Version
from ringshift.schedule.plan import validated
from ringshift.schedule.planned import moment
from ringshift.schedule.validate import Schedule
from ringshift.wire.rules import RulesLink
from standins.fleet.harness import ROOT
from standins.fleet.proxy import Proxy

LIFE_MS = 800


@dataclass
class Planner:
    process: subprocess.Popen[bytes]
    names: list[str]
    stopped: Event = field(default_factory=Event)
    told: dict[str, Any] = field(default_factory=dict)
    killed: bool = False

    def __post_init__(self) -> None:
        self.heard = gevent.spawn(self.hear)

    def hear(self) -> None:
        assert self.process.stderr is not None
        for line in self.process.stderr:
            if line.strip() == b"stopped":
                self.stopped.set()
            else:
                sys.stderr.write(line.decode())

    def wake(self) -> None:
        assert self.process.stdin is not None
        self.process.stdin.write(b"\n")
        self.process.stdin.flush()

    def end(self) -> int:
        assert self.process.stdout is not None
        if out := self.process.stdout.read().decode():
            self.told = json.loads(out)
        return int(self.process.wait())

    @property
    def state(self) -> str:
        return str(self.told.get("state", "killed"))


@dataclass
class Backend:
    process: subprocess.Popen[bytes]
    proxy: Proxy
    history: Path
    wall_ms: int
    acts: Event = field(default_factory=Event)

    def __post_init__(self) -> None:
        self.heard = gevent.spawn(self.hear)

    def hear(self) -> None:
        assert self.process.stderr is not None
        for line in self.process.stderr:
            if line.startswith(b"acts") and line.endswith(b"fresh\n"):
                self.acts.set()

    def leave(self) -> list[dict[str, Any]]:
        """Its history, of what it had in force."""
        self.process.terminate()
        self.process.wait()
        lines = [orjson.loads(line) for line in self.history.read_bytes().splitlines()]
        for line in lines:
            line["wall"] = line.get("wall", 0) + self.wall_ms * 1_000_000  # written by the machine's
        return [line for line in lines if line["ev"] == "force"]


class Stage:
    """A keeper with a first version in force, and planners that reach it each by a proxy of its own."""

    def __init__(self, folder: Path) -> None:
        folder.mkdir()
        self.folder, self.now = folder, time.time_ns()
        (folder / "installation.toml").write_text("[alone]\n")
        self.port = 0
        self.keeper = self.start_keeper()
        self.link = RulesLink([f"127.0.0.1:{self.port}"], time.monotonic_ns, 5.0)
        self.proxies: list[Proxy] = []
        self.planners: list[Planner] = []
        self.backends: list[Backend] = []
        book = Rulebook(alone=Rules())
        assert self.call(lambda: self.link.begin(Version((0, 1), book, digest(book))))

    def call(self, do: Callable[[], Any]) -> Any:
        """The client blocks: not on the hub."""
        return gevent.get_hub().threadpool.apply(do)

    def start_keeper(self) -> subprocess.Popen[bytes]:
        argv = [
            sys.executable,
            "-m",
            "standins.keeper",
            str(self.folder / "keeper"),
            "--listen",
            f"127.0.0.1:{self.port}",
        ]
        process = subprocess.Popen(argv, cwd=ROOT, stdout=subprocess.PIPE)
        assert process.stdout is not None
        self.port = int(process.stdout.readline().decode().rsplit(":", 1)[1])
        return process

    def restart_keeper(self) -> None:
        self.keeper.kill()
        self.keeper.wait()
        self.keeper = self.start_keeper()

    def silent_reader(self, name: str = "n1") -> None:
        """Confirms once and never again: each proposal waits until its lease surely ended."""
        self.call(lambda: self.link.confirm(name, Row(1)))

    def file(self, name: str, changes: list[dict[str, Any]]) -> str:
        lines = []
        for one in changes:
            lines.append("[[changes]]")
            lines += [f"{key} = {value}" for key, value in one.items()]
        path = self.folder / f"{name}.toml"
        path.write_text("\n".join(lines) + "\n")
        return str(path)

    def settings(self, name: str) -> str:
        """By a proxy of its own, the last of `proxies`."""
        proxy = Proxy(("127.0.0.1", self.port))
        self.proxies.append(proxy)
        path = self.folder / f"{name}-{len(self.proxies)}-settings.toml"
        path.write_text(
            f'[leases]\nkeepers = ["{proxy.start()}"]\n[rules]\nlife_ms = {LIFE_MS}\n'
            f'installation = "{self.folder}/installation.toml"\n'
            "margin_ms = 100\nrefresh_ms = 150\nanswer_within_ms = 400\n"
        )
        return str(path)

    def start(
        self,
        name: str,
        does: str,
        at_s: float = 0,
        *more: str,
        withdraw: str = "",
        window: tuple[float, float] = (3_600, 3_600),
        ramp_ms: tuple[int, int] = (0, 0),
    ) -> Planner:
        """Plans a change from `window[0]` and `at_s` seconds after the stage's beginning on, for `window[1]`
        seconds, or withdraws one."""
        start = self.now + round((window[0] + at_s) * 1e9)
        row = {
            "name": f'"{name}"',
            "does": does,
            "from": moment(start).isoformat(),
            "to": moment(start + round(window[1] * 1e9)).isoformat(),
            "ramp_in_ms": ramp_ms[0],
            "ramp_out_ms": ramp_ms[1],
        }
        wish = ["--withdraw", withdraw] if withdraw else ["--plan", self.file(name, [row])]
        argv = [sys.executable, "-m", "standins.fleet.planner", "--settings", self.settings(name)] + wish
        argv += more
        process = subprocess.Popen(
            argv, cwd=ROOT, stdin=subprocess.PIPE, stdout=subprocess.PIPE, stderr=subprocess.PIPE
        )
        self.planners.append(Planner(process, [] if withdraw else [name]))
        return self.planners[-1]

    def backend(self, name: str, wall_ms: int = 0) -> Backend:
        history = self.folder / f"{name}.jsonl"
        argv = [
            sys.executable,
            "-m",
            "standins.fleet.ruled",
            "--settings",
            self.settings(name),
            "--name",
            name,
            "--history",
            str(history),
            "--wall-ms",
            str(wall_ms),
        ]
        process = subprocess.Popen(argv, cwd=ROOT, stderr=subprocess.PIPE)
        self.backends.append(Backend(process, self.proxies[-1], history, wall_ms))
        return self.backends[-1]

    def at(self, seconds: float) -> None:
        """Until so long after the beginning: the script's time, not a wait for anyone."""
        gevent.sleep(max(self.now / 1e9 + seconds - time.time(), 0))

    def book(self) -> Rulebook:
        told = self.call(self.link.read).told
        assert told is not None
        book = told.in_force.book
        assert isinstance(book, Rulebook)
        return book

    def standing(self) -> list[str]:
        return sorted(one.name for one in self.book().changes if one.withdrawn is None)

    def ended(self) -> None:
        """All planners to their end, and what each was told against what is in force."""
        for one in self.planners:
            one.end()
        book, standing = self.book(), self.standing()
        assert isinstance(validated(book), Schedule)
        for one in self.planners:
            if one.state == "LANDED":
                assert set(one.names) <= set(standing), (one.told, standing)
            elif one.state in ("CONTRADICTS", "REFUSED", "WITHDRAWN"):
                assert not set(one.names) & set(standing), (one.told, standing)
            if one.state == "CONTRADICTS":  # of a sum the two that began last are named, if not one's own
                against, known = one.told["against"], {*one.names, *(row.name for row in book.changes)}
                assert set(against["changes"]) <= known, against
                assert against["rule"] == "SHARES" or set(one.names) < set(against["changes"]), against

    def close(self) -> None:
        processes = [one.process for one in self.planners] + [one.process for one in self.backends]
        for process in processes:
            if process.poll() is None:
                process.kill()
                process.wait()
        for proxy in self.proxies:
            proxy.stop()
        self.keeper.kill()
        self.keeper.wait()


def move(share: float, source: str = "north", target: str = "south") -> str:
    return f'{{kind = "move", share = {share}, source = "{source}", target = "{target}"}}'


def drain(place: str) -> str:
    return f'{{kind = "drain", place = "{place}"}}'


def played(case: Callable[[Stage], None], folder: Path) -> str:
    """Why it failed, or empty."""
    stage = Stage(folder)
    try:
        with gevent.Timeout(60):
            case(stage)
        return ""
    except (AssertionError, ValueError, gevent.Timeout) as wrong:  # one that fails, and not all
        return f"{wrong or 'wrong'}: {[one.told for one in stage.planners]}"
    finally:
        stage.close()
