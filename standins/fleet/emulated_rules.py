"""A keeper, a publisher and readers with drifting clocks, lost and late messages, in emulated time.

One seed replays all of it. The decisions are the program's own (ringshift/rulebook); the keeper compares as
ringshift/wire/rules.py has it: one head, rows, the absent ones, joins. For tests; what takes the program's
own client and counts its bytes, at 1,000 readers, is standins/fleet/emulated_readers.py.
"""

from __future__ import annotations

import heapq
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from functools import partial
from itertools import combinations, count
from random import Random

from ringshift.rulebook.bound import MILLION, MS, ReadingTerms, S, bound
from ringshift.rulebook.document import Listing, Rulebook, Rules, digest
from ringshift.rulebook.reader import News, Reader
from ringshift.rulebook.version import (
    Effect,
    Mark,
    PublicationError,
    Publisher,
    Row,
    Stamp,
    State,
    Told,
    Version,
)

TERMS = ReadingTerms(life=4 * S, margin=200 * MS, drift_ppm=20_000, refresh=500 * MS)
B = bound(TERMS.life, TERMS.margin, TERMS.drift_ppm)


def held(*entries: str) -> list[Listing]:
    return [Listing("callers", "held_back", list(entries))]


BASE = Rulebook(alone=Rules(lists=held("x")))
FIRST = Version((0, 1), BASE, digest(BASE))


@dataclass(frozen=True)
class Held:
    """What a publisher read of the keeper, at one revision."""

    told: Told
    rows: dict[str, Row]
    absent: frozenset[str]
    highest: Stamp
    undoes: Stamp | None
    by_all: bool
    joins: int
    moved: bool = False


@dataclass
class Keeper:
    """The one place of order: each write of the head moves its revision on and compares the one that was
    read. A reader's row says when it was put, as `Row.n` does not where a message comes twice."""

    told: Told = Told((0, 1), FIRST)
    rows: dict[str, Row] = field(default_factory=dict)
    absent: frozenset[str] = frozenset()
    highest: Stamp = FIRST.stamp
    undoes: Stamp | None = None
    by_all: bool = False
    joins: int = 0
    puts: int = 0
    kept: list[Version] = field(default_factory=lambda: [FIRST])

    def copied(self) -> Keeper:
        return replace(self, rows=dict(self.rows), kept=list(self.kept))

    def confirm(self, name: str, row: Row) -> Told:
        if name not in self.rows or name in self.absent:
            self.joins += 1
            self.absent -= {name}
        self.puts += 1
        self.rows[name] = replace(row, put=self.puts)  # a late one overwrites a newer one, as a put does
        return self.told

    def held(self) -> Held:
        return Held(
            self.told, dict(self.rows), self.absent, self.highest, self.undoes, self.by_all, self.joins
        )

    def write(self, in_force: Version, proposed: Version | None, effect: Effect) -> bool:
        self.undoes, self.by_all = (effect.undoes, effect.by_all) if proposed else (None, False)
        self.told = Told((self.highest[0], self.told.place[1] + 1), in_force, proposed)
        return True

    def do(self, effect: Effect, held: Held) -> bool:
        told, version = self.told, effect.version
        if told.place != held.told.place:
            return False
        if effect.kind == "propose":
            based = effect.base in (None, told.in_force.stamp)
            if told.proposed is not None or version.stamp <= self.highest or not based:
                return False
            self.highest = version.stamp
            return self.write(told.in_force, version, effect)
        if told.proposed != version:
            return False
        if effect.kind == "take_back":
            return self.write(told.in_force, None, effect)
        if not held.rows.keys() - held.absent <= effect.known or not self.moved(effect, held):
            return False
        if self.joins != held.joins:
            return False
        self.kept = [*self.kept, version][-3:]
        return self.write(version, None, effect)

    def moved(self, effect: Effect, held: Held) -> bool:
        """Readers whose leases ended become absent ones, unless their rows were put since."""
        if any(self.rows.get(name) is not held.rows[name] or name in self.absent for name in effect.ended):
            return False
        self.absent |= effect.ended.keys()
        return True


