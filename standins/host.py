"""A machine with one backend on it: its agent, the announce service, its configuration and its process."""

from __future__ import annotations

import os
import re
import signal
import sys
import tempfile
from collections.abc import Callable
from pathlib import Path
from typing import Any

import gevent
import orjson
from gevent import subprocess
from gevent.event import Event

from standins.agent import Agent
from standins.announce import Announce
from standins.sidecar import Sidecar

ROOT = Path(__file__).parent.parent
SETTINGS: dict[str, Any] = {
    "classes": [
        {"name": "look", "effect": "safe", "aim": 1500.0, "hard_limit": 3000.0, "late_worth": 0.0},
        {"name": "order", "effect": "unsafe", "aim": 1500.0, "hard_limit": 3000.0, "late_worth": 0.2},
    ],
    "extra": {
        "n_cores": 4,
        "ram_kb": 60000.0,
        "run_factor": 8.0,
        "gauges": ["cpu_busy", "runnable"],
        "halt": "drop",
        "advert": "tokens",
        "upstreams": 3,
        "real_checks": True,
    },
    "rules": {"fall_multiple": 8.0, "stop_sending_within": 300.0, "cold_from": 0.2, "ramp_time": 2000.0},
    "limits": {"retry_after": True, "max_retry_after": 1000.0},
}


class Host:
    def __init__(
        self,
        agent: Agent | None = None,
        /,
        stop_ms: float = 2000.0,
        sockets: int = 1024,
        settings: dict[str, Any] = SETTINGS,
        command: tuple[str, ...] = ("-m", "ringshift"),
        listen: str = "127.0.0.1:0",
        echo: bool = False,
        environ: dict[str, str] | None = None,
        shell: str | None = None,
        **other: Any,
    ) -> None:
        """`shell`: a line for /bin/sh in place of `command`, started from the root as `run` is started."""
        self.agent, self.announce = agent or Agent(), Announce()
        self.folder = tempfile.TemporaryDirectory()
        told = {
            "name": "n3",
            "listen": listen,
            "agent": self.agent.address,
            "announce": self.announce.address,
            "seed": "8c1f30d27a5be964",
            "stop_ms": stop_ms,
            "settings": settings,
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": sockets},
            **other,
        }
        self.path = Path(self.folder.name, "config.json")
        self.told = {key: value for key, value in told.items() if value is not None}
        self.path.write_bytes(orjson.dumps(self.told))
        self.lines: list[str] = []
        self.echo = echo
        self.logged = Event()
        environ = {**os.environ, "PROXY_CONFIG": str(self.path), **(environ or {})}
        argv = ["/bin/sh", "-c", shell] if shell is not None else [sys.executable, *command]
        self.process = subprocess.Popen(argv, cwd=ROOT, env=environ, stderr=subprocess.PIPE)
        self.reading = gevent.spawn(self.read)

    def __enter__(self) -> Host:
        return self

    def __exit__(self, *_: Any) -> None:
        if self.process.poll() is None:
            self.process.kill()
        self.process.wait()
        self.reading.join(10)
        self.agent.server.stop(0)
        self.announce.server.stop(0)
        self.folder.cleanup()

    def replace(self, data: bytes | None = None, **other: Any) -> None:
        """Another configuration, and the word of it."""
        self.path.write_bytes(orjson.dumps({**self.told, **other}) if data is None else data)
        self.process.send_signal(signal.SIGHUP)

    def read(self) -> None:
        assert self.process.stderr is not None
        for line in self.process.stderr:
            self.lines.append(line.decode().rstrip())
            if self.echo:
                print(self.lines[-1], flush=True)
            self.logged.set()

    def line(self, text: str, seconds: float = 10.0) -> str:
        """The first log line that holds a text, once it is there."""

        def found() -> list[str]:
            return [line for line in self.lines if text in line]

        self.wait(self.logged, lambda: bool(found()), seconds)
        return found()[0]

    def wait(self, event: Event, test: Callable[[], bool], seconds: float = 10.0) -> None:
        with gevent.Timeout(seconds):
            while not test():
                event.wait()
                event.clear()

    def address(self) -> tuple[str, int]:
        found = re.search(r"listening on ([0-9.]+):([0-9]+)", self.line("listening on"))
        assert found is not None
        return found[1], int(found[2])

    def sidecar(self) -> Sidecar:
        return Sidecar(self.address())

    def serving(self) -> Sidecar:
        self.line("-> serving")
        return self.sidecar()

    def ended(self, seconds: float = 10.0) -> int:
        with gevent.Timeout(seconds):
            status = self.process.wait()
            self.reading.join()
        return int(status)
