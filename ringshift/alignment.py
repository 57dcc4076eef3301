"""One time for many servers whose clocks disagree, drift and step. No I/O, no clock, no gevent.

Every run's records carry `up`, the time since its start by a monotonic clock, which never steps; what is
sought is where that start lies and how fast that clock goes. Ties tell of one event seen by two runs. Ties of
the same two runs are first intersected (the interval that most of them share, after Marzullo 1984: a few
wrong ones are outvoted, not averaged in), then all are fitted by weighted least squares, outliers weighing
less.
Runs that no chain of ties joins stay in groups of their own: nothing is said about their times together.
"""

from __future__ import annotations

from collections import defaultdict, deque
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass
from heapq import heappop, heappush
from statistics import median

S = 10**9
WINDOW = 300 * S  # ties of two runs within it are intersected; a clock drifts 60 ms in it at 200 ppm
DRIFT = 3e-4  # what a clock's rate is off by, as one standard deviation; 200 ppm are a poor crystal
MOST_DRIFT = 1e-3
FIRM = 0.002  # seconds: no tie is taken for surer than that
OUTLIER = 3.0  # standard deviations beyond which a tie's pull stays the same
SWEEPS, STILL = 100, 1e-4  # passes over all runs, and the seconds of movement at which they end


@dataclass(frozen=True, slots=True)
class Tie:
    """The true times of what `a` saw at `a_up` and `b` at `b_up` differ by `low` to `high` nanoseconds."""

    a: str
    a_up: int
    b: str
    b_up: int
    low: int
    high: int
    why: str


@dataclass(frozen=True, slots=True)
class Ticking:
    """A run's clocks as it tells them: `wall` is the wall clock's time at `up` 0; `first` and `last` bound
    the `up` that is asked for."""

    wall: int
    first: int
    last: int


@dataclass(frozen=True, slots=True)
class Placed:
    """True time is `origin + up * (1 + rate)`, sure to `error` nanoseconds within its group."""

    origin: int
    rate: float
    error: int
    group: int
    wall_off: int
    """By how much its wall clock was ahead at the start."""

    def time(self, up: int) -> int:
        return self.origin + up + round(up * self.rate)


@dataclass(frozen=True, slots=True)
class Alignment:
    placed: dict[str, Placed]
    groups: list[list[str]]
    """The largest first; `Placed.group` is the index here."""
    outvoted: list[Tie]

    def time(self, node: str, up: int) -> int:
        return self.placed[node].time(up)


@dataclass(frozen=True, slots=True)
class Bond:
    """Ties of one pair and window as one: seconds by which the fit is off from the guesses."""

    other: str
    mine: float
    theirs: float
    off: float
    spread: float


def agreed(intervals: Sequence[tuple[float, float]]) -> tuple[float, float, int]:
    """The interval that most of them share, and how many do; the first such one."""
    edges = sorted([(low, 0) for low, _ in intervals] + [(high, 1) for _, high in intervals])
    best = count = 0
    found = (0.0, 0.0)
    for index, (edge, ends) in enumerate(edges):
        if ends:
            count -= 1
            continue
        count += 1
        if count > best:
            best, found = count, (edge, edges[index + 1][0])
    return *found, best


