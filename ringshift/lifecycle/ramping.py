"""The ramp of a retirement, decided by one process of the fleet at a time, under the lease of a fleet task.

`Ramping` is the doing of the task `retire-NAME`: it reads what all backends tell, as much of it
as ringshift/retirement/sight.py asks for, asks the ramp (ringshift/retirement/ramp.py), and writes what it
answers in one transaction with its token, and with it the counts of backends that are no more. Each position
that landed is one record, with what it was decided on. `Ramps` runs a holder for each timeline of the
rulebook, in threads of their own.
"""

from __future__ import annotations

import secrets
import threading
import time
from collections.abc import Callable, Mapping
from random import Random
from typing import IO, TypeVar

from loguru import logger

from ringshift.fleet.lease import MS, LeaseTerms
from ringshift.fleet.placement import Placement
from ringshift.lifecycle.clearing import Clearing, agreed
from ringshift.lifecycle.holder import Hold, Holder, OwnClock, apart
from ringshift.lifecycle.sharing import Tell
from ringshift.records.schema import RampStep
from ringshift.retirement import clearing, warn
from ringshift.retirement.judge import Freshness, Seen
from ringshift.retirement.position import Position
from ringshift.retirement.ramp import Ramp
from ringshift.retirement.shed import key
from ringshift.retirement.sight import Sight
from ringshift.retirement.timeline import Phase, Timeline
from ringshift.retirement.warn import Counts
from ringshift.wire.keeper import KeeperLink
from ringshift.wire.retiring import MOST_FOLDED, Held, Kept, RetireLink, held
from ringshift.wire.rules import RulesLink

Link = TypeVar("Link", bound=KeeperLink)
PACE = 1_000 * MS  # between two looks: a step is planned by the hour, and a row comes each second
GONE_AFTER = 10  # times the freshness of a figure, after which a silent backend is taken as no more