@dataclass
class World:
    chance: Random
    readers: dict[str, Reader]
    keeper: Keeper = field(default_factory=Keeper)
    now: int = 1000 * S
    cut: set[str] = field(default_factory=set)
    clocks: dict[str, tuple[int, int]] = field(default_factory=dict)
    queue: list[tuple[int, int, Callable[[], None]]] = field(default_factory=list)
    order: count[int] = field(default_factory=count)
    doubt: dict[tuple[str, str], int] = field(default_factory=dict)
    worst: int = 0  # the longest time for which two acted on contradicting rules
    taken: dict[str, set[Mark]] = field(default_factory=dict)  # the books that each reader ever acted by
    miscounted: list[str] = field(default_factory=list)  # readers counted for a book that they never took in
    switches: int = 0
    calm: bool = False  # no message is lost or late any more
    publisher: Publisher = field(default_factory=lambda: Publisher(TERMS, FIRST))

    def __post_init__(self) -> None:
        for name in [*self.readers, "publisher"]:
            drift = self.chance.choice([-TERMS.drift_ppm, 0, TERMS.drift_ppm, 7_000])
            self.clocks[name] = (drift, self.chance.randrange(1000 * S))

    def clock(self, name: str) -> int:
        drift, offset = self.clocks[name]
        return self.now + self.now * drift // MILLION + offset

    def later(self, name: str, do: Callable[[], None]) -> None:
        """Sometimes lost, sometimes later than a lease lasts."""
        if self.calm or (name not in self.cut and self.chance.random() > 0.1):
            late = self.chance.choice([2 * S, 5 * S]) if self.chance.random() < 0.1 else 30 * MS
            after = MS if self.calm else self.chance.choice([MS, 30 * MS, 300 * MS, late])
            self.at(self.now + after, do)

    def at(self, when: int, do: Callable[[], None]) -> None:
        heapq.heappush(self.queue, (when, next(self.order), do))

    def send(self, name: str, row: Row | None) -> None:
        if row is not None:
            for _ in range(1 if self.calm or self.chance.random() > 0.05 else 2):  # sometimes it comes twice
                self.later(name, lambda: self.answer(name, row))

    def answer(self, name: str, row: Row) -> None:
        told = self.keeper.confirm(name, row)
        self.later(name, lambda: self.hear(name, News.ANSWERED, told, row.n))

    def hear(self, name: str, news: News, told: Told | None = None, n: int = 0) -> None:
        row = self.readers[name].hear(news, self.clock(name), told, n)
        self.taken.setdefault(name, set()).update(one.mark for one in self.readers[name].basis)
        self.send(name, row)

    def run_to(self, until: int) -> None:
        while self.queue and self.queue[0][0] <= until:
            self.now, _, do = heapq.heappop(self.queue)
            do()
            self.check()
        self.now = until
        self.check()

    def publish(self) -> None:
        book = self.publisher.in_force.book
        entry = str(self.chance.randrange(4))
        old = set(book.lists[0].entries) if book.lists else set[str]()
        alone = Rules(lists=held("x", str(self.chance.randrange(1000))))
        new = self.chance.choice(
            [
                Rulebook(held(*sorted(old ^ {entry})), alone=book.alone, alone_next=book.alone_next),
                Rulebook(book.lists, alone=book.alone, alone_next=alone),
                Rulebook(book.lists, alone=book.alone_next or alone),
            ]
        )
        try:
            self.effects(self.publisher.publish(new))
        except PublicationError:
            return

    def effects(self, effects: list[Effect]) -> None:
        """The first one, as the program does; what follows it is judged by the next look."""
        held = self.keeper.held()
        for effect in effects[:1]:
            if effect.kind == "put_in_force":
                mark = effect.version.mark
                self.miscounted += [
                    f"{name} for {mark}"
                    for name in effect.known - effect.ended.keys()
                    if mark not in self.taken.get(name, set())
                ]
                self.at(self.now + self.chance.choice([MS, S]), partial(self.land, effect, held))
            else:
                self.land(effect, held)

    def land(self, effect: Effect, held: Held) -> None:
        done = self.keeper.do(effect, held)
        play = self.publisher.play
        if effect.kind == "put_in_force":
            self.switches += done
            if play is not None and play.version == effect.version:
                self.publisher.landed(done)

    def look(self) -> None:
        held = self.keeper.held()
        self.effects(
            self.publisher.look(self.clock("publisher"), held.told, held.rows, held.absent, held.highest)
        )

    def killed(self) -> None:
        held = self.keeper.held()
        self.publisher = Publisher.begun(
            TERMS, held.told, held.highest, held.undoes, held.by_all, self.keeper.kept
        )

    def step(self, faults: bool = True) -> None:
        dice = self.chance.random()
        if faults and dice < 0.06:
            self.cut ^= {self.chance.choice(list(self.readers))}
        elif faults and dice < 0.08:
            self.killed()
        elif dice < 0.2 and not self.calm:
            self.publish()
        elif faults and dice < 0.23 and self.publisher.play and self.publisher.play.state is State.PROPOSED:
            self.effects(self.publisher.withdraw())
        for name in self.readers:
            if self.chance.random() < 0.8:
                self.hear(name, News.TICK)
        self.look()
        self.run_to(self.now + self.chance.choice([50 * MS, 200 * MS, 700 * MS]))

    def check(self) -> None:
        for a, b in combinations(self.readers, 2):
            if not self.against(a, b):
                self.doubt.pop((a, b), None)
                continue
            since = self.doubt.setdefault((a, b), self.now)
            self.worst = max(self.worst, self.now - since + 1)

    def against(self, a: str, b: str) -> bool:
        """Whether no one rulebook (or `alone`) is kept by both, and the rules differ."""
        one, other = self.readers[a], self.readers[b]
        acts = one.acting(self.clock(a)), other.acting(self.clock(b))
        if all(acts):
            rules = [{digest(v.book.rules()) for v in reader.basis} for reader in (one, other)]
        elif not any(acts) and one.basis and other.basis:
            rules = [alones(one), alones(other)]
        else:  # one without contact, or one that never heard a version: docs/rulebook.md, "Not promised"
            return False
        return not rules[0] & rules[1]


def alones(reader: Reader) -> set[str]:
    books = [one.book for one in reader.basis]
    kept = [rules for book in books for rules in (book.alone, book.alone_next) if rules is not None]
    return {digest(rules) for rules in kept or [reader.alone]}


def world(seed: int, names: str = "abc") -> World:
    return World(Random(seed), {name: Reader(TERMS, BASE.alone) for name in names})
