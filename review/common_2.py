"""Stand-ins and checks of the cases 6 to 10: a render farm agent, sound sidecars, a backend's process.

Standard library only. All of it runs in one asyncio loop; the backend is a process of its own, started with
the `run` command of the deploy file, on loopback addresses with ports that the kernel picks.
"""

from __future__ import annotations

import asyncio
import base64
import contextlib
import json
import os
import random
import shutil
import signal
import socket
import struct
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent
HEADER = struct.Struct("!BBHHBx")
BEGIN, ABORT, END, PARAMS, STDIN, STDOUT = 1, 2, 3, 4, 5, 6
SLACK = 0.080 + 0.050
"""Seconds of `answer_slack` of the settings, and the protocol page's extension of every time limit."""
CROSSING = 0.050 + 0.050
"""Seconds within which a request may cross a close, and the extension; it is then sent again, once."""
ALLOWED = 0.003
"""Share of requests that may lack a final answer in their time on the days with trouble."""
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HELD, BROKEN = 0, 10
"""Exit statuses of a case; `run.sh` makes 1 of BROKEN and 2 of all else, such as an exception's 1."""


def operation(name: str, effect: str, aim: float, hard_limit: float, **other: Any) -> dict[str, Any]:
    """One class of the settings; times in milliseconds."""
    return {"name": name, "effect": effect, "aim": aim, "hard_limit": hard_limit, "late_worth": 0.2, **other}


def settings(**extra: Any) -> dict[str, Any]:
    """Those of a small deployment, after `fuel-board-fn`; work and times scaled down."""
    return {
        "classes": [
            operation("tank-lookup", "safe", 1500.0, 3000.0),
            operation("slot-update", "safe", 1500.0, 3000.0),
            operation("order-book", "unsafe", 1500.0, 3000.0, value=3.0),
        ],
        "extra": {
            "n_cores": 6,
            "ram_kb": 60000.0,
            "run_factor": 16.0,
            "gauges": ["cpu_busy", "runnable", "mem_used", "sockets"],
            "halt": "drop",
            "advert": "tokens",
            "upstreams": 3,
            "real_checks": True,
            "passes_deadline": True,
            "tells_gone": True,
            **extra,
        },
        "rules": {
            "answer_slack": 80.0,
            "fall_multiple": 8.0,
            "overload_for": 1500.0,
            "stop_sending_within": 2000.0,
            "cold_from": 0.2,
            "ramp_time": 17000.0,
        },
        "limits": {"retry_after": True, "max_retry_after": 1000.0},
        "group_size": 11,
    }


class Record:
    """What was sent, answered and run: a line each, in seconds since the start."""

    def __init__(self, path: Path) -> None:
        self.out, self.began, self.broken = path.open("w", encoding="utf-8"), time.monotonic(), list[str]()

    def write(self, text: str) -> None:
        self.out.write(f"{time.monotonic() - self.began:8.3f} {text}\n")

    def breaks(self, text: str) -> None:
        """The rule was broken, and by what."""
        self.broken.append(text)
        self.write(f"BROKEN {text}")

    def verdict(self) -> int:
        """The exit status, told in the record and on standard output."""
        text = f"{len(self.broken)} times: {self.broken[0]}" if self.broken else "held"
        self.write(f"VERDICT {text}")
        self.out.close()
        print(text)
        return BROKEN if self.broken else HELD


# The wire.


def record(kind: int, number: int, content: bytes = b"") -> bytes:
    """One FastCGI record."""
    return HEADER.pack(1, kind, number, len(content), 0) + content


def length(value: int) -> bytes:
    """Of a name or value."""
    return bytes((value,)) if value < 128 else struct.pack("!I", value | 1 << 31)


def pairs(fields: dict[str, str]) -> bytes:
    """Parameters as name-value pairs."""
    encoded = ((name.encode(), value.encode()) for name, value in fields.items())
    return b"".join(length(len(n)) + length(len(v)) + n + v for n, v in encoded)


