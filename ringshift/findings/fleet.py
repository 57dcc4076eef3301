"""What went wrong between servers: tasks that nobody held, holds that seem to overlap, shares lost together,
ramps of retirement that did not go as planned.

From records of kinds `lease`, `share` and `ramp` (ringshift/records/schema.py), laid on one time by the
course's alignment. Decisions only; what is told names what it rests on. Two holds that overlap by less than
what the clocks of their servers may be apart are no finding: the records can't show it. An overlap beyond
that is told as what the records say, and that the resource's own view of tokens decides (docs/leases.md).
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field
from enum import Enum

from ringshift.findings.course import Course, Stint

S = 10**9
MS = 10**6
NOTICED = 1 * S  # a task without a holder for less than that is a handover
TOGETHER = 2 * S  # shares that fall within that of each other fell for one reason
MOST_TOLD = 200
STANDING = {"PAUSED"}  # phases of a ramp (ringshift/retirement/ramp.py): it waits against its plan
DECIDED = {"SHEDDING", "STEPPING_BACK", "BROWNOUT"}  # each entered by a decision under an edition of its own


class What(Enum):
    UNHELD = "nobody held a task"
    OVERLAP = "two held a task at once, by their records"
    DOUBT = "a holder lost the keeper"
    LOST_SHARES = "shares fell for want of contact"
    RAMP_HELD_UP = "a retirement did not go as planned"
    RAMP_TWICE = "one step of a retirement was decided twice, by the records"


class Way(Enum):
    """How a hold ended."""

    RELEASED = "released"
    DOUBTFUL = "doubtful"
    LOST = "lost"
    VANISHED = "its server's records end"


ENDS = {"RELEASED": Way.RELEASED, "DOUBTFUL": Way.DOUBTFUL, "SEEKING": Way.LOST}


@dataclass(frozen=True, slots=True)
class Holding:
    """One server's hold of a task, on the course's time; `error`: how far that time may be off."""

    task: str
    server: str
    start: int
    end: int
    way: Way
    error: int


@dataclass(frozen=True, slots=True)
class Fall:
    """A share that fell for want of contact."""

    budget: str
    server: str
    at: int
    old: float
    new: float


@dataclass(frozen=True, slots=True)
class Moved:
    """A decision on a retirement's ramp; `share`: millionths shed from then on."""

    timeline: str
    server: str
    at: int
    old: str
    new: str
    why: str
    share: int
    edition: int


@dataclass(frozen=True, slots=True)
class Told:
    what: What
    subject: str
    """The task, the budget or the timeline."""
    start: int
    end: int
    servers: tuple[str, ...]
    text: str
    rests_on: tuple[str, ...] = ()


@dataclass(slots=True)
class Fleet:
    """All that the records tell of tasks, budgets and retirements."""

    holdings: dict[str, list[Holding]] = field(default_factory=dict)
    falls: dict[str, list[Fall]] = field(default_factory=dict)
    moves: dict[str, list[Moved]] = field(default_factory=dict)
    told: list[Told] = field(default_factory=list)

    def holder(self, task: str, at: int) -> Holding | None:
        return next((one for one in self.holdings.get(task, ()) if one.start <= at < one.end), None)


def holdings_of(server: str, stint: Stint, course: Course) -> Iterable[Holding]:
    """A run's holds: each from HOLDING to whatever state came after it, or the run's last record."""
    since: dict[str, int] = {}
    for task, state, up in stint.digest.holds:
        at = stint.time(up, course.alignment)
        began = since.pop(task, None)
        if began is not None:
            yield Holding(task, server, began, at, ENDS.get(state, Way.LOST), stint.error)
        if state == "HOLDING":
            since[task] = at
    for task, began in since.items():
        yield Holding(task, server, began, max(stint.last, began), Way.VANISHED, stint.error)


def falls_of(server: str, stint: Stint, course: Course) -> Iterable[Fall]:
    now: dict[str, float] = {}
    for budget, amount, why, up in stint.digest.shares:
        if why == "LATE" and amount < now.get(budget, amount):
            yield Fall(budget, server, stint.time(up, course.alignment), now[budget], amount)
        now[budget] = amount


def unheld(task: str, held: Sequence[Holding], end: int) -> Iterable[Told]:
    """Times without a holder, from the first hold on. A last hold that its server gave up and nobody took is
    one until the records end; a server's last record is no such end where no other record is later."""
    until, last = held[0].end, held[0]
    for one in [*held[1:], None]:
        start = one.start if one is not None else end
        if start - until > NOTICED and not (one is None and last.way is Way.RELEASED):
            servers = (last.server,) if one is None else (last.server, one.server)
            then = f"then {one.server} took it" if one is not None else "and nobody took it"
            after = f"{last.server} ({last.way.value})"
            text = f"nobody held {task} for {(start - until) / S:.1f} s after {after}, {then}"
            yield Told(What.UNHELD, task, until, start, servers, text, (after,))
        if one is not None and one.end > until:
            until, last = one.end, one


def overlaps(task: str, held: Sequence[Holding]) -> Iterable[Told]:
    """Holds that overlap by more than their clocks may be apart."""
    for place, one in enumerate(held):
        for other in held[place + 1 :]:
            if other.start >= one.end:
                break
            shared = min(one.end, other.end) - other.start
            apart = one.error + other.error
            # A vanished run's hold ends with its last record, which says nothing of when it stopped acting.
            if one.server != other.server and shared > apart:
                text = (
                    f"{one.server} and {other.server} both say they held {task} for {shared / MS:.0f} "
                    f"ms, with clocks at most {apart / MS:.0f} ms apart; the resource's tokens decide"
                )
                rests_on = f"{one.server} from {one.start}", f"{other.server} from {other.start}"
                yield Told(
                    What.OVERLAP,
                    task,
                    other.start,
                    other.start + shared,
                    (one.server, other.server),
                    text,
                    rests_on,
                )


