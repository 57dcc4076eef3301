"""A fleet of readers, one publisher and the keeper in emulated time, by the program's own client.

The readers are `Reader`, the publisher is an `Errand` (ringshift/rulebook); what they say goes through
`RulesLink` (ringshift/wire/rules.py) into the store of the keeper stand-in, so the calls and the bytes of
their bodies are the real ones. Each call's way there and back waits a drawn time; a backend that is cut off
is not answered. All calls of one answer are made at the instant at which the first arrives, and its time is
that of all of them. One seed replays all of it.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from heapq import heappop, heappush
from itertools import count
from random import Random
from typing import Any

import orjson

from ringshift.rulebook.bound import MILLION, MS, ReadingTerms, S
from ringshift.rulebook.document import Listing, Rulebook, Rules, digest
from ringshift.rulebook.errand import Errand
from ringshift.rulebook.errand import State as Stage
from ringshift.rulebook.reader import News, Reader
from ringshift.rulebook.version import Effect, Row, Stamp, Told, Version
from ringshift.rulebook.wish import Memory, Wish, as_kept
from ringshift.wire.rules import RulesLink
from standins.keeper.server import decoded, encoded
from standins.keeper.store import Event, Store

LOOK_EVERY = 200 * MS  # ringshift/lifecycle/publishing.py
BASE = Rulebook(alone=Rules(lists=[Listing("callers", "held_back", ["x"])]))


@dataclass
class Traffic:
    calls: int = 0
    bytes: int = 0  # of bodies, both ways, without HTTP's headers


class Unwatched(Store):
    """Nobody watches here: no history is kept, which would be gone through with each put."""

    def remember(self, event: Event) -> None:
        self.changes += 1


class Inside(RulesLink):
    """A client whose calls go to a store in this process. A book is decoded once for all clients, but its
    call and its bytes are counted for each that fetches it."""

    def __init__(self, store: Store, traffic: Traffic, shared: dict[Stamp, tuple[Version, int]]) -> None:
        self.store, self.traffic, self.shared = store, traffic, shared
        self.books, self.made = {}, 0

    def call(self, path: str, body: dict[str, Any]) -> dict[str, Any]:
        sent = orjson.dumps(body)
        told = decoded(orjson.loads(sent))
        if path == "/kv/txn":
            held, answers = self.store.txn(0, told["compare"], told["success"], told["failure"])
            answer = {"succeeded": held, "responses": answers}
        elif path == "/kv/range":
            kvs = self.store.range(0, told["key"], told.get("range_end", b""))
            answer = {"kvs": [kv.told() for kv in kvs], "count": len(kvs)}
        else:
            raise ValueError(f"{path}: not a call of this client")
        back = orjson.dumps(encoded(answer))
        self.counted(len(sent) + len(back))
        return dict(orjson.loads(back))

    def counted(self, size: int) -> None:
        self.made += 1
        self.traffic.calls += 1
        self.traffic.bytes += size

    def version(self, stamp: Stamp) -> Version | None:
        if stamp in self.shared:
            self.counted(self.shared[stamp][1])
            return self.shared[stamp][0]
        before = self.traffic.bytes
        found = super().version(stamp)
        if found is not None:
            self.shared[stamp] = found, self.traffic.bytes - before
        return found


@dataclass
class Backend:
    reader: Reader
    link: Inside
    drift: int
    offset: int
    cut: bool = False
    was: tuple[bool, tuple[Stamp, ...]] = (False, ())  # whether by a confirmed version, and which
    flips: list[tuple[int, bool]] = field(default_factory=list)  # when it began or ended to act by one


@dataclass
class Fleet:
    """`way`: least and most nanoseconds of one way. `lost`: millionths of the calls that go lost, the answer
    with them."""

    size: int
    seed: int
    terms: ReadingTerms = field(default_factory=ReadingTerms)
    way: tuple[int, int] = (1 * MS, 30 * MS)
    lost: int = 0
    answer_within: int = 1 * S

    def __post_init__(self) -> None:
        self.chance, self.now, self.order = Random(self.seed), 0, count()
        self.events: list[tuple[int, int, Callable[[], None]]] = []
        self.store, self.traffic, self.shared = Unwatched(), Traffic(), dict[Stamp, tuple[Version, int]]()
        self.publisher, self.memory = self.link(), Memory()
        self.publisher.begin(Version((0, 1), BASE, digest(BASE)))
        self.backends = [self.backend() for _ in range(self.size)]
        self.bases: dict[tuple[Stamp, ...], set[int]] = {}  # of those acting by a confirmed version
        self.doubt = 0  # instants at which two acted by versions of which none is common
        for name in range(self.size):
            self.at(self.chance.randrange(self.terms.refresh), lambda name=name: self.tick(name))  # type: ignore[misc]

    def link(self) -> Inside:
        return Inside(self.store, self.traffic, self.shared)

    def backend(self) -> Backend:
        drift = self.chance.choice([-self.terms.drift_ppm, 0, self.terms.drift_ppm])
        reader = Reader(self.terms, BASE.alone, answer_within=self.answer_within)
        return Backend(reader, self.link(), drift, self.chance.randrange(1000 * S))

    def at(self, after: int, what: Callable[[], None]) -> None:
        heappush(self.events, (self.now + after, next(self.order), what))

    def run(self, until: int, done: Callable[[], bool] = lambda: False) -> None:
        """Until then, or as soon as `done`."""
        while self.events and self.events[0][0] <= until and not done():
            self.now, _, what = heappop(self.events)
            what()
        if not done():
            self.now = until

    def clock(self, one: Backend) -> int:
        return self.now + self.now * one.drift // MILLION + one.offset

    def ways(self, calls: int) -> int:
        return sum(self.chance.randint(*self.way) for _ in range(calls))

    # Readers.

    def tick(self, name: int) -> None:
        one = self.backends[name]
        self.hear(name, News.TICK)
        left = max(one.reader.next_ask - self.clock(one), 10 * MS)
        if one.reader.asked is not None:
            left = max(left, one.reader.asked + self.answer_within - self.clock(one))
        if one.reader.acting(self.clock(one)):
            left = min(left, one.reader.deadline - self.clock(one))
        self.at(left + MS, lambda: self.tick(name))

    def hear(self, name: int, news: News, told: Told | None = None, n: int = 0) -> None:
        one = self.backends[name]
        row = one.reader.hear(news, self.clock(one), told, n)
        self.judged(name)
        if row is not None:
            self.at(self.ways(1), lambda: self.arrives(name, row))

    def arrives(self, name: int, row: Row) -> None:
        one = self.backends[name]
        if one.cut or self.chance.randrange(MILLION) < self.lost:
            return
        before = one.link.made
        told = one.link.confirm(f"b{name}", row)
        after = self.ways(1 + 2 * (one.link.made - before - 1))  # a book fetched is one more call
        self.at(after, lambda: None if one.cut else self.hear(name, News.ANSWERED, told, row.n))

    def judged(self, name: int) -> None:
        one = self.backends[name]
        acting = one.reader.acting(self.clock(one))
        now = acting, tuple(version.stamp for version in one.reader.basis)
        if now == one.was:
            return
        if acting != one.was[0]:
            one.flips.append((self.now, acting))
        if one.was[0]:
            self.bases[one.was[1]].discard(name)
        if acting:
            self.bases.setdefault(now[1], set()).add(name)
        one.was = now
        self.bases = {stamps: names for stamps, names in self.bases.items() if names}
        if len(self.bases) > 1 and not set.intersection(*map(set, self.bases)):
            self.doubt += self.contradict()

    def contradict(self) -> bool:
        """Whether two whose deadlines have not passed, ticked or not, act by no common version."""
        held = [
            set(stamps)
            for stamps, names in self.bases.items()
            if any(self.backends[name].reader.acting(self.clock(self.backends[name])) for name in names)
        ]
        return any(not a & b for place, a in enumerate(held) for b in held[place + 1 :])

    # The publisher, as ringshift/lifecycle/publishing.py drives it.

    def publish(self, book: Rulebook, within: int = 60 * S) -> int:
        """Nanoseconds from the operator's word until the publisher knew it in force; -1 where it was not."""
        errand = Errand(self.terms, Stage.PUBLISHING, Wish(as_kept(book)), self.memory)
        began = self.now
        self.look(errand)
        self.run(began + within, lambda: errand.ended)
        return self.now - began if errand.state is Stage.IN_FORCE else -1

    def look(self, errand: Errand) -> None:
        def arrives() -> None:
            held = self.publisher.read()

            def heard() -> None:
                effect = errand.hear(held, self.now)
                if effect is not None:
                    self.at(self.ways(1), lambda: self.do(errand, effect, held))
                elif not errand.ended:
                    self.at(LOOK_EVERY, lambda: self.look(errand))

            self.at(self.ways(1), heard)

        self.at(self.ways(1), arrives)

    def do(self, errand: Errand, effect: Effect, held: Any) -> None:
        before = self.publisher.made
        done = self.publisher.do(effect, held)

        def heard() -> None:
            errand.done(effect, done)
            if not errand.ended:
                self.look(errand)

        self.at(self.ways(max(2 * (self.publisher.made - before) - 1, 1)), heard)

    # What is asked of it.

    def settled(self) -> bool:
        """Runs until every reader acts by one version and by that alone."""

        def even() -> bool:
            return (
                len(self.bases) == 1
                and len(next(iter(self.bases.values()))) == self.size
                and all(len(stamps) == 1 for stamps in self.bases)
            )

        self.run(self.now + 60 * S, even)
        return even()

    def listed(self, entries: int, tag: int = 0) -> Rulebook:
        names = [f"caller-{tag}-{n:06}" for n in range(entries)]
        return Rulebook([Listing("callers", "held_back", names)], alone=BASE.alone)
