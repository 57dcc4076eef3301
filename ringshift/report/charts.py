"""The report's charts, by matplotlib as SVG. Ink takes the page's own colour, so they hold in dark and light.

Nothing is told by colour alone: phases differ by hatch and height as well, for print and greyscale.
"""

from __future__ import annotations

import io
import re
from collections.abc import Sequence
from dataclasses import dataclass
from datetime import UTC, datetime
from typing import Any

import matplotlib

matplotlib.use("svg")
from matplotlib import dates as mdates  # noqa: E402
from matplotlib.figure import Figure  # noqa: E402
from matplotlib.ticker import MaxNLocator  # noqa: E402

from ringshift.findings.cause import Cause  # noqa: E402
from ringshift.findings.course import SHOWN, Course  # noqa: E402
from ringshift.findings.digest import ARRIVED, COUNTS, ERRORED, GONE, SUCCEEDED, THROTTLED  # noqa: E402
from ringshift.findings.judge import Verdict, What  # noqa: E402

S = 10**9
INK, FAINT = "#010203", "#040506"  # stand for the page's ink; replaced in the SVG
MOST_LANES = 48  # servers drawn one by one; more are drawn as one picture
MOST_OPERATIONS = 12  # operations with a chart of their own, those that lost most
matplotlib.rcParams.update(
    {
        "svg.fonttype": "none",
        "svg.hashsalt": "ringshift",
        "font.family": "sans-serif",
        "font.size": 9,
        "text.color": INK,
        "axes.labelcolor": INK,
        "xtick.color": INK,
        "ytick.color": INK,
        "axes.edgecolor": FAINT,
        "hatch.linewidth": 0.6,
        "path.simplify": True,
    }
)


@dataclass(frozen=True, slots=True)
class Look:
    """How a stretch of a lane is drawn: lane's share from `low` to `high`."""

    label: str
    colour: str
    hatch: str
    low: float
    high: float
    order: int


LOOKS: dict[str, Look] = {
    "serving": Look("serving", "#9ecae1", "", 0.15, 0.85, 1),
    "waiting": Look("waiting for its agent", "#d9d9d9", "..", 0.15, 0.85, 2),
    "cold": Look("cold", "#c6dbef", "oo", 0.15, 0.85, 3),
    "leaving": Look("leaving", "#bcbddc", "//", 0.15, 0.85, 3),
    "paused": Look("stood still", "#fdd0a2", "xx", 0.15, 0.85, 5),
    "gap": Look("records missing", "#ffffff", "--", 0.15, 0.85, 6),
    "slow": Look("slow or hung", "#fdae6b", "\\\\", 0.5, 0.85, 7),
    "shedding": Look("turned work away", "#cb181d", "", 0.0, 0.3, 8),
}
KIND_LOOKS = {
    "shedding": "shedding",
    "slow": "slow",
    "agent hung": "slow",
    "everything slower": "slow",
    "paused": "paused",
    "gap in records": "gap",
    "records missing": "gap",
    "cold start": "cold",
}
PHASE_LOOKS = {
    "starting": "waiting",
    "waiting": "waiting",
    "serving": "serving",
    "leaving": "leaving",
    "closing": "leaving",
}


def moment(at: float) -> Any:
    return mdates.date2num(datetime.fromtimestamp(at / S, UTC))  # type: ignore[no-untyped-call]


def draw(figure: Figure, title: str) -> str:
    out = io.StringIO()
    figure.savefig(out, format="svg", transparent=True, metadata={"Date": None, "Creator": None})
    text = out.getvalue()
    text = text[text.index("<svg") :]
    # matplotlib writes Dublin Core metadata and names that two charts of one page would share.
    text = re.sub(r"<metadata>.*?</metadata>", "", text, flags=re.S)
    mark = re.sub(r"[^a-z0-9]+", "-", title.lower())
    text = re.sub(r'\bid="([^"]+)"', rf'id="{mark}-\1"', text)
    text = re.sub(r'(url\(|xlink:href=")#([^")]+)', rf"\1#{mark}-\2", text)
    text = text.replace(INK, "currentColor").replace(FAINT, "currentColor")
    label = title.replace("&", "&amp;").replace("<", "&lt;").replace('"', "&quot;")
    return re.sub(r'width="[^"]+" height="[^"]+"', f'role="img" aria-label="{label}"', text, count=1)


