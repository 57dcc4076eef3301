"""The report's charts of what servers have from the fleet: shares, retirements, the rulebook, its changes."""

from __future__ import annotations

from collections import defaultdict

from matplotlib.figure import Figure
from matplotlib.ticker import MaxNLocator

from ringshift.findings.cause import Cause
from ringshift.findings.course import Course
from ringshift.findings.fleet import STANDING, Fleet
from ringshift.report.charts import INK, MOST_OPERATIONS, axes, draw, mark_cause, moment

MOST_VERSIONS = 8  # or changes, drawn one by one: those that most servers came to act by
RUNNING = ("UNDER_WAY", "HOLDING", "ENDING")  # of ringshift/schedule/service.py, as records name them
ALONE = "alone, or starting"


def shares(course: Course, cause: Cause) -> str:
    """What each server might use of each fleet-wide budget, in steps; with many servers the sum alone."""
    told: dict[str, dict[str, list[tuple[int, float]]]] = {}
    for server, stints in course.stints.items():
        for stint in stints:
            for budget, amount, _, up in stint.digest.shares:
                rows = told.setdefault(budget, {}).setdefault(server, [])
                rows.append((stint.time(up, course.alignment), amount))
            for rows in (by[server] for by in told.values() if server in by):
                rows.append((stint.last, 0.0))  # an ended run uses nothing
    if not told:
        return ""
    names = sorted(told)[:MOST_OPERATIONS]
    height = 0.6 + 1.6 * len(names)
    figure = Figure(figsize=(9, height))
    for place, name in enumerate(names):
        axis = axes(figure, course, len(names), 1, place + 1)
        changes = sorted((at, server, amount) for server, rows in told[name].items() for at, amount in rows)
        now: dict[str, float] = {}
        total = list[tuple[int, float]]()
        for at, server, amount in changes:
            now[server] = amount
            total.append((at, sum(now.values())))
        if len(told[name]) <= 12:
            for server, rows in told[name].items():
                axis.step(
                    [moment(at) for at, _ in rows],
                    [amount for _, amount in rows],
                    where="post",
                    linewidth=0.9,
                    label=server[:20],
                )
        axis.step(
            [moment(at) for at, _ in total],
            [amount for _, amount in total],
            where="post",
            color=INK,
            linewidth=1.4,
            label="all together",
        )
        axis.set_ylabel(name[:16], fontsize=8)
        axis.yaxis.set_major_locator(MaxNLocator(4))
        axis.set_ylim(bottom=0)
        mark_cause(axis, cause)
        if place < len(names) - 1:
            axis.set_xticklabels([])
    handles, labels = figure.axes[0].get_legend_handles_labels()
    figure.legend(handles, labels, loc="lower center", ncols=6, frameon=False, fontsize=8)
    figure.subplots_adjust(left=0.1, right=0.99, top=1 - 0.08 / height, bottom=0.62 / height, hspace=0.25)
    return draw(figure, "Shares of fleet-wide budgets")


def retirement(course: Course, fleet: Fleet, cause: Cause) -> str:
    """What share of its callers each retirement sheds, in steps; a cross where it stood still or fell."""
    if not fleet.moves:
        return ""
    names = sorted(fleet.moves)[:MOST_OPERATIONS]
    height = 0.6 + 1.3 * len(names)
    figure = Figure(figsize=(9, height))
    for place, name in enumerate(names):
        axis = axes(figure, course, len(names), 1, place + 1)
        moves = fleet.moves[name]
        times = [moment(move.at) for move in moves] + [moment(course.end)]
        shares = [move.share / 10_000 for move in moves]
        axis.step(times, [*shares, shares[-1]], where="post", color=INK, linewidth=1.2)
        against = [
            move
            for before, move in zip([0, *(move.share for move in moves)], moves, strict=False)
            if move.new in STANDING or move.share < before
        ]
        axis.plot(
            [moment(move.at) for move in against],
            [move.share / 10_000 for move in against],
            linestyle="",
            marker="X",
            color="#cb181d",
            markeredgecolor=INK,
            markersize=7,
        )
        axis.set_ylabel(name[:16] + "\n% shed", fontsize=8)
        axis.set_ylim(bottom=0)
        axis.yaxis.set_major_locator(MaxNLocator(4))
        mark_cause(axis, cause)
        if place < len(names) - 1:
            axis.set_xticklabels([])
    figure.subplots_adjust(left=0.1, right=0.99, top=1 - 0.08 / height, bottom=0.45 / height, hspace=0.25)
    return draw(figure, "Retirements of operations")


