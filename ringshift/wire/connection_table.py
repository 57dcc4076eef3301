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
    served: bool
    """A request of it was served: its client is a sound one."""
    touched: float
    """When it was last used: seconds of the monotonic clock."""


Connection = TypeVar("Connection", bound=Entry)


class ConnectionTable(Generic[Connection]):
    """All open connections. One that half-closed, or will after its next answer, holds its descriptor until
    it is removed, in no order."""

    def __init__(self) -> None:
        self.connections: set[Connection] = set()
        self.never_asked: OrderedDict[Connection, None] = OrderedDict()
        self.never_served: OrderedDict[Connection, None] = OrderedDict()
        self.served: OrderedDict[Connection, None] = OrderedDict()
        self.unserved_by_age: OrderedDict[Connection, None] = OrderedDict()
        """Those of the first two orders, the first accepted first."""

    @property
    def closing(self) -> int:
        """How many are in no order and are not removed yet."""
        return len(self.connections) - len(self.unserved_by_age) - len(self.served)

    def add(self, connection: Connection) -> None:
        """One that was just accepted."""
        self.connections.add(connection)
        self.never_asked[connection] = self.unserved_by_age[connection] = None

    def use(self, connection: Connection) -> None:
        """Notes that it was used just now, has sent its first request, or has had one served."""
        for order in self.orders():
            if connection in order:
                del order[connection]
                self.order_of(connection)[connection] = None
                break
        if connection.served:
            self.unserved_by_age.pop(connection, None)

    def order_of(self, connection: Connection) -> OrderedDict[Connection, None]:
        """Where it belongs."""
        if connection.served:
            return self.served
        return self.never_served if connection.spoken else self.never_asked

    def orders(self) -> tuple[OrderedDict[Connection, None], ...]:
        return self.never_asked, self.never_served, self.served

    def leave_order(self, connection: Connection) -> bool:
        """For one that half-closes, or will. False where it was in no order."""
        self.unserved_by_age.pop(connection, None)
        for order in self.orders():
            if connection in order:
                del order[connection]
                return True
        return False

    def keep(self, connection: Connection) -> None:
        """One that was to half-close and has had a request served: it stays."""
        self.served[connection] = None

    def remove(self, connection: Connection) -> None:
        """One whose socket is closed."""
        self.leave_order(connection)
        self.connections.discard(connection)

    def unserved_unused_since(self, moment: float) -> Iterator[Connection]:
        """Those not used since then that never had a request served: first those that never sent one, as
        hundreds of silent clients must not cost the sidecars their connections."""
        yield from unused(self.never_asked, moment)
        yield from unused(self.never_served, moment)

    def served_unused_since(self, moment: float) -> Iterator[Connection]:
        """Those not used since then that had a request served."""
        yield from unused(self.served, moment)

    def oldest_never_served(self) -> Connection | None:
        """Of those that never had a request served the one that was accepted first."""
        return next(iter(self.unserved_by_age), None)


def unused(order: OrderedDict[Connection, None], moment: float) -> Iterator[Connection]:
    """Those of one order not used since then, least recently used first."""
    for connection in order:
        if connection.touched > moment:
            return
        yield connection
