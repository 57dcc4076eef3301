"""One run's records as what matters of them: spells of trouble, its service over time, what ties its clock.

A digest takes records one by one, in the order of `seq`, keeps none, and its size is bounded whatever they
hold. All times are the run's own `up`.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from math import sqrt
from typing import Any

from ringshift.findings.signs import Kind, Mood, Sign, Spell, Watcher
from ringshift.records.schema import (
    Dropped,
    Ended,
    Greeted,
    LeaseChange,
    Mark,
    Phase,
    Ready,
    Record,
    Said,
    Saw,
    Second,
    ShareChange,
    Shedding,
    Started,
)

MS, S = 10**6, 10**9
MOST_SPELLS = 2000
MOST_MARKS = 2000
MOST_STAMPED = 240  # windows by caller that tie a run's clock
MOST_OPERATIONS = 200
STANDSTILL = 400 * MS  # a beat that late is told as a pause; a busy core holds one up for some tens of ms
SILENT = 2500 * MS  # two and a half heartbeats without a record, and none missing
STEPPED = 100 * MS  # between two records: a clock drifting at 200 ppm takes eight minutes for as much
SLOWER, EASED = 1.8, 1.35  # times the usual mean run
USUAL = 20  # runs of an operation until its usual mean is known
HANDFUL = 3  # runs by which a second is judged
FULLER, FULL_EASED = 1.5, 1.25  # times the usual rate of fresh arrivals
REPEATS, REPEATS_EASED = 0.3, 0.15  # share of arrivals that repeat one of the same caller
CALM_SECONDS = 4  # heartbeats in service until a usual rate is known
FADE = 20.0  # heartbeats over which what is usual fades


# A bucket of a run's series: these figures of the server, then `COUNTS` of them for each of its operations.
SECONDS, LIMIT, PRESSURE, RUNNING, AGAIN, LAG = range(6)
SERVER_FIGURES = 6
ARRIVED, SUCCEEDED, THROTTLED, ERRORED, GONE, RAN, RAN_MS = range(7)
COUNTS = 7
WIDTHS = (1 * S, 5 * S, 15 * S, 60 * S, 300 * S, 3600 * S, 24 * 3600 * S)
MOST_BUCKETS = 1500  # a day of minutes; a longer run's buckets are put together to the next width


@dataclass(slots=True)
class Digest:
    server: str
    run: str
    role: str = "server"
    version: str = ""
    operations: tuple[str, ...] = ()
    text: bool = False
    """From a text log, whose `up` is made of its wall clock."""
    records: int = 0
    wall: int = 0
    """The wall clock at `up` 0, as the first records tell it."""
    wall_end: int = 0
    """The same, as the last record tells it: apart from `wall` by drift and steps."""
    first_up: int = 0
    last_up: int = 0
    last_beat: int = -1
    """The `up` of its last heartbeat, -1 where there was none."""
    last_seq: int = 0
    first_seq: int = 0
    rate: float = 0.0
    """Fresh arrivals a second, as they last were."""
    phases: list[tuple[int, str, int]] = field(default_factory=list)
    spells: list[Spell] = field(default_factory=list)
    width: int = WIDTHS[0]
    buckets: dict[int, list[float]] = field(default_factory=dict)
    """`up` over the width -> figures, as laid out above."""
    marks: list[tuple[str, int, int]] = field(default_factory=list)
    """token, spread in nanoseconds, up"""
    words: list[tuple[bool, int, int]] = field(default_factory=list)
    """Readiness as told: good, up, seq."""
    saw: list[tuple[str, str, str, int, int]] = field(default_factory=list)
    """server, what, detail, up, seq"""
    stamps: list[tuple[int, int, int, int]] = field(default_factory=list)
    """caller, window, how far `up` 0 lies past the caller's clock's 0 at least, up"""
    shares: list[tuple[str, float, str, int]] = field(default_factory=list)
    """Of fleet-wide budgets: budget, what may be used from then on, why, up"""
    holds: list[tuple[str, str, int]] = field(default_factory=list)
    """Of fleet tasks' leases: task, the state gone to, up"""
    ended: tuple[int, int, int, int] | None = None
    """status, owed, up, seq"""
    errors: list[tuple[int, str, int]] = field(default_factory=list)


