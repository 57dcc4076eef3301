"""A set of changes planned against the version in force: the next book, or the two that contradict.

Decisions only; `now` is the planner's wall clock, ns since the epoch, looked at after the version was read.
What lands is the whole next book, by the keeper's compare with the version that it was planned against
(planner.py). Why nothing contradicts on the way, in docs/schedule.md:

- A book is accepted only where `validate` accepts every change in it within its horizon, with `late` = B.
- A new row may not begin before the version that holds it can be in force (`Terms.lead`).
- A row is never altered: a backend without contact goes on by the plan that it began. It is withdrawn, and
  another is planned under another name.
- A withdrawn row keeps its place until its planned end, since such a backend carries it out in full. Only
  where its withdrawal was in force before a window could begin anywhere is that window's place free.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass

import msgspec

from ringshift.retirement.plan import Contradiction, judge
from ringshift.retirement.timeline import Timeline
from ringshift.rulebook.bound import ReadingTerms, bound
from ringshift.rulebook.document import Rulebook
from ringshift.schedule.change import ChangeError
from ringshift.schedule.planned import (
    MS,
    Horizon,
    Planned,
    Stated,
    by_name,
    expanded,
    moment,
    over,
    settle,
    windows,
)
from ringshift.schedule.rules import Broken
from ringshift.schedule.validate import Schedule, validate

DAY = 86_400_000 * MS


class PlanError(ValueError):
    """A set that can't be planned now, whatever else is planned; the message begins with the row's name."""


@dataclass(frozen=True)
class Terms:
    """ns. `late`: by how much two backends may be apart; `lead`: how soon a change may begin that is planned
    now; `ahead`: how far recurring ones are expanded."""

    late: int
    lead: int
    ahead: int = 180 * DAY

    @classmethod
    def of(cls, reading: ReadingTerms, ahead: int = 180 * DAY) -> Terms:
        """`late` is B, up to the next ms. `lead`: the longest that a publication with every reader alive or
        surely ended takes, and a reading lease for the planner's own calls."""
        late = bound(reading.life, reading.margin, reading.drift_ppm)
        return cls(-(-late // MS) * MS, reading.surely_ended + reading.life, ahead)


Against = Broken | Contradiction
"""What a set contradicts: another change, or a timeline of retirement. Both have rule, first, second, instant
and part."""


def validated(book: Rulebook) -> Schedule | Against:
    """Every change of a book within its horizon, and its timelines. Raises ChangeError."""
    if book.horizon is None:
        if not (book.changes or book.timelines):
            return Schedule(book.world.world(), 0)
        raise ChangeError("horizon: none beside changes or timelines; it is written where they are planned")
    changes = [change for change, _ in expanded(book.changes, book.horizon).values()]
    if not book.timelines:
        return validate(changes, book.world.world(), book.horizon.late)
    found = judge(book.timelines, changes, book.world.world(), book.horizon.late)
    return found.broken or found if isinstance(found, Contradiction) else found


def unfit(book: Rulebook, late: int, wall: int | None = None) -> str:
    """Why a backend that may be `late` ns behind another can't take a book's changes in, or empty. `wall`:
    its clock, ns since the epoch: a planner further ahead of it takes for over what is in force here."""
    try:
        found = validated(book)
    except ValueError as wrong:
        return str(wrong)
    if not isinstance(found, Schedule):
        return str(found)
    if book.horizon is not None and book.horizon.late < late:
        return f"horizon.late_ms: {book.horizon.late_ms}, below the {late / MS:g} that backends may be apart"
    if book.horizon is not None and wall is not None and book.horizon.now > wall + late:
        ahead = (book.horizon.now - wall) // MS
        return f"horizon.at: {ahead} ms ahead of this clock: one of the two is wrong"
    return ""


def plan(
    base: Rulebook,
    rows: Sequence[Planned],
    now: int,
    terms: Terms,
    world: Stated | None = None,
    timelines: Sequence[Timeline] = (),
    gone: Iterable[str] = (),
) -> Rulebook | Against:
    """The next book: `base` with `rows` beside its own, and without what is over. A row that stands already
    is taken as it stands; a timeline takes the place of one of its name; rows named in `gone` are withdrawn
    by it, and hold their places in it. Raises PlanError, ChangeError."""
    horizon = moved(base.horizon, now, terms)
    standing = by_name(base.changes)
    added = [row for row in rows if not stands(row, standing.get(row.name))]
    check(added, standing, horizon, now + terms.lead)
    marks = {name for name in gone if standing[name].withdrawn is None}
    held = {row.name: row for row in withdraw(base, marks, now).changes if row.name in marks}
    kept = [settle(row, horizon) for row in base.changes]
    kept = [held.get(row.name, row) for row in still_needed(kept, added, horizon)]
    lines = {one.name: one for one in (*base.timelines, *timelines)}
    book = msgspec.structs.replace(
        base,
        changes=[*kept, *added],
        horizon=horizon,
        timelines=[*lines.values()],
        world=base.world if world is None else world,
    )
    found = validated(book)
    return book if isinstance(found, Schedule) else found


def moved(before: Horizon | None, now: int, terms: Terms) -> Horizon:
    """Never back: windows that were in the plan stay in it."""
    at, to, late = moment(now), moment(now + terms.ahead), -(-terms.late // MS)
    return Horizon(at, to, late) if before is None else Horizon(max(at, before.at), max(to, before.to), late)


def stands(row: Planned, standing: Planned | None) -> bool:
    """Whether a row is there already, not withdrawn. Raises PlanError where its name is another's."""
    if standing is None:
        return False
    if standing.withdrawn is not None:
        if row == standing:
            return True  # as the document in force was shown
        raise PlanError(f"{row.name}: withdrawn; its name is free once its last window is over")
    if row.plan() != standing.plan():
        raise PlanError(
            f"{row.name}: stands with another plan, and is never altered; withdraw it, and plan "
            "the other under another name"
        )
    return True


def check(added: Iterable[Planned], standing: Mapping[str, Planned], horizon: Horizon, earliest: int) -> None:
    """What holds of new rows alone, and of those that they require."""
    known = dict(standing)
    for row in added:
        if row.name in known:
            raise PlanError(f"{row.name}: twice")
        known[row.name] = row
    for row in added:
        for other in (known[name] for name in row.after if name in known):
            if other.recurring is not None or other.withdrawn is not None:
                how = "recurs and never ends" if other.recurring is not None else "is withdrawn"
                raise PlanError(f"{row.name}: requires {other.name}, which {how}")
        if row.withdrawn is not None:
            raise PlanError(f"{row.name}: withdrawn; it was never planned")
        starts = [start for start, _ in windows(row, horizon)]
        if not starts:
            raise PlanError(f"{row.name}: no window within the horizon, up to {horizon.to:%Y-%m-%d}")
        if starts[0] < earliest:
            raise PlanError(
                f"{row.name}: begins at {moment(starts[0])}, before {moment(earliest)}, when the "
                "version that holds it can be in force"
            )


def still_needed(kept: Sequence[Planned], added: Sequence[Planned], horizon: Horizon) -> list[Planned]:
    """Compaction: without those that are over everywhere, but for those that one yet to end requires."""
    known = by_name([*kept, *added])
    front = [row.name for row in added] + [row.name for row in kept if not over(row, horizon)]
    needed = set(front)
    while front:
        fresh = {name for name in known[front.pop()].after if name in known} - needed
        needed |= fresh
        front.extend(fresh)
    return [row for row in kept if row.name in needed]


def withdraw(base: Rulebook, names: Iterable[str], now: int) -> Rulebook:
    """The next book, with `names` marked: never begun from then on, walked back where under way. Nothing else
    moves. Raises PlanError for a name that isn't there, or that another one requires."""
    told = set(names)
    standing = by_name(base.changes)
    for name in sorted(told - standing.keys()):
        raise PlanError(f"{name}: no such change in this version")
    for row in base.changes:
        needs = told & set(row.after)
        if needs and row.name not in told and row.withdrawn is None and not past(row, now):
            raise PlanError(f"{min(needs)}: {row.name} requires it; withdraw that as well")
    marked = [
        msgspec.structs.replace(row, withdrawn=moment(now))
        if row.name in told and row.withdrawn is None
        else row
        for row in base.changes
    ]
    return msgspec.structs.replace(base, changes=marked)


def past(row: Planned, now: int) -> bool:
    edges = row.edges()
    return edges is not None and edges[1] <= now


def whole(base: Rulebook, book: Rulebook, now: int, terms: Terms) -> Rulebook | Against:
    """A document of the operators as the next version: rows that it has no more are withdrawn, new ones are
    planned, `horizon` is written here. Without changes in either it is `book` itself. Raises PlanError,
    ChangeError."""
    if not (base.changes or book.changes or book.timelines):
        return book
    told = {row.name for row in book.changes}
    gone = [row.name for row in base.changes if row.name not in told]
    before = msgspec.structs.replace(book, changes=base.changes, horizon=base.horizon)
    return plan(before, book.changes, now, terms, gone=gone)


def itself(book: Rulebook, now: int, terms: Terms) -> Rulebook | Against:
    """A document judged without what is in force. One that was shown by the keeper has its horizon, and is
    validated in it; a new one is planned beside nothing. Raises PlanError, ChangeError."""
    if book.horizon is None:
        return whole(Rulebook(alone=book.alone), book, now, terms)
    found = validated(book)
    return book if isinstance(found, Schedule) else found


def undone(base: Rulebook, old: Rulebook, now: int) -> Rulebook:
    """`old` published anew over `base`: changes planned since are withdrawn, all others stand as they are by
    now, as a withdrawal is final and one that is over doesn't come back."""
    told = {row.name for row in old.changes}
    since = [row.name for row in base.changes if row.name not in told and row.withdrawn is None]
    book = msgspec.structs.replace(old, changes=base.changes, horizon=base.horizon, world=base.world)
    return withdraw(book, since, now)
