"""Whether the conditions of a timeline hold over the fleet at an instant, by fresh figures only.

Decisions only; times are ns of the lease-holder's clock. A row counts as fresh only after this holder saw it
*change*, and for `fresh` from then: what lay at the keeper when it began may be of any age.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import IntEnum

from ringshift.retirement.conditions import WHOLE, Conditions
from ringshift.retirement.figures import Figures

Finding = IntEnum("Finding", "UNHEARD WORSE BAD BETWEEN UNPROVEN UNSERVED UNMOVED GOOD")

# The first that holds is found: finding | what holds | what it does to the ramp
SPECIFICATION = """
UNHEARD  | fewer than `heard` of the known backends are fresh               | pauses, proves nothing worse
WORSE    | of `least_answers` or more, errors at `errors_back` or above     | steps back
BAD      | the same, at `errors_above` or above                             | pauses
BETWEEN  | the same, at `errors_below` or above                             | changes nothing
UNPROVEN | fewer than `least_answers` of the successor, someone turned away | no step; pauses when one is due
UNSERVED | the successor serves less than its stated part of the share      | no step; pauses when one is due
UNMOVED  | fewer than `moved` of those turned away were served by it        | no step; pauses when one is due
GOOD     | none of these                                                    | goes on
"""
REASONS = {
    Finding[row[0].strip()]: row[1].strip()
    for row in (line.split("|") for line in SPECIFICATION.strip().splitlines())
}
assert list(REASONS) == list(Finding)


@dataclass(frozen=True)
class Seen:
    """`known`: all backends with a row at the keeper; `figures`: of the fresh ones alone."""

    known: int = 0
    figures: Mapping[str, Figures] = field(default_factory=dict)
    highest: int = 0
    """Highest edition that any row names, fresh or not, and the least share told with it."""
    share: int = 0
    owed: frozenset[int] = frozenset()
    """Callers that some row says were turned away before."""


@dataclass(frozen=True)
class Summed:
    """The fresh figures together: what a decision was made on, for the records."""

    known: int
    fresh: int
    behind: int
    """Of the fresh ones, those that act by a decision before the one judged."""
    old: int
    new: int
    errors: int
    shed: int
    moved: int
    """Callers turned away by the decision judged, that the successor served."""
    ready: int
    """Callers turned away by it, without the exempt."""


class Freshness:
    """Which rows are fresh. `rows`: backend -> (its row's number, which it changes with each, figures)."""

    def __init__(self, fresh: int) -> None:
        self.fresh = fresh
        self.last: dict[str, tuple[int, int | None]] = {}  # number, when it was seen to change

    def look(self, now: int, rows: Mapping[str, tuple[int, Figures]]) -> Seen:
        self.last = {name: self.aged(name, n, now) for name, (n, _) in rows.items()}
        figures = {
            name: rows[name][1]
            for name, (_, at) in self.last.items()
            if at is not None and now - at <= self.fresh
        }
        highest, share = max(((told.edition, -told.share) for _, told in rows.values()), default=(0, 0))
        owed = frozenset[int]().union(*(told.owed for _, told in rows.values()))
        return Seen(len(rows), figures, highest, -share, owed)

    def aged(self, name: str, n: int, now: int) -> tuple[int, int | None]:
        had = self.last.get(name)
        if had is None:
            return n, None
        return (n, now) if n > had[0] else had  # a lower one is of a keeper restored from an older copy


def summed(seen: Seen, edition: int, ready: frozenset[int]) -> Summed:
    ones = list(seen.figures.values())
    moved = frozenset[int]().union(*(one.moved for one in ones)) & ready
    return Summed(
        seen.known,
        len(ones),
        sum(one.edition < edition for one in ones),
        sum(one.old for one in ones),
        sum(one.new for one in ones),
        sum(one.errors for one in ones),
        sum(one.shed for one in ones),
        len(moved),
        len(ready),
    )


def heard(told: Summed, conditions: Conditions) -> bool:
    return bool(told.fresh) and told.fresh >= conditions.heard * told.known


def judge(told: Summed, conditions: Conditions, share: int) -> Finding:
    """`share`: millionths that the decision judged turns away."""
    if not heard(told, conditions):
        return Finding.UNHEARD
    if told.new >= conditions.least_answers:
        errors = told.errors / told.new
        for finding, most in (
            (Finding.WORSE, conditions.errors_back),
            (Finding.BAD, conditions.errors_above),
            (Finding.BETWEEN, conditions.errors_below),
        ):
            if errors >= most:
                return finding
    elif share and told.ready:
        return Finding.UNPROVEN
    if told.ready and told.new < conditions.successor_share * share / WHOLE * (told.new + told.old):
        return Finding.UNSERVED
    if told.moved < conditions.moved * told.ready:
        return Finding.UNMOVED
    return Finding.GOOD
