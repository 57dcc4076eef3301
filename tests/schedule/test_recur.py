"""Recurring windows on a zone's wall clock, and the nights on which it is changed."""

from __future__ import annotations

from datetime import UTC, datetime

import pytest

from ringshift.schedule.recur import RecurError, Recurrence

S = 1_000_000_000


def at(*when: int) -> int:
    return int(datetime(*when, tzinfo=UTC).timestamp()) * S  # type: ignore[misc, arg-type]


def test_the_same_wall_clock_hour_before_and_after_a_clock_change() -> None:
    weekly = Recurrence("FREQ=WEEKLY", datetime(2026, 3, 23, 9), "Europe/Berlin", 3600)
    found = list(weekly.windows(at(2026, 3, 20), at(2026, 4, 1)))
    assert found == [(at(2026, 3, 23, 8), at(2026, 3, 23, 9)), (at(2026, 3, 30, 7), at(2026, 3, 30, 8))]
    assert list(weekly.windows(at(2026, 3, 30, 7), at(2026, 3, 30, 8))) == found[1:]  # half-open
    assert not list(weekly.windows(at(2026, 3, 23, 9), at(2026, 3, 30, 7)))


@pytest.mark.parametrize(
    ("first", "seconds", "told"),
    [
        (datetime(2026, 3, 20, 2, 30), 600, "2026-03-29 02:30:00 in Europe/Berlin is in the missing hour"),
        (datetime(2026, 10, 20, 2, 30), 600, "2026-10-25 02:30:00 in Europe/Berlin is in the doubled hour"),
        (datetime(2026, 10, 20, 1, 30), 7200, "2026-10-25 01:30:00 in Europe/Berlin crosses"),
    ],
)
def test_a_clock_change_is_refused_with_zone_and_date(first: datetime, seconds: int, told: str) -> None:
    daily = Recurrence("FREQ=DAILY", first, "Europe/Berlin", seconds)
    assert len(list(daily.windows(at(first.year, first.month, 20), at(first.year, first.month, 24)))) == 4
    with pytest.raises(RecurError, match=told):
        list(daily.windows(at(first.year, first.month, 20), at(2026, 12, 1)))


@pytest.mark.parametrize(
    ("rule", "zone", "field"),
    [
        ("FREQ=NEVER", "UTC", "rule"),
        ("FREQ=DAILY", "Mars/Base", "zone"),
        ("FREQ=SECONDLY", "UTC", "rule"),
        ("FREQ=DAILY;BYHOUR=x", "UTC", "rule"),
    ],
)
def test_a_wrong_field_is_named(rule: str, zone: str, field: str) -> None:
    with pytest.raises(RecurError, match=f"^{field}:"):
        list(Recurrence(rule, datetime(2026, 1, 1), zone, 60).windows(at(2026, 1, 1), at(2026, 2, 1)))
