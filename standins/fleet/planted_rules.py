"""Bugs planted into the harness's rulebook processes, so that its checkers can be shown to find them.

As standins/fleet/planted.py: each is one change of one method, made here and nowhere in the program. A
process of standins/fleet/ruled.py or publisher.py is started with `--plant BUG`.
"""

from __future__ import annotations

import base64
import os
from collections.abc import Callable, Mapping
from dataclasses import replace
from typing import Any

from ringshift.lifecycle.retiring import Retiring
from ringshift.retirement import shed
from ringshift.rulebook import version
from ringshift.rulebook.bound import ReadingTerms
from ringshift.rulebook.document import Rulebook
from ringshift.rulebook.reader import Reader
from ringshift.schedule.plan import Terms
from ringshift.wire.retiring import RetireLink
from ringshift.wire.rules import RulesLink


def answer_deadline() -> None:
    """A backend's deadline counted from a confirmation's answer instead of its sending."""
    Reader.end_of = lambda self, n: self.now + self.terms.acting_time  # type: ignore[method-assign]


def no_waiting() -> None:
    """A version put in force without waiting for the reading lease of a silent reader."""
    ReadingTerms.surely_ended = property(lambda self: 0)  # type: ignore[assignment, method-assign]


def alone_at_once() -> None:
    """`alone` changed in one step, as if it were a list."""

    def anything(old: Rulebook, new: Rulebook) -> bool:
        return False

    version.check_step = anything


def no_compare() -> None:
    """A publisher's writes at the keeper without their compares."""
    do, call = RulesLink.do, RulesLink.call

    def unguarded(self: RulesLink, path: str, body: dict[str, Any]) -> dict[str, Any]:
        return call(self, path, body | {"compare": []} if path == "/kv/txn" else body)

    def written(self: RulesLink, *told: Any) -> bool:
        self.call = lambda path, body: unguarded(self, path, body)  # type: ignore[method-assign]
        try:
            return do(self, *told)
        finally:
            del self.call

    RulesLink.do = written  # type: ignore[assignment, method-assign]


def number_alone() -> None:
    """A reader's word on a version taken by its number, whatever book it was on."""
    high = Reader.high
    version.Version.mark = property(lambda self: (*self.stamp, ""))  # type: ignore[assignment, method-assign]
    Reader.high = lambda self: (*high(self)[:2], "")  # type: ignore[method-assign]


def no_late() -> None:
    """Windows of scheduled changes compared as if all backends were at one instant."""
    of = Terms.of.__func__  # type: ignore[attr-defined]

    def at_once(cls: type[Terms], reading: ReadingTerms) -> Terms:
        terms: Terms = of(cls, reading)
        return replace(terms, late=0)

    Terms.of = classmethod(at_once)  # type: ignore[assignment, method-assign]


def salted() -> None:
    """Each backend draws callers by a hash of its own."""
    lot, salt = shed.lot, os.getpid()
    shed.lot = lambda key, caller: lot(key ^ salt, caller)  # type: ignore[assignment]


def counted_early() -> None:
    """A caller counts as warned once its answer is made, whether it is ever sent or not."""
    fields = Retiring.fields

    def counting(self: Retiring, operation: int, caller: int) -> Mapping[str, str]:
        told = fields(self, operation, caller)
        if told and (line := self.by_operation.get(operation)) is not None:
            line.warned.handed(caller, self.wall())
        return told

    Retiring.fields = counting  # type: ignore[method-assign]
    Retiring.answered = lambda self, operation, caller: None  # type: ignore[method-assign]


def stale_ramp() -> None:
    """The ramp moved by one that lost its lease: its write isn't compared with the lease's key, nor with
    what it had read."""
    call = RetireLink.call

    def unguarded(self: RetireLink, path: str, body: dict[str, Any]) -> dict[str, Any]:
        if path == "/kv/txn":
            body = body | {"compare": [one for one in body["compare"] if b"/rows/" in key_of(one)]}
        return call(self, path, body)

    RetireLink.call = unguarded  # type: ignore[assignment, method-assign]


def key_of(compare: dict[str, Any]) -> bytes:
    return base64.b64decode(compare["key"])


BUGS: dict[str, Callable[[], None]] = {
    bug.__name__: bug
    for bug in (
        answer_deadline,
        no_waiting,
        alone_at_once,
        no_compare,
        number_alone,
        no_late,
        salted,
        counted_early,
        stale_ramp,
    )
}