class Fit:
    """The unknowns: seconds by which each guess is off, and each clock's rate."""

    def __init__(self, runs: Mapping[str, Ticking]) -> None:
        self.runs = runs
        self.off, self.rate = dict.fromkeys(runs, 0.0), dict.fromkeys(runs, 0.0)
        self.bonds: dict[str, list[Bond]] = defaultdict(list)
        self.outvoted: list[Tie] = []

    def middle(self, node: str) -> int:
        """Rates turn about the middle of what is asked, so that offset and rate hardly hang together."""
        ticking = self.runs[node]
        return (ticking.first + ticking.last) // 2

    def take(self, ties: Iterable[Tie]) -> None:
        together: dict[tuple[str, str, int], list[Tie]] = defaultdict(list)
        for tie in ties:
            if tie.a != tie.b and tie.a in self.runs and tie.b in self.runs:
                if tie.a > tie.b:
                    tie = Tie(tie.b, tie.b_up, tie.a, tie.a_up, -tie.high, -tie.low, tie.why)
                together[tie.a, tie.b, tie.a_up // WINDOW].append(tie)
        for (a, b, _), some in together.items():
            wall_a, wall_b = self.runs[a].wall, self.runs[b].wall
            drift = DRIFT * (max(t.a_up for t in some) - min(t.a_up for t in some)) / S
            intervals = []
            for tie in some:
                guess = (wall_b + tie.b_up) - (wall_a + tie.a_up)
                low, high = (guess + tie.low) / S - drift, (guess + tie.high) / S + drift
                intervals.append((low, high))
            low, high, count = agreed(intervals)
            if 2 * count <= len(some) and len(some) > 2:
                # No majority: clocks that step unseen, or a token that two events share. Nothing is guessed.
                self.outvoted += some
                continue
            votes = [
                tie for tie, one in zip(some, intervals, strict=True) if one[0] <= low and one[1] >= high
            ]
            self.outvoted += [tie for tie in some if tie not in votes]
            x_a = sum(t.a_up for t in votes) / len(votes) - self.middle(a)
            x_b = sum(t.b_up for t in votes) / len(votes) - self.middle(b)
            off, spread = (low + high) / 2, max((high - low) / 2, FIRM)
            self.bonds[a].append(Bond(b, x_a / S, x_b / S, off, spread))
            self.bonds[b].append(Bond(a, x_b / S, x_a / S, -off, spread))

    def group(self, start: str) -> list[str]:
        """All that chains of ties join to it, nearest first."""
        seen, queue = {start}, deque([start])
        order = []
        while queue:
            node = queue.popleft()
            order.append(node)
            for bond in self.bonds[node]:
                if bond.other not in seen:
                    seen.add(bond.other)
                    queue.append(bond.other)
        return order

    def solve(self, order: Sequence[str]) -> None:
        """Each follows from what its bonds ask, in turn. None is held: a single one that is, among hundreds
        that agree with each other, would draw them to itself by a three hundredth a sweep. Who is right is
        settled afterwards, for all at once."""
        known = {order[0]}
        for node in order[1:]:
            self.follow(node, known)
            known.add(node)
        for _ in range(SWEEPS):
            if max((self.follow(node, None) for node in order), default=0.0) < STILL:
                return

    def follow(self, node: str, known: set[str] | None) -> float:
        """Weighted least squares of two unknowns; the rate has a prior, so one bond alone never turns it."""
        sums = [0.0] * 5  # w, wx, wxx, wy, wxy
        for bond in self.bonds[node]:
            if known is not None and bond.other not in known:
                continue
            wanted = bond.off + self.off[bond.other] + self.rate[bond.other] * bond.theirs
            miss = abs(wanted - self.off[node] - self.rate[node] * bond.mine) / bond.spread
            weight = 1 / bond.spread**2
            if known is None and miss > OUTLIER:
                weight *= OUTLIER / miss
            sums[0] += weight
            sums[1] += weight * bond.mine
            sums[2] += weight * bond.mine**2
            sums[3] += weight * wanted
            sums[4] += weight * bond.mine * wanted
        w, wx, wxx, wy, wxy = sums
        wxx += 1 / DRIFT**2
        whole = w * wxx - wx * wx
        if w == 0 or whole <= 0:
            return 0.0
        rate = max(min((w * wxy - wx * wy) / whole, MOST_DRIFT), -MOST_DRIFT)
        off = (wy - rate * wx) / w
        moved = abs(off - self.off[node])
        self.off[node], self.rate[node] = off, rate
        return moved

    def errors(self, start: str) -> dict[str, float]:
        """Half the width of the best chain of ties to each, and what the fit misses it by."""
        best, heap = {start: 0.0}, [(0.0, start)]
        while heap:
            so_far, node = heappop(heap)
            if so_far > best[node]:
                continue
            for bond in self.bonds[node]:
                fit = self.off[bond.other] + self.rate[bond.other] * bond.theirs + bond.off
                miss = abs(fit - self.off[node] - self.rate[node] * bond.mine)
                through = so_far + bond.spread + max(miss - bond.spread, 0.0)
                if through < best.get(bond.other, float("inf")):
                    best[bond.other] = through
                    heappush(heap, (through, bond.other))
        return best


def align(runs: Mapping[str, Ticking], ties: Iterable[Tie], reference: str | None = None) -> Alignment:
    """Places each run. `reference` names the run whose wall clock is held to be right; else each group's
    median wall clock is."""
    fit = Fit(runs)
    fit.take(ties)
    left, groups = dict.fromkeys(runs), list[list[str]]()
    while left:
        most = max(left, key=lambda node: (node == reference, len(fit.bonds[node])))
        groups.append(fit.group(most))
        for node in groups[-1]:
            del left[node]
    groups.sort(key=lambda group: (reference not in group, -len(group)))
    placed: dict[str, Placed] = {}
    for index, group in enumerate(groups):
        fit.solve(group)
        errors = fit.errors(group[0])
        # All are turned and shifted as one, so that the reference is right, or else the median clock.
        if group[0] == reference:
            right, turn = fit.off[reference], fit.rate[reference]
        else:
            right = median(fit.off[node] for node in group)
            turn = median(fit.rate[node] for node in group)
        centre = runs[group[0]].wall + fit.middle(group[0])
        for node in group:
            away = (runs[node].wall + fit.middle(node) - centre) / S
            rate, off = fit.rate[node] - turn, fit.off[node] - right - turn * away
            origin = runs[node].wall + round(off * S) - round(rate * fit.middle(node))
            placed[node] = Placed(origin, rate, round(errors.get(node, 0.0) * S), index, -round(off * S))
    return Alignment(placed, groups, fit.outvoted)
