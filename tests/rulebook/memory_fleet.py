"""A keeper's store in memory behind the program's own link, and readers in emulated time."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

import orjson

from ringshift.lifecycle.publishing import Publishing
from ringshift.rulebook.document import Rulebook, Rules
from ringshift.rulebook.reader import News, Reader
from ringshift.rulebook.version import Version
from ringshift.wire.rules import RulesLink
from standins.keeper.server import decoded, encoded
from standins.keeper.store import Store
from tests.rulebook.emulated import BASE, TERMS, held


class Lost(OSError):
    """A call that was not answered."""


class MemoryLink(RulesLink):
    """Each of `fates` is of one call: "lost" before it came to the keeper, "unheard" after."""

    def __init__(self, fleet: MemoryFleet) -> None:
        self.books = {}
        self.fleet = fleet
        self.fates: list[str] = []
        self.slow = 0  # ns from the next call's sending until the keeper has it

    def call(self, path: str, body: dict[str, Any]) -> dict[str, Any]:
        fate = self.fates.pop(0) if self.fates else ""
        if fate == "lost":
            raise Lost("lost")
        if self.slow:
            self.fleet.wait(self.slow / 1e9)
            self.slow = 0
        store, told = self.fleet.store, decoded(orjson.loads(orjson.dumps(body)))
        answer: dict[str, Any]
        if path == "/kv/txn":
            done, responses = store.txn(0, told["compare"], told["success"], told["failure"])
            answer = {"succeeded": done, "responses": responses}
        else:
            assert path == "/kv/range", path
            answer = {"kvs": [kv.told() for kv in store.range(0, told["key"], told.get("range_end", b""))]}
        if fate == "unheard":
            raise Lost("unheard")
        out: dict[str, Any] = encoded(
            {"header": {"revision": store.revision, "cluster_id": store.cluster}} | answer
        )
        return out


def book(*entries: str, **more: Any) -> Rulebook:
    return Rulebook(held(*entries), alone=more.pop("alone", BASE.alone), **more)


@dataclass
class MemoryFleet:
    """`wait` is what a publisher waits with: the time goes on, and the readers not in `silent` confirm."""

    now: int = 1_000_000_000_000
    store: Store = field(default_factory=Store)
    readers: dict[str, Reader] = field(default_factory=dict)
    silent: set[str] = field(default_factory=set)
    heard: list[tuple[str, dict[str, Any]]] = field(default_factory=list)

    def link(self) -> MemoryLink:
        return MemoryLink(self)

    def join(self, *names: str, check: Callable[[Version], str] = lambda version: version.odd) -> None:
        for name in names:
            self.readers[name] = Reader(TERMS, BASE.alone, check=check)
        self.tick()

    def tick(self) -> None:
        for name in self.readers.keys() - self.silent:
            reader = self.readers[name]
            row = reader.hear(News.TICK, self.now)
            while row is not None:
                told = self.link().confirm(name, row)
                row = None if told is None else reader.hear(News.ANSWERED, self.now, told, row.n)

    def wait(self, seconds: float) -> None:
        self.now += round(seconds * 1e9)
        self.tick()

    def publishing(
        self, pause: Callable[[str], None] = lambda place: None, link: MemoryLink | None = None
    ) -> Publishing:
        return Publishing(
            link or self.link(),
            TERMS,
            lambda: self.now,
            lambda kind, told: self.heard.append((kind, told)),
            pause,
            self.wait,
        )

    def states(self) -> list[str]:
        return [told["state"] for kind, told in self.heard if kind == "state"]

    def rules(self) -> list[Rules]:
        return [self.readers[name].rules(self.now) for name in sorted(self.readers)]
