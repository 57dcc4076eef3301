"""The link to the agent: JSON objects, one a line. When it ends it is made anew, from the last notice."""

from __future__ import annotations

from base64 import b64decode, b64encode
from collections.abc import Callable, Mapping
from contextlib import suppress
from random import Random
from typing import Any

import gevent
import orjson
from gevent import socket
from gevent.event import Event
from gevent.socket import wait_read
from loguru import logger

from ringshift.machine import MOST, Malformed, maybe, need, ns
from ringshift.runtime.bounds import MOST_COMMANDS, Budget
from ringshift.runtime.logs import counted
from ringshift.wire.lines import Lines, TooLong
from ringshift.wire.news import CommandRefused, Exercised, Greeted, News, RunEnded, Sampled
from ringshift.wire.outbox import Outbox

FIRST_WAIT, LONGEST_WAIT = 0.02, 1.0  # seconds between two tries to connect
CONNECTING = 2.0
LONGEST_SHOWN = 40  # characters of an unknown type in a log line
LONGEST_RESULT = 4 * 1024  # bytes, by the protocol

Fields = Mapping[str, Any]


class Agent:
    def __init__(self, address: tuple[str, int], random: Random, unsent: int = MOST_COMMANDS) -> None:
        """`unsent`: bytes of commands that may wait for the agent to read them."""
        self.address, self.random, self.unsent = address, random, unsent
        self.read_up_to = self.read_on_link = 0
        self.outbox: Outbox | None = None
        self.sock: socket.socket | None = None
        self.connected = False
        self.moved = Event()

    def start(self, post: Callable[[News], None]) -> gevent.Greenlet[..., Any]:
        self.post = post
        return gevent.spawn(self.keep)

    # Called by the owner: never waits. Without a link a command is dropped; the owner repeats what matters.

    def say(self, **fields: Any) -> bool:
        """False where not a byte of it is written, now or later."""
        if self.outbox is None:
            return False
        if taken := self.outbox.put(orjson.dumps(fields) + b"\n"):
            return taken
        # Commands can't be left out one by one: the link is made anew and what matters is repeated.
        with suppress(OSError):
            self.outbox.sock.shutdown(socket.SHUT_RDWR)
        self.outbox = None
        return False

    def launch(self, job: str, operation: str, body: bytes) -> bool:
        """False where the agent can't have read it; otherwise it may run."""
        return self.say(type="launch", job=job, kind=operation, data=b64encode(body).decode())

    def freeze(self, job: str) -> None:
        self.say(type="freeze", job=job)

    def sample(self, ref: str) -> None:
        self.say(type="sample", ref=ref)

    def exercise(self, ref: str) -> None:
        self.say(type="exercise", ref=ref)

    # The link.

    def move(self, address: tuple[str, int]) -> None:
        """To the agent's new address, at once in whatever state the link is. Nothing more goes to the old
        one; what it had not read of the last commands is repeated as after any break."""
        if address == self.address:
            return
        self.address, self.outbox = address, None
        if self.sock is not None:
            with suppress(OSError):
                # What has come is still read; a connect that waits ends by its closing only.
                self.sock.shutdown(socket.SHUT_RDWR) if self.connected else self.sock.close()
        self.moved.set()

    def keep(self) -> None:
        wait = FIRST_WAIT
        while True:
            try:
                # Not create_connection, which asks a resolver's thread even for plain addresses.
                with socket.socket(socket.AF_INET, socket.SOCK_STREAM) as sock:
                    self.sock, self.connected = sock, False
                    sock.settimeout(CONNECTING)
                    sock.connect(self.address)
                    self.connected = True
                    if self.talk(sock):
                        wait = FIRST_WAIT
            except OSError as wrong:
                self.warn("agent can't be reached", str(wrong))
            self.sock = None
            # By chance, as all backends of a machine room lose their agents in the same moment. Not after a
            # move: the new address owes nothing to how the old one did.
            if self.moved.wait(wait * (0.5 + self.random.random())):
                self.moved.clear()
                wait = FIRST_WAIT
            else:
                wait = min(wait * 2, LONGEST_WAIT)

    def talk(self, sock: socket.socket) -> bool:
        """Until the link ends; whether the agent greeted."""
        greeted, self.read_on_link = False, 0
        sock.settimeout(None)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        outbox = Outbox(sock, self.unsent, Budget(self.unsent))
        outbox.put(orjson.dumps({"type": "subscribe", "n": self.read_up_to}) + b"\n")
        why = "closed by the agent"
        try:
            lines = Lines()
            while size := sock.recv_into(lines.space()):
                for line in lines.took(size):
                    news = self.read(line)
                    if isinstance(news, Greeted):
                        greeted, self.outbox = True, None if self.moved.is_set() else outbox
                    if news is not None:
                        self.post(news)
                # As in connections: a read that finds bytes never waits, and `sleep(0)` gives dozens of turns
                # to a flood before the loop looks at any other socket.
                wait_read(sock.fileno())
        except OSError as wrong:
            why = str(wrong)
        except TooLong:
            why = "a line longer than any notice"
        except Malformed as wrong:
            why = f"not a notice: {wrong}"
        finally:
            self.outbox = None
            outbox.close()
        self.warn("agent's link ended", why)
        return greeted

    def warn(self, kind: str, why: str) -> None:
        if not self.moved.is_set():  # what ends by a move is no fault of the agent
            counted.warn(kind, why)

    def read(self, line: memoryview) -> News | None:
        try:
            fields = orjson.loads(line)
        except orjson.JSONDecodeError:
            raise Malformed(repr(bytes(line[:80]))) from None
        if not isinstance(fields, dict):
            raise Malformed(repr(bytes(line[:80])))
        kind = need(fields, "type", "notice", str)
        number = maybe(fields, "n", kind, int, 0)
        if number:
            if number <= self.read_on_link:
                return None  # told twice
            if number <= self.read_up_to and not self.read_on_link:
                # All that it told before was asked to be left out: its process is another one, which counts
                # from 1. What it told already belongs to nothing in hand.
                counted.warn("agent counts its notices anew", f"{number} after {self.read_up_to}")
            self.read_up_to = self.read_on_link = number
        if kind not in NOTICES:
            # Told again on each new link, it would end every one of them and nothing would ever be run.
            counted.warn("agent tells what this program does not know", f"type {kind[:LONGEST_SHOWN]!r}")
            return None
        return NOTICES[kind](fields)


