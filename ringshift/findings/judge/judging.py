"""From one time's course to the verdict: echoes set aside, then runs, observers, troubles and clocks."""

from __future__ import annotations

from collections import defaultdict

from ringshift.findings.course import Course, Placed
from ringshift.findings.judge.clocks import judge_clocks
from ringshift.findings.judge.docket import MS, Docket, S
from ringshift.findings.judge.finding import Verdict
from ringshift.findings.judge.runs import judge_observer, judge_runs
from ringshift.findings.judge.service import losses
from ringshift.findings.judge.troubles import TELL
from ringshift.findings.signs import Kind

# A trouble that another one of the same server explains: kind, the kinds that explain it. It began within a
# second and a half before the other, while that lasted, or within three seconds after.
ECHOES: dict[Kind, tuple[Kind, ...]] = {
    Kind.SLOW: (Kind.HUNG, Kind.PAUSED, Kind.COLD, Kind.LINK_LOST),
    Kind.JUMP: (Kind.PAUSED, Kind.HUNG, Kind.GAP, Kind.LINK_LOST),
    Kind.STORM: (Kind.PAUSED, Kind.HUNG, Kind.GAP, Kind.LINK_LOST),
    Kind.HUNG: (Kind.PAUSED, Kind.LINK_LOST),
    Kind.ERRORS: (Kind.PAUSED,),
}
ECHO_BEFORE, ECHO_AFTER = 1500 * MS, 3 * S


class Judge:
    def __init__(self, course: Course) -> None:
        self.course, self.docket = course, Docket(course)
        self.by_server: dict[str, list[Placed]] = defaultdict(list)
        for one in course.spells:
            self.by_server[one.server].append(one)
        self.echoes, self.spells = list[Placed](), list[Placed]()
        for one in course.spells:
            (self.echoes if self.echo(one) else self.spells).append(one)

    def verdict(self) -> Verdict:
        docket = self.docket
        for server, stints in self.course.stints.items():
            judge_runs(docket, server, stints)
        for server, stints in self.course.observers.items():
            judge_observer(docket, server, stints)
        by_kind: dict[Kind, list[Placed]] = defaultdict(list)
        for one in self.spells:
            by_kind[one.kind].append(one)
        for kind, some in by_kind.items():
            TELL[kind](docket, some)
        judge_clocks(docket)
        docket.findings.sort(key=lambda one: (one.start, one.what.value, one.servers))
        return Verdict(docket.findings, losses(self.course), self.echoes, docket.moved)

    def echo(self, one: Placed) -> bool:
        for other in self.by_server[one.server]:
            if other.kind not in ECHOES.get(one.kind, ()):
                continue
            end = other.end if other.end is not None else self.course.end
            if other.start - ECHO_BEFORE <= one.start <= end + ECHO_AFTER:
                return True
        return False
