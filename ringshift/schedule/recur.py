"""Recurring windows by a named time zone, expanded to absolute ones within a stated horizon.

The rule is an RRULE of RFC 5545, read by python-dateutil on the zone's wall clock; zoneinfo gives the
instants. An hour that a clock change leaves out has no instant, one that it doubles has two, and a window
across the change is longer or shorter than it reads: each is refused, never guessed. Free of clocks; zoneinfo
reads the machine's (or `tzdata`'s) table of zones on a zone's first use.
"""

from __future__ import annotations

import re
from collections.abc import Iterator
from dataclasses import dataclass
from datetime import UTC, datetime, timedelta
from zoneinfo import ZoneInfo

from dateutil.rrule import rrulestr  # type: ignore[import-untyped]

MOST = 10_000  # windows of one recurrence within a horizon
MOST_PASSED = 100_000  # since the first one: they are counted through, in every backend
COARSE = re.compile(r"FREQ=(DAILY|WEEKLY|MONTHLY|YEARLY)\b", re.IGNORECASE)
S = 1_000_000_000
EPOCH = datetime(1970, 1, 1, tzinfo=UTC)


class RecurError(ValueError):
    """A recurrence that can't be expanded; the message begins with the field's name."""


@dataclass(frozen=True)
class Recurrence:
    """`first`: the first window's start on the wall clock of `zone` (an IANA name), without an offset.
    `rule`: "FREQ=WEEKLY;BYDAY=MO". `seconds`: length on the wall clock."""

    rule: str
    first: datetime
    zone: str
    seconds: int

    def __post_init__(self) -> None:
        if self.first.tzinfo is not None:
            raise RecurError("first: has an offset; it is read on the zone's wall clock")
        if self.seconds <= 0:
            raise RecurError(f"seconds: {self.seconds}; above 0")
        if not COARSE.search(self.rule):  # a finer one that matches seldom or never is sought for minutes
            raise RecurError(f"rule: {self.rule!r}: FREQ from DAILY to YEARLY; BYHOUR gives more a day")

    def windows(self, start: int, end: int) -> Iterator[tuple[int, int]]:
        """(start, end) in ns of those that begin in [start, end) ns. Raises RecurError."""
        try:
            zone = ZoneInfo(self.zone)
        except (OSError, ValueError, KeyError) as wrong:
            raise RecurError(f"zone: {self.zone!r} is not known") from wrong
        try:
            told = rrulestr(self.rule, dtstart=self.first)
            # A day to both sides: no zone is further from UTC, so none that begins within is left out.
            wide = timedelta(days=1)
            low, high = (EPOCH.replace(tzinfo=None) + timedelta(seconds=at // S) for at in (start, end))
        except (ValueError, TypeError, AttributeError, OverflowError) as wrong:
            raise RecurError(f"rule: {self.rule!r}: {wrong}") from wrong
        count = 0
        for passed, local in enumerate(told):
            if local > high + wide:
                return
            if passed > MOST_PASSED:
                raise RecurError(f"rule: more than {MOST_PASSED} windows since first; state a later one")
            if local < low - wide:
                continue
            count += 1
            if count > MOST:
                raise RecurError(f"rule: {self.rule!r} gives more than {MOST} windows")
            begins = local.replace(tzinfo=zone)
            instant = nanoseconds(begins)
            missing_hour = begins.utcoffset() != begins.replace(fold=1).utcoffset()
            if not missing_hour and not start <= instant < end:
                continue
            ends = (local + timedelta(seconds=self.seconds)).replace(tzinfo=zone)
            for edge in (begins, ends):
                once(edge, self.zone)
            if begins.utcoffset() != ends.utcoffset():
                raise RecurError(f"rule: the window of {local} in {self.zone} crosses a clock change")
            yield instant, nanoseconds(ends)


def once(local: datetime, zone: str) -> None:
    """Raises RecurError unless the wall clock shows `local` exactly once. Of a missing hour the earlier
    reading has the smaller offset, of a doubled one the larger (PEP 495)."""
    early, late = local.replace(fold=0).utcoffset(), local.replace(fold=1).utcoffset()
    assert early is not None and late is not None
    if early != late:
        what = "missing" if early < late else "doubled"
        raise RecurError(f"rule: {local:%Y-%m-%d %H:%M:%S} in {zone} is in the {what} hour of a clock change")


def nanoseconds(local: datetime) -> int:
    since = local.astimezone(UTC) - EPOCH
    return (since.days * 86_400 + since.seconds) * S + since.microseconds * 1_000
