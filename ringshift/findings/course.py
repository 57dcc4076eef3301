"""Puts the digests of many runs on one time, by what ties them."""

from __future__ import annotations

from array import array
from collections import defaultdict
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field

from ringshift.alignment import Alignment, Ticking, Tie, align
from ringshift.findings.digest import (
    AGAIN,
    COUNTS,
    ERRORED,
    LIMIT,
    MOST_BUCKETS,
    PRESSURE,
    SECONDS,
    SERVER_FIGURES,
    THROTTLED,
    WIDTHS,
    Digest,
)
from ringshift.findings.signs import Kind, Spell

MS, S = 10**6, 10**9
DELAY = 30 * MS  # the least delay that a caller's stamps have over a minute is under it
UNSEEN = S // 2  # a wall clock may step that much between two runs of a server without anyone seeing it
SHOWN = 6  # of a server and bucket: arrived, succeeded, throttled, the mean limit and pressure, errored
MOST_TOKEN = 400  # runs that one token ties; a token of every run of a large fleet needs no more


@dataclass(slots=True)
class Stint:
    """One run on the common time, in nanoseconds."""

    digest: Digest
    node: str
    start: int
    last: int
    error: int
    group: int

    def time(self, up: int, alignment: Alignment) -> int:
        return alignment.time(self.node, up)


@dataclass(slots=True)
class Placed:
    """A spell on the common time."""

    server: str
    node: str
    spell: Spell
    start: int
    end: int | None
    error: int

    @property
    def kind(self) -> Kind:
        return self.spell.kind

    @property
    def refs(self) -> list[str]:
        return [f"{self.node}/{seq}" for seq in self.spell.evidence]


