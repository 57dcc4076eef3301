"""How many may run at once: the learned limit, what runs took, and the crowd that the cores survive."""

from math import floor

from ringshift import interface as face
from ringshift.control.invocation import ANSWERED, BEGUN, HELD, ROOM, RUNNING, Inv
from ringshift.control.measures import BEAT, HOUR, MEMORY, RECENT, DecayingSum, S
from ringshift.control.shares import Shares
from ringshift.interface import Below

ENOUGH = 30  # completions while work waits, below which a change of their rate is chance
CEILING = 0.6  # share of the survivable crowd that is used: a mean over a window must never reach it
DOUBT = 3  # more runs of usual length than run, before their age tells that the machine has slowed
LEAST = 0.1  # of a run: with a share of none what is held waits as good as for ever, and is turned away


class Cores(Shares):
    def __init__(self, machine: face.Machine, seed: int) -> None:
        super().__init__(machine, seed)
        self.limit, self.step, self.tried, self.last_rate = float(machine.cores), 1, 0, 0.0
        self.window_span = self.window_done = self.done = self.warm_runs = self.ages = 0
        self.warm_sum, self.slowed = 0.0, 1.0
        self.at_disk = DecayingSum(4 * MEMORY)
        self.wanted, self.at_door = DecayingSum(RECENT), DecayingSum(MEMORY)

    def count_run(self, inv: Inv) -> None:
        core = max(self.now - inv.started - inv.calls, 0)
        inv.line.run.add(self.now, self.now - inv.started)
        inv.line.core.add(self.now, core)
        self.done += self.now <= inv.goal
        self.warm_runs, self.warm_sum = self.warm_runs + 1, self.warm_sum + core

    def on_cores(self) -> float:
        """Those that run less the part that waits for disk, which only the gauges show."""
        return (self.count[RUNNING] + self.count[ANSWERED]) * (1 - self.at_disk.mean(self.now))

    def slowness(self) -> float:
        """Runs that are on the cores far longer than runs used to take tell of a slowed, hung or paused
        machine before any of them ends. A wave of bulky work looks the same and is answered the same."""
        if not (running := self.count[RUNNING]) or running * 2 < self.machine.cores:
            return 1.0  # one bulky run among idle cores tells nothing
        ages = running * self.now - self.sum_started
        if ages != self.ages:  # nothing else it is made of changes without them
            usual = max(line.run.mean(self.now) for line in self.lines)
            self.ages, self.slowed = ages, max(1.0, ages / ((running + DOUBT) * usual))
        return self.slowed

    def latest(self, inv: Inv) -> int:
        return round(inv.size * inv.line.run.mean(self.now) * self.slowness())

    def crowd(self) -> float:  # the most that the cores survive
        return (1 + (self.machine.fall_multiple - 1) * self.speed()) * self.machine.cores

    def speed(self) -> float:
        """The share of their full speed that the settings promise of the cores by now."""
        machine, warmed = self.machine, (self.now - self.born) / self.machine.ramp
        return 1 - (1 - machine.cold_speed) * max(1 - warmed, 0) if machine.cold else 1.0

    def limited(self) -> float:
        """What may run at once: the learned limit, or a smaller share of what all runs of the fleet call."""
        return min(self.limit, max(self.run_bound(), LEAST))

    def run_bound(self) -> float:
        return float(HOUR) if self.machine.dependency.kind is Below.SHARED else self.bound()

    def may_run(self) -> bool:
        """Those at calls come back when they like. Where no call is told of, each run is one."""
        begun = sum(self.count[s] for s in BEGUN)
        room = min(max(floor(ROOM * self.crowd()), self.machine.cores), self.run_bound()) - begun
        return room >= 1 and self.on_cores() + 0.5 < self.limit

    def learn(self, wanting: float) -> None:
        waits, running, cores = self.count[HELD] > 0, self.count[RUNNING], self.machine.cores
        self.wanted.add(self.now, wanting)
        self.at_door.add(self.now, max(wanting - running, 0) / max(wanting, cores))  # not runs
        if 2 * running >= cores and wanting <= running:
            self.at_disk.add(self.now, 1 - wanting / running)
        if waits and self.on_cores() + 0.5 >= self.limit and wanting < cores and self.slowness() <= 1.0:
            self.limit += 1  # cores idle while work waits: runs wait for disk, which no event tells
        elif wanting > 2 * cores:
            self.limit -= 1  # even if each core reads, more runs than cores want one: slowed, or waits over
        self.window_span += BEAT * waits
        self.window_done, self.done = self.window_done + self.done * waits, 0
        if self.window_done >= ENOUGH:
            rate = self.window_done * S / self.window_span
            if rate <= self.last_rate:
                self.limit, self.step = self.limit - self.tried, -self.step
            self.last_rate, self.tried = rate, max(self.step, round(cores - self.limit))
            self.limit, self.window_span, self.window_done = self.limit + self.tried, 0, 0
        self.limit = max(min(self.limit, floor(CEILING * self.crowd())), float(self.machine.cores))
