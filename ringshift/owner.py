"""The one greenlet that holds the module. Socket code reaches it through its queue only.

It takes all that the queue holds as one batch, adds the timers that are due, calls `decide` once and carries
the actions out in their order. It never waits on a socket.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, replace
from heapq import heappop, heappush
from itertools import count
from typing import Any

from gevent.event import Event
from gevent.queue import Empty, Queue
from loguru import logger

from ringshift import interface as face
from ringshift.control import Controller
from ringshift.machine import NS_PER_MS
from ringshift.ports import Commands, Rulings, Shared, Unruled
from ringshift.records.watch import AWAY, ERRORED, GONE, RULED, SUCCEEDED, THROTTLED, Unwatched, Watch
from ringshift.runtime.bounds import Bounds
from ringshift.runtime.clock import Clock
from ringshift.runtime.logs import counted
from ringshift.store.finished_jobs import FinishedJobs
from ringshift.store.invocations import Invocation, Invocations, Try
from ringshift.store.keyed import KeyedResults, RunFailed, entry_kb, keyed_operations
from ringshift.store.results import Results
from ringshift.wire import calls, news
from ringshift.wire.news import Door, News

MS = NS_PER_MS
GAUGES_IN = 20 * MS  # a timer waits this long for its gauges; after that they are told as not known
CHECK_IN = 1000 * MS  # a deep check whose work does not come back fails
MOST_CHECKS = 64
SHARES_EVERY = 20 * MS  # between two looks at the fleet-wide budgets' shares, where there are any
STOOD = 100 * MS  # between two steps, which come at every beat of 50 ms: the process did not run
QUIET = 300 * MS  # leaving early is safe when nothing has come for this long after the grace

OUTCOMES = {
    "good": face.Outcome.SUCCEEDED,
    "bad": face.Outcome.ERRORED,
    "cut": face.Outcome.STOPPED,
    "gone": face.Outcome.MOOT,
}


@dataclass(frozen=True, slots=True)
class DeepCheck:
    """A health check that waits for the agent's work; nanoseconds."""

    door: Door
    request: int
    until: int


