"""What one server takes, runs and turns away. Every decision, table and tuned value of ringshift is here.

Called as `Controller(machine, seed)`, then `decide(now, inputs)` for each batch of news: it returns the
actions in the order they must be carried out; `forgotten` then names the invocations whose indices may be
dropped. Types are in interface.py; the why of it, against its source, is in docs/design.md.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Iterable
from enum import IntEnum
from heapq import heappop, heappush
from math import exp, floor
from random import Random

from ringshift import interface as face
from ringshift.interface import Advert, Below, Effect, Halt, Outcome

MS, S, HOUR = 10**6, 10**9, 3600 * 10**9

BEAT = 50 * MS  # how often an idle instance looks at its gauges and alarms; well under any answer's slack
MEMORY = 8 * S  # how long measurements count: several windows, yet shorter than the troubles they must follow
WINDOW = 1 * S  # the least time the warm test compares
ENOUGH = 30  # completions while work waits, below which a change of their rate is chance
FALLING = 0.95  # latency under this share of the window before still falls
CEILING = 0.6  # share of the survivable crowd that is used: a mean over a window must never reach it
ROOM = 0.9  # share of memory for runs and entries, so that what is read next always fits until it is judged
DOUBT = 3  # more runs of usual length than run, before their age tells that the machine has slowed
HOLD = 0.6  # share of the time an objective leaves beside the run that may be spent held
CALM = 0.3  # share of that under which a short line is no reason to turn anything away
SOUGHT = 0.4  # share of that at which the door is neither opened nor shut further
GAIN = 0.1  # of the way there at each beat: half open after some 0.7 s of a full line, as callers hear late
QUOTA_SPAN = 2 * S  # over which a customer's admitted work is held against its quota
UNEVEN = 1.5  # callers don't spread a customer's work evenly over the fleet
CROWDED = 3  # times the best mean call time, from which on calls are taken to crowd their dependency
FEWER = 0.9  # of the calls in hand that are left after each that was refused
AJAR = 0.3  # a caller that hears nothing for a while forgets what it was told: it must go on trying
PRIOR = 0.15  # share of the objective a run is thought to take while none has been seen
GRACE, TOLD = 3 * S, 0.8  # the document's wait from flag to closed door; share of it with a free value told
LAST = 60 * MS  # before the kill, what still runs is failed
LOST = 0.5  # share of failed calls at which readiness turns bad
RECENT = 4 * S  # calls and runs that are judged by majority: two cores end some three a second
KEPT = 16  # callers a core whose unused connections are taken to fit in the table
HEARD = 8  # calls, or runs in a warm-up window, too few to judge by
PROBE = 0.1  # of what arrives is still run while most runs err, to see when that ends
LEAST = 0.1  # of a run: with a share of none what is held waits as good as for ever, and is turned away
BURST = 0.1  # seconds of a rate's share that may begin at once
RETURN = (1 * S, 3 * S)  # after this long, by chance, a server that saw its dependency fail tries again


# WAITING is on the outcome of the one it repeats, STANDING at a call not placed, ANSWERED yet still running.
State = IntEnum("State", "HELD WAITING RUNNING STANDING CALLING ANSWERED OVER")
# LATE cannot end within its objective; UNRUN is a call proven not to have run, SPARED one to be left out.
News = IntEnum("News", "START REPEAT TURN LATE DUE GONE ENDED WANTS PLACE CALLED UNRUN UNSURE SPARED ERRED")
HELD, RUNNING, ANSWERED, OVER = State.HELD, State.RUNNING, State.ANSWERED, State.OVER

# The specification: states | news | next state | effects. What is missing is news that crossed an answer.
SPECIFICATION = """
HELD                          | START         | RUNNING  | keep begin
HELD                          | REPEAT        | WAITING  | reuse
HELD                          | TURN LATE DUE | OVER     | forget throttle
HELD                          | GONE          | OVER     | forget
WAITING                       | TURN DUE      | OVER     | fail
WAITING                       | GONE          | OVER     |
RUNNING                       | LATE          | ANSWERED | count_run end stop
RUNNING                       | DUE           | ANSWERED | count_run fail stop
RUNNING                       | GONE          | ANSWERED | stop
RUNNING                       | ENDED         | OVER     | count_run
RUNNING                       | ERRED         | OVER     |
RUNNING                       | WANTS         | STANDING | line_up_call
STANDING                      | PLACE         | CALLING  | call
STANDING CALLING              | SPARED        | RUNNING  | called skip
STANDING CALLING              | LATE DUE      | ANSWERED | fail
STANDING CALLING              | GONE          | ANSWERED |
CALLING                       | CALLED        | RUNNING  | called
CALLING                       | UNRUN         | STANDING | line_up_call
CALLING                       | UNSURE        | ANSWERED | fail
ANSWERED                      | LATE DUE      | ANSWERED | stop
HELD WAITING STANDING CALLING ANSWERED | ENDED ERRED | OVER |
"""
TABLE: dict[tuple[State, News], tuple[State, list[str]]] = {
    (State[state], News[name]): (State[row[2].strip()], row[3].split())
    for row in (line.split("|") for line in SPECIFICATION.strip().splitlines())
    for state in row[0].split() for name in row[1].split()
}  # fmt: skip
BEGUN = (RUNNING, ANSWERED, State.STANDING, State.CALLING)
WEIGHTLESS = (HELD, State.WAITING)  # states that need a held invocation's memory, not a running one's
PLAIN_NEWS = {face.Finished: News.ENDED, face.CallerGone: News.GONE, face.CallWanted: News.WANTS}
LOSSES = (Outcome.UNREACHABLE, Outcome.TIMED_OUT, Outcome.BROKEN)
CALL_NEWS = {Outcome.SUCCEEDED: News.CALLED} | dict.fromkeys(
    (Outcome.REJECTED, Outcome.UNREACHABLE, Outcome.MOOT), News.UNRUN)  # fmt: skip
PLAIN: dict[str, Callable[[int], face.Action]] = {
    "begin": face.Start, "fail": face.Fail, "reuse": face.Reuse, "skip": face.SkipCall}  # fmt: skip


class Fading:
    """What was measured, as a sum and a count that fade; brought up to date when read. The mean goes back to
    what was thought before once nothing is seen: a server judged hopeless by old news tries again."""

    def __init__(self, span: int, prior: float = 0.0) -> None:
        self.total, self.count, self.at, self.span, self.prior = 0.0, 0.0, 0, span, prior

    def sum(self, now: int) -> float:
        if now > self.at:
            left = exp((self.at - now) / self.span)
            self.total, self.count, self.at = self.total * left, self.count * left, now
        return self.total

    def add(self, now: int, value: float) -> None:
        self.total, self.count = self.sum(now) + value, self.count + 1

    def mean(self, now: int) -> float:
        return (self.sum(now) + self.prior) / (self.count + 1)


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


class Line:
    """The held invocations of one operation, oldest first, their work in mean runs, and what runs took."""

    def __init__(self, op: face.Operation) -> None:
        self.op, self.work, self.turn, self.weight = op, 0.0, 0.0, max(op.billed_value, 0.01)
        self.queue: deque[Inv] = deque()
        self.missed = Fading(QUOTA_SPAN)
        self.run, self.core, self.hint = (Fading(MEMORY, op.objective * p) for p in (PRIOR, PRIOR, 0.0))


class Inv:
    def __init__(self, news: face.Arrived, line: Line, now: int) -> None:
        op = line.op
        self.id, self.line, self.kb, self.rank = news.inv, line, news.kb, news.rank
        self.arrived = now - news.unread
        self.due = self.arrived + op.client_timeout if news.patience is None else now + news.patience
        stretch = round(op.objective_stretch * (news.cost * MS if news.cost else line.run.mean(now)))
        self.goal = min(self.arrived + op.objective + stretch, self.due)
        line.hint.add(now, news.cost)
        self.size = news.cost * line.hint.count / line.hint.total if news.cost else 1.0
        self.state, self.keyed_read = HELD, news.keyed_read
        self.started = self.called = self.placed = self.call_by = self.calls = 0


class Controller:
    def __init__(self, machine: face.Machine, seed: int) -> None:
        self.machine, self.random, self.now, self.born = machine, Random(seed), 0, -1
        self.invs, self.at_call = dict[int, Inv](), deque[Inv]()
        self.lines, self.count = [Line(op) for op in machine.operations], dict.fromkeys(State, 0)
        self.alarms: list[tuple[int, int, int, News]] = []
        self.call_time, self.call_best = Fading(MEMORY), float(HOUR)
        self.spent, self.at_disk = Fading(max(machine.dependency.window, 1)), Fading(4 * MEMORY)
        shared = machine.dependency.kind is Below.SHARED
        self.call_cap = self.call_most = max(machine.dependency.share, 1.0) if shared else 8.0 * machine.cores
        self.admitted = [Fading(QUOTA_SPAN) for _ in machine.customers]
        self.same_caller, self.last_caller = Fading(MEMORY, 1 / max(machine.callers, 1)), -1
        self.limit, self.open, self.unread = float(machine.cores), 1.0, Fading(1 * S)
        self.step, self.tried, self.last_rate, self.warm, self.warm_at = 1, 0, 0.0, not machine.cold, 0
        self.room, self.entries, self.lingering = ROOM * machine.memory_kb, list[int](), list[int]()
        self.silent_at = self.memory = self.turn = self.warm_sum = self.warm_last = 0.0
        self.window_span = self.window_done = self.done = self.sum_started = self.warm_runs = 0
        self.leaving_at = self.kill_at = self.lost_until = self.call_after = self.calls_out = self.ages = 0
        self.calls_lost, self.runs_lost, self.wanted = (Fading(RECENT) for _ in range(3))
        self.shown, self.advertised, self.full, self.slowed = (True, False, False), -1.0, False, 1.0
        self.rations = dict[tuple[face.Unit, int], Ration]()
        self.tries = dict[tuple[face.Unit, int], int]()  # wished for since the last look

    def decide(self, now: int, inputs: Iterable[face.Input]) -> list[face.Action]:
        self.now, self.out, self.forgotten = now, list[face.Action](), list[int]()
        if self.born < 0:
            self.born = self.warm_at = now
            self.out.append(face.Wake(0, BEAT))
            self.show()
        for news in inputs:
            HANDLERS[type(news)](self, news)
        self.ring()
        self.make_room()
        self.fill()
        return self.out

    def step_to(self, inv: Inv, news: News) -> bool:
        old = inv.state
        if (old, news) not in TABLE:
            return False
        state, effects = TABLE[old, news]
        if state is not old:
            self.count[old] -= 1
            self.count[state] += 1
            self.memory += self.weight(inv, state) - self.weight(inv, old)
            inv.state = state
            inv.line.work -= inv.size * (old is HELD)
            if old is RUNNING:
                self.sum_started -= inv.started
            if state is RUNNING:
                inv.started = inv.started or self.now
                self.sum_started += inv.started
        for effect in effects:
            if effect in PLAIN:
                self.out.append(PLAIN[effect](inv.id))
            else:
                getattr(self, effect)(inv)
        if state is OVER:
            self.call_over(inv, lingers=True)
            del self.invs[inv.id]
            self.forgotten.append(inv.id)
        return True

    def weight(self, inv: Inv, state: State) -> float:
        return inv.kb * (0 if state is OVER else 1 if state in WEIGHTLESS else self.machine.run_factor)

    # What an effect does beside the change of state.

    def forget(self, inv: Inv) -> None:
        if inv.line.op.effect is Effect.TOKENED:
            self.out.append(face.Forget(inv.id))

    def keep(self, inv: Inv) -> None:
        if self.machine.fresh and inv.line.op.effect is Effect.IDEMPOTENT and inv.keyed_read:
            self.remember(inv, self.machine.fresh + inv.line.op.objective)

    def throttle(self, inv: Inv) -> None:
        """A door long half shut tells of a fleet without room: the next server would read it in vain. By
        chance, as a server that is slow alone shuts its door as well, and others could run it."""
        if self.rations and self.limited() < self.limit:
            inv.line.missed.add(self.now, 1.0)
        longest, late = self.machine.longest_pause, self.now + self.latest(inv) > inv.goal
        give_up = not self.leaving_at and (late or self.random.random() > self.open**2)
        excess = max(round(self.wait() - CALM * min(map(self.patience, self.lines))), 0)
        pause = longest if self.leaving_at else 0 if late else min(excess, longest)
        self.out.append(face.Throttle(inv.id, pause, give_up))

    def end(self, inv: Inv) -> None:
        """An error is tried again in vain; an idempotent one may be turned away with the wish not to."""
        safe = inv.line.op.effect is Effect.IDEMPOTENT
        self.out.append(face.Throttle(inv.id, 0, True) if safe else face.Fail(inv.id))

    def stop(self, inv: Inv) -> None:
        # While the cores stand still a stop does nothing: it is tried again until the run is gone.
        if self.machine.halt is not Halt.NONE:
            self.out.append(face.Halted(inv.id))
            self.alarm(self.now + 4 * BEAT, inv, News.LATE)

    def line_up_call(self, inv: Inv) -> None:
        inv.called = inv.called or self.now
        self.at_call.append(inv)

    def call(self, inv: Inv) -> None:
        inv.placed, self.calls_out = self.now, self.calls_out + 1
        useful = inv.due - BEAT if inv.line.op.late_share else min(inv.goal, inv.due - BEAT)
        self.out.append(face.PlaceCall(inv.id, min(useful, inv.call_by)))

    def called(self, inv: Inv) -> None:
        inv.calls, inv.called = inv.calls + self.now - inv.called, 0

    def call_over(self, inv: Inv, lingers: bool) -> None:
        """A call stays in the dependency's hands until it ends, also where its invocation was answered."""
        if inv.placed:
            linger = self.machine.dependency.linger * lingers
            self.spent.add(self.now, self.now - inv.placed + linger)
            heappush(self.lingering, self.now + linger)
            self.calls_out, inv.placed = self.calls_out - 1, 0

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

    def wait(self, line: Line | None = None) -> float:
        """How long what is held takes to get to the cores beside what fits on free ones, or a line's last:
        it waits only for what the weight of other lines lets go before it."""
        if not (held := self.count[HELD]):
            return 0.0
        limit = self.limited()
        beyond = max(held - max(limit - self.on_cores(), 0), 0) / held
        turns = line.work * line.core.mean(self.now) / line.weight if line else HOUR
        work = beyond * sum(min(x.work * x.core.mean(self.now), turns * x.weight) for x in self.lines)
        return work * self.slowness() * (1 - self.at_disk.mean(self.now)) / limit

    def patience(self, line: Line) -> float:
        """How long work may be held before the line's objective is in danger."""
        objective, run = line.op.objective, line.run.mean(self.now) * self.slowness()
        return max(objective - run, objective * 0.1) * HOLD

    def level(self, line: Line) -> float:
        """The rank under which work is turned away: 0 with a short line, 1 where it eats the objective."""
        return min(max(w / self.patience(line) - CALM, 0.0) / (1 - CALM), 1) if (w := self.wait(line)) else 0

    def crowd(self) -> float:
        """The most the cores survive, as slow as the settings allow them to be by now."""
        machine, warmed = self.machine, (self.now - self.born) / self.machine.ramp
        cold = (1 - machine.cold_speed) * max(1 - warmed, 0) if machine.cold else 0.0
        return (1 + (machine.fall_multiple - 1) * (1 - cold)) * machine.cores

    def on_granted(self, news: face.Granted) -> None:
        ration = self.rations.setdefault((news.unit, news.operation), Ration(news))
        ration.news = news

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

    def demand(self, unit: face.Unit, operation: int = -1) -> tuple[float, float]:
        """In use, and wished for beside it: of calls how many, of rates those since the last look."""
        if unit is not face.Unit.CALLS:
            return 0.0, float(self.tries.pop((unit, operation), 0))
        if self.machine.dependency.kind is Below.SHARED:
            return float(self.calls_out + len(self.lingering)), float(len(self.at_call))
        # What was turned away beside a small share was wanted as well: so many a second, for a run each.
        missed = sum(line.missed.sum(self.now) * line.run.mean(self.now) for line in self.lines) / QUOTA_SPAN
        return float(sum(self.count[s] for s in BEGUN)), self.count[HELD] + missed

    def limited(self) -> float:
        """What may run at once: the learned limit, or a smaller share of what all runs of the fleet call."""
        if self.machine.dependency.kind is Below.SHARED:
            return self.limit
        return min(self.limit, max(self.bound(), LEAST))

    def may_run(self) -> bool:
        """Those at calls come back when they like: all together stay under what the cores survive. Where no
        call is told of, each run is one at what the fleet shares."""
        begun = sum(self.count[s] for s in BEGUN)
        if self.machine.dependency.kind is not Below.SHARED and begun + 1 > self.bound():
            return False
        room = max(floor(ROOM * self.crowd()), self.machine.cores) - begun
        return room > 0 and self.on_cores() + 0.5 < self.limit

    def on_arrived(self, news: face.Arrived) -> None:
        now, line = self.now, self.lines[news.operation]
        self.invs[news.inv] = inv = Inv(news, line, now)
        self.count[HELD], line.work = self.count[HELD] + 1, line.work + inv.size
        self.same_caller.add(now, news.caller == self.last_caller)
        self.unread.add(now, min(news.unread, line.op.objective))
        self.memory, self.last_caller = self.memory + inv.kb, news.caller
        if self.closed(inv):
            self.step_to(inv, News.TURN)
        elif news.repeats is not None and (line.op.effect is Effect.TOKENED or self.machine.fresh):
            self.step_to(inv, News.REPEAT)
            self.alarm(inv.due - BEAT, inv, News.DUE)
        elif self.lost(self.runs_lost) and self.random.random() > PROBE:
            # A server whose runs err at once looks the quickest of all and would draw the fleet's work.
            self.step_to(inv, News.TURN)
        elif now >= inv.due - BEAT or (not line.op.late_share and now + self.latest(inv) > inv.goal):
            self.step_to(inv, News.LATE)
        elif (self.worth_rank(inv, news) < self.level(line) or inv.kb * self.machine.run_factor > self.room
              or self.rationed(face.Unit.RATE, news.operation)):  # last: it takes a token
            self.step_to(inv, News.TURN)
        else:
            if news.customer >= 0:
                self.admitted[news.customer].add(now, 1.0)
            if line.op.effect is Effect.TOKENED and not self.remember(inv, line.op.window):
                self.step_to(inv, News.TURN)
                return
            line.turn = max(line.turn, self.turn)
            line.queue.append(inv)
            self.alarm(inv.due - BEAT, inv, News.DUE)
            if line.op.late_share == 0:
                self.alarm(inv.goal - self.latest(inv), inv, News.LATE)

    def worth_rank(self, inv: Inv, news: face.Arrived) -> float:
        """A customer beyond its part of the fleet's quota ranks as what its traffic is worth there."""
        if news.customer < 0:
            return inv.rank
        part = self.machine.customers[news.customer].quota_per_s / self.machine.fleet * QUOTA_SPAN / S
        over = self.admitted[news.customer].sum(self.now) > UNEVEN * part + 1
        return inv.rank * self.machine.over_quota_share if over else inv.rank

    def closed(self, inv: Inv) -> bool:
        late = inv.arrived > self.leaving_at + min(self.machine.grace, GRACE)
        return self.leaving_at > 0 and (late or self.now + self.latest(inv) >= self.kill_at - LAST)

    def remember(self, inv: Inv, ttl: int) -> bool:
        if self.memory + self.machine.entry_kb > self.room:
            return False
        self.out.append(face.Remember(inv.id, ttl))
        self.memory += self.machine.entry_kb
        heappush(self.entries, self.now + ttl)
        return True

    def on_plain(self, news: face.Finished | face.CallerGone | face.CallWanted) -> None:
        if inv := self.invs.get(news.inv):
            moot, erred = (getattr(news, "outcome", None) is o for o in (Outcome.MOOT, Outcome.ERRORED))
            if not moot:  # what never ran tells nothing of runs: a bad client's requests all end so
                self.runs_lost.add(self.now, erred)
            self.step_to(inv, News.ERRED if moot or erred else PLAIN_NEWS[type(news)])

    def on_call_ended(self, news: face.CallEnded) -> None:
        self.calls_lost.add(self.now, news.outcome in LOSSES)
        if news.outcome is Outcome.SUCCEEDED and not self.crowded(news.latency):
            self.call_cap = min(self.call_cap + 1 / self.call_cap, self.call_most)
        elif news.outcome is not Outcome.ERRORED:
            self.call_cap = max(self.call_cap * FEWER, 1.0)
            if news.outcome in CALL_NEWS:
                # Refused calls come back at once and would be placed again every tick.
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
        if self.call_time.count >= HEARD:
            self.call_best = min(self.call_best, mean)
        return mean > CROWDED * self.call_best

    def on_leaving(self, news: face.Leaving) -> None:
        self.leaving_at, self.kill_at = self.now, self.now + news.left
        self.silent_at = self.now + min(self.machine.grace, GRACE) * TOLD  # what is sent till then is run
        self.out.append(face.Log(f"leaving: {len(self.invs)} in hand, {news.left // MS} ms left"))
        self.show()

    def on_timer(self, news: face.TimerFired) -> None:
        self.out.append(face.Wake(0, BEAT))
        self.learn(dict(zip(self.machine.gauges, news.gauges, strict=False)).get("runnable"))
        for look in (self.invite, self.warm_up, self.watch_dependency, self.show):
            look()

    def learn(self, runnable: float | None) -> None:
        waits, running = self.count[HELD] > 0, self.count[RUNNING]
        cores, wanting = self.machine.cores, self.machine.cores if runnable is None else runnable
        self.wanted.add(self.now, wanting)
        if 2 * running >= cores and wanting <= running:
            self.at_disk.add(self.now, 1 - wanting / running)
        if waits and self.on_cores() + 0.5 >= self.limit and wanting < cores and self.slowness() <= 1.0:
            # Cores idle while work waits: runs wait for disk, which no event tells.
            self.limit += 1
        elif wanting > 2 * cores:
            # Even if each core reads, more runs than cores want one: the machine slowed or its waits ended.
            self.limit -= 1
        if waits:
            self.window_span, self.window_done = self.window_span + BEAT, self.window_done + self.done
        self.done = 0
        if self.window_done >= ENOUGH:
            rate = self.window_done * S / self.window_span
            if rate <= self.last_rate:
                self.limit, self.step = self.limit - self.tried, -self.step
            # At the floor a step down is none, and none is taken back: that once raised the limit by two.
            self.last_rate, self.tried = rate, max(self.step, round(cores - self.limit))
            self.limit += self.tried
            self.window_span = self.window_done = 0
        self.limit = max(min(self.limit, floor(CEILING * self.crowd())), float(self.machine.cores))

    def invite(self) -> None:
        """How far the door stands open to callers, in steps by ratio: where each may go elsewhere, all doors
        must be nearly shut before one gives up. What lies unread counts, as reading it is paid for."""
        pressure = min((self.wait() + self.unread.mean(self.now)) / min(map(self.patience, self.lines)), 2.0)
        self.open = min(max(self.open * (1 + GAIN * (SOUGHT - pressure)), AJAR), 1.0)

    def warm_up(self) -> None:
        age, few = self.now - self.born, self.warm_runs < HEARD
        # Few cores end few runs in a window: it lasts while any run, and nobody sends once none does.
        short = self.now - self.warm_at < WINDOW or (few and self.count[RUNNING] and age < self.machine.ramp)
        if self.warm or short:
            return
        mean = self.warm_sum / max(self.warm_runs, 1)
        if few or age >= self.machine.ramp or 0 < FALLING * self.warm_last <= mean:
            self.warm = True
            self.out.append(face.Log(f"warm after {age // MS} ms{', too few runs to judge' * few}"))
        self.warm_at, self.warm_last, self.warm_sum, self.warm_runs = self.now, mean, 0.0, 0

    def lost(self, kind: Fading) -> bool:
        return kind.sum(self.now) > LOST * kind.count and kind.count >= HEARD

    def watch_dependency(self) -> None:
        bad = self.lost(self.calls_lost) or self.lost(self.runs_lost)
        if bad and self.now >= self.lost_until:
            self.out.append(face.Log("not ready: most recent calls or runs fail"))
            self.lost_until = self.now + self.random.randint(*RETURN)
        elif 0 < self.lost_until <= self.now:
            self.lost_until = 0
            self.out.append(face.Log("ready again: calls and runs end well, or are few"))

    def alarm(self, at: int, inv: Inv, news: News) -> None:
        heappush(self.alarms, (at, inv.id, news.value, news))

    def ring(self) -> None:
        while self.entries and self.entries[0] + 20 * MS <= self.now:
            heappop(self.entries)
            self.memory -= self.machine.entry_kb
        while self.lingering and self.lingering[0] <= self.now:
            heappop(self.lingering)
        if self.leaving_at and self.now >= self.kill_at - LAST - BEAT:
            for left in list(self.invs.values()):
                self.step_to(left, News.DUE)
        while self.alarms and self.alarms[0][0] <= self.now:
            _, index, _, news = heappop(self.alarms)
            inv = self.invs.get(index)
            if inv and news is News.LATE and inv.state is RUNNING and self.now < inv.goal:
                self.alarm(inv.goal, inv, News.LATE)
            elif inv:
                self.step_to(inv, news)

    def make_room(self) -> None:
        """What was just read can overfill the memory; the newest of the least worth goes first."""
        while self.memory > self.machine.memory_kb or len(self.invs) > self.machine.in_hand:
            if not (light := [inv for inv in reversed(self.invs.values()) if inv.state in WEIGHTLESS]):
                return
            self.step_to(min(light, key=lambda inv: inv.rank), News.TURN)

    def fill(self) -> None:
        while self.at_call and (room := self.call_room()) > BEAT:
            self.at_call[0].call_by = self.now + room
            self.step_to(self.at_call.popleft(), News.PLACE)
        while self.may_run() and (inv := self.next_held()):
            if self.memory + inv.kb * (self.machine.run_factor - 1) > self.room:
                break
            inv.line.queue.popleft()
            self.turn = inv.line.turn
            inv.line.turn += inv.line.core.mean(self.now) / inv.line.weight
            self.step_to(inv, News.START)

    def next_held(self) -> Inv | None:
        for line in self.lines:
            while line.queue and not self.useful(line.queue[0]):
                line.queue.popleft()
        best = min((line for line in self.lines if line.queue), key=lambda line: line.turn, default=None)
        return best.queue[0] if best else None

    def useful(self, inv: Inv) -> bool:
        """Work that cannot end within its objective is not begun, unless late work earns and little waits."""
        vain = not inv.line.op.late_share or self.level(inv.line) > 0
        if inv.state is HELD and self.closed(inv):
            self.step_to(inv, News.TURN)
        elif vain and self.now + self.latest(inv) > inv.goal and inv.state is HELD:
            self.step_to(inv, News.LATE)
        return inv.state is HELD

    def call_room(self) -> int:
        """How long one more call may take. A share of one or more bounds the calls in hand; under one, a
        fading sum of their time does, which never shows less than 1/e of what the window holds."""
        below, held = self.machine.dependency, self.calls_out + len(self.lingering)
        if held + 1 > min(self.call_cap, self.bound()) or self.now < self.call_after:
            return 0
        if below.kind is not Below.SHARED or below.share >= 1:
            return HOUR
        return round(below.share * below.window - exp(1) * self.spent.sum(self.now) - below.linger)

    def show(self) -> None:
        good = self.warm and not self.leaving_at and not self.lost_until
        # Each caller checks, so what checks cost grows with the fleet; while runs hang checks shall hang too.
        # A full table turns callers back unseen: that is welcome while cores are wanted, not while some idle.
        spare = self.machine.callers > KEPT * self.machine.cores > KEPT * (self.wanted.mean(self.now) + 0.5)
        shown = (good, not good or self.slowness() < 2, spare)
        if shown != self.shown:
            self.shown = shown
            self.out += [face.Readiness(*shown[:2]), face.CloseIdle(RECENT * spare)]
        if (min(map(self.level, self.lines)) >= 1) != self.full:
            self.full = not self.full
            self.out.append(face.Log("overload: line full" if self.full else "overload: line open"))
        share, kind = 0.0 if 0 < self.silent_at <= self.now else self.open, self.machine.advert
        amount = self.credit(share) if kind is Advert.CREDIT else 1 - share if kind is Advert.LEVEL else share
        if kind is not Advert.NONE and abs(amount - self.advertised) > 0.1 * max(amount, self.advertised):
            self.advertised = amount
            self.out.append(face.Advertise(amount))

    def credit(self, share: float) -> float:
        """A caller's part of what is run and held; one that comes twice in a row tells how many. Dealt in
        turn none does, yet they are no more than told. A part under one has callers skip idle servers."""
        mean = sum(line.core.mean(self.now) for line in self.lines) / len(self.lines)
        total = self.limited() * (1 + min(map(self.patience, self.lines)) / mean)
        total += self.count[State.STANDING] + self.count[State.CALLING]
        return share * max(2 * total * max(self.same_caller.mean(self.now), self.same_caller.prior), 1.0)


HANDLERS: dict[type, Callable[..., None]] = dict.fromkeys(PLAIN_NEWS, Controller.on_plain) | {
    face.Arrived: Controller.on_arrived, face.CallEnded: Controller.on_call_ended,
    face.Leaving: Controller.on_leaving, face.TimerFired: Controller.on_timer,
    face.Granted: Controller.on_granted}  # fmt: skip
