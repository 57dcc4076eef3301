"""A timeline and its ramp as people are shown them: the plan by dates, and where it stands now.

Decisions only: plain data for commands and for a lane of the report, times ns since the epoch.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass
from datetime import UTC, datetime

from ringshift.retirement.conditions import WHOLE, S, millionths
from ringshift.retirement.position import Position
from ringshift.retirement.shed import key
from ringshift.retirement.timeline import Timeline, ns, planned
from ringshift.retirement.warn import Counts, ready


@dataclass(frozen=True)
class Mark:
    """One date of a plan. `share`: millionths turned away from `at`, until `until` where that is stated."""

    at: int
    what: str
    share: int = 0
    until: int = 0
    hold: int = 0


def plan(timeline: Timeline) -> list[Mark]:
    """All dates, in order; every one is the earliest."""
    marks = [Mark(ns(timeline.announced), "announced"), Mark(ns(timeline.warned_from), "warned from")]
    marks += [
        Mark(ns(one.start), "brownout", millionths(one.share), ns(one.end)) for one in timeline.brownouts
    ]
    for number, (at, share, hold) in enumerate(timeline.rungs, 1):
        last = number == len(timeline.rungs)
        marks.append(Mark(at, "end" if last else f"step {number}", share, 0, hold))
    marks += [Mark(ns(one.until), f"exemption of {one.caller} ends") for one in timeline.exemptions]
    return sorted(marks, key=lambda mark: mark.at)


@dataclass(frozen=True)
class Standing:
    """`late`: ns by which the ramp is behind its dates, 0 where it is not. `counted`, `short`: callers known,
    and of them those not yet warned to the floor."""

    name: str
    phase: str
    planned: str
    edition: int
    rung: int
    planned_rung: int
    share: int
    shed: int
    counted: int
    short: int
    stopped: bool
    late: int
    why: str


def standing(
    timeline: Timeline, position: Position, counts: Counts, now: int, stopped: bool = False
) -> Standing:
    phase, rung = planned(timeline, now)
    one = position.decided
    late = now - timeline.rungs[one.rung][0] if one.rung < rung else 0
    short = len(counts) - len(ready(counts, timeline.floor, key(timeline), WHOLE))
    return Standing(
        timeline.name,
        position.phase,
        phase.name,
        one.edition,
        one.rung,
        rung,
        one.share,
        len(one.ready),
        len(counts),
        short,
        stopped,
        late,
        position.why,
    )


def told(timeline: Timeline) -> Iterator[str]:
    """The plan as lines, with dates in UTC, without clock or terminal."""
    for mark in plan(timeline):
        share = f" {mark.share / 10_000:g}% turned away" if mark.share else ""
        until = f" for {(mark.until - mark.at) / S:g} s" if mark.until else ""
        hold = f", held for {mark.hold / S:g} s at least" if mark.hold else ""
        yield f"{stamp(mark.at)} {mark.what}{share}{until}{hold}"


def stamp(at: int) -> str:
    return datetime.fromtimestamp(at // S, UTC).strftime("%Y-%m-%dT%H:%M:%SZ")
