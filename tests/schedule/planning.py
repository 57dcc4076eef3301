"""Rows, books and terms that the tests of plans share."""

from __future__ import annotations

from datetime import UTC, datetime, timedelta
from typing import Any

from ringshift.rulebook.document import Rulebook, Rules
from ringshift.schedule.plan import Terms, plan
from ringshift.schedule.planned import Moved, Planned

S = 1_000_000_000
DAWN = datetime(2026, 12, 1, tzinfo=UTC)
NOW = int(DAWN.timestamp()) * S
TERMS = Terms(late=8 * S, lead=20 * S, ahead=30 * 86_400 * S)
EMPTY = Rulebook(alone=Rules())
HALF = Moved(0.5, "north", "south")


def at(seconds: float) -> datetime:
    return DAWN + timedelta(seconds=seconds)


def row(name: str, start: float, end: float, does: Any = HALF, **more: Any) -> Planned:
    """`start`, `end`: seconds after NOW."""
    return Planned(name=name, does=does, start=at(start), end=at(end), **more)


def book(*rows: Planned, now: int = NOW, base: Rulebook = EMPTY) -> Rulebook:
    found = plan(base, rows, now, TERMS)
    assert isinstance(found, Rulebook), str(found)
    return found


def later(seconds: float) -> int:
    return NOW + int(seconds * S)
