"""Findings as sentences for people and as plain values for programs."""

from __future__ import annotations

from collections.abc import Callable
from datetime import UTC, datetime
from typing import Any

from ringshift.findings.cause import Cause
from ringshift.findings.course import Course
from ringshift.findings.judge import Finding, Verdict, What

S = 10**9


def clock(at: int, day: bool = False) -> str:
    moment = datetime.fromtimestamp(at / S, UTC)
    return moment.strftime("%Y-%m-%d %H:%M:%S" if day else "%H:%M:%S") + f".{moment.microsecond // 100000}"


def span(nanoseconds: int) -> str:
    seconds = nanoseconds / S
    if seconds < 120:
        return f"{seconds:.1f} s"
    if seconds < 7200:
        return f"{seconds / 60:.0f} min"
    return f"{seconds / 3600:.1f} h"


def some(names: list[str], most: int = 4) -> str:
    if len(names) <= most:
        return ", ".join(names)
    return f"{', '.join(names[:most])} and {len(names) - most} more"


def lasting(one: Finding) -> str:
    return (
        " and went on to the end of the records" if one.end is None else f" for {span(one.end - one.start)}"
    )


def tell_gone(one: Finding) -> str:
    # Written at the pace of its heartbeats, so the moment has bounds and no more.
    return (
        f"{some(one.servers)} vanished between {clock(one.low)} and {clock(one.high)}: its records stop "
        f"without a last word"
    )


def tell_drained(one: Finding) -> str:
    owed = one.figures.get("owed", 0)
    left = f", {owed:.0f} answers still owed" if owed else ", all answered"
    return f"{some(one.servers)} was told to leave and ended after {one.figures.get('took_s', 0):.1f} s{left}"


def tell_jump(one: Finding) -> str:
    return (
        f"fresh work rose from {one.figures['before']:.0f} to {one.figures['after']:.0f} a second"
        f" over the fleet{lasting(one)}, first on {some(one.servers)}"
    )


def tell_clock(one: Finding) -> str:
    ahead = one.figures.get("ahead_s", 0.0)
    way = "ahead" if ahead > 0 else "behind"
    return (
        f"the clock of {some(one.servers)} was {abs(ahead):.2f} s {way}, "
        f"drifting {one.figures.get('drift_ppm', 0.0):.0f} parts in a million; times here are corrected"
    )


SENTENCES: dict[What, Callable[[Finding], str]] = {
    What.VANISHED: tell_gone,
    What.DRAIN_CUT: lambda one: f"{some(one.servers)} was killed in its drain, at about {clock(one.start)}",
    What.CRASHED: lambda one: (
        f"{some(one.servers)} ended with an error: {one.detail or 'no line tells which'}"
    ),
    What.DRAINED: tell_drained,
    What.RETURNED: lambda one: f"{some(one.servers)} came back after {one.figures.get('away_s', 0):.1f} s",
    What.COLD: lambda one: f"{some(one.servers)} started cold and was not ready{lasting(one)}",
    What.SLOW: lambda one: (
        f"runs on {some(one.servers)} took {one.figures.get('worst', 0):.1f} times as long as "
        f"usual{lasting(one)}"
    ),
    What.ALL_SLOW: lambda one: (
        f"runs took up to {one.figures.get('worst', 0):.1f} times as long on most servers "
        f"at once{lasting(one)}: what they share was slow"
    ),
    What.HUNG: lambda one: f"the agent of {some(one.servers)} ended nothing and told nothing{lasting(one)}",
    What.PAUSED: lambda one: (
        f"{some(one.servers)} stood still{lasting(one)}: no record is missing, none was written"
    ),
    What.JUMP: tell_jump,
    What.STORM: lambda one: (
        f"{one.figures.get('share', 0):.0%} of what came repeated what the same caller had "
        f"just sent{lasting(one)}, on {some(one.servers)}"
    ),
    What.ERRORS: lambda one: (
        f"{one.figures.get('worst', 0):.0%} of runs on {some(one.servers)} erred{lasting(one)}"
    ),
    What.SHEDDING: lambda one: (
        f"{some(one.servers)} turned work away ({some(one.operations) or 'any'}){lasting(one)}"
    ),
    What.NOT_READY: lambda one: f"{some(one.servers)} told not ready{lasting(one)}",
    What.LINK_LOST: lambda one: f"{some(one.servers)} had no link to its agent{lasting(one)}",
    What.ANNOUNCE_LOST: lambda one: (
        f"the announce service was gone{lasting(one)}, seen by {some(one.servers)}"
    ),
    What.GAP: lambda one: (
        f"{one.figures.get('records', 0):.0f} records of {some(one.servers)} are missing"
        f"{lasting(one)}; the server went on"
    ),
    What.RECORDS_MISSING: lambda one: f"records of {some(one.servers)} stop while others still heard of it",
    What.CLOCK: tell_clock,
    What.STEP: lambda one: (
        f"the clock of {some(one.servers)} was set by {one.figures.get('worst', 0):+.2f} s"
    ),
    What.SAME_NAME: lambda one: f"two processes ran as {some(one.servers)} at once{lasting(one)}",
    What.RESTARTS: lambda one: (
        f"{some(one.servers)} only ever restarted, {one.figures.get('runs', 0):.0f} times"
    ),
    What.UNTIED: lambda one: (
        f"nothing ties the clock of {some(one.servers)} to the others: what is told of it "
        f"has its own times, and no order against theirs"
    ),
}


