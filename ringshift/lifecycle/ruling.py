"""A backend's part in the fleet's rulebook: it confirms at the keeper what it acts by, and acts by it.

`Ruler` is one backend's `Reader` (ringshift/rulebook/reader.py) with a thread for the keeper's blocking
calls; whoever judges invocations polls it and asks it by which rules, in one and the same thread. The time
of a confirmation is that of its *sending*, taken before it goes to the keeper's thread; one call is under way
at a time, and one that isn't answered in time is told as such while the thread still waits. `Rulings` is the
same for the owner (ringshift/owner.py): what is acted by as news for the decisions, with the scheduled
changes in force and the retirements beside it.
"""

from __future__ import annotations

import time
from collections.abc import Callable, Mapping, Sequence
from contextlib import suppress
from dataclasses import replace
from functools import partial
from pathlib import Path
from queue import Empty, SimpleQueue
from random import Random
from typing import TYPE_CHECKING, Any, Protocol

from loguru import logger

from ringshift import interface as face
from ringshift.control import Controller
from ringshift.lifecycle.confirming import Answer, Confirming
from ringshift.lifecycle.scheduling import tell_passed
from ringshift.lifecycle.sharing import Tell, identity
from ringshift.machine import Malformed
from ringshift.records.schema import Body, RulesChange
from ringshift.rulebook.document import Rulebook, Rules, read
from ringshift.rulebook.indices import Names, found, ruled
from ringshift.rulebook.meet import alone_of
from ringshift.rulebook.reader import News, Reader
from ringshift.rulebook.version import NOTHING, Row, Stamp, Version
from ringshift.settings.operators import read_operators
from ringshift.store.headstart import keep, kept
from ringshift.wire.rules import RulesLink, reader_name

if TYPE_CHECKING:
    from ringshift.schedule.timetable import Passed

CAPACITY_EVERY = 5_000_000_000  # ns between two looks at what this backend could serve
HANDED_BACK = 0.3  # seconds at the exit for the keeper to hear that this reader is no more
STUCK = 4  # answer times after which a call that never came back is left to itself, and a new thread asks
NOBODY: Mapping[str, str] = {}


class Ruler:
    """`name`: unique to this process. `clock`: nanoseconds, the reader's own. `keep`: writes a version put
    in force to the disk; raises OSError. `check`: why a proposal can't be taken in, or empty. Both are called
    in the keeper's thread."""

    def __init__(
        self,
        reader: Reader,
        name: str,
        keepers: list[str],
        clock: Callable[[], int],
        answer_within: int,
        tell: Tell | None = None,
        keep: Callable[[Version], None] | None = None,
        check: Callable[[Version], str] | None = None,
    ) -> None:
        self.reader, self.name, self.clock, self.tell = reader, name, clock, tell
        self.answer_within = answer_within
        self.answers: SimpleQueue[Answer] = SimpleQueue()
        self.asker = Confirming(
            name, lambda: RulesLink(keepers, clock, answer_within / 1e9), self.answers, keep, check
        )
        self.under_way, self.since, self.given_up = 0, 0, False  # the confirmation that the thread asks for
        self.next: Row | None = None
        self.kept: Stamp | None = None if reader.head_start is None else reader.head_start.stamp
        self.left, self.why = False, ""
        self.acted_by: tuple[Any, ...] = (False,)  # whether by a confirmed version; which ones
        self.told: tuple[Any, ...] = ()
        self.met = reader.rules(clock())

    def poll(self) -> bool:
        """What came since, and the confirmation that is due; whether what is acted by changed."""
        if self.left:
            return False
        now = self.clock()
        with suppress(Empty):
            while True:
                self.hear(self.answers.get_nowait(), now)
        if self.under_way and now - self.since >= self.answer_within and not self.given_up:
            self.given_up = True
            self.why = "the keeper does not answer"
            self.send(self.reader.hear(News.UNANSWERED, now))
        self.send(self.reader.hear(News.TICK, now))
        return self.changed(now)

    def hear(self, answer: Answer, now: int) -> None:
        given_up, self.given_up = self.given_up, False
        self.under_way = 0
        self.why = answer.why
        if answer.told is not None:  # late or not: the reader knows when this one was sent
            self.send(self.reader.hear(News.ANSWERED, now, answer.told, answer.n))
        elif not given_up:
            self.send(self.reader.hear(News.UNANSWERED, now))

    def send(self, row: Row | None) -> None:
        """One call under way at a time; of those that wait, the last says all that the others said."""
        self.next = row or self.next
        now = self.clock()
        if self.under_way and now - self.since > STUCK * self.answer_within:
            self.asker.begin()
            self.under_way, self.kept = 0, None  # what was to be kept is lost with the thread's orders
        if self.next is not None and not self.under_way:
            self.under_way, self.since, self.given_up = self.next.n, now, False
            self.asker.orders.put(self.next)
            self.next = None

    def changed(self, now: int) -> bool:
        reader = self.reader
        acting = reader.acting(now)
        acted_by = acting, *((one.stamp, one.digest) for one in reader.basis)
        changed = acted_by != self.acted_by
        if changed:
            self.acted_by, self.met = acted_by, reader.rules(now)
        if acting and reader.basis[0].stamp != self.kept:
            self.kept = reader.basis[0].stamp
            self.asker.orders.put(reader.basis[0])
        told = reader.state, acted_by, reader.row.refused
        if told != self.told:
            self.told = told
            self.say(now)
        return changed

    def say(self, now: int) -> None:
        picture = self.reader.picture()
        refuses = picture.refused > max(picture.acts_by, default=NOTHING)
        why = self.why or (picture.why if refuses else "")
        left = max(picture.until - now, 0) / 1e6 if self.reader.acting(now) else 0.0
        by = " and ".join(f"{epoch}.{number}" for epoch, number in picture.acts_by) or "the installation"
        logger.bind(kind="rules").debug(f"rules: {picture.state.lower()} by {by} {why}".rstrip())
        if self.tell is not None:
            self.tell(RulesChange(picture.state, picture.acts_by, round(left, 3), why))

    def rules(self) -> Rules:
        """By what an invocation read at this very moment is judged."""
        if self.acted_by[0] and not self.fresh():  # the next poll tells; it may come late after a stop
            return self.reader.rules(max(self.clock(), self.reader.deadline))
        return self.met

    def fresh(self) -> bool:
        """Whether a confirmed version is acted by at this very moment."""
        return not self.left and self.reader.acting(self.clock())

    def books(self) -> tuple[Rulebook, ...]:
        """Those acted by now: two between versions; without contact those whose `alone` is."""
        return tuple(one.book for one in self.reader.basis)

    def leave(self, within_s: float) -> None:
        """The last word, once nothing is begun here any more: the reader is no more, so that no publication
        waits for it. Waits for the keeper's answer, but not longer."""
        if not self.left:
            self.left = True
            self.asker.orders.put(None)
        self.asker.thread.join(within_s)


