"""The report's lane of scheduled changes, from the records of several servers."""

from __future__ import annotations

import pytest

from ringshift.records.schema import Body, ChangeStep
from tests.retirement.test_report import course, digest


def steps(name: str, *events: tuple[float, str, str]) -> list[tuple[float, Body]]:
    return [(at, ChangeStep(name, old, new)) for at, old, new in events]


def test_a_change_is_drawn_with_how_many_servers_have_it_in_force() -> None:
    pytest.importorskip("matplotlib")
    from ringshift.findings.cause import Cause
    from ringshift.report.fleetcharts import by_change, schedule

    whole = steps(
        "night",
        (1.0, "PLANNED", "ARMED"),
        (2.0, "ARMED", "UNDER_WAY"),
        (3.0, "UNDER_WAY", "HOLDING"),
        (9.0, "HOLDING", "DONE"),
    )
    late = steps("night", (5.0, "ARMED", "UNDER_WAY"))  # still so at its run's end
    missed = steps("night", (9.0, "PLANNED", "MISSED"))
    laid = course(digest("n1", *whole), digest("n2", *late), digest("n3", *missed))
    assert [count for _, count in by_change(laid)["night"]] == [1, 2, 1, 0]
    cause = Cause(None, None, [], [])
    assert ">night<" in schedule(laid, cause) and schedule(course(digest("n1")), cause) == ""
