"""Takes a run's records one by one, in the order of `seq`, and puts its digest together."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from ringshift.findings.digest.seconds import Seconds
from ringshift.findings.digest.series import MOST_OPERATIONS, Series
from ringshift.findings.digest.stamps import Stamps
from ringshift.findings.digest.words import MS, Digest, S
from ringshift.findings.signs import Kind, Spell
from ringshift.records.schema import (
    ChangeStep,
    Dropped,
    Ended,
    Greeted,
    LeaseChange,
    Mark,
    Phase,
    RampStep,
    Ready,
    Record,
    RulesChange,
    Said,
    Saw,
    Second,
    ShareChange,
    Shedding,
    Started,
)

MOST_SPELLS = 2000
MOST_MARKS = 2000
STANDSTILL = 400 * MS  # a beat that late is told as a pause; a busy core holds one up for some tens of ms
SILENT = 2500 * MS  # two and a half heartbeats without a record, and none missing
STEPPED = 100 * MS  # between two records: a clock drifting at 200 ppm takes eight minutes for as much


class Digester:
    def __init__(self, server: str, run: str) -> None:
        self.digest = Digest(server, run, text=run.startswith("text-"))
        self.seconds, self.series, self.stamps = Seconds(self.digest), Series(self.digest), Stamps()
        self.open: dict[tuple[Kind, str], Spell] = {}
        self.last: Record | None = None

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
            self.seconds.forget(record.up)
        elif silent > SILENT and not self.digest.text:
            self.pause(last.up + S // 2, record.up, [last.seq, record.seq], S // 2)
        step = (record.at - record.up) - (last.at - last.up)
        if abs(step) > STEPPED + DRIFTED * max(silent, 0) and not self.digest.text:
            self.add(Spell(Kind.STEP, last.up, record.up, "", 0.0, step / S, [last.seq, record.seq]))

    def add(self, spell: Spell) -> None:
        if len(self.digest.spells) < MOST_SPELLS:
            self.digest.spells.append(spell)

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
            self.series.place(operation[:200])
        if not digest.phases:
            digest.phases.append((record.up, "starting", record.seq))

    def on_phase(self, record: Record, body: Phase) -> None:
        self.digest.phases.append((record.up, body.new, record.seq))
        if body.new == "leaving":
            self.seconds.close(record.up)

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
            span = self.seconds.before[0] if self.seconds.before else (record.up - S, record.up)
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

    def on_ramp(self, record: Record, body: RampStep) -> None:
        if len(self.digest.ramps) < MOST_MARKS:
            self.digest.ramps.append(
                (
                    body.timeline[:200],
                    body.old[:50],
                    body.new[:50],
                    body.why[:200],
                    body.share,
                    body.edition,
                    record.up,
                )
            )

    def on_rules(self, record: Record, body: RulesChange) -> None:
        if len(self.digest.acting) < MOST_MARKS:
            versions = tuple(f"{epoch}.{number}" for epoch, number in body.acted_by[:4])
            self.digest.acting.append((body.state[:50], versions, record.up))

    def on_change(self, record: Record, body: ChangeStep) -> None:
        if len(self.digest.changes) < MOST_MARKS:
            row = body.change[:200], body.new[:50], body.part, record.up
            self.digest.changes.append(row)

    def on_dropped(self, record: Record, body: Dropped) -> None:
        pass  # told by check_order, as the gap that it stands in

    def on_ended(self, record: Record, body: Ended) -> None:
        self.digest.ended = body.status, body.owed, record.up, record.seq

    def on_second(self, record: Record, body: Second) -> None:
        end = self.digest.last_beat = record.up
        span = (max(end - round(max(body.span_ms, 0.0) * MS), 0), end)
        self.series.count(record, body)
        if body.lag_ms * MS > STANDSTILL:
            lag = round(body.lag_ms * MS)
            # The beat that came late was due up to a quarter of a second after the standstill began.
            self.pause(end - lag - S // 8, end, [record.seq], S // 8)
            self.seconds.before = None
            return
        self.seconds.hear(record, body, span)
        self.stamps.take(record, body)

    def finish(self) -> Digest:
        digest = self.digest
        digest.stamps = self.stamps.rows()
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
    RampStep: Digester.on_ramp,
    RulesChange: Digester.on_rules,
    ChangeStep: Digester.on_change,
}
