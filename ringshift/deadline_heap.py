"""A heap of deadlines that is bounded by those whose owners still live: it decides nothing."""

from __future__ import annotations

from collections.abc import Container, Iterator
from heapq import heapify, heappop, heappush
from typing import Generic, TypeVar

MOST_STALE = 256
"""Deadlines of owners that are over, beyond as many as live: fewer are not worth a pass over the heap."""

What = TypeVar("What")


class DeadlineHeap(Generic[What]):
    """Deadlines, each of an owner known by a number, in the order of time, then of owners.

    A deadline whose owner is over before its time is removed in a pass over the whole heap, made each time it
    has doubled, so that the mean cost of one more stays that of a heap. `what` must be ordered too.
    """

    def __init__(self, alive: Container[int]) -> None:
        """`alive`: the owners that are not over, kept up to date by whoever gives the deadlines."""
        self.alive = alive
        self.heap: list[tuple[int, int, What]] = []
        self.most = MOST_STALE

    def __len__(self) -> int:
        return len(self.heap)

    def add(self, at: int, owner: int, what: What) -> None:
        """One more deadline, at a moment in nanoseconds."""
        if len(self.heap) >= self.most:
            self.remove_stale()
        heappush(self.heap, (at, owner, what))

    def remove_stale(self) -> None:
        """Lets those go whose owners are over."""
        self.heap = [entry for entry in self.heap if entry[1] in self.alive]
        heapify(self.heap)
        self.most = 2 * len(self.heap) + MOST_STALE

    def due(self, now: int) -> Iterator[tuple[int, What]]:
        """Takes out all whose time has come: owner and what for. Owners may be over, and deadlines that are
        added meanwhile and due come in their turn."""
        while self.heap and self.heap[0][0] <= now:
            _, owner, what = heappop(self.heap)
            yield owner, what