class Digester:
    def __init__(self, server: str, run: str) -> None:
        self.digest = Digest(server, run, text=run.startswith("text-"))
        spells = self.digest.spells
        self.slow = Watcher(Kind.SLOW, spells)
        self.hung = Watcher(Kind.HUNG, spells, needs=1, eases=1)
        self.jump = Watcher(Kind.JUMP, spells)
        self.storm = Watcher(Kind.STORM, spells)
        self.erring = Watcher(Kind.ERRORS, spells, needs=1)
        self.watchers = (self.slow, self.hung, self.jump, self.storm, self.erring)
        self.usual: dict[str, list[float]] = {}
        self.calm, self.usual_rate, self.usual_again = 0, 0.0, 0.0
        self.index: dict[str, int] = {}
        self.open: dict[tuple[Kind, str], Spell] = {}
        self.last: Record | None = None
        self.before: tuple[tuple[int, int], int, dict[Kind, float]] | None = None
        self.stamp_window = 60 * S
        self.best_stamp: dict[tuple[int, int], tuple[int, int]] = {}

    def hear(self, record: Record) -> None:
        digest, last = self.digest, self.last
        offset = record.at - record.up
        if last is None:
            digest.wall, digest.first_up, digest.first_seq = offset, record.up, record.seq
        else:
            self.check_order(last, record)
        digest.records += 1
        digest.wall_end = offset
        digest.last_up, digest.last_seq = max(digest.last_up, record.up), record.seq
        self.last = record
        HEARD[type(record.body)](self, record, record.body)

    def check_order(self, last: Record, record: Record) -> None:
        """What lies between two records that follow each other: nothing, missing ones, a pause, a step."""
        missing = record.seq - last.seq - 1
        silent = record.up - last.up
        if isinstance(record.body, Dropped):
            missing = max(missing, record.body.count)
        if missing > 0:
            self.add(Spell(Kind.GAP, last.up, record.up, "", 0.0, missing, [last.seq, record.seq]))
            self.forget(record.up)
        elif silent > SILENT and not self.digest.text:
            self.pause(last.up + S // 2, record.up, [last.seq, record.seq], S // 2)
        step = (record.at - record.up) - (last.at - last.up)
        if abs(step) > STEPPED + DRIFTED * max(silent, 0) and not self.digest.text:
            self.add(Spell(Kind.STEP, last.up, record.up, "", 0.0, step / S, [last.seq, record.seq]))

    def add(self, spell: Spell) -> None:
        if len(self.digest.spells) < MOST_SPELLS:
            self.digest.spells.append(spell)

    def forget(self, up: int) -> None:
        """Over a gap nothing is known: neither that a trouble lasted, nor that it ended."""
        self.before = None
        for watcher in self.watchers:
            if watcher.mood is Mood.SUSPECT:
                watcher.close(up)

    def pause(self, start: int, end: int, evidence: list[int], slack: int) -> None:
        spells = self.digest.spells
        if spells and spells[-1].kind is Kind.PAUSED and (spells[-1].end or 0) >= start - S:
            spells[-1].start, spells[-1].slack = max(spells[-1].start, start), min(spells[-1].slack, slack)
            return
        self.add(Spell(Kind.PAUSED, start, end, "", 0.0, (end - start) / S, evidence, slack))

    def toggle(self, kind: Kind, operation: str, on: bool, up: int, seq: int, slack: int = 0) -> None:
        """Troubles that a record opens and another closes."""
        spell = self.open.get((kind, operation))
        if on and spell is None and len(self.open) < MOST_OPERATIONS:
            spell = Spell(kind, up, None, operation, 0.0, 0.0, [seq], slack)
            self.open[kind, operation] = spell
            self.add(spell)
        elif not on and spell is not None:
            spell.end = max(up, spell.start)
            spell.evidence.append(seq)
            del self.open[kind, operation]

    # By kind of record.

    def on_started(self, record: Record, body: Started) -> None:
        digest = self.digest
        digest.role, digest.version = body.role, body.version
        for operation in body.operations:
            self.place(operation[:200])
        if not digest.phases:
            digest.phases.append((record.up, "starting", record.seq))

    def on_phase(self, record: Record, body: Phase) -> None:
        self.digest.phases.append((record.up, body.new, record.seq))
        if body.new == "leaving":
            for watcher in self.watchers:
                watcher.close(record.up)

    def on_greeted(self, record: Record, body: Greeted) -> None:
        self.toggle(Kind.LINK_LOST, "", False, record.up, record.seq)
        if body.cold:
            self.toggle(Kind.COLD, "", True, record.up, record.seq)

    def on_ready(self, record: Record, body: Ready) -> None:
        digest = self.digest
        if len(digest.words) < MOST_MARKS:
            digest.words.append((body.good, record.up, record.seq))
        if body.good:
            self.toggle(Kind.COLD, "", False, record.up, record.seq)
        leaving = bool(digest.phases) and digest.phases[-1][1] in ("leaving", "closing", "closed")
        if not leaving and (Kind.COLD, "") not in self.open:
            self.toggle(Kind.NOT_READY, "", not body.good, record.up, record.seq)

    def on_shedding(self, record: Record, body: Shedding) -> None:
        if self.digest.text:
            up, slack = record.up, 50 * MS
        else:
            # The heartbeat before it tells of the second in which it began, or of the third one without any.
            span = self.before[0] if self.before else (record.up - S, record.up)
            up, slack = (sum(span) // 2, S // 2) if body.on else (span[0] - 2 * S, S)
        self.toggle(Kind.SHEDDING, body.operation[:200], body.on, up, record.seq, slack)

    def on_said(self, record: Record, body: Said) -> None:
        for start, kind, on in SAYINGS:
            if body.text.startswith(start):
                self.toggle(kind, "", on, record.up, record.seq)
        if body.level in ("error", "critical") and len(self.digest.errors) < 100:
            self.digest.errors.append((record.up, body.text[:300], record.seq))

    def on_mark(self, record: Record, body: Mark) -> None:
        if len(self.digest.marks) < MOST_MARKS and 0 <= body.spread_ms < 1e9:
            self.digest.marks.append((body.token[:200], round(body.spread_ms * MS), record.up))

    def on_saw(self, record: Record, body: Saw) -> None:
        if len(self.digest.saw) < 50 * MOST_MARKS:
            row = body.server[:200], body.what[:50], body.detail[:200], record.up, record.seq
            self.digest.saw.append(row)

    def on_share(self, record: Record, body: ShareChange) -> None:
        if len(self.digest.shares) < 50 * MOST_MARKS:
            self.digest.shares.append((body.budget[:200], body.new, body.why[:50], record.up))

    def on_lease(self, record: Record, body: LeaseChange) -> None:
        if len(self.digest.holds) < MOST_MARKS:
            self.digest.holds.append((body.task[:200], body.new[:50], record.up))

    def on_dropped(self, record: Record, body: Dropped) -> None:
        pass  # told by check_order, as the gap that it stands in

    def on_ended(self, record: Record, body: Ended) -> None:
        self.digest.ended = body.status, body.owed, record.up, record.seq

    def on_second(self, record: Record, body: Second) -> None:
        end = self.digest.last_beat = record.up
        span = (max(end - round(max(body.span_ms, 0.0) * MS), 0), end)
        if body.lag_ms * MS > STANDSTILL:
            lag = round(body.lag_ms * MS)
            # The beat that came late was due up to a quarter of a second after the standstill began.
            self.pause(end - lag - S // 8, end, [record.seq], S // 8)
            self.before = None
            self.count(record, body)
            return
        self.count(record, body)
        figures = {
            Kind.SLOW: self.judge_runs(record, body, span),
            Kind.HUNG: self.judge_gauges(record, body, span),
            Kind.ERRORS: self.judge_errors(record, body, span),
        } | self.judge_arrivals(record, body, span)
        self.before = span, record.seq, figures
        self.take_stamps(record, body)

    def place(self, operation: str) -> int:
        """Of an operation among those of this run, which learns the ones that its start did not name."""
        index = self.index.get(operation)
        if index is None:
            if len(self.index) >= MOST_OPERATIONS:
                return -1
            index = self.index[operation] = len(self.index)
            self.digest.operations = tuple(self.index)
        return index

    def count(self, record: Record, body: Second) -> None:
        """Into the buckets of `up`; the course shifts them to the common time by their middles."""
        digest = self.digest
        bucket = digest.buckets.setdefault(record.up // digest.width, [0.0] * SERVER_FIGURES)
        bucket[SECONDS] += 1
        bucket[LIMIT] += body.limit
        bucket[PRESSURE] += body.pressure
        bucket[RUNNING] += body.running
        bucket[AGAIN] += body.again
        bucket[LAG] = max(bucket[LAG], body.lag_ms)
        for one in body.counts[:MOST_OPERATIONS]:
            if (index := self.place(one.operation[:200])) < 0:
                continue
            at = SERVER_FIGURES + index * COUNTS
            if len(bucket) < at + COUNTS:
                bucket.extend([0.0] * (at + COUNTS - len(bucket)))
            figures = (one.arrived, one.succeeded, one.throttled, one.errored, one.gone, one.ran, one.ran_ms)
            for offset, value in enumerate(figures):
                bucket[at + offset] += value
        if len(digest.buckets) > MOST_BUCKETS:
            self.widen()

    def widen(self) -> None:
        digest = self.digest
        old, digest.width = digest.width, next((w for w in WIDTHS if w > digest.width), digest.width)
        folded: dict[int, list[float]] = {}
        for index, bucket in digest.buckets.items():
            into = folded.setdefault(index * old // digest.width, [0.0] * len(bucket))
            into.extend([0.0] * (len(bucket) - len(into)))
            lag = max(into[LAG], bucket[LAG])
            for place, value in enumerate(bucket):
                into[place] += value
            into[LAG] = lag
        digest.buckets = folded

    def partial(self, kind: Kind) -> tuple[tuple[int, int], float, int] | None:
        if self.before is None or kind not in self.before[2]:
            return None
        return self.before[0], self.before[2][kind], self.before[1]

    def judge_runs(self, record: Record, body: Second, span: tuple[int, int]) -> float:
        """Runs against what runs of their operation usually take; each operation has its own usual."""
        took = expected = 0.0
        runs = 0
        for one in body.counts[:MOST_OPERATIONS]:
            if one.ran <= 0:
                continue
            usual = self.usual.setdefault(one.operation[:200], [0.0, 0.0])
            if usual[0] >= USUAL:
                took, expected = took + one.ran_ms, expected + one.ran * usual[1] / usual[0]
                runs += one.ran
        value = took / expected if expected > 0 else 1.0
        sign = (
            Sign.NOTHING
            if runs < HANDFUL
            else Sign.OVER
            if value > SLOWER
            else Sign.UNDER
            if value < EASED
            else Sign.BETWEEN
        )
        self.slow.hear(sign, span, record.seq, value, 1.0, self.partial(Kind.SLOW))
        if self.slow.mood is Mood.CALM:
            for one in body.counts[:MOST_OPERATIONS]:
                usual = self.usual.setdefault(one.operation[:200], [0.0, 0.0])
                usual[0] = usual[0] * (1 - 1 / FADE) + one.ran
                usual[1] = usual[1] * (1 - 1 / FADE) + one.ran_ms
        return value

    def judge_gauges(self, record: Record, body: Second, span: tuple[int, int]) -> float:
        """An agent that does not tell its gauges does nothing else either."""
        silent = 1 - min(body.sampled / body.asked, 1.0) if body.asked >= 4 else 0.0
        ran = sum(one.ran for one in body.counts)
        sign = Sign.NOTHING if body.asked < 4 else Sign.UNDER if body.sampled else Sign.BETWEEN
        if body.asked >= 4 and silent >= 0.5 and (ran == 0 or body.sampled > 0):
            sign = Sign.OVER
        if sign is Sign.UNDER and silent >= 0.15:
            sign = Sign.BETWEEN
        was = self.hung.spell
        self.hung.hear(sign, span, record.seq, silent, 0.0, self.partial(Kind.HUNG))
        if was is None and self.hung.spell is not None:
            # The share that was still answered tells the moment; the second before may hold its beginning.
            share, start = silent, span[1] - round(silent * (span[1] - span[0]))
            part = self.partial(Kind.HUNG)
            if share > 0.9 and part is not None and part[1] > 0.1:
                start = part[0][1] - round(part[1] * (part[0][1] - part[0][0]))
            self.hung.spell.start, self.hung.spell.slack = start, S // 4
        return silent

    def judge_errors(self, record: Record, body: Second, span: tuple[int, int]) -> float:
        ran = sum(one.ran for one in body.counts)
        failed = sum(one.failed_runs for one in body.counts)
        share = failed / ran if ran else 0.0
        sign = (
            Sign.NOTHING
            if ran < HANDFUL
            else Sign.OVER
            if share > 0.3 and failed >= HANDFUL
            else Sign.UNDER
            if share < 0.1
            else Sign.BETWEEN
        )
        self.erring.hear(sign, span, record.seq, share, 0.0, self.partial(Kind.ERRORS))
        return share

    def judge_arrivals(self, record: Record, body: Second, span: tuple[int, int]) -> dict[Kind, float]:
        """Fresh ones against their usual rate, repeats against all."""
        seconds = max((span[1] - span[0]) / S, 0.2)
        arrived = sum(one.arrived for one in body.counts)
        fresh = max(arrived - body.again, 0) / seconds
        again = body.again / arrived if arrived else 0.0
        usual, known = self.usual_rate, self.calm >= CALM_SECONDS
        bar = max(FULLER * usual, usual + 4 * sqrt(usual))
        sign = (
            Sign.NOTHING
            if not known
            else Sign.OVER
            if fresh > bar and usual >= 3
            else Sign.UNDER
            if fresh < FULL_EASED * usual + sqrt(usual)
            else Sign.BETWEEN
        )
        self.jump.hear(sign, span, record.seq, fresh, usual, self.partial(Kind.JUMP))
        bar = max(REPEATS, 2 * self.usual_again + 0.1)
        eased = max(REPEATS_EASED, 1.3 * self.usual_again)
        sign = (
            Sign.NOTHING
            if arrived < 5 or not known
            else Sign.OVER
            if again > bar
            else Sign.UNDER
            if again < eased
            else Sign.BETWEEN
        )
        self.storm.hear(sign, span, record.seq, again, self.usual_again, self.partial(Kind.STORM))
        serving = bool(self.digest.phases) and self.digest.phases[-1][1] == "serving"
        if serving and arrived and self.jump.mood is Mood.CALM:
            # At first a plain mean, so that what is usual is known at once; a fading one later.
            pace = max(1 / FADE, 1 / (self.calm + 1))
            self.usual_rate += (fresh - self.usual_rate) * pace
            if self.storm.mood is Mood.CALM:
                self.usual_again += (again - self.usual_again) * pace
            self.calm += 1
        self.digest.rate = fresh
        return {Kind.JUMP: fresh, Kind.STORM: again}

    def take_stamps(self, record: Record, body: Second) -> None:
        """The least difference of a window is the one with the least delay in it."""
        for one in body.stamps:
            key = one.caller, record.up // self.stamp_window
            # By the caller's clock it was `at - least` when it was `up` here.
            value = record.at - record.up - round(one.least_ms * MS)
            best = self.best_stamp.get(key)
            if best is None or value > best[0]:
                self.best_stamp[key] = value, record.up
        while len(self.best_stamp) > MOST_STAMPED:
            # Of a long run fewer and wider windows: its clock drifts no faster for it.
            self.stamp_window *= 2
            folded: dict[tuple[int, int], tuple[int, int]] = {}
            for (caller, window), seen in self.best_stamp.items():
                into = caller, window // 2
                folded[into] = max(folded.get(into, seen), seen)
            if len(folded) == len(self.best_stamp):
                folded = dict(list(folded.items())[:MOST_STAMPED])  # that many callers: the first ones do
            self.best_stamp = folded

    def finish(self) -> Digest:
        digest = self.digest
        digest.stamps = [
            (caller, window, value, up) for (caller, window), (value, up) in sorted(self.best_stamp.items())
        ]
        digest.spells.sort(key=lambda spell: spell.start)
        return digest


DRIFTED = 0.001  # of a silence: what drift may come to in it
SAYINGS: list[tuple[str, Kind, bool]] = [
    ("agent can't be reached", Kind.LINK_LOST, True),
    ("agent's link ended", Kind.LINK_LOST, True),
    ("agent's link made anew", Kind.LINK_LOST, False),
    ("announce service can't be reached", Kind.ANNOUNCE_LOST, True),
]
HEARD: dict[type, Callable[[Digester, Record, Any], None]] = {
    Started: Digester.on_started,
    Phase: Digester.on_phase,
    Greeted: Digester.on_greeted,
    Ready: Digester.on_ready,
    Second: Digester.on_second,
    Shedding: Digester.on_shedding,
    Said: Digester.on_said,
    Mark: Digester.on_mark,
    Saw: Digester.on_saw,
    Dropped: Digester.on_dropped,
    Ended: Digester.on_ended,
    ShareChange: Digester.on_share,
    LeaseChange: Digester.on_lease,
}
