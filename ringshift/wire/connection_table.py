"""The open connections in the order in which they would be closed to make room: least recently used first.

Each connection accepted into a full table evicts one. A table of five hundred that was sorted anew for each
took half of the processor in a flood of clients that ask once and stay.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterator
from typing import Generic, Protocol, TypeVar


class Entry(Protocol):
    """A connection, as far as its place in the order goes."""

    spoken: bool
    """It has sent a whole request."""
    touched: float
    """When it was last used: seconds of the monotonic clock."""


Connection = TypeVar("Connection", bound=Entry)


class ConnectionTable(Generic[Connection]):
    """All open connections. One that half-closed holds its descriptor until it is removed, in no order."""

    def __init__(self) -> None:
        self.connections: set[Connection] = set()
        self.never_asked: OrderedDict[Connection, None] = OrderedDict()
        self.asked: OrderedDict[Connection, None] = OrderedDict()

    @property
    def closing(self) -> int:
        """How many half-closed and are not removed yet."""
        return len(self.connections) - len(self.never_asked) - len(self.asked)

    def add(self, connection: Connection) -> None:
        """One that was just accepted."""
        self.connections.add(connection)
        self.never_asked[connection] = None

    def use(self, connection: Connection) -> None:
        """Notes that it was used just now, or has sent its first request."""
        if self.leave_order(connection):
            (self.asked if connection.spoken else self.never_asked)[connection] = None

    def leave_order(self, connection: Connection) -> bool:
        """For one that half-closes. False where it was in no order."""
        for order in (self.never_asked, self.asked):
            if connection in order:
                del order[connection]
                return True
        return False

    def remove(self, connection: Connection) -> None:
        """One whose socket is closed."""
        self.leave_order(connection)
        self.connections.discard(connection)

    def unused_since(self, moment: float) -> Iterator[Connection]:
        """Those not used since then, in the order in which they would be closed: first those that never sent
        a request, as hundreds of silent clients must not cost the sidecars their connections."""
        for order in (self.never_asked, self.asked):
            for connection in order:
                if connection.touched > moment:
                    break
                yield connection
