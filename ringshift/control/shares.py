"""Shares of budgets and the rulebook of the fleet, as the decisions see them; without one nothing binds."""

from ringshift import interface as face
from ringshift.control.invocation import Book, Inv, News
from ringshift.control.measures import HOUR, S

BURST, MOST = 0.1, 1e12  # seconds of a rate's share that may begin at once; a second, where no rate is named


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
        self.rules, self.ruled, self.paces = face.Ruled(), False, dict[face.Clause, Ration]()

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

    def on_ruled(self, news: face.Ruled) -> None:
        self.rules, self.ruled, old = news, news != face.Ruled(), self.paces
        self.paces = {one: old.get(one) or Ration(face.Granted(face.Unit.RATE, 0, 0, min(one.rate, MOST)))
                      for one in news.clauses}  # one that goes on keeps its pace  # fmt: skip
        for inv in [inv for line in self.lines for inv in line.queue if self.barred(inv)]:
            self.step_to(inv, News.TURN)

    def barred(self, inv: Inv) -> bool:
        """Refused by name: neither let in nor, read under other rules, begun; it is answered at once."""
        lists = zip(inv.who, self.rules.held_back, self.rules.let_through, strict=True)
        inv.final = any(one in held or (some is not None and one not in some) for one, held, some in lists)
        return inv.final

    def ruled_out(self, inv: Inv, lot: int) -> bool:
        """Turned away for good, by name or by its caller's lot, or to where a share is to go instead."""
        inv.final = self.barred(inv) or 0 <= lot < self.rules.shed.get(inv.who[0], 0)
        away = sum(one.away for one, _ in self.bearing(inv))
        return inv.final or (away > 0 and self.random.randrange(10**6) < away)

    def outpaced(self, inv: Inv) -> bool:
        return not all(pace.take(self.now) for _, pace in self.bearing(inv))

    def bearing(self, inv: Inv) -> list[tuple[face.Clause, Ration]]:
        return [(one, pace) for one, pace in self.paces.items() if one.concerns(inv.who)]
