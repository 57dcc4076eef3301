"""All scheduled changes at one backend: which are in force at an instant of its wall clock, what they ask.

Decisions only; the wall clock (ns since the epoch), whether what is acted by is confirmed, and the books
come in. Each change near its time or in force has one `Service`; all others wait in a heap by the instant at
which they are near, so a look costs what is near and nothing for the rest; and one before anything can have
moved costs nothing at all. What is taken in changes only while there is contact: a backend without it begins
nothing and walks nothing back.

**The clock.** Backends' wall clocks are taken to be at most `late` apart. Time never falls here: a clock set
back by up to `late` stands still until it has caught up. One set back by more was wrong before: everything is
begun anew by the right one, at nothing, by its ramps. One set forward carries out at once whatever lies
between; what begins then ramps from then on.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from functools import lru_cache, partial
from heapq import heapify, heappop

from ringshift.interface import Clause
from ringshift.rulebook.document import Rulebook
from ringshift.rulebook.indices import Names
from ringshift.rulebook.meet import Set, Standing, standing
from ringshift.schedule.change import WHOLE, All, Change, Drain, Freeze, Move, Quota, within
from ringshift.schedule.change import Names as Named
from ringshift.schedule.planned import expanded
from ringshift.schedule.service import RUNNING, Service, State

S = 1_000_000_000
MOST_QUIET = 3_600 * S
GRAIN = 10_000_000  # ns between two looks at a ramp: what is asked may be so much behind it
ENDED = (State.DONE, State.WITHDRAWN, State.MISSED)


@dataclass(frozen=True)
class Passed:
    """A change that went from one state to another in the last look. `part`: millionths of its effect from
    then on; `left`: ns until its planned end, not below 0."""

    name: str
    old: str
    new: str
    part: int
    left: int
    withdrawn: bool


@dataclass(frozen=True)
class Picture:
    """Of one instant, by name the state and millionths of the effect: for whoever compares backends. What the
    records tell is `Timetable.passed`."""

    states: Mapping[str, tuple[str, int]]
    waiting: int
    ended: Mapping[str, int]
    """How many so far, by state."""


def set_of(book: Rulebook) -> Set:
    """Nothing of a book that can't be expanded: such a one is refused before it is acted by (plan.unfit)."""
    try:
        return expanded(book.changes, book.horizon)
    except ValueError:
        return {}


