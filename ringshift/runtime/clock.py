"""The one clock: Unix time in whole nanoseconds that never goes back."""

from __future__ import annotations

import time


class Clock:
    """Starts at Unix time and goes on with the monotonic clock: a step of the system's time moves none."""

    __slots__ = ("offset",)

    def __init__(self) -> None:
        self.offset = time.time_ns() - time.monotonic_ns()

    def now(self) -> int:
        return time.monotonic_ns() + self.offset

    @staticmethod
    def since(moment: int) -> int:
        """How long ago a moment lies that another process read from the system's Unix clock. A time in the
        future comes from a clock that was set back since: nothing is known but that it was not long ago."""
        return max(time.time_ns() - moment, 0)
