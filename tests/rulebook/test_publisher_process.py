"""A publisher's process lives through whatever becomes of the keeper's answer to any of its calls."""

from __future__ import annotations

import argparse
import signal
import struct
import sys
from collections.abc import Iterator
from pathlib import Path
from random import Random
from typing import Any

import gevent
import pytest
from gevent import socket, subprocess
from gevent.event import Event
from gevent.server import StreamServer

from standins.checkers.leases import lines
from standins.fleet.proxy import UP, Proxy
from standins.fleet.publisher import Publisher
from standins.fleet.rules import RulesFleet
from standins.fleet.rulescript import RulesScript
from standins.host import ROOT
from tests.test_keeper import Member

WITHIN = 60  # seconds of a case, on a loaded machine
READ, WRITE = b'"compare": [], "failure"', b'"target": "VALUE"'
RESET = struct.pack("ii", 1, 0)  # of SO_LINGER: a close resets
ODD = {
    "no JSON": b"200 OK|it is",
    "JSON cut short": b'200 OK|{"header": {',
    "a list": b"200 OK|[]",
    "nothing in it": b"200 OK|{}",
    "no response in it": b'200 OK|{"succeeded": true, "responses": []}',
    "its own error": b'500 Internal Server Error|{"error": "no leader", "code": 13}',
    "a refusal": b'400 Bad Request|{"error": "too many", "code": 3}',
}
FATES = ["lost", "half", "reset", *ODD]


