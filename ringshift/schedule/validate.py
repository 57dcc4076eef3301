"""Accepts a set of changes, or refuses it with the two that contradict, the first instant and where.

A sweep over the sorted edges of all windows: at each start the new change is judged with those that are in
force and share an operation or a place with it, never with all others. The sweep finds the first instant
only; what is broken there is then told from the changes in force at it, in the order of `Rule` and of names,
so that whoever judges the same set names the same pair. One more change is judged with its neighbours in time
(`Index`).
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator, Mapping, Sequence

from ringshift.schedule.change import All, Change, ChangeError, Move, World, within
from ringshift.schedule.index import Index
from ringshift.schedule.moving import unserved
from ringshift.schedule.rules import Broken, Rule, Sums, places, two
from ringshift.schedule.witness import pair, together


class Live:
    """The changes in force at a moment of the sweep, by the operations and places that they concern."""

    def __init__(self) -> None:
        self.all: dict[str, Change] = {}
        self.by: dict[tuple[str, str], dict[str, Change]] = {}

    def keys(self, change: Change) -> Iterator[tuple[str, str]]:
        operations = change.scope.operations
        for name in ("",) if isinstance(operations, All) else operations:  # "": every operation
            yield "operation", name
        becomes = change.does.served_as if isinstance(change.does, Move) else ""
        if becomes and not within(becomes, operations):
            yield "operation", becomes
        for place in places(change):
            yield "place", place

    def begin(self, change: Change) -> None:
        self.all[change.name] = change
        for key in self.keys(change):
            self.by.setdefault(key, {})[change.name] = change

    def end(self, change: Change) -> None:
        del self.all[change.name]
        for key in self.keys(change):
            del self.by[key][change.name]
            if not self.by[key]:
                del self.by[key]

    def near(self, change: Change) -> list[Change]:
        if isinstance(change.scope.operations, All):
            return list(self.all.values())
        found: dict[str, Change] = {}
        for key in (*self.keys(change), ("operation", "")):
            found.update(self.by.get(key, {}))
        return list(found.values())


class Schedule:
    """A set that was accepted. `late`: ns that two backends may be apart. Not changed by what it refuses."""

    def __init__(self, world: World, late: int) -> None:
        if late < 0:
            raise ChangeError(f"late: {late} ns; not below 0")
        self.world, self.late = world, late
        self.sums = Sums(world, late)
        self.names: dict[str, Change] = {}
        self.index = Index(late=late)

    def add(self, one: Change) -> Broken | None:
        """Takes one more, or tells what it contradicts. Nothing here requires it: that was refused before."""
        if one.name in self.names:
            raise ChangeError(f"name: {one.name!r} twice")
        self.names[one.name] = one
        near = list(self.index.live(one.start, one.end + self.late))
        at = self.first(one, near)
        if at is None:
            self.index.add(one)
            return None
        broken = self.broken(at, [one, *self.index.live(at, at + 1)])
        del self.names[one.name]
        return broken

    def first(self, one: Change, others: Sequence[Change]) -> int | None:
        """The first instant at which `one` breaks a rule with `others`, which break none without it."""
        found = [max(one.start, other.start) for other in others if two(one, other)]
        if unserved(one, self.sums.world):
            found.append(one.start)
        if any(self.ends_late(one, name) for name in one.after):
            found.append(one.start)
        if (over := self.sums.first(one, others)) is not None:
            found.append(over)
        return min(found, default=None)

    def ends_late(self, one: Change, name: str) -> bool:
        return name not in self.names or self.names[name].end + self.late > one.start

    def in_circle(self, one: Change, name: str) -> bool:
        """Whether the change required requires `one`, itself or through others."""
        seen, front = {name}, [name]
        while front:
            known = self.names.get(front.pop())
            fresh = known.after - seen if known else frozenset()
            seen |= fresh
            front.extend(fresh)
        return one.name in seen

    def broken(self, at: int, live: Sequence[Change]) -> Broken:
        """What is told of an instant at which a rule is broken by the changes in force."""
        return min(
            self.all_broken(at, live),
            key=lambda one: (one.beneath, one.first, one.second, one.part.order, one.beside),
        )

    def all_broken(self, at: int, live: Sequence[Change]) -> Iterator[Broken]:
        for one in live:
            for name in one.after if one.start == at else ():
                if self.ends_late(one, name):
                    circle = self.in_circle(one, name)
                    # One that isn't there counts as never ending.
                    over = self.names[name].end if name in self.names else at + 1
                    yield pair(
                        Rule.CYCLE if circle else Rule.ENDS_LATE,
                        one.name,
                        name,
                        at,
                        one.scope,
                        not circle and over <= at,
                    )
            if part := unserved(one, self.world):
                yield pair(Rule.UNSERVED, one.name, one.name, at, part, one.end <= at)
        for n, one in enumerate(live):
            for other in live[:n]:
                if met := two(one, other):
                    yield pair(met[0], one.name, other.name, at, met[1], min(one.end, other.end) <= at)
        yield from together(self.sums, at, live)


def validate(changes: Iterable[Change], world: World, late: int) -> Schedule | Broken:
    """The set as a schedule, or what it contradicts first. `late` in ns. Raises ChangeError for a name
    twice."""
    schedule = Schedule(world, late)
    for change in changes:
        if change.name in schedule.names:
            raise ChangeError(f"name: {change.name!r} twice")
        schedule.names[change.name] = change
    live, first = Live(), None
    for at, begins, change in edges(schedule.names, late):
        if first is not None and at > first:
            break  # whoever begins later can't bring the first instant forward
        if not begins:
            live.end(change)
            continue
        found = schedule.first(change, live.near(change))
        if found is not None:
            first = found if first is None else min(first, found)
        live.begin(change)
    if first is not None:
        index = Index(schedule.names.values(), late)
        return schedule.broken(first, list(index.live(first, first + 1)))
    schedule.index = Index(schedule.names.values(), late)
    return schedule


def edges(names: Mapping[str, Change], late: int) -> Iterator[tuple[int, bool, Change]]:
    """(instant, begins, change), ends before starts at one instant: windows that touch don't meet."""
    told = [(c.end + late, 0, c.name) for c in names.values()]
    told += [(c.start, 1, c.name) for c in names.values()]
    told.sort()
    for at, begins, name in told:
        yield at, bool(begins), names[name]