def read_took(fields: Fields, message: str) -> int:
    """Nanoseconds. A span that ends before it began, by a clock that was set back, took no time."""
    return max(ns(maybe(fields, "took", message, float, 0.0)), 0)


def read_greeting(fields: Fields) -> News:
    state = need(fields, "state", "greeting", str)
    if state not in ("new", "old"):
        raise Malformed(f"greeting: state {state!r}")
    return Greeted(state == "new", read_took(fields, "greeting"))


def read_outcome(fields: Fields) -> News:
    try:
        result = b64decode(maybe(fields, "data", "outcome", str, ""), validate=True)
    except ValueError:
        raise Malformed("outcome: data: not base64") from None
    job, state = (need(fields, key, "outcome", str) for key in ("job", "state"))
    if len(result) > LONGEST_RESULT:
        counted.warn("result longer than the protocol has, answered as errored", f"{len(result)} bytes")
        state, result = "bad", b""
    return RunEnded(job, state, read_took(fields, "outcome"), result)


def read_sampled(fields: Fields) -> News:
    gauges = maybe(fields, "gauges", "sampled", list, [])
    return Sampled(need(fields, "ref", "sampled", str), [read_gauge(gauge) for gauge in gauges])


def read_gauge(told: Any) -> float | None:
    """None, as not known, for what no machine has: a mean that it goes into would never be rid of it."""
    if isinstance(told, bool) or not isinstance(told, (int, float)) or not 0 <= told <= MOST:
        return None
    return told


def read_exercised(fields: Fields) -> News:
    return Exercised(need(fields, "ref", "exercised", str), fields.get("state") == "good")


def read_refusal(fields: Fields) -> News:
    command, job = (maybe(fields, key, "refusal", str, "") for key in ("state", "job"))
    return CommandRefused(command, job)


def read_aside(fields: Fields) -> None:
    logger.debug("agent remarks: {}", fields.get("state"))


NOTICES: dict[str, Callable[[Fields], News | None]] = {
    "greeting": read_greeting,
    "outcome": read_outcome,
    "sampled": read_sampled,
    "exercised": read_exercised,
    "refusal": read_refusal,
    "aside": read_aside,
}
