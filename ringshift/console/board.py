"""What the console shows, without a screen: rows at a moment, findings so far; from a store or live."""

from __future__ import annotations

from bisect import bisect_right
from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass, replace
from typing import Protocol

import msgspec

from ringshift.findings.course import SHOWN, Course, Stint
from ringshift.findings.digest import Digest, Digester
from ringshift.findings.judge import Finding
from ringshift.findings.telling import sentence
from ringshift.records.schema import Ended, Phase, Ready, Record, Second, Started
from ringshift.report.analyse import Analysis, analyse

S = 10**9
TRAIL = 24  # buckets of a sparkline
BARS = " ▁▂▃▄▅▆▇█"
SILENT = 3 * S
QUIET = ("clock off", "clock tied to nothing")


@dataclass(frozen=True, slots=True)
class Row:
    """One server at one moment; rates are a second."""

    server: str
    phase: str
    ready: bool
    limit: float
    pressure: float
    succeeded: float
    throttled: float
    errored: float
    trail: tuple[float, ...]
    """Succeeded, over the buckets before."""
    trouble: str = ""


@dataclass(frozen=True, slots=True)
class Told:
    """A finding as a line."""

    at: int
    text: str
    servers: tuple[str, ...]


class Board(Protocol):
    live: bool

    def span(self) -> tuple[int, int, int]:
        """First moment, last moment, nanoseconds of a step."""
        ...

    def rows(self, at: int) -> list[Row]: ...
    def findings(self, at: int) -> list[Told]: ...
    def detail(self, server: str, at: int) -> list[str]: ...


SORTS = {
    "name": lambda row: row.server,
    "trouble": lambda row: (not row.trouble, row.server),
    "turned away": lambda row: (-row.throttled, row.server),
    "pressure": lambda row: (-row.pressure, row.server),
    "succeeded": lambda row: (-row.succeeded, row.server),
}


def chosen(rows: Iterable[Row], sort: str, sought: str) -> list[Row]:
    """`sought` is part of a name, a phase or a trouble."""
    kept = [row for row in rows if sought in row.server or sought in row.phase or sought in row.trouble]
    return sorted(kept, key=SORTS[sort])


def spark(trail: Iterable[float]) -> str:
    values = list(trail)
    most = max(values, default=0.0)
    return "".join(BARS[0 if most <= 0 or v <= 0 else 1 + round(v / most * (len(BARS) - 2))] for v in values)


def told(findings: Iterable[Finding], at: int) -> list[Told]:
    return [
        Told(one.start, sentence(one), tuple(one.servers))
        for one in findings
        if one.start <= at and one.what.value not in QUIET
    ]


