"""Bugs planted into a process of its own, so that the harness and the model can be shown to find them.

`python -m standins.fleet.planted BUG lease hold ...` is the program with that bug, `... BUG keeper FOLDER
...` the keeper stand-in with it. Each is one change of one method, made here and nowhere in the program.
"""

from __future__ import annotations

import sys
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from typing import Any

from ringshift.fleet.budget import Budget, Divider, Ledger, Row, S
from ringshift.fleet.lease import DOUBTFUL, HOLDING, Heard, Lease, LeaseTerms
from ringshift.fleet.share import Share
from standins.keeper.store import Store


def answer_deadline() -> None:
    """The deadline counted from a renewal's answer instead of its sending."""
    extend = Lease.extend

    def late(self: Lease, heard: Heard, chance: float) -> None:
        extend(self, Heard(heard.news, heard.now, heard.now, heard.lease, heard.token), chance)

    Lease.extend = late  # type: ignore[method-assign]


def no_drift() -> None:
    """The bound on the clocks' drift taken as zero."""
    LeaseTerms.acting_time = property(  # type: ignore[assignment, method-assign]
        lambda self: self.ttl - self.margin
    )


def act_doubtful() -> None:
    """A holder past its deadline goes on as if it held."""
    Lease.acting = lambda self, now: self.phase in (HOLDING, DOUBTFUL)  # type: ignore[method-assign]
    Lease.halt = lambda self, heard, chance: None  # type: ignore[method-assign]


def restart_expires() -> None:
    """A keeper that starts from its disk takes every lease it held as ended."""
    whole: Callable[..., Store] = Store.from_image

    def emptied(cls: type[Store], image: dict[str, Any], now: int) -> Store:
        store = whole(image, now)
        for lease in list(store.leases):
            store.end(lease)
        return store

    Store.from_image = classmethod(emptied)  # type: ignore[assignment, method-assign]


def early_regrant() -> None:
    """What was granted is granted again before it was handed back or has ended."""
    Row.held = lambda self: self.extra  # type: ignore[method-assign]


def no_fall() -> None:
    """A backend that lost contact goes on with its last grant."""
    Share.end_of = lambda self, n, life: self.now + 3600 * S  # type: ignore[method-assign]


def drift_ignored() -> None:
    """The divider counts a grant's end without the bound on the clocks' drift."""
    Budget.counted = property(lambda self: self.life)  # type: ignore[assignment, method-assign]


def no_waiting() -> None:
    """A new divider neither takes the ledger back nor waits: it begins as if nothing were granted."""

    def begin_anew(self: Divider, asks: object, ledger: Ledger | None) -> None:
        self.rows.clear()
        self.round = ledger.round if ledger else 0
        self.until = 0

    Divider.take_back = begin_anew  # type: ignore[method-assign]
    Divider.wait = begin_anew  # type: ignore[method-assign]


@contextmanager
def planted(bug: str) -> Iterator[None]:
    """The bug in this process, for as long as the context lasts: for the models."""
    before = [(kind, name, kind.__dict__[name]) for kind, name in CHANGED]
    BUGS[bug]()
    try:
        yield
    finally:
        for kind, name, was in before:
            setattr(kind, name, was)


CHANGED: list[tuple[type, str]] = [
    (Lease, "extend"),
    (Lease, "acting"),
    (Lease, "halt"),
    (LeaseTerms, "acting_time"),
    (Store, "from_image"),
    (Row, "held"),
    (Share, "end_of"),
    (Budget, "counted"),
    (Divider, "take_back"),
    (Divider, "wait"),
]
BUGS: dict[str, Callable[[], None]] = {
    bug.__name__: bug
    for bug in (
        answer_deadline,
        no_drift,
        act_doubtful,
        restart_expires,
        early_regrant,
        no_fall,
        drift_ignored,
        no_waiting,
    )
}


def main() -> int:
    bug, what, *rest = sys.argv[1:]
    BUGS[bug]()
    if what == "keeper":
        from standins.keeper.server import main as keeper

        return keeper(rest)
    from ringshift.cli.main import command

    return command([what, *rest])


if __name__ == "__main__":
    sys.exit(main())