class Between(Proxy):
    """Holds the answer to one call, from `arm` on the next whose bytes have `mark`: `came` once the keeper's
    answer is here (with the fate "stopped": once the keeper lies stopped, the call before it); after `go` the
    answer gets its fate."""

    def __init__(self, member: Member) -> None:
        super().__init__(("127.0.0.1", member.port))
        self.member, self.fate, self.mark = member, "", b""
        self.came, self.go, self.asked_again = Event(), Event(), Event()
        self.of: socket.socket | None = None

    def arm(self, mark: bytes, fate: str) -> None:
        self.mark, self.fate = mark, fate

    def pump(self, source: socket.socket, sink: socket.socket, way: str) -> None:
        try:
            while part := source.recv(65536):
                if way == UP:
                    self.sent(source, part)
                elif sink is self.of and self.fate != "stopped":
                    self.came.set()
                    self.go.wait()
                    self.of = None
                    return self.answer(sink, part)
                sink.sendall(part)
        except OSError:
            return

    def sent(self, source: socket.socket, part: bytes) -> None:
        if self.of is not None and source is not self.of:
            self.asked_again.set()
        if self.mark and self.mark in part:
            self.mark, self.of = b"", source
            if self.fate == "stopped":
                self.member.process.send_signal(signal.SIGSTOP)
                self.came.set()

    def answer(self, sink: socket.socket, part: bytes) -> None:
        if self.fate == "half":
            sink.sendall(part[: len(part) // 2])
        elif self.fate == "reset":
            sink.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
        elif self.fate in ODD:
            status, _, body = ODD[self.fate].partition(b"|")
            sink.sendall(b"HTTP/1.1 %b\r\nContent-Length: %d\r\n\r\n%b" % (status, len(body), body))


class Running:
    """The publisher's process behind a `Between`, and what it says."""

    def __init__(self, folder: Path) -> None:
        self.folder, self.member = folder, Member(folder / "member")
        self.between = Between(self.member)
        argv = [sys.executable, "-m", "standins.fleet.publisher", *arguments(folder, self.between.start())]
        self.process = subprocess.Popen(argv, cwd=ROOT, stdin=subprocess.PIPE, stderr=subprocess.PIPE)
        self.said, self.changed = list[str](), Event()
        self.reader = gevent.spawn(self.read)

    def read(self) -> None:
        assert self.process.stderr is not None
        for line in self.process.stderr:
            self.said.append(line.decode())
            self.changed.set()

    def tell(self, order: str) -> None:
        assert self.process.stdin is not None
        self.process.stdin.write(order.encode() + b"\n")
        self.process.stdin.flush()

    def wait_for(self, word: str) -> None:
        """Until it said so; an end of the process fails the test with its last words."""
        while not any(line.startswith(word) for line in self.said):
            self.changed.clear()
            if self.process.poll() is not None:
                self.reader.join(5)
                pytest.fail(f"ended with {self.process.returncode}: {''.join(self.said)}")
            self.changed.wait(0.2)

    def told(self, ev: str) -> list[dict[str, Any]]:
        return [line for line in lines(self.folder / "p0.jsonl") if line["ev"] == ev]

    def stop(self) -> None:
        self.process.kill()
        self.process.wait(10)
        self.between.stop()
        self.member.stop()


def arguments(folder: Path, keeper: str, limit_ms: int = 20_000) -> list[str]:
    settings = folder / "settings.toml"
    settings.write_text(
        f'[leases]\nkeepers = ["{keeper}"]\n[rules]\ninstallation = "none.toml"\nlife_ms = 1500\n'
        'margin_ms = 200\nrefresh_ms = 300\nplace = "p0"\nanswer_within_ms = 600\n'
    )
    history = str(folder / "p0.jsonl")
    return ["--settings", str(settings), "--name", "p0", "--history", history, "--limit-ms", str(limit_ms)]


@pytest.fixture
def running(tmp_path: Path) -> Iterator[Running]:
    with gevent.Timeout(WITHIN):
        made = Running(tmp_path)
        yield made
        made.stop()


def closed(running: Running, states: list[str]) -> None:
    """The order ended as it should, and the process takes the next one."""
    running.tell("close 0 ")
    running.wait_for("closed ")
    assert [line["state"] for line in running.told("ended")] == ["IN_FORCE", *states, "IN_FORCE"]
    assert running.process.poll() is None


@pytest.mark.parametrize("mark", [READ, WRITE], ids=["a look", "a proposal"])
@pytest.mark.parametrize("fate", FATES)
def test_an_answer_spoilt_on_its_way_while_the_keeper_is_killed_ends_no_publisher(
    mark: bytes,
    fate: str,
    running: Running,
) -> None:
    """The keeper carried the call out, is killed and started on its disk; its answer never comes whole."""
    running.tell("begin 0")
    running.tell("settle 0")  # its end shows that the first publication is over
    while not running.told("ended")[1:]:
        gevent.sleep(0.02)
    running.between.arm(mark, fate)
    running.tell("publish 414579")
    running.between.came.wait()
    running.member.restart()
    running.between.upstream = "127.0.0.1", running.member.port
    running.between.go.set()
    closed(running, ["NOTHING", "IN_FORCE"])


@pytest.mark.parametrize("mark", [READ, WRITE], ids=["a look", "a proposal"])
@pytest.mark.parametrize("killed", [False, True])
def test_a_keeper_stopped_before_a_call_for_longer_than_its_time_ends_no_publisher(
    mark: bytes,
    killed: bool,
    running: Running,
) -> None:
    """It goes on after the publisher gave the call up and asked again; `killed`: as soon as it does."""
    running.tell("begin 0")
    running.tell("settle 0")
    while not running.told("ended")[1:]:
        gevent.sleep(0.02)
    running.between.arm(mark, "stopped")
    running.tell("publish 414579")
    running.between.came.wait()
    running.between.asked_again.wait()
    running.member.process.send_signal(signal.SIGCONT)
    if killed:
        running.member.restart()
        running.between.upstream = "127.0.0.1", running.member.port
        running.between.cut()
    closed(running, ["NOTHING", "IN_FORCE"])


def test_a_publisher_whose_keeper_refuses_connections_asks_as_often_as_it_looks(tmp_path: Path) -> None:
    """Not in a tight loop, which takes a core and the proxies' time from whoever is started beside it."""
    came = list[object]()

    def refuse(sock: socket.socket, address: object) -> None:
        came.append(address)
        sock.close()

    server = StreamServer(("127.0.0.1", 0), refuse)
    server.start()
    parser = argparse.ArgumentParser()
    for name in ("settings", "name", "history"):
        parser.add_argument(f"--{name}")
    parser.add_argument("--limit-ms", type=int)
    parser.set_defaults(skew_ppm=0)
    told = parser.parse_args(arguments(tmp_path, f"127.0.0.1:{server.server_port}", 1000))
    with gevent.Timeout(WITHIN):
        publisher = Publisher(told)
        ended = gevent.get_hub().threadpool.spawn(publisher.publish, "publish", Random(1), [])
        with pytest.raises(OSError, match="does not answer"):
            ended.get()
        server.stop()
    assert 2 <= len(came) <= 1000 // 200 + 1


def test_a_publisher_that_is_being_started_as_the_end_begins_is_not_started_twice(tmp_path: Path) -> None:
    """Its restart gives way within `Popen`; a second one would write the settings that the first reads."""
    fleet = RulesFleet(RulesScript(1, holders=1, seconds=5.0), tmp_path)
    fleet.holders, fleet.addresses = [None], ["127.0.0.1:1"]
    fleet.ready[0] = Event()
    fleet.ready[0].set()
    started, goes = list[int](), Event()

    def slow(number: int, argv: list[str], told: bool = False) -> subprocess.Popen[bytes]:
        started.append(number)
        goes.wait()
        return subprocess.Popen([sys.executable, "-c", "input()"], stdin=subprocess.PIPE)

    fleet.started = slow  # type: ignore[method-assign]
    fleet.close = lambda: setattr(fleet, "last", "0.2")  # type: ignore[method-assign]
    with gevent.Timeout(WITHIN):
        first = gevent.spawn(fleet.restart_holder, 0)
        gevent.idle()  # it is within `started` now
        assert started == [0] and fleet.holders == [None]
        again, ending = gevent.spawn(fleet.restart_holder, 0), gevent.spawn(fleet.closing)
        gevent.idle()
        goes.set()
        first.get()
        again.get()
        ending.get()
        assert started == [0]
        process = fleet.holders[0]
        assert process is not None
        process.kill()
        process.wait(10)
    fleet.resource_log.close()
    fleet.faults_log.close()
