"""A keeper, a publisher and readers with drifting clocks, lost and late messages, in emulated time."""

from __future__ import annotations

import heapq
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial
from itertools import combinations, count
from random import Random

from ringshift.rulebook.bound import MILLION, MS, ReadingTerms, S, bound
from ringshift.rulebook.document import Listing, Rulebook, Rules, digest
from ringshift.rulebook.reader import News, Reader
from ringshift.rulebook.version import (
    Effect,
    Publication,
    PublicationError,
    Publisher,
    Row,
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


@dataclass
class Keeper:
    """The one place of order: each write moves its revision on, each is a compare."""

    told: Told = Told((0, 1), FIRST)
    rows: dict[str, Row] = field(default_factory=dict)

    def confirm(self, name: str, row: Row) -> Told:
        if name not in self.rows or row.n > self.rows[name].n:
            self.rows[name] = row
        return self.told

    def write(self, in_force: Version, proposed: Version | None) -> None:
        epoch = max(self.told.place[0], (proposed or in_force).stamp[0])
        self.told = Told((epoch, self.told.place[1] + 1), in_force, proposed)

    def do(self, effect: Effect) -> bool:
        ours = self.told.proposed is not None and self.told.proposed.stamp == effect.version.stamp
        if effect.kind == "propose" and self.told.proposed is None:
            self.write(self.told.in_force, effect.version)
        elif effect.kind == "take_back" and ours:
            self.write(self.told.in_force, None)
        elif effect.kind == "put_in_force" and ours and self.compare(effect):
            self.write(effect.version, None)
        else:
            return False
        return True

    def compare(self, effect: Effect) -> bool:
        same = all(self.rows[name].n == n for name, n in effect.ended.items() if name in self.rows)
        return same and self.rows.keys() <= effect.known


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
            self.later(name, lambda: self.answer(name, row))

    def answer(self, name: str, row: Row) -> None:
        told = self.keeper.confirm(name, row)
        self.later(name, lambda: self.hear(name, News.ANSWERED, told, row.n))

    def hear(self, name: str, news: News, told: Told | None = None, n: int = 0) -> None:
        self.send(name, self.readers[name].hear(news, self.clock(name), told, n))

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
        new = self.chance.choice([
            Rulebook(held(*sorted(old ^ {entry})), alone=book.alone, alone_next=book.alone_next),
            Rulebook(book.lists, alone=book.alone, alone_next=alone),
            Rulebook(book.lists, alone=book.alone_next or alone),
        ])  # fmt: skip
        try:
            self.effects(self.publisher.publish(new))
        except PublicationError:
            return

    def effects(self, effects: list[Effect]) -> None:
        for effect in effects:
            if effect.kind == "put_in_force":
                at = self.now + self.chance.choice([MS, S])
                self.at(at, partial(self.land, effect))
            else:
                self.keeper.do(effect)

    def land(self, effect: Effect) -> None:
        held = self.keeper.do(effect)
        self.switches += held
        if self.publisher.play is not None and self.publisher.play.version == effect.version:
            self.publisher.landed(held)

    def look(self) -> None:
        seen = self.keeper.told, dict(self.keeper.rows)
        self.effects(self.publisher.look(self.clock("publisher"), *seen))

    def killed(self) -> None:
        told, play = self.keeper.told, None
        if told.proposed is not None:
            by_all = told.proposed.book.alone_next != told.in_force.book.alone_next and \
                told.proposed.book.alone_next is not None  # fmt: skip
            play = Publication(told.proposed, by_all, state=State.PROPOSED)
        self.publisher = Publisher(TERMS, told.in_force, highest=self.publisher.highest, play=play)

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
        elif not any(acts):
            rules = [alones(one), alones(other)]
        else:
            return False  # one of the two without contact: docs/rulebook.md, "Not promised"
        return not rules[0] & rules[1]


def alones(reader: Reader) -> set[str]:
    books = [one.book for one in reader.basis]
    kept = [rules for book in books for rules in (book.alone, book.alone_next) if rules is not None]
    return {digest(rules) for rules in kept or [reader.alone]}


def world(seed: int, names: str = "abc") -> World:
    return World(Random(seed), {name: Reader(TERMS, BASE.alone) for name in names})
