"""Shares of budgets and the rulebook of the fleet, as the decisions see them; without one nothing binds."""

from ringshift import interface as face
from ringshift.control.invocation import Book, Inv, News
from ringshift.control.measures import HOUR, S

BURST = 0.1  # seconds of a rate that may begin at once


class Shares(Book):
    def __init__(self, machine: face.Machine, seed: int) -> None:
        super().__init__(machine, seed)
        self.rations = dict[tuple[face.Unit, int], face.Granted]()
        self.tries = dict[tuple[face.Unit, int], int]()  # wished for since the last look
        self.paces = dict[object, tuple[float, int]]()  # of each rate: tokens left, and when that was
        self.rules, self.ruled = face.Ruled(), False

    def on_granted(self, news: face.Granted) -> None:
        self.rations[news.unit, news.operation] = news

    def bound(self, unit: face.Unit = face.Unit.CALLS, operation: int = -1) -> float:
        """What the fleet's budget allows here, of calls under way or to begin a second; none without one."""
        news = self.rations.get((unit, operation))
        return float(HOUR) if news is None else news.amount if self.now < news.until else news.safe

    def rationed(self, unit: face.Unit, operation: int = -1) -> bool:
        """Whether a budget's share forbids one more; without a budget nothing does."""
        if (key := (unit, operation)) not in self.rations:
            return False
        self.tries[key] = self.tries.get(key, 0) + 1
        return not self.take((key, self.bound(*key)))

    def take(self, *rates: tuple[object, float]) -> bool:
        """Whether one more may begin at all of these rates; what may not takes no token of any."""
        held = {key: self.tokens(key, rate) for key, rate in rates}
        fits = all(one >= 1.0 for one in held.values())
        self.paces |= {key: (one - fits, self.now) for key, one in held.items()}
        return fits

    def tokens(self, key: object, rate: float) -> float:
        """One can always be saved up, or a share under one a burst would never let anything begin."""
        left, at = self.paces.get(key, (1.0, 0))
        return min(left + rate * (self.now - at) / S, max(rate * BURST, 1.0)) if rate > 0 else 0.0

    def on_ruled(self, news: face.Ruled) -> None:
        self.rules, self.ruled, aged = news, news != face.Ruled(), self.now - 24 * HOUR
        self.paces = {key: pace for key, pace in self.paces.items() if pace[1] > aged}  # the others are full
        for inv in [inv for line in self.lines for inv in line.queue.values() if self.barred(inv)]:
            self.step_to(inv, News.TURN)

    def barred(self, inv: Inv) -> bool:
        """Refused by name: neither let in nor, read under other rules, begun; it is answered at once."""
        lists = zip(inv.who, self.rules.held_back, self.rules.let_through, strict=True)
        inv.final = any(one in held or (some is not None and one not in some) for one, held, some in lists)
        return inv.final

    def ruled_out(self, inv: Inv, lot: int) -> bool:
        """Turned away for good, by name or by its caller's lot, or to where a share is to go instead."""
        inv.final = self.barred(inv) or 0 <= lot < self.rules.shed.get(inv.who[0], 0)
        away = sum(one.away for one in self.bearing(inv))
        inv.ruled = inv.final or (away > 0 and self.random.randrange(10**6) < away)
        return inv.ruled

    def outpaced(self, inv: Inv) -> bool:
        ones = sorted(self.bearing(inv), key=lambda one: -one.rate)  # of one scope the lowest is the last
        inv.ruled = not self.take(*{one.scope: one.rate for one in ones if one.rate < HOUR}.items())
        return inv.ruled

    def bearing(self, inv: Inv) -> list[face.Clause]:
        return [one for found in self.rules.clauses for key in enumerate((*inv.who, 0))
                for one in found.get(key, ()) if one.concerns(inv.who)]  # fmt: skip
