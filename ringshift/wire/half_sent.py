"""What all connections hold together of requests that are not whole: one bound, and who loses beyond it."""

from __future__ import annotations

from typing import Protocol


class Holder(Protocol):
    """A connection, as far as it holds requests that are not whole."""

    def give_half_sent_up(self, why: str) -> None:
        """Answers them as errored and lets them go; it then holds next to nothing. Never waits."""


class HalfSent:
    """A bound in bytes of memory, not of the wire. Beyond it the one that holds most loses all that it holds,
    so that a client that sends no more than its even part never pays for what others leave unfinished."""

    def __init__(self, most: int) -> None:
        self.most, self.held = most, 0
        self.holders: dict[Holder, int] = {}

    def hold(self, holder: Holder, size: int) -> None:
        """What it holds from now on, in bytes; 0 forgets it."""
        self.held += size - self.holders.get(holder, 0)
        if size:
            self.holders[holder] = size
        else:
            self.holders.pop(holder, None)

    def enforce(self) -> None:
        """Called after each `hold` that may have grown, once the holder may be given up."""
        while self.held > self.most:
            largest = max(self.holders, key=self.holders.__getitem__)
            before = self.held
            largest.give_half_sent_up("too much half sent on all connections")
            if self.held >= before:
                return  # pieces of records alone, which are bounded for each connection