def capacities(now: int, controller: Controller) -> dict[int, float]:
    """Invocations a second of each operation, if it alone were served: the learned limit over what its runs
    take of late. Two digits, so that what only trembles is not told anew."""
    limit = controller.limited()
    return {
        number: float(f"{limit * 1e9 / max(line.run.mean(now), 1.0):.2g}")
        for number, line in enumerate(controller.lines)
    }


class Timetable(Protocol):
    """The scheduled changes of what is acted by (ringshift/schedule/timetable.py)."""

    @property
    def passed(self) -> Sequence[Passed]: ...

    def hear(self, wall_ns: int, fresh: bool, books: tuple[Rulebook, ...]) -> bool: ...
    def clauses(self) -> tuple[face.Clause, ...]: ...


class Retiring(Protocol):
    """The retirements of versions of operations (ringshift/lifecycle/retiring.py)."""

    def poll(self, now: int) -> bool: ...
    def shed(self) -> Mapping[int, int]: ...
    def lot(self, operation: int, caller: int) -> int: ...
    def fields(self, operation: int, caller: int) -> Mapping[str, str]: ...
    def answered(self, operation: int, caller: int) -> None: ...
    def ended(self, operation: int, caller: int, how: int) -> None: ...
    def leaving(self) -> None: ...
    def leave(self) -> None: ...


