"""A fleet of decisions and the callers before it: who heeds what it is told, learns late and forgets."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field, replace
from math import inf, sqrt
from random import Random

from ringshift import interface as face
from ringshift.control import Controller
from tests.simulation import MS

STEP = 25 * MS
TRIES = 3  # backends that a caller tries for one request


@dataclass(frozen=True)
class Cold:
    """What the settings say of a cold start, and the time over which a fall is judged."""

    m: face.Machine
    span: int = 1500 * MS

    def speed(self, age: int) -> float:
        return min(1.0, self.m.cold_speed + (1 - self.m.cold_speed) * age / self.m.ramp)

    def survives(self, age: int) -> float:
        return (1 + (self.m.fall_multiple - 1) * self.speed(age)) * self.m.cores

    def most(self, age: int) -> float:
        """What it may get within the time: N + 2 x root of N + 2, with the N of that time's begin."""
        allowed = self.survives(age)
        return allowed + 2 * sqrt(allowed) + 2

    def beyond(self, times: list[int]) -> list[tuple[int, int, float]]:
        """Windows that begin before the warm-up's end and hold more: begin in ms, how many, how many may."""
        found, late = list[tuple[int, int, float]](), deque[int]()
        for at in sorted(times):
            late.append(at)
            while late[0] <= at - self.span:
                late.popleft()
            if late[0] < self.m.ramp and len(late) > self.most(late[0]):
                found.append((late[0] // MS, len(late), self.most(late[0])))
        return found


@dataclass
class Backend:
    """One machine: its decisions, its runs that share the cores, and a record of what came and was taken."""

    cold: Cold
    seed: int
    slow: bool = True
    value: float = inf
    good: bool = True
    timers: list[tuple[int, int]] = field(default_factory=list)
    running: dict[int, float] = field(default_factory=dict)
    held: dict[int, tuple[int, float]] = field(default_factory=dict)
    news: list[face.Input] = field(default_factory=list)
    sent: list[int] = field(default_factory=list)
    heard: list[int] = field(default_factory=list)
    taken: list[int] = field(default_factory=list)
    told: list[tuple[int, float]] = field(default_factory=list)
    ready: list[tuple[int, bool]] = field(default_factory=list)
    in_hand: list[tuple[int, int]] = field(default_factory=list)
    made: int = 0
    outcome: face.Outcome = face.Outcome.SUCCEEDED
    linked: bool = True
    """Whether ends of runs and gauges reach the decisions; what ends meanwhile is told later."""
    untold: list[face.Finished] = field(default_factory=list)

    def __post_init__(self) -> None:
        self.controller = Controller(self.cold.m, self.seed)

    def arrive(self, now: int, caller: int, size: float, heard: bool, rank: float, unread: int = 0) -> int:
        operations = self.cold.m.operations
        self.made, inv = self.made + 1, self.made
        self.held[inv] = (now, size)
        self.sent.append(now)
        if heard:
            self.heard.append(now)
        self.news.append(
            face.Arrived(inv, inv % len(operations), -1, None, 0.0, 10.0, rank, True, caller, unread, None)
        )
        return inv

    def decide(self, now: int, work: int) -> list[tuple[int, bool, bool]]:
        """One step; which invocations ended, whether served, and with the wish to go nowhere else."""
        speed = self.cold.speed(now) if self.slow else 1.0
        share = STEP / work * speed * min(1.0, self.cold.m.cores / max(len(self.running), 1))
        ends = list[tuple[int, bool, bool]]()
        for inv in list(self.running):
            self.running[inv] -= share
            if self.running[inv] <= 0:
                del self.running[inv]
                ends.append((inv, True, False))
                self.untold.append(face.Finished(inv, self.outcome, 0))
        if self.linked:
            self.news += self.untold
            self.untold = []
        gauges = [None, float(len(self.running)) if self.linked else None, None]
        self.news += [face.TimerFired(name, gauges) for at, name in self.timers if at <= now]
        self.timers = [timer for timer in self.timers if timer[0] > now]
        came = [news.inv for news in self.news if isinstance(news, face.Arrived)]
        said, self.news = self.controller.decide(10**12 + now, self.news), []
        refused = {action.inv for action in said if isinstance(action, face.Throttle)}
        self.taken += [now for inv in came if inv not in refused]
        for action in said:
            ends += self.apply(action, now)
        self.in_hand.append((now, len(self.held) + len(self.running)))
        return ends

    def apply(self, action: face.Action, now: int) -> list[tuple[int, bool, bool]]:
        if isinstance(action, face.Wake):
            self.timers.append((now + action.after, action.name))
        elif isinstance(action, face.Advertise):
            self.value = action.amount
            self.told.append((now, action.amount))
        elif isinstance(action, face.Readiness):
            self.good = action.good
            self.ready.append((now, action.good))
        elif isinstance(action, face.Start):
            self.running[action.inv] = self.held.pop(action.inv)[1]
        elif isinstance(action, face.Throttle | face.Fail):
            self.held.pop(action.inv, None)
            return [(action.inv, False, getattr(action, "give_up", True))]
        elif isinstance(action, face.Halted) and self.running.pop(action.inv, None) is not None:
            self.news.append(face.Finished(action.inv, face.Outcome.STOPPED, 0))
        return []


@dataclass
class Heard:
    """What one caller knows of one backend."""

    listed: int
    value: float = inf
    until: int = -1
    check: int = 0
    out: int = 0


@dataclass
class Fleet:
    """Callers hold a fraction as a chance: drawn by each caller as it hears the value, or (`by_request`) anew
    for each request, where what is sent is a rate that no told number can bound.

    `starting`: which backends start cold; the others run and are warm. `load`: of what all do when warm.
    `late`: within which callers find the started ones on their lists, each at its own time. `checks`: between
    two checks of a backend by a caller, the first as it finds it; None for callers that do not check, which
    send as they like until an answer tells them. A value is forgotten after the settings' `heeded`."""

    cold: Cold
    backends: int
    chance: Random
    starting: set[int]
    callers: int = 100
    load: float = 0.8
    work: int = 300 * MS
    late: int = 1000 * MS
    checks: int | None = 900 * MS
    by_request: bool = False

    def play(self, until: int) -> list[Backend]:
        warm = replace(self.cold, m=replace(self.cold.m, cold=False))
        fleet = [
            Backend(self.cold if n in self.starting else warm, n, n in self.starting)
            for n in range(self.backends)
        ]
        self.known = [
            [
                Heard(self.chance.randrange(self.late) if n in self.starting else 0)
                for n in range(self.backends)
            ]
            for _ in range(self.callers)
        ]
        self.asked: list[dict[int, tuple[int, float, int]]] = [{} for _ in fleet]
        rate = self.load * self.backends * self.cold.m.cores / self.work
        now, due = 0, self.chance.expovariate(rate)
        while now < until:
            for number, backend in enumerate(fleet):
                for inv, served, stop in backend.decide(now, self.work):
                    self.answered(now, fleet, number, inv, served or stop)
            now += STEP
            self.check(now, fleet)
            while due <= now:
                self.ask(now, fleet, self.chance.randrange(self.callers), self.chance.uniform(0.5, 1.5), 0)
                due += self.chance.expovariate(rate)
        return fleet

    def check(self, now: int, fleet: list[Backend]) -> None:
        for known in self.known if self.checks is not None else ():
            for heard, backend in zip(known, fleet, strict=True):
                if now >= max(heard.check, heard.listed):
                    heard.check = now + (self.checks or 0)
                    self.hear(now, heard, backend)

    def hear(self, now: int, heard: Heard, backend: Backend) -> None:
        whole = int(backend.value) if backend.value < inf else 0
        dealt = whole + (self.chance.random() < backend.value - whole)
        heard.value = backend.value if self.by_request or backend.value == inf else dealt
        heard.until = now + self.cold.m.heeded

    def ask(self, now: int, fleet: list[Backend], caller: int, size: float, tried: int) -> None:
        for number in self.chance.sample(range(len(fleet)), len(fleet)):
            heard = self.known[caller][number]
            told = now < heard.until
            if now >= heard.listed and self.chance.random() < (heard.value if told else inf) - heard.out:
                heard.out += 1
                inv = fleet[number].arrive(now, caller, size, told, self.chance.random())
                self.asked[number][inv] = (caller, size, tried)
                return

    def answered(self, now: int, fleet: list[Backend], number: int, inv: int, over: bool) -> None:
        if inv not in self.asked[number]:
            return
        caller, size, tried = self.asked[number].pop(inv)
        heard = self.known[caller][number]
        heard.out -= 1
        self.hear(now, heard, fleet[number])
        if not over and tried + 1 < TRIES:
            self.ask(now, fleet, caller, size, tried + 1)
