"""A backend's part in retirements: it warns and counts whom, turns away by the ramp's step, tells figures.

`Retiring` is for whoever judges invocations, all in its one thread, like `Ruler` beside it
(ringshift/lifecycle/ruling.py): it follows the timelines of the rulebook acted by, polled, and has one thread
for the keeper's blocking calls. What it decides lies in ringshift/retirement: `Holding` says whether a step
has to be fetched, `Follower` by which it acts, `Shedding` who is turned away, `Warned` what is counted. The
ramp's holder is in `ramping.py`.
"""

from __future__ import annotations

import threading
import time
from collections.abc import Callable, Iterable, Mapping
from contextlib import suppress
from dataclasses import dataclass
from queue import Empty, SimpleQueue
from typing import Protocol

from loguru import logger

from ringshift.records.watch import ERRORED, RULED, SUCCEEDED
from ringshift.retirement import warn
from ringshift.retirement.figures import Tally
from ringshift.retirement.follow import Follower
from ringshift.retirement.holding import Holding
from ringshift.retirement.shed import NONE, Shedding, key, shedding
from ringshift.retirement.timeline import Timeline, ns
from ringshift.retirement.warn import Warned
from ringshift.rulebook.document import Rulebook
from ringshift.rulebook.meet import met_timelines
from ringshift.wire.retiring import Answer, RetireLink, Row

REFRESH = 5_000_000_000  # ns between two rows: a step is planned by the hour, and a row may be long
TOLD_FRESH = 3  # rows at least, while a figure counts as fresh
HANDED_BACK = 0.3  # seconds at the exit for the keeper to hear the last row
MOST_LINES = 64  # timelines followed at once, and remembered after they left the rulebook
NOTHING: Mapping[str, str] = {}


@dataclass(frozen=True)
class Order:
    """A row to put. `answer` None: the keeper did not answer."""

    line: Line
    process: str
    row: Row
    created: int
    sent: int
    answer: Answer | None = None


class Ramps(Protocol):
    """The holders of the ramps' leases in this process (ringshift/lifecycle/ramping.py)."""

    def tend(self, timelines: Mapping[str, Timeline]) -> None: ...
    def leaving(self) -> None: ...
    def leave(self) -> None: ...


class Line:
    """One timeline at this backend. `fresh`: ns for which an answer may be under way."""

    def __init__(self, timeline: Timeline, backend: str, fresh: int, now: int) -> None:
        self.name, self.backend = timeline.name, backend
        self.lives, self.created, self.n, self.next_put, self.under_way = 1, 0, 0, 0, False
        self.follower = Follower(key(timeline), fresh)
        self.holding = Holding()  # of the keeper's thread alone
        self.warned = Warned()
        self.tally = Tally(timeline.conditions.fresh, now)
        self.timelines: tuple[Timeline, ...] = ()
        self.sheddings: tuple[Shedding, ...] = ()
        self.told: Mapping[str, str] = NOTHING

    def listed(self, timelines: tuple[Timeline, ...]) -> None:
        """As the versions acted by have it: none, one, or the two between which this backend is."""
        self.timelines, self.told = timelines, NOTHING
        self.follower.listed(bool(timelines))
        self.begin()

    def begin(self) -> None:
        """Another decision, or other exemptions, are acted by from here on."""
        decided = self.follower.acts_by
        self.sheddings = tuple(shedding(one, decided) for one in self.timelines)
        self.tally.decided(decided.ready)

    def share(self, wall: int) -> int:
        return max((one.share(wall) for one in self.sheddings), default=0)

    def lot(self, caller: int, wall: int) -> int:
        """Between two versions a caller is exempt where both say so: what either refuses is refused."""
        return max((one.lot(caller, wall) for one in self.sheddings), default=NONE)

    def fields(self, caller: int, wall: int) -> Mapping[str, str]:
        """Built once but for the exempt, who are told another end."""
        if not self.timelines or wall < ns(self.timelines[0].warned_from):
            return NOTHING
        if caller in self.sheddings[0].exempt.until:
            return warn.fields(self.timelines[0], wall, caller)
        if not self.told:
            self.told = warn.fields(self.timelines[0], wall)
        return self.told

    def row(self, now: int, leaving: bool = False) -> Row:
        """The next one to put. The first has no counts: where its answer is lost, nothing is told twice."""
        self.n += 1
        decided = self.follower.decided
        figures = self.tally.figures(now, decided.edition, decided.share)
        return Row(self.n, figures, dict(self.warned.counts) if self.created else {}, leaving)

    @property
    def process(self) -> str:
        return f"{self.backend}.{self.lives}"

    def answered(self, answer: Answer, process: str, sent: int, now: int) -> bool:
        """True if another decision is acted by."""
        if process == self.process:
            if self.created and answer.created != self.created:
                # Taken as no more by the ramp's holder: what it told is counted, what it didn't is lost.
                self.lives, self.created = self.lives + 1, 0
                self.warned.anew()
            else:
                self.created = answer.created
        decided = None if answer.position is None else answer.position.decided
        acts = self.follower.answered(decided, sent, now)
        if acts:
            self.begin()
        if answer.position is not None:
            self.tally.down(answer.position.kept)
        return acts