class Owner:
    def __init__(
        self,
        machine: face.Machine,
        bounds: Bounds,
        deep_checks: bool,
        seed: int,
        clock: Clock,
        agent: Commands,
        ready: Callable[[bool], None],
        idle: Callable[[int], None],
        watch: Watch | None = None,
    ) -> None:
        # Whom to turn away where the program itself holds too much is the module's to say.
        self.machine = replace(machine, in_hand=bounds.in_hand, entry_kb=entry_kb(machine, bounds))
        self.deep_checks, self.seed, self.clock = deep_checks, seed, clock
        self.agent, self.ready, self.idle = agent, ready, idle
        self.watch = watch or Unwatched()
        self.shared: list[Shared] = []
        self.rulings: Rulings | Unruled = Unruled()
        self.queue: Queue[News] = Queue(bounds.news)
        self.controller: Controller | None = None
        self.invocations, self.results = Invocations(), Results(machine.fresh, bounds.results)
        self.keyed = KeyedResults(keyed_operations(machine), bounds.results)
        self.timers: list[tuple[int, int, Callable[[Any], None], Any]] = []
        self.order, self.refs = count(), count(1)
        self.sampled_for: dict[str, int] = {}  # sample -> the module's timer that waits for it
        self.checks: dict[str, DeepCheck] = {}
        self.checks_watched = False
        """Whether a timer waits for the oldest check: one for all, as answered ones would leave theirs."""
        self.mark = self.confirmed = 0
        self.barrier = 0  # the sample whose answer comes after all notices that a new link still had to tell
        self.longest = max(op.client_timeout for op in machine.operations)
        self.finished_jobs = FinishedJobs(self.longest, bounds.finished_jobs)
        self.health, self.fields = (True, False), dict[str, str]()
        self.inputs: list[face.Input] = []
        self.leaving_at = self.heard = self.again_from = 0
        self.stepped = self.stood_from = self.stood_until = 0
        self.settled = Event()

    def post(self, item: News) -> None:
        """For socket code: waits while the queue is full, which slows reading down."""
        self.queue.put(item)

    def beat(self, due: int) -> None:
        """In every phase, also where nothing comes: how late it is tells how long this process stood."""
        now = self.clock.now()
        self.watch.beat(now, now - due, self.controller)
        self.timer(now + self.watch.every, self.beat, now + self.watch.every)

    def run(self) -> None:
        if self.watch.every:
            self.beat(self.clock.now())
        while True:
            self.step(self.wait())

    def wait(self) -> list[News]:
        batch: list[News] = []
        left = (self.timers[0][0] - self.clock.now()) / 1e9 if self.timers else None
        try:
            if left is None or left > 0:
                batch.append(self.queue.get(timeout=left))
            while True:
                batch.append(self.queue.get_nowait())
        except Empty:
            return batch

    def step(self, batch: list[News]) -> None:
        self.look_whether_stood()
        for item in batch:
            HEARD[type(item)](self, item)
        while self.timers and self.timers[0][0] <= self.clock.now():
            _, _, due, what = heappop(self.timers)
            due(what)
        if self.controller is None:
            if self.leaving_at:
                self.settled.set()
            return
        while self.inputs:  # a reuse ends at once, which is news again
            self.decide(self.clock.now())
        self.look_whether_settled()

    def look_whether_stood(self) -> int:
        """The moment, and a note of the last stretch without a step."""
        now = self.clock.now()
        if self.controller is not None and now > self.stepped + STOOD:
            self.stood_from, self.stood_until = self.stepped, now
        self.stepped = now
        return now

    def decide(self, now: int) -> None:
        assert self.controller is not None
        inputs, self.inputs = self.inputs, []
        for action in self.controller.decide(now, inputs):
            CARRY_OUT[type(action)](self, action)
        for index in self.controller.forgotten:
            inv = self.invocations.drop(index)
            if inv is not None and inv.may_have_run and self.runs_once(inv.operation, inv.key):
                self.finished_jobs.add(inv.job, now)
            self.end_repeats(self.results.dropped(index) + self.keyed.dropped(index), None)
            if inv is not None and inv.state in (Try.HELD, Try.LAUNCHED):
                counted.warn("invocation forgotten without an answer", "errored")
                self.answer(inv, calls.errored(inv.request, self.fields), ERRORED)

    def answer(self, inv: Invocation, data: bytes, how: int) -> bool:
        if told := self.invocations.answer(inv, data):
            self.watch.answered(inv.operation, how)
            self.rulings.ended(inv.operation, inv.caller, how)
        return told

    def succeed(self, inv: Invocation, result: bytes) -> None:
        warning = self.rulings.fields(inv.operation, inv.caller)
        fields = {**self.fields, **warning} if warning else self.fields
        inv.door.note_served()
        # Counted only once it was handed to the connection: who was not warned must not be shed for it.
        if self.answer(inv, calls.succeeded(inv.request, fields, result), SUCCEEDED) and warning:
            self.rulings.answered(inv.operation, inv.caller)

    def timer(self, at: int, due: Callable[[Any], None], what: Any) -> None:
        heappush(self.timers, (at, next(self.order), due, what))

    def look_whether_settled(self) -> None:
        if self.leaving_at and not self.invocations.owed:
            now = self.clock.now()
            if now > self.leaving_at + self.machine.grace and now > self.heard + QUIET:
                self.settled.set()

    # What is heard.

    def drain(self, stop: int, least: int) -> int:
        """Called as the notice is heard, before anything that came meanwhile is read; when the kill follows,
        `stop` after the notice and no sooner than `least` from now. The notice waits unheard while this
        process is paused: the last stretch without a step tells when it came at the earliest."""
        now = self.look_whether_stood()
        came = self.stood_from if now <= self.stood_until + STOOD else now
        kill_at = max(came + stop, now + min(stop, least))
        self.leaving_at = now
        for one in self.shared:
            one.leaving()
        if self.controller is not None:
            self.inputs.append(face.Leaving(kill_at - now, now - came))
        return kill_at

    def on_called(self, item: news.Called) -> None:
        self.heard = self.clock.now()
        if self.controller is None:
            item.door.send(item.request, calls.throttled(item.request, self.fields, 0, False))
            return
        if wrong := self.wrong_job(item):
            counted.warn("request answered as errored", wrong)
            item.door.send(item.request, calls.errored(item.request, self.fields, 400))
            return
        inv = self.invocations.add(
            item.job, item.operation, item.body, item.door, item.request, item.item, item.caller, item.key
        )
        unread = self.clock.since(item.came)
        self.watch.arrived(item, unread)
        self.inputs.append(
            face.Arrived(
                inv=inv.index,
                operation=item.operation,
                customer=-1,
                patience=self.patience(item, unread),
                cost=0.0,
                kb=item.kb,
                rank=item.rank,
                keyed_read=bool(item.item),
                caller=item.caller,
                unread=unread,
                repeats=self.original(inv, unread),
                lot=self.rulings.lot(item.operation, item.caller),
            )
        )

    def wrong_job(self, item: news.Called) -> str:
        """Why its id can't be taken, empty where it can: each try has an id of its own."""
        if item.job in self.invocations.by_job:
            return "job id in use"
        if self.runs_once(item.operation, item.key) and item.job in self.finished_jobs:
            return "job id of a request that has run"
        return ""

    def runs_once(self, operation: int, key: str) -> bool:
        """Whether a request must not run twice and only its id tells that it comes again."""
        if self.machine.operations[operation].effect is face.Effect.IDEMPOTENT:
            return False
        return not (key and self.keyed.concerns(operation))

    def patience(self, item: news.Called, unread: int) -> int | None:
        """How long its sender still waits, None where that is not told. No client waits longer than its
        operation's time-out in all: what tells more must not be held, with its memory, for as long."""
        if item.allow is None:
            return None
        return max(min(item.allow, self.machine.operations[item.operation].client_timeout) - unread, 0)

    def original(self, inv: Invocation, unread: int) -> int | None:
        """Of which invocation this one is a repeat."""
        now = self.clock.now()
        if self.keyed.concerns(inv.operation):
            return self.keyed.original(inv, now, unread)
        return self.results.original(inv, now)

    def on_checked(self, item: news.Checked) -> None:
        good, stored = self.health
        if not good or stored or not item.deep or not self.deep_checks or self.controller is None:
            item.door.send(item.request, calls.checked(item.request, self.fields, good))
        elif len(self.checks) >= MOST_CHECKS:
            item.door.send(item.request, calls.checked(item.request, self.fields, False))
        else:
            ref = f"check-{next(self.refs)}"
            self.checks[ref] = check = DeepCheck(item.door, item.request, self.clock.now() + CHECK_IN)
            self.agent.exercise(ref)
            if not self.checks_watched:
                self.checks_watched = True
                self.timer(check.until, self.end_late_checks, None)

    def end_late_checks(self, _: None) -> None:
        """The oldest come first, as all have the same time."""
        now = self.clock.now()
        for ref in [ref for ref, check in self.checks.items() if check.until <= now]:
            self.end_check(news.Exercised(ref, False))
        oldest = next(iter(self.checks.values()), None)
        self.checks_watched = oldest is not None
        if oldest is not None:
            self.timer(oldest.until, self.end_late_checks, None)

    def end_check(self, item: news.Exercised) -> None:
        check = self.checks.pop(item.ref, None)
        if check is not None:
            good = item.good and self.health[0]
            check.door.send(check.request, calls.checked(check.request, self.fields, good))

    def on_caller_left(self, item: news.CallerLeft) -> None:
        inv = self.invocations.caller_left(item.door, item.request)
        if inv is not None:
            self.watch.answered(inv.operation, GONE)
            self.inputs.append(face.CallerGone(inv.index))

    def on_greeted(self, item: news.Greeted) -> None:
        now = self.clock.now()
        if self.controller is None and self.leaving_at:
            return  # it never served and is settled: all is turned away, also what comes after the grace
        if self.controller is None:
            self.controller = Controller(replace(self.machine, cold=item.cold), self.seed)
            start = "cold" if item.cold else "warm"
            logger.info("agent greeted after {} ms, {} start", item.took // MS, start)
            self.watch.greeted(item.cold, item.took)
            self.decide(max(now - item.took, 0))  # it warms since its own start
            if self.shared:
                self.look_at_shares(now)
            self.ready(self.health[0])
        else:
            logger.info("agent's link made anew")
            self.again_from = self.confirmed
            self.barrier = int(self.sample())
            for ref in self.checks:
                self.agent.exercise(ref)  # lost with the link it would answer bad after a second

    def look_at_shares(self, now: int) -> None:
        assert self.controller is not None
        for one in self.shared:
            self.inputs += one.granted(self.clock.now(), self.controller)
        self.timer(now + SHARES_EVERY, self.look_at_shares, now + SHARES_EVERY)

    def sample(self) -> str:
        self.mark = next(self.refs)
        self.agent.sample(str(self.mark))
        return str(self.mark)

    def on_sampled(self, item: news.Sampled) -> None:
        self.watch.sampled(item.gauges)
        self.end_timer(item.ref, item.gauges)
        ref = int(item.ref) if item.ref.isascii() and item.ref.isdigit() and len(item.ref) < 19 else 0
        if not max(self.barrier, 1) <= ref <= self.mark:
            return  # until the barrier, an answer on this link tells nothing of what the last one took along
        self.confirmed = max(self.confirmed, ref)
        if ref == self.barrier:
            self.barrier = 0
            self.repeat_launches(ref)
            self.timer(self.clock.now() + self.longest, self.give_runs_up, ref)

    def repeat_launches(self, before: int) -> None:
        """All that ended meanwhile has been told: what is neither that nor known to have been read is sent
        again. Its run may end as it is on its way, and then it would run twice: what must not is sent again
        only if it was never sent."""
        for inv in list(self.invocations):
            if not (inv.launched and self.again_from <= inv.mark < before):
                continue
            if inv.unsent and inv.over:
                self.on_run_ended(news.RunEnded(inv.job, "gone", 0, b""))
            elif inv.unsent or self.machine.operations[inv.operation].effect is face.Effect.IDEMPOTENT:
                self.launch(inv)

    def give_runs_up(self, before: int) -> None:
        """Long after a new link told all it held, runs of before that nobody waits for are taken to be over:
        their ends were lost, with a restarted agent or beyond the notices that it keeps, or they never
        began. They would count against memory and cores for ever."""
        left = [inv for inv in self.invocations if inv.launched and inv.mark < before]
        for inv in left:
            if inv.over:
                counted.warn("run given up", "its end was not told")
                self.keyed.may_have_run(inv.index)
                self.on_run_ended(news.RunEnded(inv.job, "gone", 0, b""))
                inv.may_have_run = True
        if not all(inv.over for inv in left):
            self.timer(self.clock.now() + self.longest, self.give_runs_up, before)

    def end_timer(self, ref: str, gauges: Any) -> None:
        name = self.sampled_for.pop(ref, None)
        if name is not None:
            self.inputs.append(face.TimerFired(name, gauges))

    def on_run_ended(self, item: news.RunEnded) -> None:
        inv = self.invocations.by_job.get(item.job)
        outcome = OUTCOMES.get(item.state)
        if inv is None or not inv.launched or outcome is None:
            counted.warn("outcome that belongs to nothing in hand", item.state)
            return
        inv.launched = False
        good = outcome is face.Outcome.SUCCEEDED
        inv.may_have_run = outcome is not face.Outcome.MOOT
        if inv.may_have_run:
            self.watch.ran(inv.operation, item.took, outcome is not face.Outcome.ERRORED)
        # Not when its end was read: a result that lay unread for long is that much older.
        at = min(self.clock.now(), inv.began + item.took)
        waiting = self.results.ended(inv.index, at, item.result if good else None)
        waiting += self.keyed.ended(inv.index, outcome, item.result)
        self.end_repeats(waiting, item.result if good else None)
        if good:
            self.succeed(inv, item.result)
        elif outcome is face.Outcome.ERRORED:
            self.answer(inv, calls.errored(inv.request, self.fields), ERRORED)
        self.inputs.append(face.Finished(inv.index, outcome, item.took))

    def on_command_refused(self, item: news.CommandRefused) -> None:
        counted.warn("agent refused a command", item.command)
        inv = self.invocations.by_job.get(item.job)
        if item.command == "launch" and inv is not None and inv.launched:
            # An id or body that the agent does not know is a bad client's: told to the module as an errored
            # run, enough of them turned readiness bad for all.
            self.answer(inv, calls.errored(inv.request, self.fields), ERRORED)
            self.on_run_ended(news.RunEnded(item.job, "gone", 0, b""))

    def on_told_to_leave(self, item: news.ToldToLeave) -> None:
        if not self.leaving_at:
            self.drain(item.left, item.left)

    # What the module decided.

    def launch(self, inv: Invocation) -> None:
        self.watch.launched(inv.operation)
        self.invocations.launch(inv, self.mark, self.clock.now())
        taken = self.agent.launch(inv.job, self.machine.operations[inv.operation].name, inv.body)
        inv.unsent = taken is False

    def start(self, action: face.Start) -> None:
        self.launch(self.invocations.by_index[action.inv])

    def halt(self, action: face.Halted) -> None:
        inv = self.invocations.by_index[action.inv]
        if inv.state is Try.GONE and (self.results.awaited(action.inv) or self.keyed.awaited(action.inv)):
            return  # its caller left, but repeats wait for its end; asked again while it runs
        self.results.stopped(action.inv)
        self.agent.freeze(inv.job)

    def throttle(self, action: face.Throttle) -> None:
        inv = self.invocations.by_index[action.inv]
        data = calls.throttled(inv.request, self.fields, action.pause, action.give_up)
        how = RULED if action.final else AWAY if action.ruled else THROTTLED
        if inv.state is not Try.HELD:
            # On sockets a throttled answer promises that this try never ran.
            data, how = calls.errored(inv.request, self.fields), ERRORED
        self.answer(inv, data, how)

    def fail(self, action: face.Fail) -> None:
        inv = self.invocations.by_index[action.inv]
        self.answer(inv, calls.errored(inv.request, self.fields), ERRORED)

    def tell_health(self, action: face.Readiness) -> None:
        self.health = action.good, action.stored
        self.watch.ready(action.good)
        self.ready(action.good)

    def advertise(self, action: face.Advertise) -> None:
        self.fields = calls.advice(action.amount)

    def close_idle(self, action: face.CloseIdle) -> None:
        self.idle(action.after)

    def remember(self, action: face.Remember) -> None:
        inv, until = self.invocations.by_index[action.inv], self.clock.now() + action.ttl
        self.results.keep(inv, until)
        self.keyed.keep(inv, until)

    def forget(self, action: face.Forget) -> None:
        self.results.forget(action.inv)
        self.keyed.forget(action.inv)

    def reuse(self, action: face.Reuse) -> None:
        inv = self.invocations.by_index[action.inv]
        try:
            store = self.keyed if self.keyed.concerns(inv.operation) else self.results
            kept = store.reuse(inv)
        except KeyError:  # failed, stopped or evicted in this very batch: this try never ran
            self.answer(inv, calls.throttled(inv.request, self.fields, 0, False), THROTTLED)
            self.inputs.append(face.Finished(inv.index, face.Outcome.MOOT, 0))
            return
        except RunFailed:
            self.end_repeats([inv], None)
            return
        if kept is not None:
            self.end_repeats([inv], kept)

    def end_repeats(self, repeats: list[Invocation], result: bytes | None) -> None:
        """Those that waited for another's run end as it did."""
        for inv in repeats:
            if result is None:
                self.answer(inv, calls.errored(inv.request, self.fields), ERRORED)
            else:
                self.succeed(inv, result)
            outcome = face.Outcome.ERRORED if result is None else face.Outcome.SUCCEEDED
            self.inputs.append(face.Finished(inv.index, outcome, 0))

    def wake(self, action: face.Wake) -> None:
        self.timer(self.clock.now() + action.after, self.ask_gauges, action.name)

    def ask_gauges(self, name: int) -> None:
        ref = self.sample()
        self.sampled_for[ref] = name
        self.watch.asked()
        self.timer(self.clock.now() + GAUGES_IN, self.give_gauges_up, ref)

    def give_gauges_up(self, ref: str) -> None:
        self.end_timer(ref, ())

    def log(self, action: face.Log) -> None:
        logger.info(action.text)


HEARD: dict[type, Callable[..., None]] = {
    news.Called: Owner.on_called,
    news.Checked: Owner.on_checked,
    news.CallerLeft: Owner.on_caller_left,
    news.Greeted: Owner.on_greeted,
    news.RunEnded: Owner.on_run_ended,
    news.Sampled: Owner.on_sampled,
    news.Exercised: Owner.end_check,
    news.CommandRefused: Owner.on_command_refused,
    news.ToldToLeave: Owner.on_told_to_leave,
}

CARRY_OUT: dict[type, Callable[..., None]] = {
    face.Start: Owner.start,
    face.Halted: Owner.halt,
    face.Throttle: Owner.throttle,
    face.Fail: Owner.fail,
    face.Readiness: Owner.tell_health,
    face.Advertise: Owner.advertise,
    face.CloseIdle: Owner.close_idle,
    face.Remember: Owner.remember,
    face.Forget: Owner.forget,
    face.Reuse: Owner.reuse,
    face.Wake: Owner.wake,
    face.Log: Owner.log,
}