class Ramping:
    """A `Work` (ringshift/lifecycle/holder.py). `timeline` may be set anew at any time; None: it is not in
    the rulebook any more, and once that is written, the work is done."""

    def __init__(
        self,
        name: str,
        timeline: Timeline | None,
        holder: str,
        link: RetireLink,
        tell: Tell | None = None,
        wall: Callable[[], int] = time.time_ns,
        pace: int = PACE,
        rules: RulesLink | None = None,
    ) -> None:
        self.name, self.timeline, self.holder, self.link, self.tell = name, timeline, holder, link, tell
        self.rules, self.task_key = rules, f"/ringshift/tasks/retire-{name}".encode()
        self.wall, self.pace, self.done = wall, pace, False
        self.pause = (0, 0)  # fault tests: (rung, ns): stands still after the last look before that step
        self.begin()

    def begin(self) -> None:
        """Nothing of before counts: not what stood for how long, not which rows were seen to change."""
        self.sight = Sight[Kept](secrets.token_hex(8))
        self.ramp: Ramp | None = None
        self.sent: Position | None = None  # written, and not known whether it landed
        self.rows: Freshness | None = None
        self.silent: dict[str, tuple[int, int]] = {}  # backend -> its row's number, when first seen with it
        self.offset: int | None = None
        self.cleared: int | None = None

    def taken(self, token: int, now: int) -> None:
        self.begin()

    def halted(self) -> None:
        pass

    def close(self) -> None:
        pass

    def step(self, hold: Hold) -> None:
        try:
            self.look(hold)
        except OSError:
            raise
        except Exception as wrong:  # whatever a client raises: what came of it is told by the next look
            raise OSError(str(wrong)) from None

    def look(self, hold: Hold) -> None:
        held = self.read()
        own = hold.now()
        if self.offset is None:  # a wall clock that is set anew must not make a dwell time pass
            self.offset = self.wall() - own
        ramp, seen, gone = self.found(held, hold), self.fresh(held, own), self.gone(held, own)
        rows = held.rows.values()
        counts = warn.fold(held.counts, [row.warned for row in rows], self.lots)
        position = ramp.look(own + self.offset, seen, counts, held.word.paused)
        if position is None and not gone:
            self.done = ramp.timeline is None and self.led_out(hold, held, own + self.offset)
        elif hold.may():
            self.write(hold, held, position, gone)

    def read(self) -> Held:
        """What changed since the last look, and once more where that tells too little: then all."""
        for _ in range(2):
            ask = self.sight.ask()
            if self.sight.heard(ask, self.link.look(self.name, ask)):
                return held(self.sight.known)
        raise ValueError(f"{self.name}: the keeper told all, and it was not taken")

    def found(self, held: Held, hold: Hold) -> Ramp:
        """The ramp at the position that the keeper holds. Where that is not the one known here, all that
        stood begins anew; but a write of ours whose answer was lost is found here, and recorded."""
        position = held.position or self.unwritten()
        if self.ramp is None:
            self.ramp = Ramp(self.timeline, position)
        elif self.ramp.position != position:
            if self.sent == position:
                self.landed(self.ramp, position, hold)
            else:
                self.ramp = Ramp(self.timeline, position)
        self.ramp.timeline, self.sent = self.timeline, None
        return self.ramp

    def unwritten(self) -> Position:
        """Where the keeper has nothing, editions begin above all that were cleared."""
        if self.cleared is None:
            self.cleared = self.link.cleared()[0]
        return clearing.begun(self.cleared, self.lots)

    def led_out(self, hold: Hold, held: Held, now: int) -> bool:
        """Whether nothing is left to do for a timeline that is not in the rulebook: what the keeper has of it
        goes, or it is put down when to look again."""
        if self.rules is None:
            return True
        one, head = agreed(self.rules), self.link.heads().get(self.name)
        if head is None and not self.sight.known:
            return True
        position = clearing.left(held.position, head, now)
        rows = {name: row.figures for name, row in held.rows.items()}
        finding = clearing.judge(self.name, one, position, rows, now)
        if not hold.may():
            return False
        logger.bind(kind="retirement").info(f"retirement {self.name}: its keys: {finding.name.lower()}")
        if clearing.clears(finding):
            before, revision = self.link.cleared()
            edition = clearing.highest(before, position, rows)
            return self.link.clear(
                self.name, self.task_key, hold.token, held, one.revision, edition, revision
            )
        later = clearing.written(finding, position, head, now)
        return later is None or self.link.name_head(self.name, self.task_key, hold.token, later)

    @property
    def lots(self) -> int:
        return key(self.timeline) if self.timeline is not None else 0

    @property
    def fresh_for(self) -> int:
        return self.timeline.conditions.fresh if self.timeline is not None else self.pace

    def fresh(self, held: Held, own: int) -> Seen:
        if self.rows is None or self.rows.fresh != self.fresh_for:
            self.rows = Freshness(self.fresh_for)
        return self.rows.look(
            own, {name: (row.n, row.figures) for name, row in held.rows.items() if not row.leaving}
        )

    def gone(self, held: Held, own: int) -> list[str]:
        """Backends that said they leave, or were silent for long in this holder's own sight; not all at once
        where they are many."""
        self.silent = {
            name: had if (had := self.silent.get(name)) and had[0] == row.n else (row.n, own)
            for name, row in held.rows.items()
        }
        limit = GONE_AFTER * self.fresh_for
        return [
            name
            for name, (_, at) in sorted(self.silent.items())
            if held.rows[name].leaving or own - at > limit
        ][:MOST_FOLDED]

    def write(self, hold: Hold, held: Held, position: Position | None, gone: list[str]) -> None:
        """In one transaction, as one was decided with the other."""
        assert self.ramp is not None
        counts: Counts | None = None
        if gone:
            counts = warn.fold(held.counts, [held.rows[name].warned for name in gone], self.lots)
        if position is not None:
            one = position.decided
            hold.write(
                "ramp",
                token=hold.token,
                edition=one.edition,
                rung=one.rung,
                share=one.share,
                phase=position.phase,
                ready=len(one.ready),
            )
            if one.rung == self.pause[0] and one != self.ramp.position.decided:
                pause, self.pause = self.pause[1], (0, 0)
                time.sleep(pause / 1e9)  # fault tests: a pause after the last look, a GC's or VM's
        self.sent, landed = position, None
        try:
            landed = self.link.write(self.name, self.task_key, hold.token, held, position, counts, gone)
        finally:  # None: no answer came, and what came of it is told by the next look
            if position is not None:
                hold.write(
                    "ramped",
                    token=hold.token,
                    edition=position.decided.edition,
                    phase=position.phase,
                    landed=landed,
                )
        self.sent = None
        if landed:
            self.sight.went(f"rows/{name}" for name in gone)
            if position is not None:
                self.landed(self.ramp, position, hold)

    def landed(self, ramp: Ramp, position: Position, hold: Hold) -> None:
        old, one, told = ramp.position, position.decided, ramp.told
        ramp.landed(position)
        text = f"retirement {self.name}: {old.phase} -> {position.phase}, {one.share / 10_000:g}% of callers"
        logger.bind(kind="retirement").info(f"{text}: {position.why}")
        if self.tell is not None:
            self.tell(
                RampStep(
                    self.name,
                    self.holder,
                    old.phase,
                    position.phase,
                    position.why,
                    one.edition,
                    one.rung,
                    one.share,
                    hold.token,
                    told.known,
                    told.fresh,
                    (told.old, told.new, told.errors),
                    told.moved,
                    len(one.ready),
                )
            )
        self.done = ramp.timeline is None and position.phase == Phase.WITHDRAWN.name