def axes(figure: Figure, course: Course, *place: Any) -> Any:
    axis = figure.add_subplot(*place)
    span = max(course.end - course.start, S)
    axis.set_xlim(moment(course.start - span * 0.01), moment(course.end + span * 0.01))
    locator = mdates.AutoDateLocator(tz=UTC, minticks=3, maxticks=9)  # type: ignore[no-untyped-call]
    axis.xaxis.set_major_locator(locator)
    axis.xaxis.set_major_formatter(mdates.ConciseDateFormatter(locator, tz=UTC))  # type: ignore[no-untyped-call]
    for side in ("top", "right"):
        axis.spines[side].set_visible(False)
    axis.patch.set_alpha(0)
    return axis


def mark_cause(axis: Any, cause: Cause) -> None:
    if cause.first is not None:
        axis.axvline(moment(cause.first.start), color=INK, linewidth=1.2, linestyle=(0, (4, 2)))
    if cause.harm is not None and cause.harm is not cause.first:
        axis.axvline(moment(cause.harm.start), color="#cb181d", linewidth=1.0)


def stretches(course: Course, verdict: Verdict) -> dict[str, list[tuple[int, int, str]]]:
    """server -> stretches of what it was in; later ones are drawn over earlier ones."""
    told: dict[str, list[tuple[int, int, str]]] = {server: [] for server in course.stints}
    for server, stints in course.stints.items():
        for stint in stints:
            moves = [(stint.time(up, course.alignment), phase) for up, phase, _ in stint.digest.phases]
            if not moves:
                moves = [(stint.start, "serving")]
            for (at, phase), (until, _) in zip(moves, [*moves[1:], (stint.last, "")], strict=True):
                if phase in PHASE_LOOKS and until > at:
                    told[server].append((at, until, PHASE_LOOKS[phase]))
    for one in verdict.findings:
        look = KIND_LOOKS.get(one.what.value)
        for part in one.parts:
            if look is not None and part.server in told:
                last = max((stint.last for stint in course.stints[part.server]), default=course.end)
                told[part.server].append((part.start, part.end or max(last, part.start + S // 2), look))
    return told


def lanes(course: Course, verdict: Verdict, cause: Cause) -> str:
    servers = list(course.stints)
    if len(servers) > MOST_LANES:
        return lanes_as_picture(course, verdict, cause)
    figure = Figure(figsize=(9, 1.0 + 0.34 * len(servers)))
    axis = axes(figure, course, 1, 1, 1)
    used = set[str]()
    for row, (_, parts) in enumerate(stretches(course, verdict).items()):
        for start, end, name in sorted(parts, key=lambda part: LOOKS[part[2]].order):
            look = LOOKS[name]
            used.add(name)
            axis.broken_barh(
                [(moment(start), moment(end) - moment(start))],
                (row + look.low, look.high - look.low),
                facecolor=look.colour,
                edgecolor="#555555",
                hatch=look.hatch,
                linewidth=0.4,
                zorder=look.order,
            )
    for one in verdict.findings:
        if one.what in (What.VANISHED, What.CRASHED, What.DRAIN_CUT):
            for part in one.parts:
                if part.server in servers:
                    row = servers.index(part.server)
                    axis.plot(
                        [moment(part.start)],
                        [row + 0.5],
                        marker="X",
                        color="#cb181d",
                        markeredgecolor=INK,
                        markersize=9,
                        zorder=9,
                    )
                    used.add("gone")
    axis.set_yticks([row + 0.5 for row in range(len(servers))], [name[:24] for name in servers])
    axis.set_ylim(len(servers), 0)
    axis.tick_params(axis="y", length=0)
    mark_cause(axis, cause)
    keys(figure, used)
    figure.subplots_adjust(
        left=0.13,
        right=0.99,
        top=0.99,
        bottom=(0.72 if len(servers) > 3 else 0.9) / (1.0 + 0.34 * len(servers)),
    )
    return draw(figure, "Servers and their phases")


def keys(figure: Figure, used: set[str]) -> None:
    from matplotlib.lines import Line2D
    from matplotlib.patches import Patch

    handles: list[Any] = [
        Patch(facecolor=look.colour, edgecolor="#555555", hatch=look.hatch, label=look.label)
        for name, look in LOOKS.items()
        if name in used
    ]
    if "gone" in used:
        handles.append(
            Line2D(
                [],
                [],
                marker="X",
                color="#cb181d",
                markeredgecolor=INK,
                linestyle="",
                markersize=8,
                label="vanished or crashed",
            )
        )
    if handles:
        figure.legend(handles=handles, loc="lower center", ncols=5, frameon=False, fontsize=8)


def lanes_as_picture(course: Course, verdict: Verdict, cause: Cause) -> str:
    """A row a server and a column a bucket, as an image in the chart: bounded however many there are."""
    from matplotlib.colors import ListedColormap

    servers = list(course.stints)
    names = ["none", *LOOKS]
    columns = max(min(course.buckets, 1200), 1)
    rows = [[0] * columns for _ in servers]
    span = max(course.end - course.start, 1)
    for row, (_, parts) in enumerate(stretches(course, verdict).items()):
        for start, end, name in sorted(parts, key=lambda part: LOOKS[part[2]].order):
            first = min(max((start - course.start) * columns // span, 0), columns - 1)
            last = min(max((end - course.start) * columns // span, first), columns - 1)
            rows[row][first : last + 1] = [names.index(name)] * (last - first + 1)
    height = min(2.0 + 0.022 * len(servers), 12.0)
    figure = Figure(figsize=(9, height))
    axis = axes(figure, course, 1, 1, 1)
    colours = ListedColormap(["#ffffff00", *[look.colour for look in LOOKS.values()]])
    axis.imshow(
        rows,
        aspect="auto",
        interpolation="nearest",
        cmap=colours,
        vmin=0,
        vmax=len(names) - 1,
        extent=(moment(course.start), moment(course.end), len(servers), 0),
    )
    axis.xaxis_date(tz=UTC)
    axis.set_ylabel(f"{len(servers)} servers, by name")
    mark_cause(axis, cause)
    keys(figure, {name for parts in stretches(course, verdict).values() for *_, name in parts})
    figure.subplots_adjust(left=0.08, right=0.99, top=0.99, bottom=0.75 / height)
    return draw(figure, "Servers and their phases")


STACK = [
    ("succeeded", (SUCCEEDED,), "#9ecae1", ""),
    ("turned away", (THROTTLED,), "#cb181d", ""),
    ("errored", (ERRORED,), "#fdae6b", "//"),
    ("caller gone", (GONE,), "#bdbdbd", ".."),
]


def service(course: Course, verdict: Verdict, cause: Cause) -> str:
    """How invocations ended, a second, stacked; a small chart each for the operations that lost most."""
    chosen = sorted(verdict.losses, key=lambda loss: (-loss.lost_share * loss.answered, loss.operation))
    names = [loss.operation for loss in chosen[:MOST_OPERATIONS]]
    if not names or not course.buckets:
        return ""
    figure = Figure(figsize=(9, 0.6 + 1.35 * len(names)))
    times = [moment(course.start + (bucket + 0.5) * course.width) for bucket in range(course.buckets)]
    for place, name in enumerate(names):
        axis = axes(figure, course, len(names), 1, place + 1)
        series = course.work[name]
        seconds = course.width / S
        layers = [
            [sum(series[b * COUNTS + one] for one in which) / seconds for b in range(course.buckets)]
            for _, which, _, _ in STACK
        ]
        drawn = axis.stackplot(times, layers, colors=[colour for *_, colour, _ in STACK], linewidth=0)
        for layer, (_, _, _, hatch) in zip(drawn, STACK, strict=True):
            layer.set_hatch(hatch)
        offered = [series[b * COUNTS + ARRIVED] / seconds for b in range(course.buckets)]
        axis.plot(times, offered, color=INK, linewidth=0.8)
        axis.set_ylabel((name or "all work")[:16] + "\na second", fontsize=8)
        axis.yaxis.set_major_locator(MaxNLocator(3, integer=True))
        axis.set_ylim(bottom=0)
        mark_cause(axis, cause)
        if place < len(names) - 1:
            axis.set_xticklabels([])
    from matplotlib.lines import Line2D
    from matplotlib.patches import Patch

    handles: list[Any] = [
        Patch(facecolor=colour, hatch=hatch, edgecolor="#555555", label=label)
        for label, _, colour, hatch in STACK
    ]
    handles.append(Line2D([], [], color=INK, linewidth=0.8, label="arrived"))
    figure.legend(handles=handles, loc="lower center", ncols=5, frameon=False, fontsize=8)
    height = 0.6 + 1.35 * len(names)
    figure.subplots_adjust(left=0.1, right=0.99, top=1 - 0.08 / height, bottom=0.62 / height, hspace=0.25)
    return draw(figure, "Service by operation")


def believed(course: Course, verdict: Verdict, cause: Cause) -> str:
    """What each server's module believed: its limit, and the pressure of what it held."""
    servers = list(course.servers)
    if not servers or not course.buckets:
        return ""
    few = len(servers) <= 12
    figure = Figure(figsize=(9, 3.6))
    times = [moment(course.start + (bucket + 0.5) * course.width) for bucket in range(course.buckets)]
    for place, (what, shown) in enumerate((("limit", 3), ("pressure", 4))):
        axis = axes(figure, course, 2, 1, place + 1)
        rows = [list(course.servers[name][shown::SHOWN]) for name in servers]
        if few:
            styles: Sequence[Any] = ["-", "--", "-.", ":"]
            for index, (name, row) in enumerate(zip(servers, rows, strict=True)):
                seen = [
                    value if course.servers[name][b * SHOWN + 3] > 0 else float("nan")
                    for b, value in enumerate(row)
                ]
                axis.plot(times, seen, linewidth=1.1, linestyle=styles[index % 4], label=name[:20])
        else:
            bands = [
                sorted(
                    row[b]
                    for row, name in zip(rows, servers, strict=True)
                    if course.servers[name][b * SHOWN + 3] > 0
                )
                or [0.0]
                for b in range(course.buckets)
            ]
            for share, width in ((0.0, 0.6), (0.5, 1.4), (1.0, 0.6)):
                axis.plot(
                    times,
                    [band[round(share * (len(band) - 1))] for band in bands],
                    color=INK,
                    linewidth=width,
                )
        axis.set_ylabel(what if few else f"{what}: least,\nmiddle, most", fontsize=8)
        axis.yaxis.set_major_locator(MaxNLocator(4))
        axis.set_ylim(bottom=0)
        mark_cause(axis, cause)
        if place == 0:
            axis.set_xticklabels([])
    if few:
        handles, labels = figure.axes[0].get_legend_handles_labels()
        figure.legend(handles, labels, loc="lower center", ncols=6, frameon=False, fontsize=8)
    figure.subplots_adjust(left=0.1, right=0.99, top=0.98, bottom=0.2 if few else 0.1, hspace=0.15)
    return draw(figure, "Limit and pressure of each server")
