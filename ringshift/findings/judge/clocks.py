"""Clocks that were off, drifted, or are tied to no other."""

from __future__ import annotations

from ringshift.findings.judge.docket import Docket, S
from ringshift.findings.judge.finding import Part, What

CLOCK_OFF = 1 * S  # worth telling
CLOCK_DRIFT = 5e-5


def judge_clocks(docket: Docket) -> None:
    course = docket.course
    lead = [stint for stints in course.stints.values() for stint in stints]
    for group in sorted({stint.group for stint in lead}):
        members = [stint for stint in lead if stint.group == group]
        servers = list(dict.fromkeys(stint.digest.server for stint in members))
        start = min(stint.start for stint in members)
        tied = {
            s.digest.server
            for some in (course.stints, course.observers)
            for stints in some.values()
            for s in stints
            if s.group == group
        }
        first = group == min(stint.group for stint in lead)
        if not first or (len(tied) == 1 and len({s.digest.server for s in lead}) > 1):
            docket.add(
                What.UNTIED,
                [Part(server, "", start, None) for server in servers],
                start,
                start,
                [f"{stint.node}/{stint.digest.first_seq}" for stint in members],
                group=group,
            )
        if len(tied) < 2:
            continue
        for server in servers:
            mine = [stint for stint in members if stint.digest.server == server]
            placed = [course.alignment.placed[stint.node] for stint in mine]
            off = max((one.wall_off for one in placed), key=abs)
            rate = max((one.rate for one in placed), key=abs)
            if abs(off) >= CLOCK_OFF or abs(rate) >= CLOCK_DRIFT:
                docket.add(
                    What.CLOCK,
                    [Part(server, "", mine[0].start, None)],
                    mine[0].start,
                    mine[0].start,
                    [f"{mine[0].node}/{mine[0].digest.first_seq}"],
                    group=group,
                    ahead_s=off / S,
                    drift_ppm=-rate * 1e6,
                )
