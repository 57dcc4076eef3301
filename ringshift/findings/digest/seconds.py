"""A run's heartbeats, each judged against what is usual for this run: slow, hung, erring, jumps, storms."""

from __future__ import annotations

from math import sqrt

from ringshift.findings.digest.series import MOST_OPERATIONS
from ringshift.findings.digest.words import Digest, S
from ringshift.findings.signs import Kind, Mood, Sign, Watcher
from ringshift.records.schema import Record, Second

SLOWER, EASED = 1.8, 1.35  # times the usual mean run
USUAL = 20  # runs of an operation until its usual mean is known
HANDFUL = 3  # runs by which a second is judged
FULLER, FULL_EASED = 1.5, 1.25  # times the usual rate of fresh arrivals
REPEATS, REPEATS_EASED = 0.3, 0.15  # share of arrivals that repeat one of the same caller
CALM_SECONDS = 4  # heartbeats in service until a usual rate is known
FADE = 20.0  # heartbeats over which what is usual fades


class Seconds:
    def __init__(self, digest: Digest) -> None:
        self.digest = digest
        spells = digest.spells
        self.slow = Watcher(Kind.SLOW, spells)
        self.hung = Watcher(Kind.HUNG, spells, needs=1, eases=1)
        self.jump = Watcher(Kind.JUMP, spells)
        self.storm = Watcher(Kind.STORM, spells)
        self.erring = Watcher(Kind.ERRORS, spells, needs=1)
        self.watchers = (self.slow, self.hung, self.jump, self.storm, self.erring)
        self.usual: dict[str, list[float]] = {}
        self.calm, self.usual_rate, self.usual_again = 0, 0.0, 0.0
        self.before: tuple[tuple[int, int], int, dict[Kind, float]] | None = None

    def hear(self, record: Record, body: Second, span: tuple[int, int]) -> None:
        figures = {
            Kind.SLOW: self.judge_runs(record, body, span),
            Kind.HUNG: self.judge_gauges(record, body, span),
            Kind.ERRORS: self.judge_errors(record, body, span),
        } | self.judge_arrivals(record, body, span)
        self.before = span, record.seq, figures

    def forget(self, up: int) -> None:
        """Over a gap nothing is known: neither that a trouble lasted, nor that it ended."""
        self.before = None
        for watcher in self.watchers:
            if watcher.mood is Mood.SUSPECT:
                watcher.close(up)

    def close(self, up: int) -> None:
        """The server leaves: nothing of it is a trouble any more."""
        for watcher in self.watchers:
            watcher.close(up)

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
