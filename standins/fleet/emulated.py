"""A fleet with one budget in emulated time: the program's own decisions, a network and clocks of a seed's
making.

One seed replays all of it. The backends are `Share`, the divider is `Divider`; the keeper is a ledger, a box
of asks and a lease that this world gives away; each message waits a drawn time and may be lost; each process
has a clock of its own rate; processes stall, crash, join, leave and lose contact. Each backend begins calls
whenever it is allowed to, each lasting a drawn time up to the budget's longest; the world counts them all and
notes every instant at which there are more than the whole. For tests, planted bugs and the decisions' own
scale.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from heapq import heappop, heappush
from itertools import count
from random import Random

from ringshift.fleet.budget import MS, Ask, Budget, Divider, Ledger, S, Stage, Word
from ringshift.fleet.share import News, Share


@dataclass
class Trouble:
    """What may go wrong, as chances a second for each process, and how long it lasts at most."""

    loss: float = 0.0  # of a message
    delay: int = 50 * MS  # a message's longest way
    stalls: float = 0.0
    crashes: float = 0.0
    cuts: float = 0.0
    leaves: float = 0.0
    joins: float = 0.0  # for the whole fleet
    failovers: float = 0.0  # for the whole fleet
    lasting: int = 5 * S
    skew_ppm: int = 0  # clocks run up to half of it fast or slow


@dataclass
class Backend:
    share: Share
    rate: float
    demand: float
    calls: int = 0
    stalled_until: int = 0
    cut_until: int = 0
    gone: bool = False
    asking: bool = False

    def now(self, true: int) -> int:
        return int(true * self.rate)


@dataclass
class World:
    budget: Budget
    seed: int
    trouble: Trouble
    start: int = 5
    demand: Callable[[Random], float] = field(default=lambda random: random.choice([0, 1, 3, 8, 20, 1000]))
    waits: bool = True  # whether a divider without a ledger waits, as the decisions do

    def __post_init__(self) -> None:
        self.random, self.now, self.order = Random(self.seed), 0, count()
        self.events: list[tuple[int, int, Callable[[], None]]] = []
        self.backends: dict[str, Backend] = {}
        self.asks: dict[str, Ask] = {}
        self.ledger: Ledger | None = None
        self.revision, self.token = 0, 0
        self.under_way, self.most, self.over, self.messages, self.rounds = 0, 0, list[str](), 0, 0
        self.named = count(1)
        for _ in range(self.start):
            self.join()
        self.new_divider()
        self.every(100 * MS, self.mischief)

    # Time.

    def at(self, after: int, what: Callable[[], None]) -> None:
        heappush(self.events, (self.now + max(after, 0), next(self.order), what))

    def every(self, span: int, what: Callable[[], None]) -> None:
        def again() -> None:
            what()
            self.at(span, again)

        self.at(span, again)

    def run(self, until: int) -> None:
        while self.events and self.events[0][0] <= until:
            self.now, _, what = heappop(self.events)
            what()
        self.now = until

    def ran(self, until: int) -> World:
        self.run(until)
        return self

    def send(self, what: Callable[[], None], cut: Callable[[], bool]) -> None:
        """A message's way: a drawn time, unless it is lost on it; lost too where its end is cut off then."""
        self.messages += 1
        if self.random.random() >= self.trouble.loss:
            self.at(self.random.randint(1, self.trouble.delay), lambda: None if cut() else what())

    def chance(self, per_second: float, span: int) -> bool:
        return self.random.random() < per_second * span / S

    def rate(self) -> float:
        half = self.trouble.skew_ppm / 2e6  # the bound itself as often as not: it is what has to hold
        return 1 + self.random.choice([-half, 0.0, half])

    # Backends.

    def alive(self) -> list[Backend]:
        return [one for one in self.backends.values() if not one.gone]

    def join(self) -> None:
        if len(self.alive()) >= self.budget.most:
            return
        name = f"b{next(self.named)}"
        share = Share(name, self.budget, 600 * MS)
        one = self.backends[name] = Backend(share, self.rate(), self.demand(self.random))
        self.turn(one)

    def turn(self, one: Backend) -> None:
        if one.gone:
            return
        self.at(self.random.randint(10 * MS, 30 * MS), lambda: self.turn(one))
        if self.now < one.stalled_until:
            return
        now = one.now(self.now)
        if self.chance(0.3, 20 * MS):
            one.demand = self.demand(self.random)
        one.share.wants(now, one.calls, max(one.demand - one.calls, 0))
        self.heard(one, one.share.hear(News.TICK, now))
        self.begin(one)

    def begin(self, one: Backend) -> None:
        wanted = min(one.demand, self.budget.whole)
        while one.calls < wanted and one.calls + 1 <= one.share.allowed(one.now(self.now)):
            one.calls, self.under_way = one.calls + 1, self.under_way + 1
            self.most = max(self.most, self.under_way)
            if self.under_way > self.budget.whole:
                self.over.append(
                    f"{self.under_way} under way at {self.now / S:.3f} s, begun by {one.share.backend}"
                )
            longest = int(self.budget.longest / one.rate)
            self.at(self.random.randint(min(30 * MS, longest), longest), lambda: self.ended(one))

    def ended(self, one: Backend) -> None:
        one.calls, self.under_way = one.calls - 1, self.under_way - 1

    def heard(self, one: Backend, ask: Ask | None) -> None:
        if ask is None or (one.asking and not ask.leaving):
            return
        one.asking = True
        number = ask.n

        def answered(news: News, ledger: Ledger | None) -> None:
            if one.gone or one.share.n < number or not one.asking:
                return
            if self.now < one.stalled_until:
                self.at(one.stalled_until - self.now, lambda: answered(news, ledger))
                return
            one.asking = False
            self.heard(one, one.share.hear(news, one.now(self.now), ledger))

        def arrives() -> None:
            self.asks[ask.backend] = ask  # a late one overwrites a newer one, as a put does
            ledger = self.ledger
            self.send(
                lambda: answered(News.LEDGER if ledger else News.UNANSWERED, ledger),
                lambda: self.now < one.cut_until,
            )

        self.send(arrives, lambda: self.now < one.cut_until)
        self.at(600 * MS, lambda: answered(News.UNANSWERED, None))

    # The divider: one at a time holds the token, an older one may still be under way with its writing.

    def new_divider(self) -> None:
        self.token += 1
        divider, token = Divider(self.budget), self.token
        rate, stalled = self.rate(), [0]
        divider.hear(Word.TAKEN, int(self.now * rate))
        known = [0]

        def round_() -> None:
            if token != self.token:
                return  # another holds the lease
            self.at(self.budget.refresh // 4, round_)
            if self.chance(self.trouble.stalls, self.budget.refresh // 4):
                stalled[0] = self.now + self.random.randint(0, self.trouble.lasting)
            if self.now < stalled[0]:
                return
            self.rounds += 1
            now = int(self.now * rate)
            if divider.stage is Stage.READING:
                if self.ledger is None and not self.waits:
                    divider.stage = Stage.DIVIDING
                divider.hear(Word.LEDGER if self.ledger else Word.EMPTY, now, ledger=self.ledger)
                known[0] = self.revision
                return
            if known[0] != self.revision:
                divider.hear(Word.REFUSED, now)
                return
            ledger = divider.hear(Word.ROUND, now, list(self.asks.values()))
            if ledger is None:
                return
            gone, revision = list(divider.gone), known[0]

            def written() -> None:
                self.messages += 1
                if token != self.token or self.revision != revision:
                    return  # the keeper's compares refuse it
                self.ledger, self.revision = ledger, self.revision + 1
                for name in gone:
                    self.asks.pop(name, None)
                known[0] = self.revision

            if self.random.random() < self.trouble.loss:
                divider.hear(Word.UNKNOWN, now)
                self.send(written, lambda: False)  # not answered, and yet it may still arrive
            else:
                written()
                divider.hear(Word.WRITTEN if known[0] == self.revision else Word.REFUSED, now)

        self.at(self.random.randint(1, self.budget.refresh // 4), round_)

    # What goes wrong.

    def mischief(self) -> None:
        trouble, span = self.trouble, 100 * MS
        for one in self.alive():
            if self.chance(trouble.stalls, span):
                one.stalled_until = self.now + self.random.randint(0, trouble.lasting)
            if self.chance(trouble.cuts, span):
                one.cut_until = self.now + self.random.randint(0, trouble.lasting)
            if self.chance(trouble.crashes, span):
                one.gone = True
            elif self.chance(trouble.leaves, span):
                self.leave(one)
        if self.chance(trouble.joins, span):
            self.join()
        if self.chance(trouble.failovers, span):
            self.new_divider()

    def leave(self, one: Backend) -> None:
        one.share.wants(one.now(self.now), one.calls, 0)
        self.heard(one, one.share.hear(News.LEAVE, one.now(self.now)))
        one.gone = True

    def granted(self) -> float:
        """What the living may use now, all together."""
        return sum(one.share.allowed(one.now(self.now)) for one in self.alive())
