"""Calls at what lies below: how many may be out, for how long, and what their ends tell."""

from collections import deque
from heapq import heappush
from math import exp

from ringshift import interface as face
from ringshift.control.cores import LEAST, Cores
from ringshift.control.invocation import BEGUN, CALL_NEWS, HELD, QUOTA_SPAN, Inv, News
from ringshift.control.measures import BEAT, HEARD, HOUR, MEMORY, RECENT, DecayingSum
from ringshift.interface import Below, Outcome

CROWDED = 3  # times the best mean call time, from which on calls are taken to crowd their dependency
FEWER = 0.9  # of the calls in hand that are left after each that was refused
LOST = 0.5  # share of failed calls at which readiness turns bad
LOSSES = (Outcome.UNREACHABLE, Outcome.TIMED_OUT, Outcome.BROKEN)


class Calls(Cores):
    def __init__(self, machine: face.Machine, seed: int) -> None:
        super().__init__(machine, seed)
        self.at_call, self.lingering = deque[Inv](), list[int]()
        self.call_time, self.call_best, self.runs_lost = DecayingSum(MEMORY), float(HOUR), DecayingSum(RECENT)
        self.spent = DecayingSum(max(machine.dependency.window, 1))
        shared = machine.dependency.kind is Below.SHARED
        self.call_cap = self.call_most = max(machine.dependency.share, 1.0) if shared else 8.0 * machine.cores
        self.call_after, self.calls_out, self.calls_lost = 0, 0, DecayingSum(RECENT)

    def line_up_call(self, inv: Inv) -> None:
        inv.called = inv.called or self.now
        self.at_call.append(inv)

    def call(self, inv: Inv) -> None:
        inv.placed, self.calls_out = self.now, self.calls_out + 1
        useful = inv.due - BEAT if inv.line.op.late_share else min(inv.goal, inv.due - BEAT)
        self.out.append(face.PlaceCall(inv.id, min(useful, inv.call_by)))

    def called(self, inv: Inv) -> None:
        inv.calls, inv.called = inv.calls + self.now - inv.called, 0

    def call_over(self, inv: Inv, lingers: bool = True) -> None:
        """A call stays in the dependency's hands until it ends, also where its invocation was answered."""
        if inv.placed:
            linger = self.machine.dependency.linger * lingers
            self.spent.add(self.now, self.now - inv.placed + linger)
            heappush(self.lingering, self.now + linger)
            self.calls_out, inv.placed = self.calls_out - 1, 0

    def on_call_ended(self, news: face.CallEnded) -> None:
        self.calls_lost.add(self.now, news.outcome in LOSSES)
        if news.outcome is Outcome.SUCCEEDED and not self.crowded(news.latency):
            self.call_cap = min(self.call_cap + 1 / self.call_cap, self.call_most)
        elif news.outcome is not Outcome.ERRORED:
            self.call_cap = max(self.call_cap * FEWER, 1.0)
            if news.outcome in CALL_NEWS:  # refused, they come back at once: not placed again every tick
                self.call_after = self.now + self.random.randint(BEAT, 3 * BEAT)
        if inv := self.invs.get(news.inv):
            self.call_over(inv, lingers=news.outcome is Outcome.TIMED_OUT)
            step = CALL_NEWS.get(news.outcome, News.UNSURE)
            if step is News.UNRUN and self.rationed(face.Unit.RETRIES):
                step = News.UNSURE  # it would be tried again beyond the fleet's share of that
            spared = step is not News.CALLED and inv.line.op.degraded_share > 0
            self.step_to(inv, News.SPARED if spared else step)

    def crowded(self, latency: int) -> bool:
        """Calls that take far longer than at best tell of a dependency with more than it can serve."""
        self.call_time.add(self.now, latency)
        mean = self.call_time.mean(self.now)
        self.call_best = min(self.call_best, mean if self.call_time.count >= HEARD else HOUR)
        return mean > CROWDED * self.call_best

    def call_room(self) -> int:
        """How long one more call may take. A share of one or more bounds the calls in hand; under one, a
        fading sum of their time does, which never shows less than 1/e of what the window holds."""
        below, held = self.machine.dependency, self.calls_out + len(self.lingering)
        if held + 1 > min(self.call_cap, self.bound()) or self.now < self.call_after:
            return 0
        if below.kind is not Below.SHARED or below.share >= 1:
            return HOUR
        return round(below.share * below.window - exp(1) * self.spent.sum(self.now) - below.linger)

    def call_wait(self) -> float:
        """How long what stands before a call, and what is held and will call, takes to be let through."""
        ahead = len(self.at_call) + sum(len(line.queue) for line in self.lines if line.op.calls)
        return ahead * self.call_time.mean(self.now) / min(self.call_cap, max(self.bound(), LEAST))

    def lost(self, kind: DecayingSum) -> bool:
        return kind.sum(self.now) > LOST * kind.count and kind.count >= HEARD

    def demand(self, unit: face.Unit, operation: int = -1) -> tuple[float, float]:
        """In use, and wished for beside it: of calls how many, of rates those since the last look."""
        if unit is not face.Unit.CALLS:
            return 0.0, float(self.tries.pop((unit, operation), 0))
        if self.machine.dependency.kind is Below.SHARED:
            return float(self.calls_out + len(self.lingering)), float(len(self.at_call))
        # What was turned away beside a small share was wanted as well: so many a second, for a run each.
        missed = sum(line.missed.sum(self.now) * line.run.mean(self.now) for line in self.lines) / QUOTA_SPAN
        return float(sum(self.count[s] for s in BEGUN)), self.count[HELD] + missed
