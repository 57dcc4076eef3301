"""An invocation's life as a table of states, the loop that reads it, and the book of all in hand."""

from collections import OrderedDict
from collections.abc import Callable
from enum import IntEnum
from heapq import heappush
from random import Random

from ringshift import interface as face
from ringshift.control.measures import BEAT, MEMORY, MS, DecayingSum, S
from ringshift.deadline_heap import DeadlineHeap
from ringshift.interface import Effect, Halt, Outcome

QUOTA_SPAN = 2 * S  # over which a customer's admitted work is held against its quota
ROOM = 0.9  # share of memory for runs and entries, so that what is read next always fits until it is judged
PRIOR = 0.15  # share of the objective a run is thought to take while none has been seen

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
HELD WAITING STANDING CALLING ANSWERED | ENDED ERRED | OVER | call_over
"""
TABLE: dict[tuple[State, News], tuple[State, list[str]]] = {
    (State[state], News[name]): (State[row[2].strip()], row[3].split())
    for row in (line.split("|") for line in SPECIFICATION.strip().splitlines())
    for state in row[0].split() for name in row[1].split()}  # fmt: skip
BEGUN = (RUNNING, ANSWERED, State.STANDING, State.CALLING)
WEIGHTLESS = (HELD, State.WAITING)  # states that need a held invocation's memory, not a running one's
PLAIN_NEWS = {face.Finished: News.ENDED, face.CallerGone: News.GONE, face.CallWanted: News.WANTS}
CALL_NEWS = {Outcome.SUCCEEDED: News.CALLED} | dict.fromkeys(
    (Outcome.REJECTED, Outcome.UNREACHABLE, Outcome.MOOT), News.UNRUN)  # fmt: skip
PLAIN: dict[str, Callable[[int], face.Action]] = {
    "begin": face.Start, "fail": face.Fail, "reuse": face.Reuse, "skip": face.SkipCall}  # fmt: skip


class Line:
    """The held invocations of one operation, oldest first, their work in mean runs, and what runs took."""

    def __init__(self, op: face.Operation) -> None:
        self.op, self.work, self.turn, self.weight = op, 0.0, 0.0, max(op.billed_value, 0.01)
        self.queue, self.missed = OrderedDict[int, Inv](), DecayingSum(QUOTA_SPAN)
        self.run, self.core, self.hint = (DecayingSum(MEMORY, op.objective * p) for p in (PRIOR, PRIOR, 0.0))

    def first(self) -> "Inv":
        """The oldest that is held; there must be one."""
        return next(iter(self.queue.values()))


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
        self.state, self.keyed_read, self.over = HELD, news.keyed_read, False
        self.who, self.ruled, self.final = (news.operation, news.customer, news.caller), False, False
        self.started = self.called = self.placed = self.call_by = self.calls = 0


class Book:
    def __init__(self, machine: face.Machine, seed: int) -> None:
        self.machine, self.random, self.now, self.born = machine, Random(seed), 0, -1
        self.out, self.forgotten, self.invs = list[face.Action](), list[int](), dict[int, Inv]()
        self.lines, self.count = [Line(op) for op in machine.operations], dict.fromkeys(State, 0)
        self.alarms = DeadlineHeap[News](self.invs)
        self.room, self.entries, self.memory, self.sum_started = ROOM * machine.memory_kb, list[int](), 0.0, 0

    def step_to(self, inv: Inv, news: News) -> None:
        old = inv.state
        if (old, news) not in TABLE:
            return
        state, effects = TABLE[old, news]
        if old is HELD:
            inv.line.queue.pop(inv.id, None)  # kept until its turn came, those taken back had no bound
        if state is not old:
            self.count[old], self.count[state] = self.count[old] - 1, self.count[state] + 1
            self.memory += self.weight(inv, state) - self.weight(inv, old)
            inv.state, inv.line.work = state, inv.line.work - inv.size * (old is HELD)
            inv.started = inv.started or self.now * (state is RUNNING)
            self.sum_started += inv.started * ((state is RUNNING) - (old is RUNNING))
        for effect in effects:
            if effect in PLAIN:
                self.out.append(PLAIN[effect](inv.id))
            else:
                getattr(self, effect)(inv)
        if state is OVER:
            del self.invs[inv.id]
            self.forgotten.append(inv.id)

    def weight(self, inv: Inv, state: State) -> float:
        return inv.kb * (0 if state is OVER else 1 if state in WEIGHTLESS else self.machine.run_factor)

    def alarm(self, at: int, inv: Inv, news: News) -> None:
        self.alarms.add(at, inv.id, news)

    def forget(self, inv: Inv) -> None:
        if inv.line.op.effect is Effect.TOKENED:
            self.out.append(face.Forget(inv.id))

    def keep(self, inv: Inv) -> None:
        if self.machine.fresh and inv.line.op.effect is Effect.IDEMPOTENT and inv.keyed_read:
            self.remember(inv, self.machine.fresh + inv.line.op.objective)

    def remember(self, inv: Inv, ttl: int) -> bool:
        if self.memory + self.machine.entry_kb > self.room:
            return False
        self.out.append(face.Remember(inv.id, ttl))
        self.memory += self.machine.entry_kb
        heappush(self.entries, self.now + ttl)
        return True

    def stop(self, inv: Inv) -> None:
        if self.machine.halt is not Halt.NONE:
            self.out.append(face.Halted(inv.id))
            self.alarm(self.now + 4 * BEAT, inv, News.LATE)  # tried till it is gone: cores may stand still

    def make_room(self) -> None:
        """What was just read can overfill the memory; the newest of the least worth goes first."""
        while (self.memory > self.machine.memory_kb or len(self.invs) > self.machine.in_hand) and (
            light := [inv for inv in reversed(self.invs.values()) if inv.state in WEIGHTLESS]
        ):
            self.step_to(min(light, key=lambda inv: inv.rank), News.TURN)