class Ramps:
    """A holder for each timeline's ramp, each in a thread of its own. `clock` as the leases count."""

    def __init__(
        self,
        name: str,
        terms: LeaseTerms,
        keepers: list[str],
        clock: OwnClock,
        seed: int,
        tell: Tell | None = None,
        wall: Callable[[], int] = time.time_ns,
        pace: int = PACE,
        history: IO[bytes] | None = None,
        clears: bool = False,
    ) -> None:
        self.name, self.terms, self.keepers, self.clock, self.seed = name, terms, keepers, clock, seed
        self.tell, self.wall, self.pace, self.history = tell, wall, pace, history
        self.pause, self.left = (0, 0), False
        self.placement = Placement(())
        self.running: dict[str, tuple[Ramping, Holder, threading.Thread]] = {}
        self.began, self.lock = 0, threading.Lock()
        self.clearing: Clearing | None = None
        if clears:
            self.clearing = Clearing(
                self.link(RetireLink), self.link(RulesLink), self.followed, self.lead_out, wall, Random(seed)
            )
            self.clearing.thread.start()

    def link(self, of: type[Link]) -> Link:
        return of(self.keepers, self.clock.now, self.terms.answer_within / 1e9)

    def tend(self, timelines: Mapping[str, Timeline]) -> None:
        """The timelines of the rulebook acted by, by name. Whoever holds the ramp of one that is gone from
        there writes that down and lets go; the others let go at once."""
        with self.lock:
            self.forget()
            self.placement.tasks = tuple(sorted(f"retire-{name}" for name in {*timelines, *self.running}))
            for name, (work, holder, _) in self.running.items():
                work.timeline = timelines.get(name)
                if work.timeline is None and not holder.permitted:
                    holder.leave()
            for name, timeline in timelines.items():
                if name not in self.running:
                    self.begin(name, timeline)

    def lead_out(self, name: str) -> None:
        """In the thread of whoever found that nobody does. A timeline that comes back meanwhile is led on."""
        with self.lock:
            self.forget()
            if name not in self.running and not self.left:
                self.placement.tasks = (*self.placement.tasks, f"retire-{name}")
                self.begin(name, None)

    def followed(self) -> set[str]:
        with self.lock:
            self.forget()
            return set(self.running)

    def forget(self) -> None:
        self.running = {name: one for name, one in self.running.items() if one[2].is_alive()}

    def begin(self, name: str, timeline: Timeline | None) -> None:
        task = f"retire-{name}"
        self.began += 1
        rules = None if self.clearing is None else self.link(RulesLink)
        work = Ramping(
            name, timeline, self.name, self.link(RetireLink), self.tell, self.wall, self.pace, rules
        )
        work.pause = self.pause
        holder = Holder(
            self.name,
            task,
            self.terms,
            self.link(KeeperLink),
            work,
            self.clock,
            self.seed + self.began,
            self.history,
            self.tell,
            self.placement,
        )
        self.running[name] = work, holder, apart(holder)

    def leaving(self) -> None:
        """The notice to leave: the leases are let go at once, each by its own thread."""
        with self.lock:
            self.left = True
        if self.clearing is not None:
            self.clearing.ended.set()
        for _, holder, _ in self.running.values():
            holder.leave()

    def leave(self) -> None:
        self.leaving()
        for _, _, thread in self.running.values():
            thread.join(self.terms.leave_within / 1e9 + 0.1)