def sentence(one: Finding) -> str:
    return SENTENCES[one.what](one)


def headline(verdict: Verdict, cause: Cause, course: Course) -> list[str]:
    """Two to four sentences: what was lost, what began it, how sure that is."""
    harm, first = cause.harm, cause.first
    servers = len(course.stints)
    if harm is None:
        told = ["No service was turned away."]
        if first is not None:
            told.append(f"First thing out of the ordinary, at {clock(first.start)}: {sentence(first)}.")
        return told
    waves = [one for one in verdict.findings if one.what is harm.what]
    touched = list(dict.fromkeys(server for one in waves for server in one.servers))
    what = "Shedding" if harm.what is What.SHEDDING else harm.what.value.capitalize()
    end = max((one.end for one in waves if one.end is not None), default=None)
    until = f" and lasted until {clock(end)}" if end is not None and all(one.end for one in waves) else ""
    told = [f"{what} began at {clock(harm.start)} and reached {len(touched)} of {servers} servers{until}."]
    if first is None:
        told.append("Nothing that was recorded before it can have begun it.")
    elif first is harm:
        told.append(f"It is itself the first thing out of the ordinary: {sentence(first)}.")
    else:
        told.append(f"It likely began at {clock(first.start)}: {sentence(first)}.")
    hit = [loss for loss in verdict.losses if loss.lost_share >= 0.005]
    if hit:
        rows = [
            f"{loss.operation or 'all work'} {loss.lost_share:.1%}"
            for loss in sorted(hit, key=lambda one: one.lost_share)[::-1]
        ]
        told.append(f"Service lost: {some(rows, 5)}.")
    return told


def plain(one: Finding) -> dict[str, Any]:
    return {
        "what": one.what.value,
        "text": sentence(one),
        "servers": one.servers,
        "operations": one.operations,
        "start": one.start,
        "end": one.end,
        "low": one.low,
        "high": one.high,
        "figures": one.figures,
        "evidence": one.evidence,
        "group": one.group,
        "parts": [
            {"server": p.server, "operation": p.operation, "start": p.start, "end": p.end} for p in one.parts
        ],
    }


def as_plain(verdict: Verdict, cause: Cause, course: Course) -> dict[str, Any]:
    """For programs: times are Unix nanoseconds on the common time."""
    alignment = course.alignment
    return {
        "headline": headline(verdict, cause, course),
        "start": course.start,
        "end": course.end,
        "findings": [plain(one) for one in verdict.findings],
        "cause": {
            "harm": None if cause.harm is None else plain(cause.harm),
            "first": None if cause.first is None else plain(cause.first),
            "ruled_out": [{"finding": plain(one), "why": why} for one, why in cause.ruled_out],
            "absent": cause.absent,
        },
        "losses": [
            {
                "operation": loss.operation,
                "arrived": loss.arrived,
                "succeeded": loss.succeeded,
                "throttled": loss.throttled,
                "errored": loss.errored,
                "gone": loss.gone,
                "lost_share": round(loss.lost_share, 6),
                "worst_at": loss.worst_at,
                "worst_share": round(loss.worst_share, 6),
            }
            for loss in verdict.losses
        ],
        "clocks": [
            {
                "run": node,
                "group": placed.group,
                "ahead_s": placed.wall_off / S,
                "drift_ppm": -placed.rate * 1e6,
                "error_s": placed.error / S,
            }
            for node, placed in sorted(alignment.placed.items())
        ],
        "outvoted_ties": len(alignment.outvoted),
        "apart": [stint.node for stint in course.apart],
    }
