"""What all that judge share: one time's course, and the findings as they are told."""

from __future__ import annotations

from collections.abc import Iterable, Sequence

from ringshift.findings.course import Course, Placed, Stint
from ringshift.findings.judge.finding import Finding, Part, What

MS, S = 10**6, 10**9
AT_END = 2500 * MS  # who is heard of that shortly before all records end was there to the end
MOST_EVIDENCE = 12


class Docket:
    def __init__(self, course: Course) -> None:
        self.course = course
        self.findings: list[Finding] = []
        self.moved: list[Finding] = []

    def add(
        self,
        what: What,
        parts: Sequence[Part],
        low: int,
        high: int,
        evidence: Iterable[str],
        end: int | None = None,
        start: int | None = None,
        detail: str = "",
        group: int = 0,
        **figures: float,
    ) -> Finding:
        middle = (low + high) // 2 if start is None else start
        found = Finding(
            what,
            list(parts),
            middle,
            end,
            low,
            high,
            list(evidence)[:MOST_EVIDENCE],
            {name: round(value, 3) for name, value in figures.items()},
            detail,
            group,
        )
        self.findings.append(found)
        return found

    def group(self, one: Placed) -> int:
        return self.course.alignment.placed[one.node].group

    def serving(self, at: int) -> list[Stint]:
        return [
            stint
            for stints in self.course.stints.values()
            for stint in stints
            if stint.start <= at <= stint.last + S
        ]
