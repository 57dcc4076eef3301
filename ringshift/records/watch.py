"""What the owner and the program tell of themselves as it happens. Nothing here may wait or fail."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, Protocol

if TYPE_CHECKING:
    from ringshift.control import Controller
    from ringshift.wire.news import Called

# How an invocation ended for its caller; a place in the counts of a second.
# RULED: turned away by the fleet's rulebook for good; AWAY: by it, to be served elsewhere or later.
SUCCEEDED, THROTTLED, ERRORED, GONE, RULED, AWAY = range(6)


class Watch(Protocol):
    """`now` is the owner's clock in nanoseconds; it is compared with itself only."""

    every: int
    """Nanoseconds between two beats; 0 for none."""

    def arrived(self, item: Called, unread: int) -> None: ...
    def answered(self, operation: int, how: int) -> None: ...
    def launched(self, operation: int) -> None: ...
    def ran(self, operation: int, took: int, good: bool) -> None: ...
    def asked(self) -> None: ...
    def sampled(self, gauges: Any) -> None: ...
    def beat(self, now: int, late: int, controller: Controller | None) -> None: ...
    def greeted(self, cold: bool, took: int) -> None: ...
    def ready(self, good: bool) -> None: ...
    def moved(self, old: str, new: str, why: str) -> None: ...
    def mark(self, token: str, spread_ms: float) -> None: ...


class Unwatched:
    """Records are off: every word is dropped."""

    every = 0

    def arrived(self, item: Called, unread: int) -> None:
        pass

    def answered(self, operation: int, how: int) -> None:
        pass

    def launched(self, operation: int) -> None:
        pass

    def ran(self, operation: int, took: int, good: bool) -> None:
        pass

    def asked(self) -> None:
        pass

    def sampled(self, gauges: Any) -> None:
        pass

    def beat(self, now: int, late: int, controller: Controller | None) -> None:
        pass

    def greeted(self, cold: bool, took: int) -> None:
        pass

    def ready(self, good: bool) -> None:
        pass

    def moved(self, old: str, new: str, why: str) -> None:
        pass

    def mark(self, token: str, spread_ms: float) -> None:
        pass
