"""A planner at the keeper: reads the version in force, judges its wish against it, proposes the next.

`Planning` drives a `Planner` (ringshift/schedule/planner.py, which decides) with a `Publishing`, whose calls
block: for a process or a thread of its own. Killed at any point it leaves at most a proposal, which whoever
plans next leads on first.
"""

from __future__ import annotations

import time
from collections.abc import Callable
from dataclasses import dataclass

from ringshift.lifecycle.publishing import WITHIN, Publishing
from ringshift.rulebook.bound import MS
from ringshift.rulebook.errand import State as Ended
from ringshift.rulebook.version import Version
from ringshift.schedule.plan import Terms
from ringshift.schedule.planner import News, Planner, State, Wish

NEWS = {
    Ended.IN_FORCE: News.LANDED,
    Ended.BEATEN: News.BEATEN,
    Ended.WITHDRAWN: News.TAKEN_BACK,
    Ended.REFUSED: News.REFUSED,
    Ended.LATE: News.LATE,
    Ended.NOTHING: News.BEATEN,
}


@dataclass(frozen=True)
class Planned:
    """How it ended. `version`: that holds the wish, where it landed and is known."""

    planner: Planner
    version: Version | None = None

    @property
    def landed(self) -> bool:
        return self.planner.state is State.LANDED


class Planning:
    """`wall`: this process's wall clock, ns since the epoch. `on(state, why)` hears each step."""

    def __init__(
        self,
        publishing: Publishing,
        terms: Terms,
        wall: Callable[[], int] = time.time_ns,
        on: Callable[[str, str], None] = lambda state, why: None,
    ) -> None:
        self.publishing, self.terms, self.wall, self.on = publishing, terms, wall, on

    def carry(
        self, wish: Wish, author: str = "", reason: str = "", within: int = WITHIN, tries: int = 20
    ) -> Planned:
        """Leads the wish to its end. `within`: ns; what was proposed by then stands."""
        publishing, clock = self.publishing, self.publishing.clock
        planner, end = Planner(wish, self.terms, tries), self.publishing.clock() + within
        version: Version | None = None
        while not planner.ended:
            if clock() >= end:
                planner.hear(
                    News.OVER,
                    self.wall(),
                    why=publishing.unanswered
                    and (f"the keeper did not answer: {publishing.unanswered}")
                    or "the time for it was over",
                )
                break
            held = publishing.ask(publishing.link.read)
            if held is None:
                publishing.wait(publishing.every / 1e9)
                continue
            now = self.wall()  # after the read: what it shows as in force was so before
            if held.told is None:
                out = planner.hear(News.EMPTY, now)
            elif held.told.proposed is not None:
                out = planner.hear(News.TAKEN, now)
            else:
                version = held.told.in_force
                out = planner.hear(News.FREE, now, version.book)
            self.on(planner.state.name, planner.why)
            left = max(end - clock(), MS)
            if out == "settle":
                publishing.settle(left)
            elif out == "propose" and version is not None and planner.book is not None:
                version = self.proposed(planner, version, author, reason, left) or version
                self.on(planner.state.name, planner.why)
        return Planned(planner, version if planner.state is State.LANDED else None)

    def proposed(
        self, planner: Planner, base: Version, author: str, reason: str, left: int
    ) -> Version | None:
        """The version that is in force by it."""
        assert planner.book is not None
        try:
            outcome = self.publishing.publish(planner.book, author, reason, None, left, base.stamp)
        except ValueError as wrong:  # a book that the keeper couldn't take, or a step that may not be made
            planner.hear(News.REFUSED, self.wall(), why=str(wrong))
            return None
        planner.hear(NEWS[outcome.state], self.wall(), why=outcome.why)
        return outcome.version if outcome.in_force else None