def whole(number: int, fields: dict[str, str], body: bytes) -> bytes:
    """A whole request in the Responder role with KEEP_CONN."""
    parts = [record(BEGIN, number, struct.pack("!HB5x", 1, 1)), record(PARAMS, number, pairs(fields))]
    parts += [record(PARAMS, number), record(STDIN, number, body) if body else b"", record(STDIN, number)]
    return b"".join(parts)


def call_fields(job: str, kind: str, sender: int, allow_ms: int, door_ms: int) -> dict[str, str]:
    """The fields of the protocol page."""
    return {
        "REQUEST_METHOD": "POST",
        "SCRIPT_NAME": f"/call/{kind}",
        "HTTP_X_JOB_ID": job,
        "HTTP_X_DOOR_TIME": str(door_ms),
        "HTTP_X_SENDER": str(sender),
        "HTTP_X_ALLOW_MS": str(allow_ms),
        "HTTP_X_RAM_KB": "24.5",
        "HTTP_X_PRECEDENCE": "0.6250",
    }


@dataclass(eq=False)
class Call:
    """One request of a sound sidecar, and what became of it. Moments of the monotonic clock; 0: not yet."""

    job: str
    kind: str
    body: bytes
    allow_ms: int
    key: str = ""
    """The idempotency key that all tries of one request share; X-Unique in the kit's table of names."""
    door: float = field(default_factory=time.time)
    written: float = 0.0
    runs: int = 0
    results: list[bytes] = field(default_factory=list)
    status: int = 0
    answered: float = 0.0
    given_up: bool = False
    again: bool = False
    """It crossed a close and was sent again."""

    @property
    def over(self) -> bool:
        """Whether its sidecar waits for it no more."""
        return self.given_up or self.answered > 0


Work = Callable[[Call], tuple[float, str, bytes]]


