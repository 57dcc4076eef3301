"""A server as loose as the wire allows: any legal news at any time; rules are checked after every step."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass, field, replace
from random import Random

from ringshift import interface as face
from ringshift.control import Controller
from ringshift.interface import Effect, Halt, Outcome

MS = 1_000_000
SLACK = 80 * MS
PROVEN = (Outcome.REJECTED, Outcome.UNREACHABLE, Outcome.MOOT)


def operation(
    name: str = "op",
    effect: Effect = Effect.IDEMPOTENT,
    calls: bool = False,
    *,
    value: float = 1.0,
    late: float = 0.0,
    spare: float = 0.0,
    objective: int = 1500,
) -> face.Operation:
    return face.Operation(name, effect, objective * MS, 0.0, 4000 * MS, value, late, 5000 * MS, calls, spare)


def machine(
    *operations: face.Operation, below: face.Below = face.Below.NONE, share: float = 20.0, **other: object
) -> face.Machine:
    plain = face.Machine(
        cores=4,
        memory_kb=40_000.0,
        run_factor=8.0,
        entry_kb=20.0,
        cold=False,
        cold_speed=0.25,
        ramp=10_000 * MS,
        fall_multiple=8.0,
        grace=2000 * MS,
        tick=2 * MS,
        fleet=5,
        callers=3,
        halt=Halt.DROP,
        advert=face.Advert.WEIGHT,
        heeded=1000 * MS,
        fresh=0,
        longest_pause=1000 * MS,
        over_quota_share=0.1,
        operations=operations or (operation(),),
        customers=(),
        gauges=("cpu_busy", "runnable", "mem_used"),
        dependency=face.Dependency(below, share, 5000 * MS, 200 * MS),
    )
    return replace(plain, **other)  # type: ignore[arg-type]


def any_machine(chance: Random) -> face.Machine:
    below = chance.choice(list(face.Below))
    operations = [
        operation(
            f"op{i}",
            chance.choice(list(Effect)),
            below is not face.Below.NONE and chance.random() < 0.7,
            value=chance.choice([1.0, 3.0, 10.0]),
            late=chance.choice([0.0, 0.2]),
            spare=chance.choice([0.0, 0.5]),
            objective=chance.choice([300, 1500, 4000]),
        )
        for i in range(chance.randint(1, 3))
    ]
    return machine(
        *operations,
        below=below,
        share=chance.choice([0.3, 1.0, 2.5, 30.0]),
        cores=chance.choice([1, 2, 6]),
        callers=chance.choice([3, 900]),
        fleet=chance.choice([5, 300]),
        memory_kb=chance.choice([900.0, 5000.0, 60_000.0]),
        run_factor=chance.choice([2.0, 16.0]),
        cold=chance.random() < 0.4,
        fall_multiple=chance.choice([1.5, 3.0, 8.0]),
        halt=chance.choice(list(Halt)),
        advert=chance.choice(list(face.Advert)),
        fresh=chance.choice([0, 300 * MS]),
        customers=tuple(face.Customer(f"c{i}", 5.0) for i in range(chance.choice([0, 2]))),
    )


@dataclass
class Seen:
    news: face.Arrived
    op: face.Operation
    token: int
    arrived: int
    due: int
    state: str = "held"
    ran: bool = False
    answered: bool = False
    gone: bool = False
    call: Outcome | None = None
    since: int = 0
    entry_until: int = 0
    read: int = 0


@dataclass
class SimulatedServer:
    m: face.Machine
    chance: Random
    now: int = 10**12
    seen: dict[int, Seen] = field(default_factory=dict)
    timers: list[tuple[int, int]] = field(default_factory=list)
    said: list[face.Action] = field(default_factory=list)
    spans: list[tuple[int, int]] = field(default_factory=list)
    """When a call came into the dependency's hands and left them."""
    notice: int = 0
    kill: int = 0
    made: int = 0
    steps: int = 0
    entries: dict[int, tuple[int, int]] = field(default_factory=dict)
    """Of each token or key: which invocation has the entry and until when."""

    def __post_init__(self) -> None:
        self.controller = Controller(self.m, 7)
        self.born = self.now
        self.first = self.step([])

    def of(self, *states: str) -> list[Seen]:
        return [s for s in self.seen.values() if s.state in states]

    def arrive(self, op: int = 0, **other: object) -> face.Arrived:
        spec, chance = self.m.operations[op], self.chance
        unread, token = chance.randint(0, 60) * MS, chance.randint(0, 6)
        holder, until = self.entries.get(op * 100 + token, (0, 0))
        for s in self.seen.values():  # two arriving in one batch are linked without being kept
            if spec.effect is Effect.TOKENED and s.token == op * 100 + token and s.read == self.steps:
                holder, until = s.news.inv, self.now + 1
        known = until > self.now and (spec.effect is Effect.TOKENED or self.m.fresh > 0)
        patience = chance.choice([None, spec.client_timeout, 400 * MS, 5 * MS])
        customer = chance.randrange(len(self.m.customers)) if self.m.customers else -1
        news = face.Arrived(
            self.made,
            op,
            customer,
            patience,
            0.0,
            chance.uniform(5, 60),
            chance.random(),
            True,
            chance.randint(0, 2),
            unread,
            holder if known else None,
        )
        news = replace(news, **other)  # type: ignore[arg-type]
        self.made += 1
        arrived = self.now - news.unread
        due = arrived + spec.client_timeout if news.patience is None else self.now + news.patience
        self.seen[news.inv] = Seen(news, spec, op * 100 + token, arrived, max(due, self.now), read=self.steps)
        return news

    def finish(self, s: Seen, outcome: Outcome = Outcome.SUCCEEDED) -> face.Finished:
        if s.state == "calling":
            self.spans.append((s.since, self.now + self.m.dependency.linger))
        s.state = "over"
        s.answered = s.answered or outcome in (Outcome.SUCCEEDED, Outcome.ERRORED)
        return face.Finished(s.news.inv, outcome, self.now - s.since)

    def end_call(self, s: Seen, outcome: Outcome) -> face.CallEnded:
        linger = self.m.dependency.linger if outcome is Outcome.TIMED_OUT else 0
        self.spans.append((s.since, self.now + linger))
        s.state, s.call = "running" if outcome is Outcome.SUCCEEDED else "at call", outcome
        return face.CallEnded(s.news.inv, outcome, self.now - s.since)

    def any_news(self) -> list[face.Input]:
        """A few pieces of legal news; runs may hang, end early or never, callers may vanish at any moment."""
        chance, news = self.chance, list[face.Input]()
        for _ in range(chance.choice([0, 1, 3, 12])):
            news.append(self.arrive(chance.randrange(len(self.m.operations))))
        for s in list(self.seen.values()):
            roll = chance.random()
            if s.state == "running" and roll < 0.2:
                news.append(self.finish(s, Outcome.SUCCEEDED if roll < 0.15 else Outcome.ERRORED))
            elif s.state == "running" and s.op.calls and roll < 0.4:
                s.state, s.call = "at call", None
                news.append(face.CallWanted(s.news.inv))
            elif s.state == "calling" and roll < 0.3:
                news.append(
                    self.end_call(s, chance.choice([o for o in Outcome if o.value not in ("stopped",)]))
                )
            elif s.state == "waiting" and roll < 0.1:
                news.append(self.finish(s))
            elif s.state != "over" and roll > 0.99 and not s.gone:
                s.gone = True
                news.append(face.CallerGone(s.news.inv))
                if s.state in ("held", "paused", "waiting"):
                    s.state = "over"
            elif (s.state == "at call" or (s.state == "calling" and roll > 0.8)) and (s.answered or s.gone):
                news.append(self.finish(s, Outcome.STOPPED))
        if not self.notice and chance.random() < 0.01:
            news.append(self.leave(chance.randint(300, 6000) * MS))
        return news

    def leave(self, left: int) -> face.Leaving:
        self.notice, self.kill = self.now, self.now + left
        return face.Leaving(left)

    def step(self, news: Sequence[face.Input], forward: int = 0) -> list[face.Action]:
        self.now += forward
        self.steps += 1
        due = [t for t in self.timers if t[0] <= self.now]
        self.timers = [t for t in self.timers if t[0] > self.now]
        busy = len(self.of("running"))
        gauges = [self.chance.choice([None, 0.5, 1.0]), busy if self.chance.random() < 0.8 else None]
        heard = [*news, *(face.TimerFired(name, gauges) for _, name in due)]
        self.said = self.controller.decide(self.now, heard)
        late: list[face.Input] = []
        for action in self.said:
            late += self.apply(action)
        self.check()
        return self.said + (self.step(late) if late else [])

    def apply(self, action: face.Action) -> list[face.Input]:
        m = self.m
        if isinstance(action, face.Wake):
            self.timers.append((self.now + action.after, action.name))
        elif isinstance(action, face.Advertise):
            assert m.advert is not face.Advert.NONE and action.amount >= 0
        inv = getattr(action, "inv", None)
        if inv is None:
            return []
        s = self.seen[inv]
        once = s.op.effect is not Effect.IDEMPOTENT
        if isinstance(action, face.Start):
            assert s.state in ("held", "paused"), "started twice"
            assert not (once and s.ran and s.state == "held"), "a non-idempotent or tokened one ran again"
            if self.notice:
                assert s.arrived <= self.notice + m.grace, "ran what came after the grace"
            for other in self.seen.values() if s.op.effect is Effect.TOKENED else ():
                if other is not s and other.token == s.token and other.ran:
                    assert abs(s.arrived - other.arrived) > s.op.window, (
                        "a tokened one ran twice in its window"
                    )
            s.state, s.ran, s.since = "running", True, self.now
        elif isinstance(action, face.Throttle | face.Fail):
            assert not s.answered, "answered twice"
            assert not (isinstance(action, face.Throttle) and once and s.ran), "turned away after it ran"
            s.answered = True
            if s.state in ("held", "paused", "waiting"):
                s.state = "over"
        elif isinstance(action, face.Halted):
            assert m.halt is not Halt.NONE, "stopped where nothing can be"
            if s.state == "running" and self.chance.random() < 0.8:
                if s.answered or s.gone:
                    return [self.finish(s, Outcome.STOPPED)]
                s.state = "paused" if m.halt is Halt.PAUSE else "held"
                return [face.Finished(inv, Outcome.STOPPED, self.now - s.since)]
        elif isinstance(action, face.PlaceCall):
            if s.state == "at call" and not s.answered and not s.gone:
                assert s.call is None or s.call in PROVEN, "a call repeated without a proof"
                s.state, s.since = "calling", self.now
        elif isinstance(action, face.SkipCall):
            assert s.op.degraded_share > 0
            if s.state == "at call" and not s.answered:
                s.state = "running"
        elif isinstance(action, face.Remember):
            self.entries[s.token] = (inv, self.now + action.ttl)
            s.entry_until = self.now + action.ttl
        elif isinstance(action, face.Forget):
            s.entry_until = 0
            if self.entries.get(s.token, (-1, 0))[0] == inv:
                del self.entries[s.token]
        elif isinstance(action, face.Reuse):
            assert s.news.repeats is not None and s.state in ("held", "over")
            s.state = "waiting" if s.state == "held" else "over"
        return []

    def check(self) -> None:
        m, speed = self.m, 1.0
        live = [s for s in self.seen.values() if s.state != "over"]
        heavy = ("running", "at call", "calling", "paused")
        need = sum(s.news.kb * (m.run_factor if s.state in heavy else 1) for s in live)
        need += sum(m.entry_kb for s in self.seen.values() if s.entry_until > self.now)
        assert need <= m.memory_kb + 1e-6, "out of memory"
        for s in live:
            assert s.answered or s.gone or self.now <= s.due + SLACK, "lost: not answered by its due time"
            assert s.answered or s.gone or not self.kill or self.now < self.kill, (
                "drain: not answered by the kill"
            )
        if m.cold:
            speed = min(1.0, m.cold_speed + (1 - m.cold_speed) * (self.now - self.born) / m.ramp)
        crowd = (1 + (m.fall_multiple - 1) * speed) * m.cores
        assert len(self.of("running")) <= crowd, "too many on the cores"
        if m.dependency.kind is face.Below.SHARED:
            since = self.now - m.dependency.window
            spans = self.spans + [(s.since, self.now) for s in self.of("calling")]
            held = sum(max(0, min(b, self.now) - max(a, since)) for a, b in spans)
            assert held <= m.dependency.share * m.dependency.window + MS, (
                "dependency loaded past this server's share"
            )
