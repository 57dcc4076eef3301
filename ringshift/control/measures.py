"""What is measured, as sums that fade, and over which times."""

from math import exp

MS, S, HOUR = 10**6, 10**9, 3600 * 10**9
BEAT = 50 * MS  # how often an idle instance looks at its gauges and alarms; well under any answer's slack
MEMORY = 8 * S  # how long measurements count: several windows, yet shorter than the troubles they must follow
RECENT = 4 * S  # calls and runs that are judged by majority: two cores end some three a second
HEARD = 8  # calls, or runs in a warm-up window, too few to judge by


class Fading:
    """What was measured, as a sum and a count that fade; brought up to date when read. The mean goes back to
    what was thought before once nothing is seen: a server judged hopeless by old news tries again."""

    def __init__(self, span: int, prior: float = 0.0) -> None:
        self.total, self.count, self.at, self.span, self.prior = 0.0, 0.0, 0, span, prior

    def sum(self, now: int) -> float:
        if now > self.at:
            left = exp((self.at - now) / self.span)
            self.total, self.count, self.at = self.total * left, self.count * left, now
        return self.total

    def add(self, now: int, value: float) -> None:
        self.total, self.count = self.sum(now) + value, self.count + 1

    def mean(self, now: int) -> float:
        return (self.sum(now) + self.prior) / (self.count + 1)
