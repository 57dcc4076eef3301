"""Tries of operations with an idempotency key: which one may run, and how it ended, until its window is over.

An entry is made as soon as a try is read, so that a second try in the same batch is linked to it, and stays
for the window whether the run succeeded, failed or was stopped: within it no other try of that key may run.
Only an entry whose try never ran goes early.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from hashlib import blake2b
from typing import NamedTuple

from ringshift.interface import Effect, Machine, Outcome
from ringshift.runtime.bounds import Bounds
from ringshift.store.invocations import Invocation

ENTRY_BYTES = 1024  # of one beside its result: two tables, its key, and the time it outlives its window

DIGEST_BYTES = 16  # of a body


class Key(NamedTuple):
    """What tries of one invocation share. A key that comes with another body is another invocation: whoever
    copied it must neither be served nor hold it."""

    operation: int
    key: str
    digest: bytes


def key_of(inv: Invocation) -> Key:
    """The key of a try, its body included."""
    return Key(inv.operation, inv.key, blake2b(inv.body, digest_size=DIGEST_BYTES).digest())


class RunFailed(Exception):
    """The try that ran did not end well, or its result was let go: no other may run, none can be served."""


@dataclass(slots=True)
class Entry:
    """The try of one key that holds it. Times in nanoseconds."""

    index: int
    until: int
    failed: bool = False
    """It may have run and there is no result to serve."""
    result: bytes | None = None
    waiting: list[Invocation] = field(default_factory=list)

    @property
    def pending(self) -> bool:
        """Its end is not known yet."""
        return self.result is None and not self.failed


@dataclass(frozen=True, slots=True)
class KeyedOperation:
    """How long a key is held, and how long a try of it may lie unread. Nanoseconds."""

    window: int
    client_timeout: int


class KeyedResults:
    """`most` bounds the bytes of kept results; the oldest are let go first, their entries stay."""

    def __init__(self, operations: Mapping[int, KeyedOperation], most: int) -> None:
        self.operations, self.most, self.size = operations, most, 0
        self.entries: dict[Key, Entry] = {}
        self.keys: dict[int, Key] = {}
        self.served: dict[Key, None] = {}
        """Keys whose entries have a result, in the order in which their runs ended."""

    def concerns(self, operation: int) -> bool:
        """Whether tries of this operation carry an idempotency key."""
        return operation in self.operations

    def original(self, inv: Invocation, now: int, unread: int) -> int | None:
        """Of which try this one is a repeat; without one it holds the key from now on.

        A try that reached the machine within the window is a repeat, however late it is read, and so is any
        while the run goes on, which may take longer than a short window.
        """
        if not inv.key:
            return None
        self.expire(now)
        key = key_of(inv)
        entry = self.entries.get(key)
        if entry is not None and (entry.pending or now - unread < entry.until):
            return entry.index
        if entry is not None:
            self.remove(key)
        self.entries[key] = Entry(inv.index, now + self.operations[inv.operation].window)
        self.keys[inv.index] = key
        return None

    def keep(self, inv: Invocation, until: int) -> None:
        """Prolongs what the try holds."""
        key = self.keys.get(inv.index)
        if key is not None:
            self.entries[key].until = max(self.entries[key].until, until)

    def reuse(self, inv: Invocation) -> bytes | None:
        """The result of the try that ran, or None where this one waits for its end.

        Raises KeyError where no try holds the key any more, RunFailed where there is no result to serve.
        """
        entry = self.entries[key_of(inv)]
        if entry.failed:
            raise RunFailed
        if entry.result is None:
            entry.waiting.append(inv)
        return entry.result

    def awaited(self, index: int) -> bool:
        """Whether a repeat still waits for the end of this run."""
        key = self.keys.get(index)
        return key is not None and any(not inv.over for inv in self.entries[key].waiting)

    def ended(self, index: int, outcome: Outcome, result: bytes) -> list[Invocation]:
        """A run ended; those that waited for it. One that never began frees its key."""
        key = self.keys.get(index)
        if key is None:
            return []
        entry = self.entries[key]
        waiting, entry.waiting = entry.waiting, []
        if outcome is Outcome.MOOT and not entry.failed:
            self.remove(key)
        elif outcome is Outcome.SUCCEEDED:
            entry.result = result
            self.served[key] = None
            self.size += len(result)
            self.let_go()
        else:
            entry.failed = True
        return waiting

    def may_have_run(self, index: int) -> None:
        """Its end will not be told: within the window no other try may run."""
        key = self.keys.get(index)
        if key is not None:
            self.entries[key].failed |= self.entries[key].pending

    def dropped(self, index: int) -> list[Invocation]:
        """An invocation is over; where it never ran its key is free, and those that waited go without."""
        key = self.keys.get(index)
        if key is None or not self.entries[key].pending:
            return []
        return self.ended(index, Outcome.MOOT, b"")

    def forget(self, index: int) -> None:
        """The try is turned away unrun: its key is free, unless others wait for it until it is dropped."""
        key = self.keys.get(index)
        if key is not None and not self.entries[key].waiting:
            self.remove(key)

    def expire(self, now: int) -> None:
        """Entries go once what reached the machine in their window must have been read or given up."""
        while self.entries:
            key = next(iter(self.entries))
            entry = self.entries[key]
            if entry.waiting or now < entry.until + self.operations[key.operation].client_timeout:
                return
            self.remove(key)

    def let_go(self) -> None:
        """Lets the oldest results go while they take too much; their keys stay held."""
        while self.size > self.most:
            key = next(iter(self.served))
            del self.served[key]
            entry = self.entries[key]
            self.size -= len(entry.result or b"")
            entry.result, entry.failed = None, True

    def remove(self, key: Key) -> None:
        entry = self.entries.pop(key)
        del self.keys[entry.index]
        self.served.pop(key, None)
        self.size -= len(entry.result or b"")


def keyed_operations(machine: Machine) -> dict[int, KeyedOperation]:
    """The operations whose tries carry an idempotency key."""
    return {
        index: KeyedOperation(operation.window, operation.client_timeout)
        for index, operation in enumerate(machine.operations)
        if operation.effect is Effect.TOKENED
    }


def entry_kb(machine: Machine, bounds: Bounds) -> float:
    """What a kept entry counts against the machine's memory, so that the module keeps no more of them than
    this program can hold."""
    return max(machine.entry_kb, machine.memory_kb * ENTRY_BYTES / bounds.results)
