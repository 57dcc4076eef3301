"""Whose turn it is to be read: start-time fair queueing over what each connection's turns cost others."""

from __future__ import annotations

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


@dataclass(slots=True)
class Share:
    """One connection's account: the virtual time up to which its turns have used its part, in records.

    Not in time: a pause of the process would be charged to whoever had the turn, and held it up for as long
    many times over.
    """

    finish: int = 0
    last: int = 0
    """What its last turn was charged."""

    def charge(self, records: int, size: int, requests: int) -> None:
        """A turn took so many records, `size` bytes in all, and brought so many whole requests that were not
        aborted in it.

        Only what it cost beyond such requests is charged: a few connections that ask often are not held to an
        even part with hundreds that bring nothing.
        """
        self.last = max(records + size // RECORD_BYTES - requests * REQUEST_COST, 0)
        self.finish += self.last


@dataclass(order=True, slots=True)
class Waiting:
    """One that waits, in the order in which turns are given.

    Busy clients of one kind keep to the same virtual times: of equals the one whose last turn cost least is
    first.
    """

    start: int
    last: int
    order: int
    granted: Event = field(compare=False, default_factory=Event)


class FairTurn:
    """One holder at a time. Of those that wait, next comes the one with the least virtual time: whoever costs
    little is served after the turn in progress, however many others always have more to read.

    There is one turn in each round of the loop, in which the owner and the agent's link run too.
    """

    def __init__(self) -> None:
        self.virtual = 0
        """The virtual time at which the last turn started."""
        self.held = False
        self.waiting: list[Waiting] = []
        self.arrivals = count()
        self.polled = get_hub().loop.timer(0, priority=AFTER_SOCKETS)

    @contextmanager
    def taken(self, share: Share) -> Iterator[None]:
        """Waits for the turn and holds it. The holder charges what it cost to its share."""
        share.finish = max(self.virtual, share.finish)
        self.wait(share)
        self.virtual = max(self.virtual, share.finish)
        try:
            yield
        finally:
            self.release()

    def wait(self, share: Share) -> None:
        """Until the turn is this one's."""
        if not self.held:
            self.held = True
            return
        entry = Waiting(share.finish, share.last, next(self.arrivals))
        heappush(self.waiting, entry)
        try:
            entry.granted.wait()
        except BaseException:  # killed as it waited: the turn, if it was given to it, is the next one's
            if entry.granted.is_set():
                self.release()
            else:
                self.waiting.remove(entry)
                heapify(self.waiting)
            raise

    def release(self) -> None:
        """Once the loop has polled: it serves all sockets that were ready in one poll before anything else,
        and hundreds that found the turn free would be read before the owner runs again."""
        self.polled.start(self.grant)

    def grant(self) -> None:
        """Gives the turn to the first of those that wait by now."""
        self.polled.stop()
        if self.waiting:
            heappop(self.waiting).granted.set()
        else:
            self.held = False
