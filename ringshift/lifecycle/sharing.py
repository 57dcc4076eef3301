"""A process's part in fleet-wide budgets: it asks for its share, and stands ready to be the divider.

`Sharer` is one budget's `Share` (ringshift/fleet/share.py) with a thread that makes the keeper's blocking
calls; whoever begins things polls it and asks it what is allowed, in one and the same thread, so that what an
ask tells as in use can't be overtaken by a beginning. `Dividing` is the divider's doing under the lease of a
fleet task, and `dividers` runs a holder for it in a thread of its own.
"""

from __future__ import annotations

import os
import threading
import time
from collections.abc import Callable, Mapping
from contextlib import suppress
from queue import Empty, SimpleQueue
from random import Random
from typing import IO

from loguru import logger

from ringshift.control import Controller
from ringshift.fleet.budget import Ask, Budget, Divider, Ledger, Stage, Word
from ringshift.fleet.lease import LeaseTerms
from ringshift.fleet.placement import Placement
from ringshift.fleet.share import Change, News, Share
from ringshift.fleet.whole import raised, ruled
from ringshift.interface import Granted, Unit
from ringshift.lifecycle.holder import Hold, Holder, OwnClock, apart
from ringshift.records.schema import Body, ShareChange
from ringshift.wire.keeper import KeeperLink
from ringshift.wire.shares import BudgetLink

HANDED_BACK = 0.3  # seconds at the exit for the keeper to hear of a share handed back
Tell = Callable[[Body], None]
Wholes = Callable[[], Mapping[str, float]]


def identity(name: str, random: Random) -> str:
    """Unique to this process: one started anew is another backend, whose share of before still counts."""
    return f"{name}.{os.getpid()}.{random.getrandbits(48):012x}"


class Sharer:
    def __init__(
        self,
        budget: Budget,
        backend: str,
        keepers: list[str],
        clock: Callable[[], int],
        answer_within: int,
        tell: Tell | None = None,
    ) -> None:
        self.share = Share(backend, budget, answer_within)
        self.clock, self.tell = clock, tell
        self.asks: SimpleQueue[Ask | None] = SimpleQueue()
        self.answers: SimpleQueue[tuple[News, Ledger | None]] = SimpleQueue()
        self.link = BudgetLink(keepers, clock, answer_within / 1e9)
        self.waiting = 0
        self.thread = threading.Thread(target=self.work, name="budget-asks", daemon=True)
        self.thread.start()

    def work(self) -> None:
        name = self.share.budget.name
        while (ask := self.asks.get()) is not None:
            try:
                ledger = self.link.ask(name, ask)
                self.answers.put((News.LEDGER if ledger else News.UNANSWERED, ledger))
            except Exception:  # whatever a client raises: not answered, and asked again later
                self.answers.put((News.UNANSWERED, None))

    def poll(self, use: float, waiting: float) -> bool:
        """What came since, and the ask that is due; whether the share changed."""
        share, changed = self.share, False
        share.wants(self.clock(), use, waiting)
        with suppress(Empty):
            while True:
                news, ledger = self.answers.get_nowait()
                self.waiting -= 1
                changed |= self.hear(news, ledger)
        return self.hear(News.TICK) or changed

    def hear(self, news: News, ledger: Ledger | None = None) -> bool:
        ask = self.share.hear(news, self.clock(), ledger)
        # One call under way at a time: a keeper that is slow to answer is not sent more.
        if ask is not None and (self.waiting == 0 or ask.leaving):
            self.waiting += 1
            self.asks.put(ask)
        if self.share.change is not None:
            self.told(self.share.change)
        return self.share.change is not None

    def told(self, change: Change) -> None:
        name = self.share.budget.name
        logger.bind(kind="budget").debug(f"budget {name}: {change.old:g} -> {change.new:g} on {change.why}")
        if self.tell is not None:
            left = max(self.share.ends - self.clock(), 0) / 1e6
            self.tell(ShareChange(name, change.old, change.new, change.why, change.round, round(left, 3)))

    def allowed(self) -> float:
        return self.share.allowed(self.clock())

    def leave(self, use: float, within_s: float) -> None:
        """Hands the share back; waits for the keeper's answer, but not longer."""
        self.share.wants(self.clock(), use, 0.0)
        self.hear(News.LEAVE)
        self.asks.put(None)
        self.thread.join(within_s)


class Dividing:
    """The divider's doing, a `Work` under the lease of the task `budget-NAME`."""

    done = False

    def __init__(self, budget: Budget, task_key: bytes, link: BudgetLink, clock: Callable[[], int]) -> None:
        self.divider, self.task_key, self.link, self.clock = Divider(budget), task_key, link, clock
        self.stated = budget
        self.wholes: Wholes = dict  # of the rulebook, where there is one
        self.warned = ""
        self.revision = 0
        self.pace = budget.refresh // 4

    def taken(self, token: int, now: int) -> None:
        self.divider.hear(Word.TAKEN, now)

    def halted(self) -> None:
        self.divider.hear(Word.HALTED, self.clock())

    def step(self, hold: Hold) -> None:
        try:
            self.round(hold)
        except Exception as wrong:  # whatever a client raises: its fate is not known, all is read anew
            self.divider.hear(Word.UNKNOWN, self.clock())
            raise OSError(str(wrong)) from None

    def round(self, hold: Hold) -> None:
        divider = self.divider
        held = self.link.read(divider.budget.name)
        now = self.clock()  # after the asks were read: never before they were sent
        if divider.stage is Stage.READING:
            divider.hear(Word.LEDGER if held.ledger else Word.EMPTY, now, ledger=held.ledger)
            self.revision = held.revision
            return
        if held.revision != self.revision:
            divider.hear(Word.REFUSED, now)
            return
        self.rule()
        ledger = divider.hear(Word.ROUND, now, held.asks)
        if ledger is None:
            return
        if not hold.may():
            divider.hear(Word.UNKNOWN, self.clock())
            return
        hold.write("ledger", token=hold.token, round=ledger.round, counted=divider.counted())
        self.revision = self.link.write(
            divider.budget.name, self.task_key, hold.token, self.revision, ledger, divider.gone
        )
        divider.hear(Word.WRITTEN if self.revision else Word.REFUSED, self.clock())

    def rule(self) -> None:
        """The whole of the rulebook by now. Where more must be divided than it states, that is said: once a
        whole, by the one process that divides it, as a log line and so as a record."""
        wholes = self.wholes()
        self.divider.budget = ruled(self.stated, wholes)
        why = raised(self.stated, wholes)
        if why and why != self.warned:
            logger.bind(kind="budget").warning(why)
        if self.stated.name in wholes:  # without contact it may be stated no more, and come back as it was
            self.warned = why

    def close(self) -> None:
        pass


