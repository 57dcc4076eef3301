"""What socket code puts into the owner's queue. Nothing else of it reaches the module."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from typing import Protocol


class Door(Protocol):
    """Where the answer to one request goes, equal for the same request alone. Never waits."""

    def send(self, request: int, data: bytes) -> None: ...
    def note_served(self) -> None: ...


@dataclass(frozen=True, slots=True)
class Called:
    """One try of an invocation. Nanoseconds: `came` in Unix time, `allow` from then on, None if not told."""

    door: Door
    request: int
    job: str
    operation: int
    body: bytes
    item: str
    came: int
    allow: int | None
    kb: float
    rank: float
    caller: int
    sent: int | None = None
    """When it was sent by the sender's own clock, where that is told: ties clocks in the records."""
    key: str = ""
    """The idempotency key that all tries of it share; empty where none is told."""


@dataclass(frozen=True, slots=True)
class Checked:
    """A health check; `deep` asks whether work gets done."""

    door: Door
    request: int
    deep: bool


@dataclass(frozen=True, slots=True)
class CallerLeft:
    """An abort of one request, or a connection that broke with it open."""

    door: Door
    request: int


@dataclass(frozen=True, slots=True)
class Greeted:
    """The agent's link is made (anew); it started `took` nanoseconds ago, `cold` at the first start."""

    cold: bool
    took: int


@dataclass(frozen=True, slots=True)
class RunEnded:
    job: str
    state: str
    took: int
    result: bytes


@dataclass(frozen=True, slots=True)
class Sampled:
    ref: str
    gauges: Sequence[float | None]


@dataclass(frozen=True, slots=True)
class Exercised:
    ref: str
    good: bool


@dataclass(frozen=True, slots=True)
class CommandRefused:
    command: str
    job: str


@dataclass(frozen=True, slots=True)
class ToldToLeave:
    left: int


News = Called | Checked | CallerLeft | Greeted | RunEnded | Sampled | Exercised | CommandRefused | ToldToLeave
