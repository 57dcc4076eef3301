"""The emulated fleet of standins/fleet/emulated.py with a budget of a rate: invocations a second of one kind.

Its backends take in their shares as the program hands them on (ringshift/lifecycle/sharing.py: `Granted`),
and ask the decisions' own tokens (ringshift/control/shares.py) before each beginning. The world
notes when each began and every rise of a share, so that any window can be held against what it may have
begun: the whole times its length, and the bursts. A bucket holds a tenth of a second of its share, one token
at the least; it may be full when the window begins, and a share that rises may fill it up to its new size.
"""

from __future__ import annotations

from bisect import bisect_left
from dataclasses import dataclass, field

from ringshift.control.shares import BURST, Shares
from ringshift.fleet.budget import S
from ringshift.fleet.share import News
from ringshift.interface import Granted, Unit
from standins.fleet.emulated import Backend, World


class Tokens(Shares):
    """The decisions' tokens without the rest of them: no lines, no invocations."""

    def __init__(self) -> None:
        self.rations, self.tries, self.paces, self.now = {}, {}, {}, 0


@dataclass
class Bucket:
    """A backend's tokens, as it may use them."""

    tokens: Tokens
    looked: int = 0
    owed: float = 0.0  # of what comes, less than one
    rates: list[tuple[int, float]] = field(default_factory=list)  # (true time, rate from then on)


class RateWorld(World):
    """`demand`: invocations a second that come to a backend."""

    def __post_init__(self) -> None:
        self.buckets: dict[str, Bucket] = {}
        self.began: list[int] = []  # true times, ascending
        super().__post_init__()

    def turn(self, one: Backend) -> None:
        if one.gone:
            return
        self.at(self.random.randint(10_000_000, 30_000_000), lambda: self.turn(one))
        if self.now < one.stalled_until:
            return
        name, now = one.share.backend, one.now(self.now)
        bucket = self.buckets.get(name)
        if bucket is None:
            bucket = self.buckets[name] = Bucket(Tokens(), self.now)
        if self.chance(0.3, 20_000_000):
            one.demand = self.demand(self.random)
        span, bucket.looked = self.now - bucket.looked, self.now
        # What came while it was stopped is not there any more: its callers went elsewhere.
        bucket.owed += one.demand * min(span, S // 10) / S
        tries = int(bucket.owed)
        bucket.owed -= tries
        one.share.wants(now, 0.0, tries * S / max(span, 1))
        self.heard(one, one.share.hear(News.TICK, now))
        bucket.tokens.now = now
        bucket.tokens.on_granted(self.granted_to(one))
        rate = bucket.tokens.bound(Unit.RATE, 0)
        if not bucket.rates or bucket.rates[-1][1] != rate:
            bucket.rates.append((self.now, rate))
        for _ in range(tries):
            if not bucket.tokens.rationed(Unit.RATE, 0):
                self.began.append(self.now)

    @staticmethod
    def granted_to(one: Backend) -> Granted:
        share, safe = one.share, one.share.budget.safe
        return Granted(Unit.RATE, safe + share.extra, share.ends - share.budget.longest, safe, 0)

    def excess(self, begin: int, end: int) -> float:
        """What may begin in a window beyond the whole times its length: of each backend in it the burst at
        its begin, and for each rise that of what it rose by; one token at the least."""
        told = 0.0
        for bucket in self.buckets.values():
            before = 0.0
            for at, rate in bucket.rates:
                if at >= end:
                    break
                if at <= begin:
                    before = rate
                    continue
                if rate > before:
                    told += max(BURST * (rate - before), 1.0)
                before = rate
            at_begin = [rate for at, rate in bucket.rates if at <= begin][-1:]
            told += max(BURST * at_begin[0], 1.0) if at_begin else 0.0
        return told

    def beyond(self, span: int, every: int = S // 4) -> list[tuple[float, int, float]]:
        """Windows of `span` in which more began than may: their begin in s, how much, and what may."""
        drift = 1 + self.trouble.skew_ppm / 2e6  # tokens come by a backend's own clock
        wrong = []
        for begin in range(0, self.now - span, every):
            count = bisect_left(self.began, begin + span) - bisect_left(self.began, begin)
            may = self.budget.whole * span / S * drift + self.excess(begin, begin + span)
            if count > may + 1e-6:
                wrong.append((begin / S, count, may))
        return wrong