@dataclass(slots=True)
class Course:
    alignment: Alignment
    stints: dict[str, list[Stint]]
    """Each server's runs in their order."""
    observers: dict[str, list[Stint]]
    spells: list[Placed]
    """In the order of their starts."""
    start: int
    end: int
    width: int = S
    """Of a bucket of the series below; the first begins at `start`."""
    buckets: int = 0
    work: dict[str, array[float]] = field(default_factory=dict)
    """operation -> `COUNTS` figures a bucket, of the whole fleet (digest.py has their order)"""
    servers: dict[str, array[float]] = field(default_factory=dict)
    """server -> `SHOWN` figures a bucket"""
    again: float = 0.0
    """Arrivals in all that repeated one of the same caller."""
    apart: list[Stint] = field(default_factory=list)
    """Runs tied to nothing whose own clock lies over a day from the others': they are on no common chart."""

    def bucket(self, at: int) -> int:
        return min(max((at - self.start) // self.width, 0), self.buckets - 1)


def node_of(digest: Digest) -> str:
    return f"{digest.server}/{digest.run}"


def mark_ties(digests: Sequence[Digest]) -> Iterable[Tie]:
    """The n-th time that one run saw a token is the n-th of another's."""
    by_token: dict[tuple[str, int], list[tuple[str, int, int]]] = defaultdict(list)
    for digest in digests:
        seen: dict[str, int] = defaultdict(int)
        for token, spread, up in digest.marks:
            seen[token] += 1
            by_token[token, seen[token]].append((node_of(digest), spread, up))
    for (token, _), some in by_token.items():
        first, *others = some[:MOST_TOKEN]
        for node, spread, up in others:
            within = spread + first[1]
            yield Tie(first[0], first[2], node, up, -within, within, token)


def stamp_ties(digests: Sequence[Digest]) -> tuple[list[Tie], dict[str, Ticking]]:
    """Callers are nodes of their own, whose `up` is their own clock's time since the earliest stamp."""
    base = min((value + up for d in digests for _, _, value, up in d.stamps), default=0)
    ties, spans = list[Tie](), dict[str, tuple[int, int]]()
    for digest in digests:
        for caller, _, value, up in digest.stamps:
            name, moment = f"caller/{caller}", value + up - base
            low, high = spans.get(name, (moment, moment))
            spans[name] = min(low, moment), max(high, moment)
            ties.append(Tie(node_of(digest), up, name, moment, 0, DELAY, f"stamps of caller {caller}"))
    return ties, {name: Ticking(base, low, high) for name, (low, high) in spans.items()}


def wall_ties(digests: Sequence[Digest]) -> Iterable[Tie]:
    """Runs of one server share its wall clock."""
    by_server: dict[str, list[Digest]] = defaultdict(list)
    for digest in digests:
        by_server[digest.server].append(digest)
    for some in by_server.values():
        some.sort(key=lambda d: d.wall + d.first_up)
        for old, new in zip(some, some[1:], strict=False):
            apart = (new.wall + new.first_up) - (old.wall_end + old.last_up)
            if apart < 0:
                continue  # both at once: two machines of one name, whose clocks nothing joins
            yield Tie(
                node_of(new),
                new.first_up,
                node_of(old),
                old.last_up,
                apart - UNSEEN,
                apart + UNSEEN,
                "one server's wall clock",
            )


def trust_ties(digests: Sequence[Digest], within: int) -> Iterable[Tie]:
    """The operators' word that all clocks are kept within a span of each other."""
    for digest in digests[1:]:
        first = digests[0]
        ahead = first.wall + first.first_up - digest.wall - digest.first_up
        yield Tie(
            node_of(first),
            first.first_up,
            node_of(digest),
            digest.first_up,
            ahead - within,
            ahead + within,
            "clocks held to be kept",
        )


def lay_out(digests: Sequence[Digest], reference: str = "", clocks_within: int | None = None) -> Course:
    """`reference` names the server whose clock is held to be right; else an observer's is, if there is one.
    `clocks_within` nanoseconds are the operators' word on all clocks; without it nothing is taken for it."""
    digests = [digest for digest in digests if digest.records]
    ties = [*mark_ties(digests), *wall_ties(digests)]
    stamps, callers = stamp_ties(digests)
    ties += stamps
    if clocks_within is not None:
        ties += trust_ties(digests, clocks_within)
    runs = {node_of(d): Ticking(d.wall, d.first_up, d.last_up) for d in digests} | callers
    chosen = [d for d in digests if d.server == reference]
    chosen = chosen or [d for d in digests if d.role == "observer"]
    chosen.sort(key=lambda d: -d.records)
    alignment = align(runs, ties, node_of(chosen[0]) if chosen else None)

    stints, observers = defaultdict[str, list[Stint]](list), defaultdict[str, list[Stint]](list)
    everything = list[Stint]()
    for digest in digests:
        node = node_of(digest)
        placed = alignment.placed[node]
        stint = Stint(
            digest,
            node,
            placed.time(digest.first_up),
            placed.time(digest.last_up),
            placed.error,
            placed.group,
        )
        everything.append(stint)
    main = min((s.group for s in everything), default=0)
    in_main = [s for s in everything if s.group == main]
    middle = sorted(s.start for s in in_main)[len(in_main) // 2] if in_main else 0
    apart = [s for s in everything if s.group != main and abs(s.start - middle) > 24 * 3600 * S]
    spells = list[Placed]()
    for stint in everything:
        if stint in apart:
            continue
        group = observers if stint.digest.role == "observer" else stints
        group[stint.digest.server].append(stint)
        for spell in stint.digest.spells:
            end = None if spell.end is None else stint.time(spell.end, alignment)
            start = stint.time(spell.start, alignment)
            spells.append(
                Placed(stint.digest.server, stint.node, spell, start, end, stint.error + spell.slack)
            )
    for some in (*stints.values(), *observers.values()):
        some.sort(key=lambda s: s.start)
    shown = [s for s in everything if s not in apart]
    course = Course(
        alignment,
        dict(sorted(stints.items())),
        dict(sorted(observers.items())),
        sorted(spells, key=lambda p: (p.start, p.server)),
        min((s.start for s in shown), default=0),
        max((s.last for s in shown), default=0),
        apart=apart,
    )
    fill(course)
    return course


def fill(course: Course) -> None:
    """The runs' buckets into those of the course, which are as wide as the widest."""
    stints = [stint for some in course.stints.values() for stint in some]
    course.width = max((stint.digest.width for stint in stints), default=S)
    while (course.end - course.start) // course.width >= MOST_BUCKETS and course.width < WIDTHS[-1]:
        course.width = next(width for width in WIDTHS if width > course.width)
    course.buckets = (course.end - course.start) // course.width + 1
    if course.buckets > 4 * MOST_BUCKETS:
        course.buckets = 0  # clocks years apart: no chart holds them
        return
    for stint in stints:
        digest = stint.digest
        mine = course.servers.setdefault(digest.server, array("f", bytes(4 * SHOWN * course.buckets)))
        work = [
            course.work.setdefault(name, array("d", bytes(8 * COUNTS * course.buckets)))
            for name in digest.operations
        ]
        for index, figures in digest.buckets.items():
            at = stint.time(index * digest.width + digest.width // 2, course.alignment)
            place = course.bucket(at)
            course.again += figures[AGAIN]
            for operation, series in enumerate(work):
                first = SERVER_FIGURES + operation * COUNTS
                for offset, value in enumerate(figures[first : first + COUNTS]):
                    series[place * COUNTS + offset] += value
                    if offset <= THROTTLED:
                        mine[place * SHOWN + offset] += value
                    elif offset == ERRORED:
                        mine[place * SHOWN + 5] += value
            for shown, figure in ((3, LIMIT), (4, PRESSURE)):
                mean = figures[figure] / max(figures[SECONDS], 1)
                mine[place * SHOWN + shown] = max(mine[place * SHOWN + shown], mean)