class Agent:
    """A render farm agent by the protocol page: it runs what came to this process, once at a time, refuses
    the rest, counts its notices from 1, and tells a new link all that follow the last one read."""

    def __init__(self, world: World, work: Work) -> None:
        self.world, self.work = world, work
        self.notices: list[dict[str, Any]] = []
        self.running: dict[str, asyncio.TimerHandle] = {}
        self.link: asyncio.StreamWriter | None = None
        self.current: asyncio.StreamWriter | None = None
        self.servers: list[asyncio.Server] = []

    async def listen(self) -> str:
        """One more address of it."""
        server = await asyncio.start_server(self.talk, "127.0.0.1", 0, limit=1 << 20)
        self.servers.append(server)
        return f"127.0.0.1:{server.sockets[0].getsockname()[1]}"

    def say(self, **fields: Any) -> None:
        if self.link is not None:
            self.link.write(json.dumps(fields).encode() + b"\n")

    def notify(self, **fields: Any) -> None:
        self.notices.append({**fields, "n": len(self.notices) + 1})
        self.say(**self.notices[-1])

    async def talk(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        before, self.current, self.link = self.current, writer, None
        if before is not None:
            before.close()
        with contextlib.suppress(ConnectionError):
            while (line := await reader.readline()).endswith(b"\n") and self.current is writer:
                self.command(writer, json.loads(line))
        if self.link is writer:
            self.link = None
        writer.close()

    def command(self, writer: asyncio.StreamWriter, told: dict[str, Any]) -> None:
        match told["type"]:
            case "subscribe":
                self.link = writer
                self.say(type="greeting", state="old", took=60000.0)
                for notice in self.notices[told["n"] :]:
                    self.say(**notice)
            case "launch":
                self.launch(told["job"], told["kind"], base64.b64decode(told["data"]))
            case "freeze":
                if told["job"] in self.running:
                    self.end(self.world.calls[told["job"]], "cut", b"", 0.0)
            case "sample":
                gauges = [min(len(self.running) / 6, 1.0), len(self.running), 0.1, 4]
                self.say(type="sampled", ref=told["ref"], gauges=gauges)
            case "exercise":
                self.say(type="exercised", ref=told["ref"], state="good")

    def launch(self, job: str, kind: str, body: bytes) -> None:
        call = self.world.calls.get(job)
        if call is None or (call.kind, call.body) != (kind, body):
            self.world.refused += 1
            self.say(type="refusal", state="launch", job=job)
        elif call.over:
            self.notify(type="outcome", job=job, state="gone", took=0.0, data="")
        elif job not in self.running:
            self.begin(call)

    def begin(self, call: Call) -> None:
        call.runs += 1
        self.world.record.write(f"runs {call.kind} {call.job} run {call.runs}")
        if call.runs > 1 and call.kind == "order-book":
            self.world.record.breaks(f"{call.kind} {call.job} ran twice")
        seconds, state, result = self.work(call)
        loop = asyncio.get_running_loop()
        self.running[call.job] = loop.call_later(seconds, self.end, call, state, result, seconds)

    def end(self, call: Call, state: str, result: bytes, seconds: float) -> None:
        self.running.pop(call.job).cancel()
        if state == "good":
            call.results.append(result)
        data = base64.b64encode(result).decode()
        self.notify(type="outcome", job=call.job, state=state, took=seconds * 1000, data=data)

    def close(self) -> None:
        for handle in self.running.values():
            handle.cancel()
        for server in self.servers:
            server.close()


class Sidecar:
    """A sound sidecar: up to 32 requests a connection, a number used again only after its END_REQUEST."""

    def __init__(self, world: World, sender: int) -> None:
        self.world, self.sender = world, sender
        self.links: list[Link] = []

    async def link(self) -> Link | None:
        self.links = [link for link in self.links if not link.closed]
        for link in self.links:
            if link.free:
                return link
        link = Link(self)
        try:
            await link.connect()
        except OSError:
            return None
        self.links.append(link)
        return link

    def leave(self) -> None:
        """Closes the connections that have no open request."""
        for link in self.links:
            if not link.open and not link.closed:
                link.closed = True
                link.writer.close()

    async def send(self, call: Call) -> None:
        world = self.world
        world.calls[call.job] = call
        link = await self.link()
        if link is None:
            world.record.write(f"sidecar {self.sender} refused connection {call.kind} {call.job}")
            call.given_up = True
            return
        number = link.free.pop()
        link.open[number] = call
        fields = call_fields(call.job, call.kind, self.sender, call.allow_ms, int(call.door * 1000))
        if call.key:
            fields["HTTP_X_UNIQUE"] = call.key
        world.record.write(f"sidecar {self.sender} sent {call.kind} {call.job} allow {call.allow_ms} ms")
        link.writer.write(whole(number, fields, call.body))
        call.written = call.written or time.monotonic()

    async def ask(self, call: Call) -> Call:
        """Sends it and waits for its end, to the rule's bound."""
        await self.send(call)
        due = call.door + call.allow_ms / 1000 + SLACK
        while not call.over and time.time() < due + 0.02:
            await asyncio.sleep(0.005)
        if not call.over:
            call.given_up = True
            self.world.lost(call, "no final answer by its due time and the slack")
        return call


class Link:
    """One connection of a sidecar."""

    def __init__(self, sidecar: Sidecar) -> None:
        self.sidecar, self.world = sidecar, sidecar.world
        self.open: dict[int, Call] = {}
        self.free = list(range(32, 0, -1))
        self.out: dict[int, bytes] = {}
        self.closed = False
        self.new = True  # nothing was answered on it yet
        self.resets = False
        """Whether the next answer is lost with the connection, which its sidecar's side resets."""

    async def connect(self) -> None:
        self.reader, self.writer = await asyncio.open_connection(*self.world.address)
        self.writer.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.reading = asyncio.ensure_future(self.read())

    async def read(self) -> None:
        rest = b""
        with contextlib.suppress(OSError):
            while data := await self.reader.read(65536):
                rest += data
                while len(rest) >= 8 and not self.closed:
                    _, kind, number, size, padding = HEADER.unpack_from(rest)
                    if len(rest) < 8 + size + padding:
                        break
                    self.told(kind, number, rest[8 : 8 + size])
                    rest = rest[8 + size + padding :]
        self.ended()

    def told(self, kind: int, number: int, content: bytes) -> None:
        if self.resets:
            self.reset()
        elif kind == STDOUT:
            self.out[number] = self.out.get(number, b"") + content
        elif kind == END:
            call, data = self.open.pop(number, None), self.out.pop(number, b"")
            if call is None:
                self.world.record.breaks(f"an answer under number {number}, which has no open request")
                return
            self.new = False
            self.free.append(number)
            self.world.answered(call, data, content[4])

    def reset(self) -> None:
        """By the sidecar's side: answers that are lost with it break no rule."""
        self.closed = True
        for call in self.open.values():
            call.given_up = True
            self.world.record.write(f"connection reset as an answer came: {call.kind} {call.job}")
        self.open.clear()
        self.writer.transport.abort()

    def ended(self) -> None:
        """By the backend: what was open is lost, but for what crossed the close."""
        self.closed = True
        self.writer.close()
        for call in self.open.values():
            age = time.monotonic() - call.written
            if call.over:
                continue
            if self.new and not call.runs:
                call.given_up = True  # LATER.md: failed, and not lost
                self.world.record.write(f"new connection closed, nothing run: {call.kind} {call.job} failed")
            elif age <= CROSSING and not call.again:
                call.again = True
                self.world.record.write(f"crossed a close, sent again {call.kind} {call.job}")
                self.world.tasks.append(asyncio.ensure_future(self.sidecar.send(call)))
            else:
                call.given_up = True
                self.world.lost(call, f"its connection ended without an answer {age:.3f} s after it was sent")
        self.open.clear()


class World:
    """One backend among its stand-ins."""

    def __init__(self, folder: Path, told: dict[str, Any], work: Work, **other: Any) -> None:
        self.record = Record(folder / "record.txt")
        self.calls: dict[str, Call] = {}
        self.random, self.refused, self.count = random.Random(1), 0, 0
        self.missing: list[str] = []
        self.left = False
        """Whether the backend was told to leave: then its process may end, with status 0."""
        self.latest = 0.0  # seconds by which this process itself was late
        self.agent = Agent(self, work)
        self.settings, self.other = told, other
        self.tasks: list[asyncio.Future[Any]] = []
        self.temporary = Path(tempfile.mkdtemp())
        self.announce = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.announce.bind(("127.0.0.1", 0))
        self.process: asyncio.subprocess.Process | None = None
        self.address = ("127.0.0.1", 0)

    def call(self, kind: str = "", allow_ms: int = 3000) -> Call:
        """A new request of a sound client."""
        self.count += 1
        job = f"{self.random.getrandbits(64):016x}"
        name = kind or ("tank-lookup", "slot-update", "order-book")[self.count % 3]
        return Call(job, name, f"body {self.count} of {job}".encode(), allow_ms)

    async def start(self) -> None:
        """The backend, by the deploy file, until it serves."""
        with socket.socket() as probe:
            probe.bind(("127.0.0.1", 0))
            self.address = probe.getsockname()
        self.told = {
            "name": "n1",
            "listen": "{}:{}".format(*self.address),
            "agent": await self.agent.listen(),
            "announce": f"127.0.0.1:{self.announce.getsockname()[1]}",
            "seed": "8c1f30d27a5be964",
            "stop_ms": 3600,
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "settings": self.settings,
            **self.other,
        }
        path = self.temporary / "config.json"
        path.write_text(json.dumps(self.told))
        run = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
        ours = ("PROXY_", "RINGSHIFT_")  # what a backend is told is told here alone
        plain = {name: value for name, value in os.environ.items() if not name.startswith(ours)}
        with (self.temporary / "log").open("wb") as log:
            self.process = await asyncio.create_subprocess_exec(
                "/bin/sh", "-c", run, cwd=ROOT, env={**plain, "PROXY_CONFIG": str(path)}, stderr=log
            )
        until = time.monotonic() + 30
        while "-> serving" not in self.log():
            if self.process.returncode is not None or time.monotonic() > until:
                raise RuntimeError(f"the backend did not start: {self.log()}")
            await asyncio.sleep(0.05)

    def log(self) -> str:
        return (self.temporary / "log").read_text(errors="replace")

    def alive(self) -> bool:
        return self.process is not None and self.process.returncode is None

    def lost(self, call: Call, why: str) -> None:
        """Counted; whether they are too many is judged at the end."""
        self.missing.append(f"lost: {call.kind} {call.job}, run {call.runs} times: {why}")
        self.record.write(self.missing[-1])

    def judge(self) -> None:
        """Whether the backend lives, and whether more requests were lost than the pages allow."""
        if self.process is not None and self.process.returncode not in ((None, 0) if self.left else (None,)):
            self.record.breaks(f"the backend's process ended with status {self.process.returncode}")
        served = sum(call.status == 200 for call in self.calls.values())
        self.record.write(f"{len(self.calls)} sound requests, {served} served, {len(self.missing)} lost")
        if len(self.missing) > ALLOWED * len(self.calls):
            if self.latest > SLACK and not self.record.broken:
                raise RuntimeError(
                    f"this process was {self.latest:.3f} s late, which may be taken as the backend's"
                )
            self.record.breaks(f"{len(self.missing)} of {len(self.calls)} sound requests; {self.missing[0]}")

    def answered(self, call: Call, data: bytes, protocol: int) -> None:
        """The final answer, judged as the protocol page has it."""
        head, _, body = data.partition(b"\r\n\r\n")
        fields = dict(line.split(": ", 1) for line in head.decode().split("\r\n") if ": " in line)
        call.status = 503 if protocol == 2 else int(fields.get("Status", "0"))
        if call.answered:
            self.record.breaks(f"{call.kind} {call.job} got two answers")
        call.answered = time.monotonic()
        late = time.time() - call.door - call.allow_ms / 1000
        self.record.write(f"answered {call.kind} {call.job} {call.status} {len(body)} bytes")
        if late > SLACK and not call.given_up:
            self.lost(call, f"answered {late:.3f} s after its due time")
        tries = [one for one in self.calls.values() if call.key and one.key == call.key] or [call]
        if call.status == 200 and not any(body in one.results for one in tries):
            self.record.breaks(f"{call.kind} {call.job} got a result that no run made for it: {body[:60]!r}")
        if call.status in (429, 503) and call.runs:
            self.record.breaks(f"{call.kind} {call.job} ran and was refused")

    async def close(self) -> None:
        """Ends all that was started."""
        if self.process is not None and self.process.returncode is None:
            with contextlib.suppress(ProcessLookupError):
                self.process.send_signal(signal.SIGKILL)
            await self.process.wait()
        for line in self.log().splitlines()[-25:] if self.process is not None else []:
            self.record.write(f"log {line}".replace(f"{ROOT}/", ""))
        self.agent.close()
        self.announce.close()
        shutil.rmtree(self.temporary, ignore_errors=True)


def good(seconds: float) -> Work:
    """Runs that take so long and end well, each with a result of its own."""
    return lambda call: (seconds, "good", f"result of {call.job} run {call.runs}".encode())


def main(world: World, play: Callable[[World], Awaitable[None]]) -> None:
    """Starts the backend, plays, ends all, and exits with the verdict."""

    async def look() -> None:
        while True:
            before = time.monotonic()
            await asyncio.sleep(0.01)
            world.latest = max(world.latest, time.monotonic() - before - 0.01)

    async def whole_case() -> None:
        try:
            await world.start()
            looking = asyncio.ensure_future(look())
            await play(world)
            looking.cancel()
            world.judge()
        finally:
            await world.close()

    async def bounded() -> None:
        task = asyncio.ensure_future(asyncio.wait_for(whole_case(), 110))
        for number in (signal.SIGTERM, signal.SIGINT):  # ended from outside, it ends what it started
            asyncio.get_running_loop().add_signal_handler(number, task.cancel)
        await task

    try:
        asyncio.run(bounded())
    except (asyncio.CancelledError, Exception) as wrong:
        world.record.write(f"could not run: {wrong!r}")
        world.record.out.close()
        raise
    sys.exit(world.record.verdict())