class Dividers:
    """A holder for each budget's divider, each in a thread of its own, until `leave`."""

    def __init__(
        self,
        budgets: list[Budget],
        name: str,
        terms: LeaseTerms,
        keepers: list[str],
        clock: OwnClock,
        seed: int,
        tell: Tell | None = None,
        history: IO[bytes] | None = None,
    ) -> None:
        self.terms, self.holders, self.threads = terms, list[Holder](), list[threading.Thread]()
        self.works = list[Dividing]()
        placement = Placement(tuple(f"budget-{budget.name}" for budget in budgets))
        for number, budget in enumerate(budgets):
            task = placement.tasks[number]
            link = BudgetLink(keepers, clock.now, terms.answer_within / 1e9)
            work = Dividing(budget, f"/ringshift/tasks/{task}".encode(), link, clock.now)
            keeper = KeeperLink(keepers, clock.now, terms.answer_within / 1e9)
            holder = Holder(name, task, terms, keeper, work, clock, seed + number, history, tell, placement)
            self.holders.append(holder)
            self.works.append(work)
            self.threads.append(apart(holder))

    def leaving(self) -> None:
        """The notice to leave: the leases are let go at once, each by its own thread."""
        for holder in self.holders:
            holder.leave()

    def leave(self) -> None:
        self.leaving()
        for thread in self.threads:
            thread.join(self.terms.leave_within / 1e9 + 0.1)


class Shares:
    """A backend's shares of all its budgets, for the owner (ringshift/owner.py): it polls them with what its
    decisions have in use and tells the decisions what they may use; all in the owner's greenlet."""

    def __init__(self, sharers: list[Sharer], dividers: Dividers, operations: dict[str, int]) -> None:
        self.sharers, self.dividers, self.last = sharers, dividers, 0
        self.known: list[Granted | None] = [None] * len(sharers)  # what the decisions were last told
        self.keys = [
            (one, one.share.budget.unit, operations.get(one.share.budget.operation, -1)) for one in sharers
        ]

    def ruled(self, wholes: Wholes) -> None:
        """From now on the rulebook's wholes are divided; asked for in the dividers' threads."""
        for work in self.dividers.works:
            work.wholes = wholes

    def granted(self, now: int, controller: Controller) -> list[Granted]:
        """Polls each; a share is told anew when its amount or its end changed, and always at first: the safe
        one. A share that is granted again as it was has a later end, or the decisions fall at the old one."""
        span, told = max(now - self.last, 1) / 1e9, list[Granted]()
        for place, (sharer, unit, operation) in enumerate(self.keys):
            use, waiting = controller.demand(unit, operation)
            if unit is not Unit.CALLS and self.last:
                waiting /= span
            sharer.poll(use, waiting)
            share, safe = sharer.share, sharer.share.budget.safe
            news = Granted(unit, safe + share.extra, share.ends - share.budget.longest, safe, operation)
            if news != self.known[place]:
                self.known[place] = news
                told.append(news)
        self.last = now
        return told

    def leaving(self) -> None:
        """At the notice: others may divide from now on; the shares are kept while there is work in hand."""
        self.dividers.leaving()

    def leave(self) -> None:
        """At the exit, when nothing is in use any more: handed back, so that others have it at once."""
        for sharer in self.sharers:
            sharer.leave(0.0, HANDED_BACK)
        self.dividers.leave()


def shares(
    path: str, name: str, seed: int, clock: Callable[[], int], operations: dict[str, int], tell: Tell | None
) -> Shares | None:
    """What the operators' file says of budgets, begun; None where it names none. Raises Malformed."""
    from ringshift.settings.operators import read_operators, refused

    operators = read_operators(path)
    if not operators.budgets or operators.leases is None:
        return None
    budgets = [one.budget() for one in operators.budgets]
    for place, budget in enumerate(budgets):
        if budget.operation and budget.operation not in operations:
            raise refused(path, "budgets", place, "operation", f"{budget.operation!r} is none of ours")
        if budget.unit is Unit.RETRIES:
            # A repeat is known by the end of the call before it, which no agent on sockets tells.
            raise refused(
                path,
                "budgets",
                place,
                "unit",
                "'retries': no calls are told of on sockets, so nothing would be counted",
            )
    terms, keepers = operators.leases.terms(), operators.leases.keepers
    backend = identity(name, Random())
    sharers = [Sharer(one, backend, keepers, clock, terms.answer_within, tell) for one in budgets]
    dividers = Dividers(budgets, name, terms, keepers, OwnClock(time.monotonic_ns()), seed, tell)
    return Shares(sharers, dividers, operations)