class Timetable:
    """`late`: ns, as validated; `lead`: ns before its start from which a change is armed."""

    def __init__(self, late: int, names: Names, lead: int = 60 * S) -> None:
        self.late, self.names, self.lead = late, names, lead
        self.now, self.fresh, self.quiet = 0, False, 0
        self.books: tuple[Rulebook, ...] = ()
        self.sets: list[Set] = []
        self.of: dict[str, tuple[Change, Standing]] = {}
        self.near: dict[str, Service] = {}
        self.leaving: list[Service] = []  # walked back, and no version holds them any more
        self.waiting: list[tuple[int, str]] = []
        self.ended: dict[str, int] = {}
        self.told: tuple[Clause, ...] = ()
        self.passed: list[Passed] = []  # in the last look; at most one of each that was near or is leaving

    def hear(self, wall: int, fresh: bool, books: tuple[Rulebook, ...]) -> bool:
        """Whether what is asked of this backend changed. `fresh`: `books` are confirmed at this instant."""
        if self.passed:
            self.passed = []
        if wall < self.now - self.late:
            self.anew(wall)
        self.now = max(self.now, wall)
        news = fresh and not same(books, self.books)
        if self.now < self.quiet and fresh == self.fresh and not news:
            return False
        self.fresh = fresh
        if news:
            self.take(books)
        while self.waiting and self.waiting[0][0] <= self.now:
            name = heappop(self.waiting)[1]
            self.near[name] = Service(self.of[name][0], self.lead)
        for name, service in list(self.near.items()):
            if self.step(service, fresh, self.of[name][1]):
                del self.near[name]
        self.leaving = [one for one in self.leaving if not self.step(one, fresh, Standing.BACK)]
        before, self.told = self.told, tuple(self.asked())
        at = self.next()
        self.quiet = self.now + MOST_QUIET if at is None else at
        return before != self.told

    def step(self, service: Service, fresh: bool, standing: Standing) -> bool:
        """Whether it came to its end."""
        before, begins = service.state, fresh and standing is Standing.BEGINS
        service.hear(self.now, begins, standing is Standing.BACK)
        if service.state is not before:
            self.note(service, before, service.state, standing is Standing.BACK)
        if service.state not in ENDED:
            return False
        self.ended[service.state.name] = self.ended.get(service.state.name, 0) + 1
        return True

    def note(self, service: Service, old: State, new: State, withdrawn: bool = False) -> None:
        left = max(service.change.end - self.now, 0)
        part = service.in_force(self.now) if new in RUNNING else 0
        self.passed.append(Passed(service.change.name, old.name, new.name, part, left, withdrawn))

    def take(self, books: tuple[Rulebook, ...]) -> None:
        """Linear in the changes of the books, once a version."""
        known = list(zip(self.books, self.sets, strict=True))
        self.sets = []
        for one in books:
            found = [told for book, told in known if book is one]
            self.sets.append(found[0] if found else set_of(one))
        self.books, self.of = books, standing(self.sets)
        for name, service in list(self.near.items()):
            now = self.of.get(name)
            if now is None or now[0] != service.change:  # gone, or the name is another's by now
                self.leaving.append(self.near.pop(name))
        self.wait()

    def wait(self) -> None:
        """Those that are over are left out: they can't begin, whatever comes."""
        self.waiting = [
            (change.start - self.lead, name)
            for name, (change, how) in self.of.items()
            if change.end > self.now and name not in self.near and how is not Standing.BACK
        ]
        heapify(self.waiting)

    def anew(self, wall: int) -> None:
        self.now, self.quiet = wall, wall
        for one in (*self.near.values(), *self.leaving):
            if one.state is not State.PLANNED:
                self.note(one, one.state, State.PLANNED)
        self.near, self.leaving = {}, []
        self.wait()

    def next(self) -> int | None:
        """The wall clock's instant before which nothing begins, ends or moves; None: never. A withdrawal and
        lost contact come at any time."""
        found = [self.waiting[0][0]] if self.waiting else []
        for one in (*self.near.values(), *self.leaving):
            change = one.change
            falls = change.end - change.ramp_out
            moves = one.began + change.ramp_in > self.now or self.now >= falls or one.back_at is not None
            if one.state in RUNNING and moves:
                found.append(self.now + GRAIN)
            found.extend(edge for edge in (change.start, falls, change.end) if edge > self.now)
        return min(found, default=None)

    def in_force(self) -> list[tuple[Change, int]]:
        """Those with an effect, in millionths of it."""
        ones = [*self.near.values(), *self.leaving]
        found = [(one.change, one.in_force(self.now)) for one in ones if one.state in RUNNING]
        return [one for one in found if one[1]]

    def clauses(self) -> tuple[Clause, ...]:
        """What is asked of this backend, as of the last `hear`."""
        return self.told

    def asked(self) -> list[Clause]:
        found = [clause(change, part, self.names) for change, part in self.in_force()]
        return [one for one in found if one is not None]

    def picture(self) -> Picture:
        states = {name: (one.state.name, one.in_force(self.now)) for name, one in self.near.items()}
        for one in self.leaving:
            states.setdefault(one.change.name, (one.state.name, one.in_force(self.now)))
        return Picture(states, len(self.waiting), dict(self.ended))


def same(books: Sequence[Rulebook], others: Sequence[Rulebook]) -> bool:
    return len(books) == len(others) and all(a is b for a, b in zip(books, others, strict=True))


def clause(change: Change, part: int, names: Names) -> Clause | None:
    """What `part` millionths of a change's effect ask of a backend; None where they don't concern it. Of what
    the scope names, a backend knows its own operations and customers; its place is where invocations arrive.

    A quota in its ramp is `rate` over its part: it comes down from no limit, and no invocation is held to
    less than the plan says. Several moves of one scope are several clauses, and so are two quotas."""
    scope, does = change.scope, change.does
    if isinstance(does, Freeze) or not within(names.place, scope.places):
        return None
    operations = indices(scope.operations, names.operations)
    customers = indices(scope.customers, names.customers)
    if operations == frozenset() or customers == frozenset():
        return None
    of = partial(Clause, operations, customers)
    if isinstance(does, Quota):
        return of(rate=does.rate / max(names.fleet, 1) * WHOLE / part)
    if isinstance(does, Move):
        return of(away=does.share * part // WHOLE) if does.source == names.place else None
    assert isinstance(does, Drain)
    return of(away=part) if does.place == names.place else None


@lru_cache(maxsize=1024)  # the same object on each step of a ramp, so that a look-up by it compares nothing
def indices(named: Named, known: tuple[str, ...]) -> frozenset[int] | None:
    if isinstance(named, All):
        return None
    return frozenset(n for n, name in enumerate(known) if name in named)
