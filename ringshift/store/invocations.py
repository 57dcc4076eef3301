"""Invocations in hand: ids as indices, how far each try is, the one place that lets a final answer out."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass
from enum import Enum

from ringshift.wire.news import Door


class Try(Enum):
    """HELD never ran; LAUNCHED may run; ANSWERED runs on with its answer given; GONE has no caller left."""

    HELD = "held"
    LAUNCHED = "launched"
    ANSWERED = "answered"
    GONE = "gone"


@dataclass(slots=True)
class Invocation:
    index: int
    job: str
    operation: int
    body: bytes
    door: Door
    request: int
    item: str = ""
    caller: int = -1
    key: str = ""
    """The idempotency key, empty where none was told."""
    state: Try = Try.HELD
    launched: bool = False
    mark: int = 0
    """The last sample asked for before its launch: an answer to a later one proves the launch was read."""
    unsent: bool = False
    """Nothing of its launch was ever written: the only proof that it never ran."""
    began: int = 0
    """When it was first launched."""
    may_have_run: bool = False
    """It was launched, and nothing proves that it never ran."""

    @property
    def over(self) -> bool:
        """Whether nobody waits for it any more."""
        return self.state in (Try.ANSWERED, Try.GONE)


class Invocations:
    def __init__(self) -> None:
        self.by_job: dict[str, Invocation] = {}
        self.by_index: dict[int, Invocation] = {}
        self.by_request: dict[tuple[Door, int], Invocation] = {}
        self.next = 0

    def __iter__(self) -> Iterator[Invocation]:
        return iter(self.by_index.values())

    @property
    def owed(self) -> int:
        """How many still wait for their answer."""
        return len(self.by_request)

    def add(
        self,
        job: str,
        operation: int,
        body: bytes,
        door: Door,
        request: int,
        item: str = "",
        caller: int = -1,
        key: str = "",
    ) -> Invocation:
        inv = Invocation(self.next, job, operation, body, door, request, item, caller, key)
        self.next += 1
        self.by_job[job] = self.by_index[inv.index] = self.by_request[door, request] = inv
        return inv

    def launch(self, inv: Invocation, mark: int, now: int = 0) -> None:
        inv.launched, inv.mark, inv.began = True, mark, inv.began or now
        inv.may_have_run = True
        if inv.state is Try.HELD:
            inv.state = Try.LAUNCHED

    def answer(self, inv: Invocation, data: bytes) -> bool:
        """The one way out for a final answer: true for the first, whose caller is there."""
        if inv.over:
            return False
        inv.state = Try.ANSWERED
        del self.by_request[inv.door, inv.request]
        inv.door.send(inv.request, data)
        return True

    def caller_left(self, door: Door, request: int) -> Invocation | None:
        inv = self.by_request.pop((door, request), None)
        if inv is not None:
            inv.state = Try.GONE
        return inv

    def drop(self, index: int) -> Invocation | None:
        inv = self.by_index.pop(index, None)
        if inv is not None:
            del self.by_job[inv.job]
        return inv
