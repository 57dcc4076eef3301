"""A fleet of backends that retire one operation in emulated time; callers change backend at each try.

The ramp, the backends' followers, their counts of warnings and their figures are the program's own
(ringshift/retirement); the keeper is a place for rows and a position, one holder looks at it. A refresh is
told and answered within the same step of `STEP`; some go lost, and some backends have no contact for a while.
A caller that was turned away goes to the successor from then on, all but a few who never do. One seed replays
all of it.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, field
from datetime import UTC, datetime, timedelta
from random import Random

from ringshift.retirement.conditions import Conditions, Floor, S
from ringshift.retirement.figures import Figures, Tally
from ringshift.retirement.follow import Follower
from ringshift.retirement.judge import Freshness
from ringshift.retirement.position import Position
from ringshift.retirement.ramp import Ramp
from ringshift.retirement.shed import Decided, Shedding, key, lot, shedding, sheds
from ringshift.retirement.timeline import Step, Timeline, ns
from ringshift.retirement.warn import Counts, Warned, total

STEP = S // 2
START = datetime(2027, 1, 1, tzinfo=UTC)
SHARES = (0.1, 0.25, 0.5, 0.75, 1.0)  # the last is the end
BEGIN, APART, HOLD = 180, 180, 90  # seconds: the first step, from one to the next, each one's hold
REFRESH, LOOK = 4, 10  # in steps: a backend's, the holder's
TIMELINE = Timeline(
    "order-book",
    "order-book",
    "order-book-2",
    START,
    START,
    [
        Step(START + timedelta(seconds=BEGIN + APART * place), share, HOLD)
        for place, share in enumerate(SHARES[:-1])
    ],
    START + timedelta(seconds=BEGIN + APART * (len(SHARES) - 1)),
    floor=Floor(5, 60, 1),
    conditions=Conditions(0.6, moved=0.7, least_answers=20, fresh_s=10, dwell_s=15, back_after_s=10),
)
LINE = key(TIMELINE)


@dataclass
class Backend:
    rng: Random
    now: int
    number: int = 0
    warned: Warned = field(default_factory=Warned)
    cut_until: int = 0

    def __post_init__(self) -> None:
        self.follower = Follower(LINE, TIMELINE.conditions.fresh)
        self.tally = Tally(TIMELINE.conditions.fresh, self.now)
        self.shedding: Shedding = shedding(TIMELINE, Decided())
        self.phase = self.rng.randrange(REFRESH)
        self.edition_at = dict[int, int]()  # edition -> when it was first acted by

    def refresh(self, told: Decided, now: int) -> None:
        if self.follower.answered(told, now, now):
            one = self.follower.acts_by
            self.shedding = shedding(TIMELINE, one)
            self.tally.decided(one.ready)
            self.edition_at[one.edition] = now
        self.number += 1

    def figures(self, now: int) -> Figures:
        one = self.follower.acts_by
        return self.tally.figures(now, one.edition, one.share)


@dataclass
class Rung:
    """One rung as it went. `tries`, `away`: of its hold, once confirmed; `split`: tries of callers that it
    draws which a backend still let through, until all acted by it."""

    share: int
    due: int
    decided: int = 0
    lags: list[int] = field(default_factory=list)  # until each backend acted by it
    tries: int = 0
    away: int = 0
    unready: int = 0  # of those, tries of callers below the share that were not warned to the floor
    split: int = 0


class Fleet:
    def __init__(
        self,
        backends: int,
        callers: int,
        seed: int,
        lost: float = 0.02,
        cuts: float = 0.002,
        never: float = 0.05,
    ) -> None:
        self.chance, self.lost, self.cuts, self.now = Random(seed), lost, cuts, ns(START)
        self.backends = [Backend(self.chance, self.now) for _ in range(backends)]
        self.rates = [self.chance.choice((0.05, 0.1, 0.2, 0.4, 0.8)) for _ in range(callers)]
        self.never = frozenset(self.chance.sample(range(callers), int(callers * never)))
        self.moved: set[int] = set()
        self.rows: dict[str, tuple[int, Figures]] = {}
        self.counts: dict[str, Counts] = {}
        self.position, self.ramp = Position(), Ramp(TIMELINE)
        self.freshness = Freshness(TIMELINE.conditions.fresh)
        self.rungs = [Rung(share, at) for at, share, _ in TIMELINE.rungs]
        self.weights = [sum(self.rates[: place + 1]) for place in range(callers)]

    def run(self, seconds: int) -> Iterator[None]:
        for step in range(seconds * S // STEP):
            self.now += STEP
            self.calls()
            for place, one in enumerate(self.backends):
                if (step + one.phase) % REFRESH == 0:
                    self.refresh(place, one)
            if step % LOOK == 0:
                self.look()
            yield

    def calls(self) -> None:
        """The step's tries, drawn by the callers' rates, each at whichever backend."""
        many = round(self.weights[-1] * STEP / S)
        for caller in self.chance.choices(range(len(self.rates)), cum_weights=self.weights, k=many):
            one = self.chance.choice(self.backends)
            away = caller in self.moved
            if not away:
                away = sheds(one.shedding.share(self.now), one.shedding.lot(caller, self.now))
                one.tally.answered(self.now, away)
                if away and caller not in self.never:
                    self.moved.add(caller)
                if not away:
                    one.warned.handed(caller, self.now)
            if away and caller not in self.never:
                self.chance.choice(self.backends).tally.succeeded(self.now, caller)
            self.reckoned(caller, away)

    def reckoned(self, caller: int, away: bool) -> None:
        decided = self.position.decided
        if not decided.rung:
            return
        rung = self.rungs[decided.rung - 1]
        if not away and caller in decided.ready:
            rung.split += 1
        if self.position.phase in ("HOLDING", "ENDED"):
            rung.tries += 1
            rung.away += away
            rung.unready += not away and caller not in decided.ready and lot(LINE, caller) < decided.share

    def refresh(self, place: int, one: Backend) -> None:
        if self.chance.random() < self.cuts:
            one.cut_until = self.now + self.chance.randint(5, 30) * S
        if self.now < one.cut_until or self.chance.random() < self.lost:
            one.follower.tick(self.now)
            return
        before = one.follower.acts_by.edition
        one.refresh(self.position.decided, self.now)
        acts = one.follower.acts_by
        if acts.edition != before and acts.rung:
            rung = self.rungs[acts.rung - 1]
            if len(rung.lags) < len(self.backends):
                rung.lags.append(self.now - rung.decided)
        self.rows[str(place)] = one.number, one.figures(self.now)
        self.counts[str(place)] = dict(one.warned.counts)

    def look(self) -> None:
        seen = self.freshness.look(self.now, self.rows)
        position = self.ramp.look(self.now, seen, total({}, self.counts.values()))
        if position is None:
            return
        moved = position.decided.rung > self.position.decided.rung
        self.position = position
        self.ramp.landed(position)
        if moved:
            self.rungs[position.decided.rung - 1].decided = self.now


def span() -> int:
    """Seconds that a run takes, to the end's own hold."""
    return BEGIN + APART * len(SHARES) + HOLD