class Retiring:
    """`backend`: unique to this process. `operations`: this backend's, by name. `books`: of the rulebook,
    those acted by now (Ruler.books). `clock`: this process's own, ns; `wall`: ns since the epoch. `warns`:
    whether callers know the fields of a warning; where not, nobody is warned, and so nobody is ever turned
    away."""

    def __init__(
        self,
        backend: str,
        operations: Mapping[str, int],
        books: Callable[[], tuple[Rulebook, ...]],
        keepers: list[str],
        clock: Callable[[], int],
        answer_within: int,
        warns: bool,
        ramps: Ramps | None = None,
        wall: Callable[[], int] = time.time_ns,
        refresh: int = REFRESH,
    ) -> None:
        self.backend, self.operations, self.books, self.ramps = backend, operations, books, ramps
        self.clock, self.wall, self.warns, self.refresh = clock, wall, warns, refresh
        self.fresh = refresh + 3 * answer_within
        self.lines: dict[tuple[str, int], Line] = {}
        self.by_operation: dict[int, Line] = {}
        self.by_successor: dict[int, list[Line]] = {}
        self.read: tuple[Rulebook, ...] = ()
        self.last: Mapping[int, int] = {}
        self.link = RetireLink(keepers, clock, answer_within / 1e9)
        self.orders: SimpleQueue[Order | None] = SimpleQueue()
        self.answers: SimpleQueue[Order] = SimpleQueue()
        self.thread = threading.Thread(target=self.work, name="retirement", daemon=True)
        self.thread.start()

    def work(self) -> None:
        while (order := self.orders.get()) is not None:
            answer = None
            with suppress(Exception):  # whatever a client raises: not answered, and put again later
                answer = self.link.put(
                    order.line.name, order.process, order.row, order.created, order.line.holding
                )
            self.answers.put(Order(order.line, order.process, order.row, order.created, order.sent, answer))

    # In the caller's one thread.

    def poll(self, now: int) -> bool:
        """What came since, and the rows that are due; whether another share is turned away of anything."""
        books = self.books()
        if len(books) != len(self.read) or any(a is not b for a, b in zip(books, self.read, strict=True)):
            self.read = books
            self.take(met_timelines(books), now)
        with suppress(Empty):
            while True:
                self.hear(self.answers.get_nowait(), now)
        for line in self.lines.values():
            if line.timelines:
                line.follower.tick(now)
                self.put_when_due(line, now)
        share, self.last = self.last, self.shed()
        return share != self.last

    def take(self, timelines: Iterable[Timeline], now: int) -> None:
        """Those of all versions acted by; what concerns no operation of this backend is not followed."""
        found: dict[tuple[str, int], tuple[Timeline, ...]] = {}
        for one in timelines:
            if one.operation in self.operations or one.successor in self.operations:
                place = one.name, key(one)
                found[place] = (*found.get(place, ()), one)
        for place, ones in found.items():
            if place not in self.lines and len(self.lines) < MOST_LINES:
                self.lines[place] = Line(ones[0], self.backend, self.fresh, now)
        self.by_operation, self.by_successor = {}, {}
        for place, line in self.lines.items():
            line.listed(found.get(place, ()))
            if line.timelines:
                operation, successor = line.timelines[0].operation, line.timelines[0].successor
                if operation in self.operations:
                    self.by_operation.setdefault(self.operations[operation], line)
                if successor in self.operations:
                    self.by_successor.setdefault(self.operations[successor], []).append(line)
        if self.ramps is not None:
            self.ramps.tend({name: ones[0] for (name, _), ones in found.items()})

    def hear(self, order: Order, now: int) -> None:
        line = order.line
        line.under_way = False
        if order.answer is not None and line.answered(order.answer, order.process, order.sent, now):
            decided = line.follower.decided
            told = f"{line.name}: decision {decided.edition}, {decided.share / 10_000:g}% of callers"
            logger.bind(kind="retirement").debug(told)

    def put_when_due(self, line: Line, now: int) -> None:
        """One row of a timeline under way at a time: a keeper that is slow to answer is not sent more."""
        if not line.under_way and now >= line.next_put:
            line.under_way = True
            line.next_put = now + min(self.refresh, line.timelines[0].conditions.fresh // TOLD_FRESH)
            self.orders.put(Order(line, line.process, line.row(now), line.created, now))

    def shed(self) -> Mapping[int, int]:
        """Operation -> millionths of its callers that are turned away now."""
        wall = self.wall()
        shares = {operation: line.share(wall) for operation, line in self.by_operation.items()}
        return {operation: share for operation, share in shares.items() if share}

    def lot(self, operation: int, caller: int) -> int:
        """The caller's place in the operation's retirement, millionths; -1 where nothing sheds it: no
        timeline, an exemption, or a caller not yet warned to the floor."""
        line = self.by_operation.get(operation)
        return NONE if line is None else line.lot(caller, self.wall())

    def fields(self, operation: int, caller: int) -> Mapping[str, str]:
        """Warnings that go with an answer."""
        line = self.by_operation.get(operation) if self.warns else None
        return NOTHING if line is None else line.fields(caller, self.wall())

    def answered(self, operation: int, caller: int) -> None:
        """An answer with `fields` was handed to its connection: not to be called before."""
        line = self.by_operation.get(operation) if self.warns else None
        if line is not None:
            line.warned.handed(caller, self.wall())

    def ended(self, operation: int, caller: int, how: int) -> None:
        """An invocation was answered; `how` as in ringshift/records/watch.py. Overload refusals tell neither
        of the old operation's use nor of its successor's errors."""
        line = self.by_operation.get(operation)
        if line is not None and how in (SUCCEEDED, ERRORED, RULED):
            line.tally.answered(self.clock(), how == RULED)
        for line in self.by_successor.get(operation, ()):
            if how in (SUCCEEDED, ERRORED):
                line.tally.succeeded(self.clock(), caller, how == ERRORED)

    def leaving(self) -> None:
        """At the notice: others may decide from now on; what is in hand is judged as it was."""
        if self.ramps is not None:
            self.ramps.leaving()

    def leave(self) -> None:
        """At the exit: the last rows, with what was warned of; waits for the keeper's answers, not long."""
        now = self.clock()
        self.leaving()
        with suppress(Empty):
            while True:
                self.hear(self.answers.get_nowait(), now)
        for line in self.lines.values():
            if line.timelines and line.created:
                row = line.row(now, leaving=True)
                self.orders.put(Order(line, line.process, row, line.created, now))
        self.orders.put(None)
        self.thread.join(HANDED_BACK)
        if self.ramps is not None:
            self.ramps.leave()
