"""What the cases share: FastCGI by the protocol page, a render farm agent, and the platform that starts a
backend by the deploy file's `run`. The standard library alone; every address is a loopback address.
"""

from __future__ import annotations

import asyncio
import base64
import json
import os
import random
import signal
import socket
import struct
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from contextlib import suppress
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
BEGIN, ABORT, END, PARAMS, STDIN, STDOUT = 1, 2, 3, 4, 5, 6
Address = tuple[str, int]

# Settings of a small deployment; classes, deadlines and rules are those of the site fuel-board-fn.
SETTINGS: dict[str, Any] = {
    "classes": [
        {"name": "tank-lookup", "effect": "safe", "aim": 3100.0, "hard_limit": 9300.0, "late_worth": 0.0},
        {"name": "slot-update", "effect": "safe", "aim": 1900.0, "hard_limit": 6200.0, "late_worth": 0.2},
        {"name": "order-book", "effect": "unsafe", "aim": 2500.0, "hard_limit": 7800.0, "late_worth": 0.0},
    ],
    "group_size": 11,
    "extra": {
        "n_cores": 6,
        "ram_kb": 60000.0,
        "run_factor": 16.0,
        "gauges": ["cpu_busy", "runnable", "mem_used", "sockets"],
        "halt": "drop",
        "advert": "tokens",
        "upstreams": 4,
        "real_checks": True,
        "passes_deadline": True,
        "tells_gone": True,
    },
    "rules": {
        "fall_multiple": 8.0,
        "stop_sending_within": 2000.0,
        "cold_from": 0.2,
        "ramp_time": 17000.0,
        "answer_slack": 80.0,
        "overload_for": 1500.0,
    },
    "limits": {"retry_after": True, "max_retry_after": 1000.0},
}


class Record:
    """`record.txt` in the case's folder, and the same on standard output."""

    def __init__(self, folder: Path) -> None:
        self.file = (folder / "record.txt").open("w", encoding="utf-8")
        self.began = time.monotonic()

    def say(self, text: str) -> None:
        print(self.note(text), flush=True)

    def note(self, text: str) -> str:
        """In the file alone: one request, one run."""
        line = f"{time.monotonic() - self.began:8.2f} {text}"
        print(line, file=self.file, flush=True)
        return line


# FastCGI.


def record(kind: int, request: int, content: bytes = b"") -> bytes:
    return struct.pack("!BBHHBx", 1, kind, request, len(content), 0) + content


def pairs(fields: dict[str, str]) -> bytes:
    sized = ((name.encode(), value.encode()) for name, value in fields.items())
    return b"".join(struct.pack("!II", len(n) | 1 << 31, len(v) | 1 << 31) + n + v for n, v in sized)


def begin(request: int) -> bytes:
    return record(BEGIN, request, struct.pack("!HB5x", 1, 1))


def new_job() -> str:
    return f"{random.getrandbits(64):016x}"


