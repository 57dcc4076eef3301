"""What a timeline may say, told by field, and what its dates say of an instant."""

from __future__ import annotations

from datetime import UTC, datetime
from typing import Any

import msgspec
import pytest

from ringshift.retirement.timeline import Phase, Timeline, ns, phase, planned
from tests.retirement.builders import (
    ANNOUNCED,
    DARK,
    DAY,
    END,
    FIRST,
    LIGHT,
    LINE,
    SECOND,
    WARNED,
    S,
    timeline,
)


def test_instants_are_exact_and_offsets_count() -> None:
    assert ns(datetime(1970, 1, 1, 0, 0, 1, 7, UTC)) == S + 7_000
    assert ns(LINE.brownouts[0].start) == ns(datetime(2026, 3, 1, 8, tzinfo=UTC))
    assert timeline(end="2026-06-01T02:00:00+02:00").end == LINE.end


def test_it_is_the_same_after_the_keepers_json() -> None:
    assert msgspec.json.decode(msgspec.json.encode(LINE), type=Timeline) == LINE


STEP = {"at": "2026-04-01T00:00:00Z", "share": 0.2}
EARLY = {**STEP, "at": "2026-02-10T23:59:59Z"}
DARK_ROW = {"from": "2026-03-01T08:00:00Z", "to": "2026-03-01T10:00:00Z"}
EARLY_DARK = {"from": "2026-02-10T23:59:59Z", "to": "2026-02-11T01:00:00Z"}


@pytest.mark.parametrize(
    ("changed", "told"),
    [
        ({"name": "a b"}, "name: 'a b' is not"),
        ({"operation": ""}, "operation: empty"),
        ({"successor": "order-book"}, "successor: 'order-book' is the operation itself"),
        ({"announced": "2026-01-01T00:00:00"}, "with a timezone component - at `$.announced`"),
        ({"announced": "2026-02-02T00:00:00Z"}, "warned_from: before announced"),
        ({"link": "https://x/ y"}, "link: "),
        ({"about": 'https://x/"'}, "about: "),
        ({"steps": []}, "steps: 0; from 1"),
        ({"steps": [{**STEP, "share": 1.2}]}, "share: 1.2; from 0 to 1 - at `$.steps[0]`"),
        ({"steps": [{**STEP, "share": 0.0}]}, "share: 0.0 turns nobody away"),
        ({"steps": [STEP, {**STEP, "at": "2026-05-01T00:00:00Z"}]}, "number 1 has share 0.2, not"),
        ({"steps": [{**STEP, "hold_s": 1}, {**STEP, "share": 0.3}]}, "number 1 begins before the hold"),
        ({"steps": [{**STEP, "at": "2026-03-01T09:00:00Z"}]}, "number 0 begins before the last brownout"),
        ({"steps": [EARLY], "brownouts": []}, "number 0 begins before warned_from"),
        ({"end": "2026-05-02T23:59:59Z"}, "end: before the last step's hold is over"),
        ({"brownouts": [{**DARK_ROW, "to": "2026-03-02T08:00:01Z"}]}, "to: 86401 s after from"),
        ({"brownouts": [{**DARK_ROW, "to": "2026-03-01T08:00:00Z"}]}, "to: 0 s after from"),
        ({"brownouts": [DARK_ROW, DARK_ROW]}, "brownouts: number 1 begins before the one before has ended"),
        ({"brownouts": [{**DARK_ROW, "from": "2026-02-10T23:59:59Z"}]}, "s after from; above 0 and at most"),
        ({"brownouts": [EARLY_DARK]}, "brownouts: number 0 begins before warned_from"),
        ({"exemptions": [{"caller": 7, "until": "2026-07-01T00:00:00Z"}] * 2}, "exemptions: two of 7"),
        ({"exemptions": [{"caller": -1, "until": "2026-07-01T00:00:00Z"}]}, "caller: -1"),
        ({"onto": [{"from": "a", "to": "a"}]}, "to: from 'a' to 'a'"),
        ({"floor": {"answers": 0}}, "answers: 0; at least 1 - at `$.floor`"),
        ({"conditions": {"heard": 0.5}}, "heard: 0.5; above 0.5"),
        ({"conditions": {"errors_below": 0.2}}, "errors_above: 0.03; above errors_below, 0.2"),
        ({"wrong": 1}, "unknown field `wrong`"),
    ],
)
def test_what_can_not_be_is_told_by_field(changed: dict[str, Any], told: str) -> None:
    with pytest.raises(msgspec.ValidationError) as wrong:
        timeline(**changed)
    assert told in str(wrong.value)


def test_a_step_may_begin_where_the_floor_can_first_be_reached() -> None:
    first = {**STEP, "at": "2026-02-11T00:00:00Z"}
    assert ns(timeline(steps=[first], brownouts=[]).steps[0].at) == WARNED + 10 * DAY


def test_the_dates_tell_phase_and_rung() -> None:
    early = (ANNOUNCED - 1, ANNOUNCED, WARNED, DARK - 1, DARK, LIGHT, FIRST - 1)
    assert [planned(LINE, at) for at in early] == [
        (Phase.PLANNED, 0),
        (Phase.ANNOUNCED, 0),
        (Phase.WARNING, 0),
        (Phase.WARNING, 0),
        (Phase.BROWNOUT, 0),
        (Phase.WARNING, 0),
        (Phase.WARNING, 0),
    ]
    assert [planned(LINE, at) for at in (FIRST, FIRST + DAY, SECOND, END - 1, END)] == [
        (Phase.HOLDING, 1),
        (Phase.SHEDDING, 1),
        (Phase.HOLDING, 2),
        (Phase.SHEDDING, 2),
        (Phase.ENDED, 3),
    ]


def test_a_backend_is_ended_by_its_rung_and_never_by_the_date() -> None:
    assert phase(LINE, END + DAY, 2) is Phase.SHEDDING
    assert phase(LINE, END + DAY, 0) is Phase.WARNING
    assert phase(LINE, END - DAY, 3) is Phase.ENDED