class Rulings:
    """For the owner, like `Shares` (ringshift/lifecycle/sharing.py): all in its greenlet."""

    def __init__(
        self,
        ruler: Ruler,
        names: Names,
        timetable: Timetable | None = None,
        retiring: Retiring | None = None,
        wall: Callable[[], int] = time.time_ns,
        tell: Tell | None = None,
    ) -> None:
        self.ruler, self.names, self.timetable, self.retiring = ruler, names, timetable, retiring
        self.tell, self.wall, self.first, self.measured = tell, wall, True, 0
        self.rules = ruler.rules()
        self.taken = self.rules, names, ruled(self.rules, names)
        self.wholes: Mapping[str, float] = {}
        """Of budgets, as the rulebook has them by now; replaced whole, so that other threads may read it."""

    def granted(self, now: int, controller: Controller | None = None) -> list[face.Input]:
        """What is acted by, when it changed, and always at first."""
        changed = self.ruler.poll()
        if changed or self.first:
            self.rules = self.ruler.rules()
            self.wholes = {one.budget: one.whole for one in self.rules.wholes}
        if self.timetable is not None:
            # In this order: what begins by this wall clock was confirmed for longer than that.
            wall, fresh = self.wall(), self.ruler.fresh()
            changed = self.timetable.hear(wall, fresh, self.ruler.books()) or changed
            tell_passed(self.timetable.passed, fresh, self.tell)
        if self.retiring is not None:
            changed = self.retiring.poll(now) or changed
        if controller is not None and (changed or self.first or now - self.measured >= CAPACITY_EVERY):
            self.measured = now
            changed = self.measure(now, controller) or changed
        if not (changed or self.first):
            return []
        self.first = False
        clauses = () if self.timetable is None else found(self.timetable.clauses())
        shed = {} if self.retiring is None else dict(self.retiring.shed())
        one = self.in_indices()
        return [replace(one, clauses=(*one.clauses, *clauses), shed=shed)]

    def in_indices(self) -> face.Ruled:
        """Of the rules, made once for each: a change on its ramp is told anew 50 times a second."""
        rules, names, made = self.taken
        if rules is not self.rules or names is not self.names:
            made = ruled(self.rules, self.names)
            self.taken = self.rules, self.names, made
        return made

    def measure(self, now: int, controller: Controller) -> bool:
        """Of what this backend could serve a share may be allowed; whether that moved, where it counts."""
        before = self.names.capacity
        if not any(0 < one.share < 1 for one in self.rules.shares):
            return False
        self.names = replace(self.names, capacity=capacities(now, controller))
        return self.names.capacity != before

    def lot(self, operation: int, caller: int) -> int:
        """The caller's place in the operation's retirement, millionths; -1 where no timeline binds it."""
        return -1 if self.retiring is None else self.retiring.lot(operation, caller)

    def fields(self, operation: int, caller: int) -> Mapping[str, str]:
        """Warnings that go with an answer."""
        return NOBODY if self.retiring is None else self.retiring.fields(operation, caller)

    def answered(self, operation: int, caller: int) -> None:
        """An answer with its warnings was sent."""
        if self.retiring is not None:
            self.retiring.answered(operation, caller)

    def ended(self, operation: int, caller: int, how: int) -> None:
        """An invocation was answered; `how` as in ringshift/records/watch.py."""
        if self.retiring is not None:
            self.retiring.ended(operation, caller, how)

    def leaving(self) -> None:
        """At the notice: others may decide for the fleet; what is in hand is still judged by what was agreed,
        so the reader stays."""
        if self.retiring is not None:
            self.retiring.leaving()

    def leave(self) -> None:
        """At the exit, when nothing is begun any more."""
        if self.retiring is not None:
            self.retiring.leave()
        self.ruler.leave(HANDED_BACK)


def rulings(
    path: str,
    name: str,
    seed: int,
    clock: Callable[[], int],
    machine: face.Machine,
    tell: Callable[[Body], None] | None,
) -> Rulings | None:
    """What the operators' file says of the rulebook, begun; None where it says nothing. Raises Malformed."""
    from ringshift.lifecycle.holder import OwnClock
    from ringshift.lifecycle.ramping import Ramps  # these are not for whoever only reads a rulebook
    from ringshift.lifecycle.retiring import Retiring as Retired
    from ringshift.schedule.plan import Terms, unfit
    from ringshift.schedule.timetable import Timetable as Scheduled

    operators = read_operators(path)
    reading, leases = operators.rules, operators.leases
    if reading is None or leases is None:
        return None
    alone, terms = installed(path, reading.installation), reading.terms()
    found, why = kept(Path(reading.head_start)) if reading.head_start else (None, "")
    if why:
        logger.bind(kind="rules").info(f"no head start: {why}")
    late = Terms.of(terms).late
    operations = {one.name: index for index, one in enumerate(machine.operations)}
    names = Names(
        tuple(operations), tuple(one.name for one in machine.customers), reading.place, machine.fleet
    )
    reader = Reader(terms, alone, found, answer_within=reading.answer_within)
    backend = identity(reader_name(name), Random())
    ruler = Ruler(
        reader,
        backend,
        leases.keepers,
        clock,
        reading.answer_within,
        tell,
        partial(keep, Path(reading.head_start)) if reading.head_start else None,
        lambda version: unfit(version.book, late, time.time_ns()),
    )
    ramps = Ramps(
        name, leases.terms(), leases.keepers, OwnClock(time.monotonic_ns()), seed, tell, clears=True
    )
    retired = Retired(
        backend, operations, ruler.books, leases.keepers, clock, reading.answer_within, reading.warn, ramps
    )
    return Rulings(ruler, names, Scheduled(late, names), retired, tell=tell)


def installed(path: str, installation: str) -> Rules:
    """The `alone` of the installation's rulebook."""
    try:
        text = Path(installation).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as wrong:
        told = wrong.strerror if isinstance(wrong, OSError) else "not UTF-8"
        raise Malformed(f"{path}: rules.installation: {installation}: {told}") from None
    return alone_of(read(text, installation))
