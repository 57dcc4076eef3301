"""Shares of fleet-wide budgets, as the decisions see them; without one they bind nothing."""

from ringshift import interface as face
from ringshift.control.invocation import Book
from ringshift.control.measures import HOUR, S

BURST = 0.1  # seconds of a rate's share that may begin at once


class Ration:
    """A share of a fleet-wide budget: a bound on what is in use, or tokens for what begins."""

    def __init__(self, news: face.Granted) -> None:
        self.news, self.tokens, self.at = news, 1.0, 0

    def amount(self, now: int) -> float:
        return self.news.amount if now < self.news.until else self.news.safe

    def take(self, now: int) -> bool:
        rate = self.amount(now)
        gained, self.at = rate * (now - self.at) / S, now
        # One token can always be saved up, or a share under one a burst would never let anything begin.
        self.tokens = min(self.tokens + gained, max(rate * BURST, 1.0)) if rate > 0 else 0.0
        self.tokens -= (taken := self.tokens >= 1.0)
        return taken


class Shares(Book):
    def __init__(self, machine: face.Machine, seed: int) -> None:
        super().__init__(machine, seed)
        self.rations = dict[tuple[face.Unit, int], Ration]()
        self.tries = dict[tuple[face.Unit, int], int]()  # wished for since the last look

    def on_granted(self, news: face.Granted) -> None:
        self.rations.setdefault((news.unit, news.operation), Ration(news)).news = news

    def bound(self) -> float:
        """The calls that may be under way here by the fleet's budget; none without one."""
        ration = self.rations.get((face.Unit.CALLS, -1))
        return ration.amount(self.now) if ration else float(HOUR)

    def rationed(self, unit: face.Unit, operation: int = -1) -> bool:
        """Whether a budget's share forbids one more; without a budget nothing does."""
        if (ration := self.rations.get((unit, operation))) is None:
            return False
        self.tries[unit, operation] = self.tries.get((unit, operation), 0) + 1
        return not ration.take(self.now)