class StoreBoard:
    """Steps through an incident; a moment costs as much as there are servers, however long it was."""

    live = False

    def __init__(self, analysis: Analysis) -> None:
        self.course, self.verdict, self.cause = analysis.course, analysis.verdict, analysis.cause
        self.moves: dict[str, tuple[list[int], list[str]]] = {}
        for server, stints in self.course.stints.items():
            moves = sorted(move for stint in stints for move in self.moves_of(stint))
            self.moves[server] = [at for at, _ in moves], [phase for _, phase in moves]
        self.words = {server: self.words_of(stints) for server, stints in self.course.stints.items()}

    def moves_of(self, stint: Stint) -> list[tuple[int, str]]:
        moves = [(stint.time(up, self.course.alignment), phase) for up, phase, _ in stint.digest.phases]
        end = "ended" if stint.digest.ended is not None else "gone"
        after = stint.last + (0 if stint.digest.ended is not None else SILENT // 2)
        if stint.last < self.course.end - SILENT or stint.digest.ended is not None:
            moves.append((after, end))
        return moves or [(stint.start, "serving")]

    def words_of(self, stints: list[Stint]) -> tuple[list[int], list[bool]]:
        words = sorted(
            (stint.time(up, self.course.alignment), good)
            for stint in stints
            for good, up, _ in stint.digest.words
        )
        return [at for at, _ in words], [good for _, good in words]

    def span(self) -> tuple[int, int, int]:
        return self.course.start, self.course.end, self.course.width

    def rows(self, at: int) -> list[Row]:
        course = self.course
        now = course.bucket(at) if course.buckets else 0
        troubles: dict[str, str] = {}
        for one in self.verdict.findings:
            if one.start <= at and (one.end is None or at < one.end) and one.what.value not in QUIET:
                for part in one.parts:
                    if part.start <= at and (part.end is None or at < part.end):
                        troubles[part.server] = one.what.value
        rows = []
        for server, (times, phases) in self.moves.items():
            place = bisect_right(times, at) - 1
            phase = phases[place] if place >= 0 else "not yet"
            said, goods = self.words[server]
            word = bisect_right(said, at) - 1
            series = course.servers.get(server)
            figures = [0.0] * SHOWN
            trail: tuple[float, ...] = (0.0,) * TRAIL
            if series is not None and course.buckets:
                # The newest bucket of all may not hold this server's last word yet.
                here = now - 1 if now and not series[now * SHOWN + 3] and series[now * SHOWN - 3] else now
                figures = list(series[here * SHOWN : (here + 1) * SHOWN])
                first = now - TRAIL + 1
                trail = tuple(series[b * SHOWN + 1] if b >= 0 else 0.0 for b in range(first, now + 1))
            seconds = course.width / S
            _, succeeded, throttled, limit, pressure, errored = figures
            rows.append(
                Row(
                    server,
                    phase,
                    word >= 0 and goods[word] and phase == "serving",
                    limit,
                    pressure,
                    succeeded / seconds,
                    throttled / seconds,
                    errored / seconds,
                    trail,
                    troubles.get(server, ""),
                )
            )
        return rows

    def findings(self, at: int) -> list[Told]:
        return told(self.verdict.findings, at)

    def detail(self, server: str, at: int) -> list[str]:
        return detail(self.course, self.verdict.findings, server, at)


def detail(course: Course, findings: list[Finding], server: str, at: int) -> list[str]:
    from ringshift.findings.telling import clock

    lines = []
    for stint in course.stints.get(server, []):
        placed = course.alignment.placed[stint.node]
        lines.append(
            f"run {stint.digest.run}: {stint.digest.records} records, clock ahead "
            f"{placed.wall_off / S:+.2f} s, sure to {placed.error / S:.2f} s"
        )
        for up, phase, seq in stint.digest.phases[:40]:
            moment = stint.time(up, course.alignment)
            if moment <= at:
                lines.append(f"  {clock(moment)} {phase} (record {seq})")
    for one in findings:
        if server in one.servers and one.start <= at:
            lines.append(f"{clock(one.start)} {sentence(one)}")
            lines += [f"    {ref}" for ref in one.evidence[:4]]
    return lines or [f"{server}: nothing recorded until then"]


class LiveBoard:
    """The last words of each server, cheap at each record; findings are made anew now and then by `judge`."""

    live = True

    def __init__(self) -> None:
        self.digesters: dict[tuple[str, str], Digester] = {}
        self.last: dict[str, Record] = {}
        self.latest: dict[str, Row] = {}
        self.trails: dict[str, deque[float]] = {}
        self.heard: dict[str, int] = {}
        self.analysis: Analysis | None = None
        self.changed = False

    def hear(self, records: Iterable[Record], now: int) -> None:
        for record in records:
            self.changed = True
            key = record.server, record.run
            if key not in self.digesters:
                self.digesters[key] = Digester(*key)
            self.digesters[key].hear(record)
            if isinstance(record.body, Started) and record.body.role != "server":
                self.latest.pop(record.server, None)
                self.trails.pop(record.server, None)
                continue
            if self.digesters[key].digest.role == "server":
                self.show(record, now)

    def show(self, record: Record, now: int) -> None:
        name, body = record.server, record.body
        row = self.latest.get(name) or Row(name, "starting", False, 0, 0, 0, 0, 0, ())
        self.heard[name] = now
        if isinstance(body, Phase):
            row = replace(row, phase=body.new)
        elif isinstance(body, Ready):
            row = replace(row, ready=body.good)
        elif isinstance(body, Ended):
            row = replace(row, phase="ended", ready=False)
        elif isinstance(body, Started):
            row = Row(name, "starting", False, 0, 0, 0, 0, 0, row.trail)
        elif isinstance(body, Second):
            seconds = max(body.span_ms / 1000, 0.1)
            sums = [
                sum(getattr(one, what) for one in body.counts) / seconds
                for what in ("succeeded", "throttled", "errored")
            ]
            trail = self.trails.setdefault(name, deque([0.0] * TRAIL, maxlen=TRAIL))
            trail.append(sums[0])
            row = replace(
                row,
                limit=body.limit,
                pressure=body.pressure,
                succeeded=sums[0],
                throttled=sums[1],
                errored=sums[2],
                trail=tuple(trail),
            )
        self.latest[name] = row

    def snapshot(self) -> list[bytes]:
        """What `judge` works on, taken between two hearings; nothing where nothing was heard since."""
        changed, self.changed = self.changed, False
        return [msgspec.msgpack.encode(one.finish()) for one in self.digesters.values()] if changed else []

    def judge(self, taken: list[bytes]) -> None:
        """Some milliseconds a server, so it is called off the screen's thread: on copies that nobody
        writes to."""
        if taken:
            self.analysis = analyse([msgspec.msgpack.decode(data, type=Digest) for data in taken])

    def span(self) -> tuple[int, int, int]:
        if self.analysis is None:
            return 0, 0, S
        return self.analysis.course.start, self.analysis.course.end, S

    def rows(self, at: int) -> list[Row]:
        """`at` is the clock of the console, by which a silence is measured."""
        troubles: dict[str, str] = {}
        if self.analysis is not None:
            for one in self.analysis.verdict.findings:
                if one.end is None and one.what.value not in QUIET:
                    troubles.update(dict.fromkeys(one.servers, one.what.value))
        rows = []
        for name, row in self.latest.items():
            silent = at - self.heard[name] > SILENT and row.phase != "ended"
            rows.append(
                replace(
                    row,
                    phase="silent" if silent else row.phase,
                    ready=row.ready and not silent,
                    trouble=troubles.get(name, ""),
                )
            )
        return rows

    def findings(self, at: int) -> list[Told]:
        if self.analysis is None:
            return []
        return told(self.analysis.verdict.findings, self.analysis.course.end)

    def detail(self, server: str, at: int) -> list[str]:
        if self.analysis is None:
            return ["not enough heard yet"]
        return detail(self.analysis.course, self.analysis.verdict.findings, server, self.analysis.course.end)
