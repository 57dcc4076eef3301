"""The report as one HTML page that opens without a network: jinja2, the charts inline, no script."""

from __future__ import annotations

from typing import Any

from jinja2 import Environment, PackageLoader
from markupsafe import Markup

from ringshift import __version__
from ringshift.findings.course import Course
from ringshift.findings.digest import ARRIVED, COUNTS, ERRORED, GONE, SUCCEEDED, THROTTLED
from ringshift.findings.fleet import tell as tell_fleet
from ringshift.findings.judge import What
from ringshift.findings.telling import clock, headline, sentence, some, span
from ringshift.report import charts, fleetcharts
from ringshift.report.analyse import Analysis
from ringshift.store.incident import Source

S = 10**9
MOST_ROWS = 300  # of any table; what is left out is said
# What a reader looks for first; the others are told beside the clocks and the records.
QUIET = {What.CLOCK, What.UNTIED}


def steps(analysis: Analysis) -> list[dict[str, Any]]:
    """The course by minute, or by wider steps where it is longer than a table holds."""
    course = analysis.course
    width = 60 * S
    while (course.end - course.start) // width >= MOST_ROWS:
        width *= 5 if width < 300 * S else 2
    rows: dict[int, dict[str, Any]] = {}
    if not course.buckets:
        return []
    for bucket in range(course.buckets):
        at = (course.start + bucket * course.width) // width * width
        row = rows.setdefault(at, {"at": at, "figures": [0.0] * COUNTS, "findings": []})
        for series in course.work.values():
            for offset in range(COUNTS):
                row["figures"][offset] += series[bucket * COUNTS + offset]
    for one in analysis.verdict.findings:
        at = one.start // width * width
        if one.what not in QUIET and at in rows:
            rows[at]["findings"].append(sentence(one))
    told = []
    for at, row in sorted(rows.items()):
        figures = row["figures"]
        answered = sum(figures[SUCCEEDED : GONE + 1])
        told.append(
            {
                "at": clock(at)[:-2],
                "arrived": int(figures[ARRIVED]),
                "succeeded": int(figures[SUCCEEDED]),
                "throttled": int(figures[THROTTLED]),
                "errored": int(figures[ERRORED]),
                "gone": int(figures[GONE]),
                "share": figures[SUCCEEDED] / answered if answered else None,
                "findings": row["findings"],
            }
        )
    return told


def clock_rows(course: Course) -> list[dict[str, Any]]:
    rows = []
    for stints in (*course.observers.values(), *course.stints.values()):
        for stint in stints:
            placed = course.alignment.placed[stint.node]
            rows.append(
                {
                    "run": stint.node,
                    "ahead": placed.wall_off / S,
                    "drift": -placed.rate * 1e6,
                    "error": placed.error / S,
                    "group": placed.group + 1,
                    "start": clock(stint.start),
                    "last": clock(stint.last),
                    "records": stint.digest.records,
                }
            )
    return rows


def render(
    analysis: Analysis, title: str, sources: list[Source], refusals: list[tuple[str, int, str, str]]
) -> str:
    course, verdict, cause = analysis.course, analysis.verdict, analysis.cause
    environment = Environment(
        loader=PackageLoader("ringshift.report", "templates"),
        autoescape=True,
        trim_blocks=True,
        lstrip_blocks=True,
    )
    environment.filters.update(clock=clock, span=span, sentence=sentence, some=some)
    fleet = tell_fleet(course)
    loud = [one for one in verdict.findings if one.what not in QUIET]
    steps_told = steps(analysis)
    drawn = {
        "lanes": charts.lanes(course, verdict, cause) if course.stints else "",
        "service": charts.service(course, verdict, cause),
        "believed": charts.believed(course, verdict, cause),
        "shares": fleetcharts.shares(course, cause),
        "rulebook": fleetcharts.rulebook(course, cause),
        "schedule": fleetcharts.schedule(course, cause),
        "retirement": fleetcharts.retirement(course, fleet, cause),
    }
    clocks = clock_rows(course)
    return environment.get_template("incident.html").render(
        title=title,
        version=__version__,
        course=course,
        cause=cause,
        headline=headline(verdict, cause, course),
        day=clock(course.start, day=True)[:10],
        findings=loud[:MOST_ROWS],
        findings_left=max(len(loud) - MOST_ROWS, 0),
        quiet=[one for one in verdict.findings if one.what in QUIET][:MOST_ROWS],
        echoes=verdict.echoes[:MOST_ROWS],
        moved=verdict.moved,
        losses=verdict.losses,
        steps=steps_told,
        charts={k: Markup(v) for k, v in drawn.items()},
        clocks=clocks[:MOST_ROWS],
        clocks_left=max(len(clocks) - MOST_ROWS, 0),
        groups=len({c["group"] for c in clocks}),
        outvoted=course.alignment.outvoted[:20],
        apart=course.apart[:MOST_ROWS],
        sources=sources[:MOST_ROWS],
        refusals=refusals[:MOST_ROWS],
        refused=sum(source.refused for source in sources),
        What=What,
        fleet=fleet.told[:MOST_ROWS],
        runs=sum(len(stints) for stints in course.stints.values()),
    )
