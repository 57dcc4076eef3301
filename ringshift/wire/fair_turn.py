"""Whose turn it is to be read: start-time fair queueing over what each connection's turns cost others."""

from __future__ import annotations

from collections import deque
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field
from heapq import heapify, heappop, heappush
from itertools import count

from gevent import get_hub
from gevent.event import Event

AFTER_SOCKETS = -1
"""Priority of a watcher that the loop serves after all sockets that were ready in the same poll."""
RECORD_BYTES = 64
"""Bytes that cost as much to take as one record does whatever is in it."""
REQUEST_COST = 192
"""In records: what one whole request may cost, so that none of up to 10 KiB is charged."""
NEW_COST = 16
"""In records: what a new connection is charged, so that those that come anew all the time pass nobody."""
IN_A_ROW = 4
"""Turns that go to connections that were served while others wait."""


@dataclass(slots=True)
class Share:
    """One connection's account: the virtual time up to which its turns have used its part, in records.

    Not in time: a pause of the process would be charged to whoever had the turn, and held it up for as long
    many times over.
    """

    finish: int = NEW_COST
    preferred: bool = False
    """A request of it was served, and its last turn brought whole requests and no more."""

    def charge(self, records: int, size: int, requests: int, served: bool) -> None:
        """A turn took so many records, `size` bytes in all, and brought so many whole requests that were not
        aborted in it. `served`: its client had one served before.

        Of such clients only what the turn cost beyond its requests is charged: a few connections that ask
        often are not held to an even part with hundreds that ask for nothing that can be run.
        """
        cost = records + size // RECORD_BYTES
        if served:
            cost = max(cost - requests * REQUEST_COST, 0)
        self.finish += cost
        self.preferred = served and not cost


@dataclass(order=True, slots=True)
class Waiting:
    """One that waits, in the order in which turns are given: by virtual time, then by arrival."""

    start: int
    order: int
    granted: Event = field(compare=False, default_factory=Event)


class FairTurn:
    """One holder at a time. Of those that wait, preferred ones come first, in their order, but for one turn
    in five; then the one with the least virtual time. Whoever costs little is served soon, however many
    others always have more to read, and nobody waits for ever.

    There is one turn in each round of the loop, in which the owner and the agent's link run too.
    """

    def __init__(self) -> None:
        self.virtual = 0
        """The virtual time at which the last turn of one that is not preferred started."""
        self.held = False
        self.waiting: list[Waiting] = []
        self.preferred: deque[Waiting] = deque()
        self.in_a_row = 0
        """Turns given to preferred ones since another had one."""
        self.arrivals = count()
        self.polled = get_hub().loop.timer(0, priority=AFTER_SOCKETS)

    def new_share(self) -> Share:
        """The account of a new connection."""
        return Share(self.virtual + NEW_COST)

    @contextmanager
    def taken(self, share: Share) -> Iterator[None]:
        """Waits for the turn and holds it. The holder charges what it cost to its share."""
        share.finish = max(self.virtual, share.finish)
        if self.held:
            self.wait(share)
        self.held = True
        if not share.preferred:
            self.virtual = max(self.virtual, share.finish)
        try:
            yield
        finally:
            self.release()

    def wait(self, share: Share) -> None:
        """Until the turn is this one's."""
        entry = Waiting(share.finish, next(self.arrivals))
        if share.preferred:
            self.preferred.append(entry)
        else:
            heappush(self.waiting, entry)
        try:
            entry.granted.wait()
        except BaseException:  # killed as it waited: the turn, if it was given to it, is the next one's
            self.withdraw(entry)
            raise

    def withdraw(self, entry: Waiting) -> None:
        if entry.granted.is_set():
            self.release()
        elif entry in self.preferred:
            self.preferred.remove(entry)
        else:
            self.waiting.remove(entry)
            heapify(self.waiting)

    def release(self) -> None:
        """Once the loop has polled: it serves all sockets that were ready in one poll before anything else,
        and hundreds that found the turn free would be read before the owner runs again."""
        self.polled.start(self.grant)

    def grant(self) -> None:
        """Gives the turn to the first of those that wait by now."""
        self.polled.stop()
        if self.preferred and (self.in_a_row < IN_A_ROW or not self.waiting):
            self.in_a_row += 1
            self.preferred.popleft().granted.set()
        elif self.waiting:
            self.in_a_row = 0
            heappop(self.waiting).granted.set()
        else:
            self.held = False