def by_version(course: Course) -> dict[str, list[tuple[int, int]]]:
    """Version -> (time, how many servers act by it from then on); between two a server counts for both."""
    changes = list[tuple[int, str, tuple[str, ...]]]()
    for server, stints in course.stints.items():
        for stint in stints:
            for state, versions, up in stint.digest.acting:
                by = versions if state in ("READING", "BETWEEN") else (ALONE,)
                changes.append((stint.time(up, course.alignment), server, by))
            if stint.digest.acting:
                changes.append((stint.last, server, ()))  # an ended run acts by nothing
    now, count = dict[str, tuple[str, ...]](), defaultdict[str, int](int)
    lines = defaultdict[str, list[tuple[int, int]]](list)
    for at, server, by in sorted(changes):
        for one in now.get(server, ()):
            count[one] -= 1
        for one in by:
            count[one] += 1
        for one in {*now.get(server, ()), *by}:
            lines[one].append((at, count[one]))
        now[server] = by
    return dict(lines)


def by_change(course: Course) -> dict[str, list[tuple[int, int]]]:
    """Scheduled change -> (time, how many servers have it in force from then on, in full or in a ramp)."""
    steps = list[tuple[int, str, str, bool]]()
    for server, stints in course.stints.items():
        for stint in stints:
            told = stint.digest.changes
            steps += [
                (stint.time(up, course.alignment), name, server, state in RUNNING)
                for name, state, _, up in told
            ]
            steps += [(stint.last, name, server, False) for name in {one[0] for one in told}]
    now = defaultdict[str, set[str]](set)
    lines = defaultdict[str, list[tuple[int, int]]](list)
    for at, name, server, on in sorted(steps):
        before = len(now[name])
        (now[name].add if on else now[name].discard)(server)
        if len(now[name]) != before:
            lines[name].append((at, len(now[name])))
    return dict(lines)


def schedule(course: Course, cause: Cause) -> str:
    """How many servers have each scheduled change in force."""
    return counted(course, cause, by_change(course), "Servers by scheduled change in force")


def rulebook(course: Course, cause: Cause) -> str:
    """How many servers act by each version of the rulebook."""
    return counted(course, cause, by_version(course), "Servers by version of the rulebook")


def counted(course: Course, cause: Cause, lines: dict[str, list[tuple[int, int]]], title: str) -> str:
    """Numbers of servers by name, in steps; empty where there are none."""
    if not lines:
        return ""
    most = sorted(lines, key=lambda one: (-max(number for _, number in lines[one]), one))[:MOST_VERSIONS]
    figure = Figure(figsize=(9, 2.4))
    axis = axes(figure, course, 1, 1, 1)
    styles = ["-", "--", "-.", ":"]
    for place, name in enumerate(sorted(most)):
        told = [*lines[name], (course.end, lines[name][-1][1])]
        style = {"color": "#cb181d", "linewidth": 1.6} if name == ALONE else {"linewidth": 1.1}
        axis.step(
            [moment(at) for at, _ in told],
            [number for _, number in told],
            where="post",
            label=name[:40],
            linestyle=styles[place % 4],
            **style,
        )
    axis.set_ylabel("servers", fontsize=8)
    axis.yaxis.set_major_locator(MaxNLocator(4, integer=True))
    axis.set_ylim(bottom=0)
    mark_cause(axis, cause)
    figure.legend(loc="lower center", ncols=6, frameon=False, fontsize=8)
    figure.subplots_adjust(left=0.1, right=0.99, top=0.96, bottom=0.28)
    return draw(figure, title)
