"""A render farm agent: one link at a time, numbered notices, work that takes what it is told to take."""

from __future__ import annotations

from base64 import b64decode, b64encode
from collections.abc import Callable
from typing import Any

import gevent
import orjson
from gevent import socket
from gevent.event import Event
from gevent.server import StreamServer

Work = Callable[[str, str, bytes], tuple[float, str, bytes] | None]


class Agent:
    """`work` says how long a run takes, how it ends and with what result; None leaves it to `finish`."""

    def __init__(
        self, work: Work = lambda job, kind, body: None, up: bool = True, state: str = "old"
    ) -> None:
        self.work, self.state = work, state
        self.up, self.changed = Event(), Event()
        if up:
            self.up.set()
        self.launches: list[tuple[str, str, bytes]] = []
        self.commands: list[dict[str, Any]] = []
        self.notices: list[dict[str, Any]] = []
        self.running: set[str] = set()
        self.link: socket.socket | None = None
        self.exercise: str | None = "good"
        self.gauges = [0.1, 1, 0.1, 4]
        self.ports: list[int] = []  # at which of its addresses each link came
        self.server = self.serve()

    def serve(self) -> StreamServer:
        """One more address of the same agent."""
        server = StreamServer(("127.0.0.1", 0), self.talk)
        server.start()
        return server

    @property
    def address(self) -> str:
        return "{}:{}".format(*self.server.address)

    def until(self, test: Callable[[], bool], seconds: float = 10.0) -> None:
        """Waits for an event at the agent that makes `test` true."""
        with gevent.Timeout(seconds):
            while not test():
                self.changed.wait()
                self.changed.clear()

    def launched(self, job: str) -> list[bytes]:
        return [body for id, _, body in self.launches if id == job]

    def talk(self, sock: socket.socket, _: Any) -> None:
        self.link = sock
        self.ports.append(sock.getsockname()[1])
        self.changed.set()
        try:
            with sock.makefile("rb") as lines:
                for line in lines:
                    fields = orjson.loads(line)
                    self.commands.append(fields)
                    getattr(self, "on_" + fields["type"])(fields)
                    self.changed.set()
        except OSError:
            pass

    def say(self, fields: dict[str, Any]) -> None:
        if self.link is not None:
            try:
                self.link.sendall(orjson.dumps(fields) + b"\n")
            except OSError:
                self.link = None

    def notify(self, **fields: Any) -> None:
        self.notices.append({**fields, "n": len(self.notices) + 1})
        self.say(self.notices[-1])

    def cut_link(self, last: bytes = b"") -> None:
        assert self.link is not None
        self.link.sendall(last)
        self.link.shutdown(socket.SHUT_RDWR)
        self.link = None

    def finish(self, job: str, state: str = "good", result: bytes = b"done") -> None:
        self.running.discard(job)
        self.notify(type="outcome", job=job, state=state, took=5.0, data=b64encode(result).decode())

    def on_subscribe(self, fields: dict[str, Any]) -> None:
        link = self.link
        self.up.wait()
        if self.link is link:
            self.say({"type": "greeting", "state": self.state, "took": 0.0})
            for notice in self.notices[fields["n"] :]:
                self.say(notice)

    def on_launch(self, fields: dict[str, Any]) -> None:
        job, body = fields["job"], b64decode(fields["data"])
        self.launches.append((job, fields["kind"], body))
        if job not in self.running:
            self.running.add(job)
            told = self.work(job, fields["kind"], body)
            if told is not None:
                seconds, state, result = told
                gevent.spawn_later(seconds, self.end, job, state, result)

    def end(self, job: str, state: str, result: bytes) -> None:
        if job in self.running:
            self.finish(job, state, result)

    def on_freeze(self, fields: dict[str, Any]) -> None:
        if fields["job"] in self.running:
            self.finish(fields["job"], "cut", b"")

    def on_sample(self, fields: dict[str, Any]) -> None:
        self.say({"type": "sampled", "ref": fields["ref"], "gauges": self.gauges})

    def on_exercise(self, fields: dict[str, Any]) -> None:
        if self.exercise is not None:
            self.say({"type": "exercised", "ref": fields["ref"], "state": self.exercise})
