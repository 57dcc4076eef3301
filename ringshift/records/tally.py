"""Counts what one server does and cuts a heartbeat out of it each second. No I/O, no clock, no gevent.

Cheap, as it is told of every invocation: a few sums, one set of hashes. Bounded, whatever traffic invents:
operations are those of the start, callers and repeats are kept in sets of a fixed size.
"""

from __future__ import annotations

from collections.abc import Sequence
from math import exp
from typing import TYPE_CHECKING

from ringshift.records.schema import MOST_STAMPS, Body, Counts, Second, Shedding, Stamp
from ringshift.records.watch import AWAY, ERRORED, GONE, RULED, SUCCEEDED, THROTTLED

if TYPE_CHECKING:
    from ringshift.control import Controller
    from ringshift.decaying_sum import DecayingSum

MS, S = 10**6, 10**9
BEAT = S // 4  # how exactly a standstill is told, at four turns of the owner a second
REMEMBERED = 4096  # arrivals in each of two sets, by which a repeat is known
RENEWED = 5 * S  # the sets change places at the latest then: a repeat is known for five to ten seconds
MOST_CALLERS = 256
SHED_ON, SHED_OFF = 0.02, 3  # share of an operation's answers throttled; seconds without any that end it


class Row:
    """One operation's sums of the current span."""

    __slots__ = ("arrived", "ends", "failed_runs", "launched", "ran", "ran_ns", "shedding", "still")

    def __init__(self) -> None:
        self.shedding, self.still = False, 0
        self.clear()

    def clear(self) -> None:
        self.arrived = self.launched = self.ran = self.ran_ns = self.failed_runs = 0
        self.ends = [0] * (AWAY + 1)


class Tally:
    def __init__(self, operations: Sequence[str]) -> None:
        self.names, self.rows = tuple(operations), [Row() for _ in operations]
        self.began = self.lag = 0
        self.fresh, self.stale, self.renewed = set[int](), set[int](), 0
        self.clear()

    def clear(self) -> None:
        for row in self.rows:
            row.clear()
        self.again = self.unread = self.asked = self.sampled = self.lag = self.count = 0
        self.callers, self.stamps = set[int](), dict[int, tuple[int, int]]()

    def arrived(self, operation: int, what: int, caller: int, unread: int, ahead: int | None) -> None:
        """`what` is a hash of all that a repeat would send again; `ahead` the own clock less the sender's."""
        self.rows[operation].arrived += 1
        self.count += 1
        self.unread += unread
        if what in self.fresh or what in self.stale:
            self.again += 1
        elif len(self.fresh) < REMEMBERED:
            self.fresh.add(what)
        if len(self.callers) < MOST_CALLERS:
            self.callers.add(caller)
        if ahead is None:
            return
        known = self.stamps.get(caller)
        if known is not None:
            self.stamps[caller] = min(known[0], ahead), known[1] + 1
        elif len(self.stamps) < MOST_CALLERS:
            self.stamps[caller] = ahead, 1

    def beat(self, now: int, late: int) -> bool:
        """Four times a second, `late` by that much; whether a heartbeat is due."""
        if not self.began:
            self.began = self.renewed = now
        self.lag = max(self.lag, late)
        return now - self.began >= S - BEAT // 4

    def cut(self, now: int, controller: Controller | None) -> list[Body]:
        """The heartbeat, and where an operation's shedding began or ended with it."""
        if now - self.renewed >= RENEWED or len(self.fresh) >= REMEMBERED:
            self.fresh, self.stale, self.renewed = set(), self.fresh, now
        changes: list[Body] = []
        for name, row in zip(self.names, self.rows, strict=True):
            throttled = row.ends[THROTTLED]
            row.still = 0 if throttled else row.still + 1
            on = throttled > SHED_ON * sum(row.ends) if throttled else row.shedding and row.still < SHED_OFF
            on = on or (row.shedding and throttled > 0)
            if on != row.shedding:
                row.shedding = on
                changes.append(Shedding(name, on))
        heartbeat = self.heartbeat(now, controller)
        self.began = now
        self.clear()
        return [heartbeat, *changes]

    def heartbeat(self, now: int, controller: Controller | None) -> Second:
        view = View(controller, now) if controller is not None else None
        counts = tuple(
            Counts(
                name,
                row.arrived,
                row.ends[SUCCEEDED],
                row.ends[THROTTLED],
                row.ends[ERRORED],
                row.ends[GONE],
                row.launched,
                row.ran,
                round(row.ran_ns / MS, 3),
                row.failed_runs,
                view.held[index] if view else 0,
                round(view.levels[index], 3) if view else 0.0,
                row.ends[RULED] + row.ends[AWAY],
            )
            for index, (name, row) in enumerate(zip(self.names, self.rows, strict=True))
        )
        most = sorted(self.stamps.items(), key=lambda one: (-one[1][1], one[0]))[:MOST_STAMPS]
        stamps = tuple(Stamp(caller, round(least / MS, 3), count) for caller, (least, count) in most)
        told = Second(
            span_ms=round((now - self.began) / MS, 3),
            counts=counts,
            again=self.again,
            callers=len(self.callers),
            unread_ms=round(self.unread / max(self.count, 1) / MS, 3),
            asked=self.asked,
            sampled=self.sampled,
            lag_ms=round(self.lag / MS, 3),
            stamps=stamps,
        )
        if view is None:
            return told
        return Second(
            told.span_ms,
            told.counts,
            view.running,
            view.limit,
            round(view.door, 3),
            round(view.pressure, 3),
            round(view.slowness, 3),
            round(view.memory_kb, 1),
            told.again,
            told.callers,
            told.unread_ms,
            told.asked,
            told.sampled,
            view.wanting,
            told.lag_ms,
            told.stamps,
        )


def peek(decaying: DecayingSum, now: int) -> float:
    """The mean as `DecayingSum.mean` tells it, yet nothing is brought up to date: a look must change no
    decision, not in the last bit either."""
    left = exp((decaying.at - now) / decaying.span) if now > decaying.at else 1.0
    return (decaying.total * left + decaying.prior) / (decaying.count * left + 1)


class View:
    """What the module believes, in figures, read from outside without a trace."""

    def __init__(self, controller: Controller, now: int) -> None:
        from ringshift.control.invocation import HELD, RUNNING
        from ringshift.control.lines import CALM, HOLD

        lines, limit = controller.lines, controller.limit
        cores = [peek(line.core, now) for line in lines]
        self.running, self.limit, self.door = controller.count[RUNNING], limit, controller.open
        self.slowness, self.memory_kb = controller.slowed, controller.memory
        self.held = [len(line.queue) for line in lines]
        self.wanting = round(peek(controller.wanted, now), 2)
        spare = [
            max(line.op.objective - peek(line.run, now) * self.slowness, line.op.objective * 0.1) * HOLD
            for line in lines
        ]
        held = controller.count[HELD]
        beyond = max(held - max(limit - self.running, 0), 0) / held if held else 0.0
        wait = beyond * sum(line.work * core for line, core in zip(lines, cores, strict=True))
        wait *= self.slowness / limit
        self.pressure = min(wait / min(spare), 99.0)
        self.levels = [min(max(wait / one - CALM, 0.0) / (1 - CALM), 1.0) for one in spare]
