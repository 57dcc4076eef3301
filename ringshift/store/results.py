"""Reads that may serve others: found by operation and item, with the result of their run, under a bound."""

from __future__ import annotations

from dataclasses import dataclass, field

from ringshift.store.invocations import Invocation

ENTRY = 512  # bytes of one beside its result


@dataclass(slots=True)
class Entry:
    index: int
    until: int
    ended: int = 0
    """When its run ended well; 0 while it has not."""
    result: bytes = b""
    waiting: list[Invocation] = field(default_factory=list)


class Results:
    """`fresh` is how long a result may serve others; with 0 nothing is kept. `most` bounds all bytes."""

    def __init__(self, fresh: int, most: int) -> None:
        self.fresh, self.most, self.size = fresh, most, 0
        self.entries: dict[tuple[int, str], Entry] = {}
        self.keys: dict[int, tuple[int, str]] = {}

    def original(self, inv: Invocation, now: int) -> int | None:
        """Of which kept invocation this one is a repeat."""
        entry = self.entries.get((inv.operation, inv.item))
        if entry is None or now >= entry.until or (entry.ended and now > entry.ended + self.fresh):
            return None
        return entry.index

    def keep(self, inv: Invocation, until: int) -> None:
        if not (self.fresh and inv.item):
            return
        key = (inv.operation, inv.item)
        old = self.entries.get(key)
        if old is not None and old.index == inv.index:
            old.until = until
            return
        if old is not None and not old.waiting:
            self.remove(key)
        elif old is not None:
            return  # others wait for its end: it stays the one that is repeated
        self.make_room()
        if self.size + ENTRY <= self.most:
            self.entries[key] = Entry(inv.index, until)
            self.keys[inv.index] = key
            self.size += ENTRY

    def reuse(self, inv: Invocation) -> bytes | None:
        """The kept result, or None where it waits for the run to end. KeyError: neither is there any more."""
        entry = self.entries[inv.operation, inv.item]
        if entry.ended:
            return entry.result
        entry.waiting.append(inv)
        return None

    def awaited(self, index: int) -> bool:
        """Whether somebody still waits for the end of this run."""
        key = self.keys.get(index)
        return key is not None and any(not inv.over for inv in self.entries[key].waiting)

    def stopped(self, index: int) -> None:
        """Its run is told to stop, and no more of them are to wait for that."""
        key = self.keys.get(index)
        if key is not None and not self.entries[key].ended:
            self.entries[key].until = 0
            self.forget(index)

    def ended(self, index: int, now: int, result: bytes | None) -> list[Invocation]:
        """A run ended, with its result where it went well; those that waited for it."""
        key = self.keys.get(index)
        if key is None:
            return []
        entry = self.entries[key]
        waiting, entry.waiting = entry.waiting, []
        if result is None:
            self.remove(key)
        else:
            entry.ended, entry.result = now, result
            self.size += len(result)
            self.make_room()
        return waiting

    def dropped(self, index: int) -> list[Invocation]:
        """An invocation is over; where it had not ended well those that waited for it are left without."""
        key = self.keys.get(index)
        if key is None or self.entries[key].ended:
            return []
        return self.ended(index, 0, None)

    def forget(self, index: int) -> None:
        key = self.keys.get(index)
        if key is not None and not self.entries[key].waiting:
            self.remove(key)

    def remove(self, key: tuple[int, str]) -> None:
        entry = self.entries.pop(key)
        del self.keys[entry.index]
        self.size -= ENTRY + len(entry.result)

    def make_room(self) -> None:
        """The oldest results go first; entries whose run has not ended are bounded by what is in hand."""
        for key in list(self.entries):
            if self.size + ENTRY <= self.most:
                return
            if self.entries[key].ended:
                self.remove(key)