def doubts(task: str, held: Sequence[Holding]) -> Iterable[Told]:
    for one in held:
        if one.way is Way.DOUBTFUL:
            yield Told(
                What.DOUBT,
                task,
                one.end,
                one.end,
                (one.server,),
                f"{one.server} held {task} and lost the keeper: it stopped acting at its own deadline",
                (f"{one.server}: HOLDING -> DOUBTFUL",),
            )


def lost_together(budget: str, falls: Sequence[Fall], fleet: Fleet, known: int) -> Iterable[Told]:
    """Falls close to each other are one finding; who divided then says what they have in common."""
    group = list[Fall]()
    for fall in [*falls, None]:
        if fall is not None and (not group or fall.at - group[-1].at <= TOGETHER):
            group.append(fall)
            continue
        if group:
            yield told_of(budget, group, fleet, known)
        group = [fall] if fall is not None else []


def told_of(budget: str, group: Sequence[Fall], fleet: Fleet, known: int) -> Told:
    servers = tuple(sorted({fall.server for fall in group}))
    task = f"budget-{budget}"
    divider = fleet.holder(task, group[0].at)
    lost = sum(fall.old - fall.new for fall in group)
    if len(servers) * 2 < known:
        why = "the others kept theirs: these lost the keeper"
    elif divider is None and task in fleet.holdings:
        why = "nobody divided it then"
    elif divider is not None:
        why = f"{divider.server} held the division all the while: it or the keeper stood still"
    else:
        why = "no record tells who divided it"
    names = ", ".join(servers[:5]) + (f" and {len(servers) - 5} more" if len(servers) > 5 else "")
    return Told(
        What.LOST_SHARES,
        budget,
        group[0].at,
        group[-1].at,
        servers,
        f"{names} fell to the safe share of {budget}, {lost:g} in all; {why}",
        tuple(f"{fall.server}: {fall.old:g} -> {fall.new:g}" for fall in group[:8]),
    )


def moves_of(server: str, stint: Stint, course: Course) -> Iterable[Moved]:
    for timeline, old, new, why, share, edition, up in stint.digest.ramps:
        yield Moved(timeline, server, stint.time(up, course.alignment), old, new, why, share, edition)


def held_up(timeline: str, moves: Sequence[Moved]) -> Iterable[Told]:
    """What lessened the share turned away, or kept it as it was against the plan, until the ramp went on."""
    for place, one in enumerate(moves):
        before = moves[place - 1].share if place else 0
        if one.new in STANDING or (one.share < before and one.old != "BROWNOUT"):
            later = (other for other in moves[place + 1 :] if other.share > one.share)
            end = next((other.at for other in later), one.at)
            text = f"{timeline} went {one.old} -> {one.new} at {one.share / 10_000:g}% turned away: {one.why}"
            yield Told(
                What.RAMP_HELD_UP,
                timeline,
                one.at,
                end,
                (one.server,),
                text,
                (f"{one.server}: decision {one.edition}",),
            )


def twice(timeline: str, moves: Sequence[Moved]) -> Iterable[Told]:
    """Decisions that two servers say they wrote: the keeper's compare lets one of them through."""
    decided = defaultdict[int, list[Moved]](list)
    for one in moves:
        if one.new in DECIDED and one.old != one.new:
            decided[one.edition].append(one)
    for edition, same in decided.items():
        servers = tuple(sorted({one.server for one in same}))
        if len(servers) > 1:
            text = f"decision {edition} of {timeline} was written by {' and '.join(servers[:5])}"
            yield Told(
                What.RAMP_TWICE,
                timeline,
                same[0].at,
                same[-1].at,
                servers,
                text,
                tuple(f"{one.server}: {one.old} -> {one.new}" for one in same[:8]),
            )


def tell(course: Course) -> Fleet:
    """All of it, in the order of time, bounded."""
    fleet, known = Fleet(), defaultdict[str, set[str]](set)
    for server, stints in course.stints.items():
        for stint in stints:
            for holding in holdings_of(server, stint, course):
                fleet.holdings.setdefault(holding.task, []).append(holding)
            for fall in falls_of(server, stint, course):
                fleet.falls.setdefault(fall.budget, []).append(fall)
            for move in moves_of(server, stint, course):
                fleet.moves.setdefault(move.timeline, []).append(move)
            for budget, *_ in stint.digest.shares:
                known[budget].add(server)
    found = list[Told]()
    for task, held in fleet.holdings.items():
        held.sort(key=lambda one: (one.start, one.server))
        found += [*unheld(task, held, course.end), *overlaps(task, held), *doubts(task, held)]
    for budget, falls in fleet.falls.items():
        falls.sort(key=lambda fall: (fall.at, fall.server))
        found += lost_together(budget, falls, fleet, len(known[budget]))
    for timeline, moves in fleet.moves.items():
        moves.sort(key=lambda move: (move.edition, move.at, move.server))
        found += [*held_up(timeline, moves), *twice(timeline, moves)]
    found.sort(key=lambda one: (one.start, one.what.value, one.subject))
    fleet.told = found[:MOST_TOLD]
    return fleet
