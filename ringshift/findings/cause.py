"""The likely first cause: the earliest trouble that came before the first lost service, could reach those who
lost it and still lasted; and of all others, why not. By rule and in sight: a person must be able to disagree.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from ringshift.findings.course import Course
from ringshift.findings.judge import AT_END, Finding, Verdict, What

S = 10**9
LONGEST = 120 * S  # from a cause to the first loss: a hold of some seconds, a list that is late, not more
UNSURE = S  # by which a cause may seem later than what it caused, beside what the clocks allow
LASTS_ON = 15 * S  # a trouble that ended so long before still shows in queues and retries

HARM = (What.SHEDDING, What.ERRORS, What.NOT_READY)
# Strength breaks ties of time: what can't be the effect of the others goes first.
CAUSES: dict[What, int] = {
    What.VANISHED: 9,
    What.CRASHED: 9,
    What.DRAIN_CUT: 8,
    What.DRAINED: 8,
    What.ANNOUNCE_LOST: 8,
    What.PAUSED: 7,
    What.LINK_LOST: 7,
    What.HUNG: 7,
    What.SLOW: 6,
    What.JUMP: 6,
    What.ALL_SLOW: 5,
    What.COLD: 4,
    What.STORM: 3,
    What.ERRORS: 2,
    What.NOT_READY: 1,
}
# What one server's trouble does to others: it sends them its work, or nothing.
SPREADS = {
    What.VANISHED,
    What.CRASHED,
    What.DRAINED,
    What.DRAIN_CUT,
    What.HUNG,
    What.PAUSED,
    What.LINK_LOST,
    What.SLOW,
    What.COLD,
    What.JUMP,
    What.STORM,
    What.ALL_SLOW,
    What.ANNOUNCE_LOST,
}


@dataclass(slots=True)
class Cause:
    """`first` is None where nothing that was recorded can have begun it."""

    harm: Finding | None
    first: Finding | None
    ruled_out: list[tuple[Finding, str]]
    absent: list[str]
    """Troubles that one would think of and that were not there, each with the figures that say so."""


def too_late(one: Finding, harm: Finding) -> str:
    late = one.start - harm.start
    sure = UNSURE + (one.high - one.low) // 2 + (harm.high - harm.low) // 2
    return f"began {late / S:.1f} s after the first lost service" if late > sure else ""


def too_early(one: Finding, harm: Finding) -> str:
    early = harm.start - one.start
    return f"began {early / S:.0f} s before, too long ago" if early > LONGEST and one.end is not None else ""


def over_before(one: Finding, harm: Finding) -> str:
    if one.end is None or one.end + LASTS_ON >= harm.start:
        return ""
    return f"was over {(harm.start - one.end) / S:.0f} s before the first lost service"


def out_of_reach(one: Finding, harm: Finding) -> str:
    if one.what in SPREADS or set(one.servers) & set(harm.servers):
        return ""
    return f"touched {', '.join(one.servers)} only, where no service was lost"


def other_clock(one: Finding, harm: Finding) -> str:
    return "" if one.group == harm.group else "its clock is tied to none of those that lost service"


TESTS: tuple[Callable[[Finding, Finding], str], ...] = (
    other_clock,
    too_late,
    too_early,
    over_before,
    out_of_reach,
)


def find(verdict: Verdict, course: Course) -> Cause:
    harms = [one for one in verdict.findings if one.what in HARM]
    candidates = [one for one in verdict.findings if one.what in CAUSES]
    harm = min(harms, key=lambda one: one.start, default=None)
    if harm is None:
        first = min(candidates, key=lambda one: (one.start, -CAUSES[one.what]), default=None)
        return Cause(None, first, [], absent(verdict, course))
    ruled_out: list[tuple[Finding, str]] = []
    left: list[Finding] = []
    for one in candidates:
        if one is harm:
            continue
        why = next((told for test in TESTS if (told := test(one, harm))), "")
        if why:
            ruled_out.append((one, why))
        else:
            left.append(one)
    # Starts that the clocks can't tell apart are one moment; within it strength decides.
    first = None
    if left:
        earliest = min(left, key=lambda one: one.high)
        together = [one for one in left if one.low <= earliest.high + UNSURE]
        first = max(together, key=lambda one: (CAUSES[one.what], -one.start))
        for one in left:
            if one is not first:
                after = one.start - first.start
                ruled_out.append(
                    (
                        one,
                        f"began {after / S:.1f} s after it"
                        if after > 0
                        else "began with it, yet can be its effect",
                    )
                )
    elif harm.what is not What.SHEDDING:
        first = harm
    ruled_out.sort(key=lambda pair: pair[0].start)
    return Cause(harm, first, ruled_out, absent(verdict, course))


def absent(verdict: Verdict, course: Course) -> list[str]:
    there = {one.what for one in verdict.findings}
    told = []
    if What.JUMP not in there:
        if verdict.moved:
            one = verdict.moved[0]
            told.append(
                f"traffic did not rise: what {', '.join(one.servers)} took more was {one.detail} "
                f"({one.figures['before']:.0f} to {one.figures['after']:.0f} a second)"
            )
        else:
            told.append("traffic did not rise by half anywhere")
    if What.STORM not in there:
        again, arrived = course.again, sum(loss.arrived for loss in verdict.losses)
        if arrived:
            told.append(f"no retry storm: {again / arrived:.0%} of arrivals repeated one of the same caller")
    if not {What.VANISHED, What.CRASHED, What.DRAIN_CUT} & there:
        stints = sum(len(stints) for stints in course.stints.values())
        lost = sum(
            stint.last < course.end - AT_END and stint.digest.ended is None
            for stints in course.stints.values()
            for stint in stints
        )
        if stints and not lost:
            told.append("no server died: each run ended by its own word or to the end of the records")
    if not {What.SLOW, What.ALL_SLOW, What.HUNG} & there:
        told.append("no server's runs took longer than usual")
    return told