def call(request: int, operation: str, job: str, allow: str, sender: int, body: bytes = b"body") -> bytes:
    fields = {
        "REQUEST_METHOD": "POST",
        "SCRIPT_NAME": f"/call/{operation}",
        "HTTP_X_JOB_ID": job,
        "HTTP_X_DOOR_TIME": str(time.time_ns() // 1_000_000),
        "HTTP_X_SENDER": str(sender),
        "HTTP_X_ALLOW_MS": allow,
        "HTTP_X_RAM_KB": "24.5",
        "HTTP_X_PRECEDENCE": f"{random.random() * 0.99:.4f}",
    }
    params = record(PARAMS, request, pairs(fields)) + record(PARAMS, request)
    return begin(request) + params + record(STDIN, request, body) + record(STDIN, request)


async def answer(reader: asyncio.StreamReader) -> tuple[int, int]:
    """The next answer on a connection: the request's number and the status, 0 for an end without one."""
    out: dict[int, bytes] = {}
    while True:
        _, kind, request, size, padding = struct.unpack("!BBHHBx", await reader.readexactly(8))
        content = (await reader.readexactly(size + padding))[:size]
        if kind == END:
            first = out.get(request, b"").split(b"\r\n")[0]
            return request, int(first.removeprefix(b"Status: ") or 0)
        if kind == STDOUT:
            out[request] = out.get(request, b"") + content


class Agent:
    """A render farm agent: runs what the usual sidecars sent, refuses each other id."""

    def __init__(self, record: Record, took: float = 0.05) -> None:
        self.record, self.took, self.known = record, took, dict[str, bytes]()
        self.refused, self.ran = 0, set[str]()
        self.notices: list[bytes] = []
        self.link: asyncio.StreamWriter | None = None

    async def talk(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.link = writer
        with suppress(OSError):  # the backend was killed
            while line := await reader.readline():
                told = json.loads(line)
                getattr(self, "on_" + told["type"])(told)

    def write(self, data: bytes) -> None:
        if self.link is not None:
            self.link.write(data)

    def say(self, **fields: Any) -> None:
        self.write(json.dumps(fields).encode() + b"\n")

    def on_subscribe(self, told: dict[str, Any]) -> None:
        self.say(type="greeting", state="old", took=0)
        self.write(b"".join(self.notices[told["n"] :]))

    def on_launch(self, told: dict[str, Any]) -> None:
        job = told["job"]
        if self.known.get(job) != base64.b64decode(told["data"]):
            self.refused += 1
            self.say(type="refusal", state="launch", job=job)
            return
        self.ran.add(job)
        self.record.note(f"{job} runs")
        asyncio.get_running_loop().call_later(self.took, self.end, job)

    def end(self, job: str) -> None:
        data = base64.b64encode(self.known.pop(job, b"")).decode()
        fields = {"type": "outcome", "n": len(self.notices) + 1, "job": job, "state": "good"}
        self.notices.append(json.dumps({**fields, "took": self.took * 1000, "data": data}).encode() + b"\n")
        self.write(self.notices[-1])

    def on_freeze(self, told: dict[str, Any]) -> None:
        pass  # its runs are short

    def on_sample(self, told: dict[str, Any]) -> None:
        self.say(type="sampled", ref=told["ref"], gauges=[0.2, 1, 0.1, 4])

    def on_exercise(self, told: dict[str, Any]) -> None:
        self.say(type="exercised", ref=told["ref"], state="good")


# The platform.


def free_port() -> int:
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return int(sock.getsockname()[1])


class Backend:
    """One backend, its agent, its announce service and what else the case starts; ends them all."""

    def __init__(self, record: Record, memory_mb: int, sockets: int) -> None:
        self.record, self.limits = record, {"cores": 1.0, "memory_mb": memory_mb, "sockets": sockets}
        self.agent, self.address = Agent(record), ("127.0.0.1", free_port())
        self.folder = tempfile.TemporaryDirectory()
        self.announce = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.others: list[asyncio.subprocess.Process] = []

    async def __aenter__(self) -> Backend:
        self.farm = await asyncio.start_server(self.agent.talk, "127.0.0.1", 0, limit=1 << 20)
        self.announce.bind(("127.0.0.1", 0))
        config = {
            "name": "n3",
            "listen": "{}:{}".format(*self.address),
            "agent": "{}:{}".format(*self.farm.sockets[0].getsockname()),
            "announce": "{}:{}".format(*self.announce.getsockname()),
            "seed": "8c1f30d27a5be964",
            "stop_ms": 3200,
            "limits": self.limits,
            "settings": SETTINGS,
        }
        path = Path(self.folder.name, "config.json")
        path.write_text(json.dumps(config), encoding="utf-8")
        run = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text(encoding="utf-8"))["run"]
        self.log = os.open(Path(self.folder.name, "backend.log"), os.O_WRONLY | os.O_CREAT)
        self.process = await asyncio.create_subprocess_exec(
            "/bin/sh",
            "-c",
            run,
            cwd=ROOT,
            env={**os.environ, "PROXY_CONFIG": str(path)},
            stdout=self.log,
            stderr=self.log,
        )
        return self

    async def __aexit__(self, *_: object) -> None:
        for process in (*self.others, self.process):
            if process.returncode is None:
                process.kill()
                await process.wait()
        os.close(self.log)
        self.farm.close()
        self.announce.close()
        self.folder.cleanup()

    async def start(self, script: Path, *words: str) -> asyncio.subprocess.Process:
        """A process of stand-ins: a script of the case, told the backend's address first."""
        told = *map(str, self.address), *words
        process = await asyncio.create_subprocess_exec(
            sys.executable, str(script), *told, stdout=asyncio.subprocess.PIPE
        )
        self.others.append(process)
        return process

    async def serves(self) -> bool:
        """Whether it answers a health check as good within 30 s."""
        for _ in range(150):
            try:
                reader, writer = await asyncio.open_connection(*self.address)
                fields = pairs({"REQUEST_METHOD": "GET", "SCRIPT_NAME": "/ping"})
                writer.write(begin(1) + record(PARAMS, 1, fields) + record(PARAMS, 1) + record(STDIN, 1))
                _, status = await asyncio.wait_for(answer(reader), 2)
                writer.close()
                if status == 200:
                    return True
            except (OSError, EOFError, TimeoutError):
                pass
            await asyncio.sleep(0.2)
        return False

    def memory_mb(self) -> float:
        """What the process itself holds: anonymous and shared memory, without the files that it maps."""
        text = Path(f"/proc/{self.process.pid}/status").read_text(encoding="ascii")
        held = dict(line.split(":", 1) for line in text.splitlines() if line.startswith("Rss"))
        # Of a process that has ended there is nothing.
        return sum(int(held.get(name, "0").split()[0]) for name in ("RssAnon", "RssShmem")) / 1024

    def cpu_seconds(self) -> float:
        fields = Path(f"/proc/{self.process.pid}/stat").read_text(encoding="ascii").rpartition(")")[2].split()
        return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def play(folder: Path, memory_mb: int, sockets: int, case: Callable[[Backend], Awaitable[bool]]) -> int:
    """The exit status: 1 if `case` says that the rule was broken, 0 if it held, 2 if it could not run."""
    told = Record(folder)
    told.say(f"TROUBLE={int(TROUBLE)}, memory {memory_mb} MB, {sockets} descriptors")

    async def run() -> int:
        task = asyncio.current_task()
        assert task is not None
        for number in (signal.SIGTERM, signal.SIGINT):  # ended from outside it still ends what it started
            asyncio.get_running_loop().add_signal_handler(number, task.cancel)
        async with Backend(told, memory_mb, sockets) as backend:
            if not await backend.serves():
                told.say("the backend does not serve")
                return 2
            broken = await case(backend)
            told.say("BROKEN" if broken else "held")
            return int(broken)

    try:
        return asyncio.run(run())
    except (Exception, asyncio.CancelledError) as wrong:  # whatever keeps the case from running
        told.say(f"could not run: {wrong!r}")
        return 2
