"""The program's clients at a store of this process (inside.py): for tests, emulated fleets, measurements."""

from __future__ import annotations

import time
from typing import Any

from ringshift.wire.retiring import RetireLink
from ringshift.wire.rules import RulesLink
from standins.keeper.inside import asked
from standins.keeper.store import Event, Store


class Quiet(Store):
    """Nobody watches here: no history is kept, which would be gone through with each put."""

    def remember(self, event: Event) -> None:
        self.changes += 1


class Inside(RetireLink):
    """`back`: bytes of all answers; `keeper`: seconds spent on the keeper's side; `calls`: how many."""

    def __init__(self, store: Store | None = None) -> None:
        self.store, self.back, self.keeper, self.calls = store or Quiet(), 0, 0.0, 0

    def call(self, path: str, body: dict[str, Any]) -> dict[str, Any]:
        began = time.perf_counter()
        answer, _, back = asked(self.store, path, body)
        self.back, self.calls = self.back + back, self.calls + 1
        self.keeper += time.perf_counter() - began
        return answer

    def seized(self, name: str) -> tuple[bytes, int]:
        """The ramp's lease, whosever it was: its key, and the token."""
        key = f"/ringshift/tasks/retire-{name}".encode()
        self.store.delete(0, key)
        self.store.put(0, key, b"me")
        return key, self.store.kvs[key].create_revision

    def restore(self, image: dict[str, Any]) -> None:
        """The keeper comes back with an older copy of its data."""
        self.store = Quiet.from_image(image, 0)

    def climb(self, revision: int) -> None:
        """Others write, until the keeper's revision is this one."""
        while self.store.revision < revision:
            self.store.put(0, b"/other", b"")


class Rules(RulesLink):
    """At the keeper that `link` speaks to."""

    def __init__(self, link: Inside) -> None:
        self.link, self.books = link, {}

    def call(self, path: str, body: dict[str, Any]) -> dict[str, Any]:
        return asked(self.link.store, path, body)[0]
