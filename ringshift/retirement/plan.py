"""A timeline as changes of part 2, and what a set of timelines contradicts: another one, or a routing change.

Decisions only. `changes` gives what `ringshift.schedule.validate` can judge: capacity at the successor's
places, freezes, drains, two ways. They are **judged, never put in service**: when a step comes is the ramp's
to decide. As a step comes at its date or later, never earlier, and only takes back what it brought, what the
validator found of the plan holds for what is done. What needs the timelines themselves is judged here, by
rules of the same form: the two by name, the first instant, the part of the scope, in the rules' order at one
instant.

**Capacity**: what is turned away is reckoned to come to the successor, whole: at the same place where that
serves it as well (nothing is added there), else by `onto`. A brownout brings its share for its hours. After
the end the load is reckoned for `AFTER_END`; by then operators have stated it anew (`World.load`). A freeze
may not lie anywhere in this: for the validator, a step that holds is a change in force.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator, Sequence
from dataclasses import dataclass
from enum import IntEnum

from ringshift.retirement.conditions import WHOLE, S, millionths
from ringshift.retirement.timeline import Timeline, ns
from ringshift.schedule.change import ALL, Change, Does, Move, Quota, Scope, World
from ringshift.schedule.rules import Broken
from ringshift.schedule.validate import Schedule, validate

AFTER_END = 30 * 86_400 * S
PREFIX = "retire:"


def changes(timeline: Timeline, world: World | None = None) -> list[Change]:
    """What the timeline brings by its dates: for each part a quota of what is left of the operation (rounded
    up, 0 where no load is stated), and a move of what the part adds for each place of `onto`, where it is
    served as the successor. Names are `retire:NAME:FROM` and `retire:NAME:FROM:PLACE`, FROM in ns."""
    loads = world.load if world else {}
    load = sum(rate for (operation, _, _), rate in loads.items() if operation == timeline.operation)
    scope = Scope(frozenset((timeline.operation,)))
    found = list[Change]()
    for start, end, share, added in parts(timeline):
        does: list[tuple[str, Does]] = [("", Quota(-(-load * (WHOLE - share) // WHOLE)))]
        does += [
            (f":{one.source}", Move(added, one.source, one.target, timeline.successor))
            for one in timeline.onto
        ]
        name = f"{PREFIX}{timeline.name}:{start}"
        found += [Change(name + place, scope, it, start, end) for place, it in does]
    return found


def parts(timeline: Timeline) -> Iterator[tuple[int, int, int, int]]:
    """(start, end, share turned away by then, share added), ns and millionths, in order: each brownout for
    its hours, each rung from its date until after the end, on top of those below it."""
    for one in timeline.brownouts:
        share = millionths(one.share)
        yield ns(one.start), ns(one.end), share, share
    below, end = 0, ns(timeline.end) + AFTER_END
    for start, share, _ in timeline.rungs:
        if share > below:  # the end adds nothing where the last step took all
            yield start, end, share, share - below
        below = share


class Rule(IntEnum):
    """In the order in which they are told where several are broken at one instant."""

    TWO_OF_ONE = 1
    RETIRED = 2
    NOWHERE = 3
    UNPLACED = 4
    ROUTING = 5


REASONS = {
    Rule.TWO_OF_ONE: "one operation is turned away by one timeline, or its callers are drawn twice",
    Rule.RETIRED: "callers would be sent to a successor that is itself announced as retired",
    Rule.NOWHERE: "no place serves the successor",
    Rule.UNPLACED: "what is served at this place is sent to one that does not serve the successor",
    Rule.ROUTING: "it contradicts a routing change",
}


@dataclass(frozen=True)
class Contradiction:
    """`first` and `second`: names of timelines or changes, in order; the same where one breaks the rule
    alone. `instant`: ns since the epoch. `broken`: what the validator of changes told, for ROUTING."""

    rule: Rule
    first: str
    second: str
    instant: int
    part: Scope
    broken: Broken | None = None

    def __str__(self) -> str:
        if self.broken is not None:
            return str(self.broken)
        names = self.first if self.first == self.second else f"{self.first} and {self.second}"
        return f"{names} contradict at {self.instant} ns ({self.rule.name.lower()}): {REASONS[self.rule]}"


def judge(
    timelines: Sequence[Timeline], others: Iterable[Change], world: World, late: int
) -> Schedule | Contradiction:
    """The set together with the routing changes `others`, accepted, or what it contradicts first. `late`: ns
    that two backends may be apart. Raises ChangeError for a name twice."""
    found = list(own(timelines, world, late))
    told = validate([*others, *(one for line in timelines for one in changes(line, world))], world, late)
    if isinstance(told, Broken):
        found.append(Contradiction(Rule.ROUTING, told.first, told.second, told.instant, told.part, told))
    if found:
        return min(found, key=lambda one: (one.instant, one.rule, one.first, one.second))
    assert isinstance(told, Schedule)
    return told


def own(timelines: Sequence[Timeline], world: World, late: int) -> Iterator[Contradiction]:
    """The rules that are of timelines alone."""
    by: dict[str, list[Timeline]] = {}
    for line in timelines:
        by.setdefault(line.operation, []).append(line)
    for line in timelines:
        for other in by[line.operation]:
            if other.name != line.name:
                yield pair(Rule.TWO_OF_ONE, line, other, max(ns(line.announced), ns(other.announced)))
        for other in by.get(line.successor, ()):
            if ns(other.announced) < ns(line.end) + late:
                yield pair(Rule.RETIRED, line, other, max(ns(line.announced), ns(other.announced)))
        yield from placed(line, world)


def pair(rule: Rule, line: Timeline, other: Timeline, instant: int) -> Contradiction:
    first, second = sorted((line.name, other.name))
    return Contradiction(rule, first, second, instant, Scope(frozenset((line.operation,))))


def placed(line: Timeline, world: World) -> Iterator[Contradiction]:
    """Whether all that the operation's places serve comes to a place of the successor: from the first instant
    at which anyone is turned away. Places that nothing is stated of are not judged."""
    at = next(parts(line))[0]
    serving, there = world.serves.get(line.operation), world.serves.get(line.successor)
    if there is not None and not there:
        yield Contradiction(Rule.NOWHERE, line.name, line.name, at, Scope(frozenset((line.successor,))))
    elif there is not None:
        onto = {one.source: one.target for one in line.onto}
        for place in sorted(serving or ()):
            if onto.get(place, place) not in there:
                part = Scope(frozenset((line.operation,)), ALL, frozenset((place,)))
                yield Contradiction(Rule.UNPLACED, line.name, line.name, at, part)
