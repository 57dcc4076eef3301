"""What answers of a retired operation tell their callers, and how many told it: counts under a bound.

Decisions only; times are ns since the epoch. **Warned by any backend** is what counts. Each process counts
what it handed to a connection, since its start, and tells all of it each time (`Warned.counts`, a row): a row
told twice, late or out of order changes nothing, since of two tellings of one process the larger counts
(`join`: commutative, associative, idempotent). Over processes counts are added (`total`). The row of a
process that is no more is added to what the fleet keeps (`fold`) and deleted in the same transaction; a
process that finds its row gone begins another from nothing (`anew`). What a crash loses is what was not told
yet: those callers are warned again, never turned away early.

**The bound.** A process takes no new caller past its bound. The fleet keeps the callers of the lowest lots,
as those are drawn first, and who is left out depends on no order: whoever is among the lowest of all is among
the lowest of some. From `cut` on nobody counts as warned, and the ramp takes no step above it.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from email.utils import formatdate

import msgspec

from ringshift.retirement.conditions import WHOLE, Floor, S
from ringshift.retirement.shed import lot
from ringshift.retirement.timeline import Timeline, ns

MOST_OF_ONE = 4_096  # callers of one process
MOST_CALLERS = 16_384  # of the fleet: under the 1.5 MB that a keeper takes in one request


def fields(timeline: Timeline, now: int, caller: int = -1) -> dict[str, str]:
    """Header fields of an answer: `Deprecation` (RFC 9745), `Sunset` (RFC 8594), `Link` (RFC 8288); none
    before `warned_from`. An exempt caller is told the end of its own where that is later."""
    if now < ns(timeline.warned_from):
        return {}
    ends = [ns(timeline.end), *(ns(one.until) for one in timeline.exemptions if one.caller == caller)]
    told = {
        "Deprecation": f"@{ns(timeline.announced) // S}",
        "Sunset": formatdate(max(ends) // S, usegmt=True),
    }
    links = [f'<{timeline.link}>; rel="successor-version"'] if timeline.link else []
    if timeline.about:
        links += [f'<{timeline.about}>; rel="{rel}"' for rel in ("deprecation", "sunset")]
    if links:
        told["Link"] = ", ".join(links)
    return told


class Counted(msgspec.Struct, frozen=True, array_like=True):
    """Of one caller: answers that carried the warning, and when the first and the last were handed over."""

    answers: int
    first: int
    last: int

    def __add__(self, other: Counted) -> Counted:
        """Of two processes."""
        return Counted(self.answers + other.answers, min(self.first, other.first), max(self.last, other.last))

    def __or__(self, other: Counted) -> Counted:
        """Of one process, told twice: the larger of the two, whichever came first."""
        answers = max(self.answers, other.answers)
        return Counted(answers, min(self.first, other.first), max(self.last, other.last))

    def reaches(self, floor: Floor) -> bool:
        return self.answers >= floor.answers and self.last - self.first >= floor.span


Counts = Mapping[int, Counted]
Rows = Mapping[str, Counts]
"""Process -> its counts by caller. A process's name is never another's."""


class Warned:
    """One process's own counts."""

    def __init__(self, most: int = MOST_OF_ONE) -> None:
        self.most = most
        self.counts: dict[int, Counted] = {}
        self.left_out = 0  # answers not counted, as there was no room for their caller

    def handed(self, caller: int, now: int) -> None:
        """An answer with the warning was handed to its connection, whole. Not to be called before."""
        had = self.counts.get(caller)
        if had is None and len(self.counts) >= self.most:
            self.left_out += 1
            return
        one = Counted(1, now, now)
        self.counts[caller] = one if had is None else had + one

    def anew(self) -> None:
        """The fleet counts this process as no more, and has what it told: from here on it is another one."""
        self.counts = {}


def join(a: Rows, b: Rows) -> dict[str, dict[int, Counted]]:
    """Two tellings of any processes as one."""
    return {
        process: {
            caller: joined(a.get(process, {}).get(caller), b.get(process, {}).get(caller))
            for caller in a.get(process, {}).keys() | b.get(process, {}).keys()
        }
        for process in a.keys() | b.keys()
    }


def joined(a: Counted | None, b: Counted | None) -> Counted:
    if a is None or b is None:
        one = a or b
        assert one is not None
        return one
    return a | b


def total(kept: Counts, rows: Iterable[Counts]) -> dict[int, Counted]:
    """By caller over `kept`, the counts of those that are no more, and the rows of the others."""
    out = dict(kept)
    for row in rows:
        for caller, count in row.items():
            had = out.get(caller)
            out[caller] = count if had is None else had + count
    return out


def fold(kept: Counts, rows: Iterable[Counts], key: int, most: int = MOST_CALLERS) -> dict[int, Counted]:
    """`kept` with the rows of processes that are no more, under the bound; `key`: of the timeline
    (`shed.key`). To be written in the transaction that deletes those rows, compared as they were read."""
    return lowest(total(kept, rows), key, most)


def lowest(counts: Counts, key: int, most: int = MOST_CALLERS) -> dict[int, Counted]:
    """Those of the lowest lots."""
    if len(counts) <= most:
        return dict(counts)
    callers = sorted(counts, key=lambda caller: (lot(key, caller), caller))
    return {caller: counts[caller] for caller in callers[:most]}


def cut(counts: Counts, key: int, most: int = MOST_CALLERS) -> int:
    """The lot up to which surely all callers are counted: no bound while there is room for more. Whoever was
    left out has a lot not below the highest kept, as the lowest are kept."""
    return WHOLE if len(counts) < most else max(lot(key, caller) for caller in counts)


def ready(counts: Counts, floor: Floor, key: int, share: int) -> frozenset[int]:
    """The callers that `share` millionths turn away: drawn below it, and warned to the floor."""
    return frozenset(
        caller for caller, count in counts.items() if count.reaches(floor) and lot(key, caller) < share
    )
