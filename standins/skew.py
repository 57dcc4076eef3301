"""A false clock: off, drifting, and stepping once. `python -m standins.skew` runs a backend under one.

The environment variable SKEW holds what `Skew.told` gives. Only what the program reads for records and stamps
is false; the loop's own timers are the system's.
"""

from __future__ import annotations

import os
import sys
import time
from dataclasses import dataclass

TRUE_WALL, TRUE_STEADY = time.time_ns, time.monotonic_ns


@dataclass(frozen=True, slots=True)
class Skew:
    off: int = 0
    ppm: float = 0.0
    step_at: int = 0
    step: int = 0
    zero: int = 0
    """The true Unix moment from which it drifts."""

    def wall(self, true: int) -> int:
        stepped = self.step if self.step_at and true >= self.step_at else 0
        return true + self.off + round((true - self.zero) * self.ppm / 1e6) + stepped

    def told(self) -> str:
        return f"{self.off} {self.ppm} {self.step_at} {self.step} {self.zero}"


def read(text: str) -> Skew:
    off, ppm, step_at, step, zero = text.split()
    return Skew(int(off), float(ppm), int(step_at), int(step), int(zero))


def put_on(skew: Skew) -> None:
    steady_zero = TRUE_STEADY()
    time.time_ns = lambda: skew.wall(TRUE_WALL())
    time.monotonic_ns = lambda: (now := TRUE_STEADY()) + round((now - steady_zero) * skew.ppm / 1e6)


if __name__ == "__main__":
    put_on(read(os.environ["SKEW"]))
    from ringshift.lifecycle.entry import run

    sys.exit(run())
