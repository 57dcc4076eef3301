"""Spells of trouble: which of them are one, and which are the load of servers that had gone."""

from __future__ import annotations

from collections.abc import Callable, Sequence

from ringshift.findings.course import Placed
from ringshift.findings.judge.docket import AT_END, Docket, S
from ringshift.findings.judge.finding import Finding, Part, What
from ringshift.findings.signs import Kind

TOGETHER = 3 * S  # troubles of one kind that begin within it of each other are one
WAVE = 6 * S  # the same of shedding, which spreads from server to server
MOST_SERVERS_SLOW = 0.6  # share of those that serve from which on not they are slow but what they share
MOVED = 1.3  # times the load before: less than that is the same load on fewer servers
STOPS = (Kind.HUNG, Kind.PAUSED, Kind.LINK_LOST)  # a server with one of these ends nothing


def clusters(docket: Docket, some: Sequence[Placed], within: int) -> list[list[Placed]]:
    """Those of one group of clocks that begin within a span of each other."""
    found: list[list[Placed]] = []
    for one in sorted(some, key=lambda placed: placed.start):
        for cluster in reversed(found):
            near = one.start - cluster[-1].start <= within
            if near and docket.group(one) == docket.group(cluster[0]):
                cluster.append(one)
                break
        else:
            found.append([one])
    return found


def told(
    docket: Docket, what: What, cluster: Sequence[Placed], detail: str = "", **figures: float
) -> Finding:
    first = min(cluster, key=lambda one: one.start)
    ends = [one.end for one in cluster]
    end = None if None in ends else max(end for end in ends if end is not None)
    parts = [Part(one.server, one.spell.operation, one.start, one.end) for one in cluster]
    return docket.add(
        what,
        parts,
        first.start - first.error,
        first.start + first.error,
        [ref for one in cluster for ref in one.refs[:3]],
        end=end,
        start=first.start,
        detail=detail,
        group=docket.group(first),
        **figures,
    )


def tell_each(docket: Docket, what: What, some: Sequence[Placed]) -> None:
    for one in some:
        told(docket, what, [one], before=one.spell.before, worst=one.spell.after)


def tell_slow(docket: Docket, some: Sequence[Placed]) -> None:
    for cluster in clusters(docket, some, TOGETHER):
        servers = {one.server for one in cluster}
        there = {stint.digest.server for stint in docket.serving(cluster[0].start)}
        if len(there) >= 3 and len(servers) >= MOST_SERVERS_SLOW * len(there):
            worst = max(one.spell.after for one in cluster)
            told(docket, What.ALL_SLOW, cluster, worst=worst, of=len(there))
        else:
            tell_each(docket, What.SLOW, cluster)


def tell_jump(docket: Docket, some: Sequence[Placed]) -> None:
    """More fresh work for the fleet, or the same work on fewer servers."""
    for cluster in clusters(docket, some, TOGETHER):
        start = cluster[0].start
        jumped = {one.server for one in cluster}
        others = sum(
            stint.digest.rate for stint in docket.serving(start) if stint.digest.server not in jumped
        )
        before = sum(one.spell.before for one in cluster) + others
        after = sum(one.spell.after for one in cluster) + others
        lost, who = lost_load(docket, start, jumped)
        moved = bool(who) and after <= MOVED * (before + lost)
        detail = f"the load of {', '.join(sorted(who))}" if moved else ""
        found = told(docket, What.JUMP, cluster, detail, before=before, after=after)
        if moved:
            docket.findings.remove(found)
            docket.moved.append(found)


def lost_load(docket: Docket, start: int, jumped: set[str]) -> tuple[float, set[str]]:
    """What servers took until shortly before that take no more: gone, leaving, hung, paused."""
    lost, who = 0.0, set[str]()
    span = range(start - 8 * S, start + 2 * S)
    for server, stints in docket.course.stints.items():
        if server in jumped:
            continue
        for stint in stints:
            left = [
                stint.time(up, docket.course.alignment)
                for up, phase, _ in stint.digest.phases
                if phase == "leaving"
            ]
            ended = stint.last if stint.last < docket.course.end - AT_END else None
            if any(at in span for at in [*left, *([ended] if ended else [])]):
                lost, who = lost + stint.digest.rate, who | {server}
    for one in docket.course.spells:
        if one.kind in STOPS and one.start in span and one.server not in jumped:
            stints = [stint for stint in docket.course.stints.get(one.server, []) if stint.node == one.node]
            lost, who = lost + sum(stint.digest.rate for stint in stints), who | {one.server}
    return lost, who


def tell_storm(docket: Docket, some: Sequence[Placed]) -> None:
    for cluster in clusters(docket, some, TOGETHER):
        worst = max(one.spell.after for one in cluster)
        told(docket, What.STORM, cluster, share=worst, before=max(one.spell.before for one in cluster))


def tell_shedding(docket: Docket, some: Sequence[Placed]) -> None:
    for cluster in clusters(docket, some, WAVE):
        told(docket, What.SHEDDING, cluster)


def tell_together(docket: Docket, what: What, some: Sequence[Placed]) -> None:
    for cluster in clusters(docket, some, TOGETHER):
        told(docket, what, cluster, worst=max(one.spell.after for one in cluster))


def tell_gap(docket: Docket, some: Sequence[Placed]) -> None:
    for one in some:
        told(docket, What.GAP, [one], records=one.spell.after)


TELL: dict[Kind, Callable[[Docket, Sequence[Placed]], None]] = {
    Kind.SLOW: tell_slow,
    Kind.JUMP: tell_jump,
    Kind.STORM: tell_storm,
    Kind.SHEDDING: tell_shedding,
    Kind.GAP: tell_gap,
    Kind.HUNG: lambda docket, some: tell_each(docket, What.HUNG, some),
    Kind.PAUSED: lambda docket, some: tell_each(docket, What.PAUSED, some),
    Kind.STEP: lambda docket, some: tell_each(docket, What.STEP, some),
    Kind.COLD: lambda docket, some: tell_each(docket, What.COLD, some),
    Kind.ERRORS: lambda docket, some: tell_together(docket, What.ERRORS, some),
    Kind.NOT_READY: lambda docket, some: tell_together(docket, What.NOT_READY, some),
    Kind.LINK_LOST: lambda docket, some: tell_together(docket, What.LINK_LOST, some),
    Kind.ANNOUNCE_LOST: lambda docket, some: tell_together(docket, What.ANNOUNCE_LOST, some),
}
