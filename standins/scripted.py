"""A fleet's records without the fleet: what servers would have written under a scripted course of troubles.

For what sockets can't show: hours, hundreds of servers, clocks that step. Times in the script are seconds
from its start by the true clock.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, field
from random import Random

from ringshift.records.schema import (
    Body,
    Counts,
    Ended,
    Greeted,
    Mark,
    Phase,
    Ready,
    Record,
    Saw,
    Second,
    Shedding,
    Stamp,
    Started,
)
from standins.skew import Skew

S = 10**9
NOON = 1_796_000_000 * S
TURNED = 0.3  # share turned away while shedding


@dataclass(frozen=True, slots=True)
class Trouble:
    """`what` is of KINDS; `until` is None where it lasts."""

    what: str
    server: str
    at: float
    until: float | None = None

    def on(self, at: float) -> bool:
        return self.at <= at and (self.until is None or at < self.until)


KINDS = ("vanish", "drain", "slow", "hung", "jump", "storm", "shed", "pause", "gap", "cold")


@dataclass
class Script:
    seed: int
    servers: int = 4
    seconds: float = 60.0
    rate: float = 40.0
    troubles: list[Trouble] = field(default_factory=list)
    skews: dict[str, Skew] = field(default_factory=dict)
    operations: tuple[str, ...] = ("look", "order")
    callers: int = 4
    """Whose stamps tie the servers' clocks; 0 for none."""
    observer: bool = True

    def names(self) -> list[str]:
        return [f"n{index}" for index in range(1, self.servers + 1)]

    def skewed(self, off: float = 5.0, ppm: float = 200.0) -> Script:
        """Gives each server a clock of its own."""
        random = Random(f"{self.seed}-clocks")
        for name in [*self.names(), *(f"caller-{index}" for index in range(self.callers))]:
            ahead = round(random.uniform(-off, off) * S)
            self.skews[name] = Skew(ahead, random.uniform(-ppm, ppm), 0, 0, NOON)
        return self

    def records(self, name: str) -> Iterator[Record]:
        """One server's, run after run, without those that a gap swallows."""
        random = Random(f"{self.seed}-{name}")
        mine = [one for one in self.troubles if one.server in (name, "*")]
        start, number = 0.02 + random.random() * 0.5, 0
        while start < self.seconds:
            ends = [one for one in mine if one.what in ("vanish", "drain", "cold") and one.at > start]
            end = min(ends, key=lambda one: one.at, default=None)
            number += 1
            yield from self.run(name, f"r{number}", random, mine, start, end, number > 1)
            if end is None or end.until is None or end.until <= end.at:
                return
            start = end.until

    def run(
        self,
        name: str,
        run: str,
        random: Random,
        mine: list[Trouble],
        start: float,
        end: Trouble | None,
        again: bool,
    ) -> Iterator[Record]:
        writer = Writer(name, run, self.skews.get(name, Skew(zero=NOON)), start, mine)
        yield from writer.write(start, Started("", "127.0.0.1:1", self.operations, 4, 2000.0))
        yield from writer.write(start, Phase("starting", "waiting", "listens"))
        cold = again and any(one.what == "cold" and one.until == start for one in mine)
        yield from writer.write(start + 0.01, Greeted(cold, 0.0))
        yield from writer.write(start + 0.01, Ready(not cold))
        yield from writer.write(start + 0.01, Phase("waiting", "serving", "greeted"))
        yield from writer.write(start + 0.02, Mark(f"report {name} {run}", 5.0))
        shedding, at, warm = False, start, not cold
        while True:
            at += 1.0
            paused = next((one for one in mine if one.what == "pause" and at - 1 <= one.at < at), None)
            lag = 0.0
            if paused is not None and paused.until is not None and paused.until > at:
                at = paused.until + 0.01
                lag = (paused.until - paused.at) * 1000
            if not warm and at - start > 4:
                warm = True
                yield from writer.write(start + 4, Ready(True))
            if end is not None and at >= end.at:
                if end.what == "drain":
                    yield from writer.write(end.at, Phase("serving", "leaving", "told to leave"))
                    yield from writer.write(end.at, Ready(False))
                    yield from writer.write(end.at + 1.2, Ended(0, 0))
                return
            if at >= self.seconds:
                return
            yield from writer.write(at, self.second(name, random, mine, at, lag))
            now = any(one.what == "shed" and one.on(at - 0.5) for one in mine)
            if now != shedding:
                shedding = now
                yield from writer.write(at + 0.001, Shedding(self.operations[0], now))

    def second(self, name: str, random: Random, mine: list[Trouble], at: float, lag: float) -> Second:
        def share(what: str) -> float:
            """Of the second that ends now, in which a trouble was."""
            return sum(
                max(min(at, one.until if one.until is not None else at) - max(at - 1, one.at), 0.0)
                for one in mine
                if one.what == what
            )

        hung, slow, jump, storm = share("hung"), share("slow"), share("jump"), share("storm")
        counts = list[Counts]()
        again = 0
        for index, operation in enumerate(self.operations):
            fresh = random.gauss(self.rate / len(self.operations), (self.rate / len(self.operations)) ** 0.5)
            fresh = max(fresh, 0.0) * (1 + 1.5 * jump)
            repeats = round(fresh * 2 * storm)
            arrived = round(fresh) + repeats
            again += repeats
            turned = round(arrived * TURNED * share("shed")) if index == 0 else 0
            ran = round((arrived - turned) * (1 - hung))
            took = ran * 40.0 * (1 + 3 * slow) * random.uniform(0.95, 1.05)
            row = arrived, ran, turned, 0, 0, arrived - turned, ran, round(took, 3)
            counts.append(Counts(operation, *row))
        mean = self.rate / 20
        least = random.uniform(0.3, 2.0)
        stamps = tuple(self.stamp(name, caller, at, least) for caller in range(self.callers))
        return Second(
            1000.0 + lag,
            tuple(counts),
            round(mean),
            4.0,
            1.0,
            0.1 + storm,
            1.0,
            100.0,
            again,
            self.callers,
            0.5,
            20,
            round(20 * (1 - hung)),
            mean,
            lag,
            stamps,
        )

    def stamp(self, name: str, caller: int, at: float, least: float) -> Stamp:
        true = NOON + round(at * S)
        own = self.skews.get(name, Skew(zero=NOON)).wall(true)
        other = self.skews.get(f"caller-{caller}", Skew(zero=NOON)).wall(true)
        return Stamp(caller, round((own - other) / 1e6 + least, 3), 10)

    def watched(self) -> Iterator[Record]:
        """What an announce service heard, by a true clock."""
        writer = Writer("announce", "r1", Skew(zero=NOON), 0.0, [])
        yield from writer.write(0.0, Started("", "", (), 0, 0.0, role="observer"))
        news = list[tuple[float, Body]]()
        for name in self.names():
            for record in self.records(name):
                true = (record.up_true if isinstance(record, TrueRecord) else 0) / S
                if isinstance(record.body, Mark):
                    news += [(true + 0.01, record.body), (true + 0.01, Saw(name, "announced", "true"))]
        news += [(float(second), Second(1000.0, ())) for second in range(1, int(self.seconds))]
        for at, body in sorted(news, key=lambda one: one[0]):
            yield from writer.write(at, body)

    def everything(self) -> Iterator[Record]:
        for name in self.names():
            yield from self.records(name)
        if self.observer:
            yield from self.watched()


@dataclass(frozen=True, slots=True)
class TrueRecord(Record):
    """A record that still knows when it was written: nanoseconds from the script's start."""

    up_true: int = 0


class Writer:
    def __init__(self, server: str, run: str, skew: Skew, start: float, troubles: list[Trouble]) -> None:
        self.server, self.run, self.skew, self.seq = server, run, skew, 0
        self.start = start
        self.gaps = [one for one in troubles if one.what == "gap"]

    def write(self, at: float, body: Body) -> Iterator[Record]:
        self.seq += 1
        true = NOON + round(at * S)
        up = round((at - self.start) * S * (1 + self.skew.ppm / 1e6))
        if not any(one.on(at) for one in self.gaps):
            yield TrueRecord(self.server, self.run, self.seq, self.skew.wall(true), up, body, round(at * S))
