"""A sum and a count that decay with time: a statistic that decides nothing."""

from __future__ import annotations

from math import exp


class DecayingSum:
    """Measured values and their number, each of which decays exponentially; brought up to date when read.

    The mean goes back to the prior once nothing is measured: a server that was judged hopeless by old figures
    is tried again. Times are nanoseconds.
    """

    def __init__(self, span: int, prior: float = 0.0) -> None:
        """`span`: the time in which a value decays to 1/e of itself."""
        self.total, self.count, self.at, self.span, self.prior = 0.0, 0.0, 0, span, prior

    def sum(self, now: int) -> float:
        """The decayed sum of all that was added."""
        if now > self.at:
            left = exp((self.at - now) / self.span)
            self.total, self.count, self.at = self.total * left, self.count * left, now
        return self.total

    def add(self, now: int, value: float) -> None:
        """One more measured value."""
        self.total, self.count = self.sum(now) + value, self.count + 1

    def mean(self, now: int) -> float:
        """The decayed mean, in which the prior weighs as much as one value just added."""
        return (self.sum(now) + self.prior) / (self.count + 1)
