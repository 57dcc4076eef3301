"""Retirements that are no more in the rulebook are led out: their withdrawal written, later their keys gone.

Whoever holds a ramp when its timeline goes writes that down and lets go; from then on nobody leads it, and
where nobody held it nobody wrote. So each process looks now and then for the heads at the keeper, one small
read, and begins a holder for those that are to be led out (ringshift/retirement/clearing.py); the lease
`retire-NAME` says which of them does it. Blocking calls, in a thread of its own.
"""

from __future__ import annotations

import threading
from collections.abc import Callable, Container
from contextlib import suppress
from random import Random

from loguru import logger

from ringshift.retirement.clearing import Agreed, due, wanted
from ringshift.wire.retiring import RetireLink
from ringshift.wire.rules import RulesLink

EVERY = 600.0  # seconds between two looks of a process, in the mean: months lie between two withdrawals
MOST = 4  # led out by one process at a time


def agreed(rules: RulesLink) -> Agreed:
    """Raises whatever the client raises where the keeper does not answer; what can't be read is not known."""
    try:
        held = rules.read()
    except ValueError as wrong:
        logger.bind(kind="retirement").debug(f"the rulebook at the keeper: {wrong}")
        return Agreed()
    if held.told is None:
        return Agreed()
    books = [one.book for one in (held.told.in_force, held.told.proposed) if one is not None]
    names = frozenset(one.name for book in books for one in book.timelines)
    floors = {reader: row.floor for reader, row in held.rows.items()}
    return Agreed(held.told.in_force.stamp, names, floors, held.head_revision)


class Clearing:
    """`followed`: names whose ramps this process tends already; `begin`: a holder for one more."""

    def __init__(
        self,
        link: RetireLink,
        rules: RulesLink,
        followed: Callable[[], Container[str]],
        begin: Callable[[str], None],
        wall: Callable[[], int],
        chance: Random,
    ) -> None:
        self.link, self.rules, self.followed, self.begin, self.wall = link, rules, followed, begin, wall
        self.chance, self.ended = chance, threading.Event()
        self.thread = threading.Thread(target=self.run, name="retire-clearing", daemon=True)

    def run(self) -> None:
        while not self.ended.wait(EVERY * (0.5 + self.chance.random())):
            with suppress(Exception):  # whatever a client raises: looked at again
                self.look()

    def look(self) -> None:
        """The rulebook is read only where a head says that there may be something to do."""
        now, followed = self.wall(), self.followed()
        heads = {
            name: head for name, head in self.link.heads().items() if name not in followed and due(head, now)
        }
        if heads:
            for name in wanted(heads, agreed(self.rules), now)[:MOST]:
                self.begin(name)
