"""The text logs of before the records (`docs/on-call.md`), as far as they tell: phases, overload, readiness.

They tell no counts and have one clock only, to the millisecond, in no stated zone (taken as UTC), so a step
of that clock can't be told from a silence. Runs are told apart by `listening on`.
"""

from __future__ import annotations

import re
from collections.abc import Callable
from datetime import UTC, datetime

from ringshift.records.schema import Body, Ended, Greeted, Phase, Ready, Record, Said, Shedding, Started

LINE = re.compile(
    r"(\d{4}-\d\d-\d\dT\d\d:\d\d:\d\d\.\d{3}) "
    r"(DEBUG|INFO|WARNING|ERROR|CRITICAL) (\S{1,200}) (.*)"
)
TEXT_RUN = "text-"  # runs whose `up` is made of the wall clock

Told = Callable[[re.Match[str]], Body]
LINES: list[tuple[re.Pattern[str], Told]] = [
    (re.compile(r"listening on (\S+)$"), lambda m: Started("", m[1], (), 0, 0.0)),
    (re.compile(r"(.+): (\w+) -> (\w+)$"), lambda m: Phase(m[2], m[3], m[1])),
    (
        re.compile(r"agent greeted after (\d+) ms, (cold|warm) start"),
        lambda m: Greeted(m[2] == "cold", float(m[1])),
    ),
    (re.compile(r"overload: line (full|open)$"), lambda m: Shedding("", m[1] == "full")),
    (re.compile(r"not ready: "), lambda m: Ready(False)),
    (re.compile(r"(?:ready again: |warm after )"), lambda m: Ready(True)),
]


class TextLog:
    """Reads one source's lines in order; several servers may stand in it."""

    def __init__(self) -> None:
        self.runs: dict[str, tuple[str, int, int]] = {}
        """server -> run, when it began, last seq"""

    def read(self, line: str) -> list[Record] | None:
        """None where the line is none of ours."""
        found = LINE.fullmatch(line)
        if found is None:
            return None
        try:
            moment = datetime.fromisoformat(found[1]).replace(tzinfo=UTC)
        except ValueError:
            return None
        at = round(moment.timestamp() * 1000) * 10**6
        server, text = found[3], found[4]
        body: Body = Said(found[2].lower(), text[:2000])
        for pattern, told in LINES:
            if match := pattern.match(text):
                body = told(match)
                break
        if isinstance(body, Started) or server not in self.runs:
            # Of the moment, so that the same log gathered twice gives the same records again.
            self.runs[server] = f"{TEXT_RUN}{at // 10**6}", at, 0
        records = [self.record(server, at, body)]
        if isinstance(body, Phase) and body.new in ("closed", "failed"):
            records.append(self.record(server, at, Ended(int(body.new == "failed"), 0)))
        return records

    def record(self, server: str, at: int, body: Body) -> Record:
        run, began, seq = self.runs[server]
        self.runs[server] = run, began, seq + 1
        return Record(server, run, seq + 1, at, max(at - began, 0), body)
