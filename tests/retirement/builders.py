"""Timelines for the tests: from TOML, with what a test changes."""

from __future__ import annotations

import tomllib
from typing import Any

import msgspec

from ringshift.retirement.timeline import Timeline, ns

S = 1_000_000_000
DAY = 86_400 * S
TEXT = """
name = "order-book-1"
operation = "order-book"
successor = "tank-lookup"
version = "1"
announced = 2026-01-01T00:00:00Z
warned_from = 2026-02-01T00:00:00Z
end = 2026-06-01T00:00:00Z
link = "https://api.example/tank-lookup"

[floor]
answers = 3
over_s = 864000
clocks_apart_s = 0

[conditions]
dwell_s = 60
back_after_s = 30
fresh_s = 10
least_answers = 10

[[brownouts]]
from = 2026-03-01T09:00:00+01:00
to = 2026-03-01T11:00:00+01:00

[[steps]]
at = 2026-04-01T00:00:00Z
share = 0.2
hold_s = 86400

[[steps]]
at = 2026-05-01T00:00:00Z
share = 0.6
hold_s = 172800
"""


def timeline(**changed: Any) -> Timeline:
    """Raises msgspec.ValidationError. None takes a field away."""
    told = {**tomllib.loads(TEXT), **changed}
    return msgspec.convert({name: value for name, value in told.items() if value is not None}, Timeline)


LINE = timeline()
ANNOUNCED, WARNED, END = ns(LINE.announced), ns(LINE.warned_from), ns(LINE.end)
DARK, LIGHT = ns(LINE.brownouts[0].start), ns(LINE.brownouts[0].end)
FIRST, SECOND = ns(LINE.steps[0].at), ns(LINE.steps[1].at)
