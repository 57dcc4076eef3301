"""What the records of ramps tell in a report: where one stood still or fell, and one step decided twice."""

from __future__ import annotations

import pytest

from ringshift.findings.course import Course, lay_out
from ringshift.findings.digest import Digest, Digester
from ringshift.findings.fleet import What, tell
from ringshift.records.schema import Body, Mark, RampStep, Record, RulesChange, Said, Started

S = 10**9
WALL = 1_800_000_000 * S


def digest(server: str, *events: tuple[float, Body]) -> Digest:
    """One run's records; a mark that all share ties the clocks."""
    digester = Digester(server, "r1")
    start: list[tuple[float, Body]] = [(0.0, Started("0", "x", (), 4, 0.0)), (0.01, Mark("both", 1.0))]
    for seq, (at, body) in enumerate([*start, *events, (60.0, Said("info", "still here"))], 1):
        digester.hear(Record(server, "r1", seq, WALL + round(at * S), round(at * S), body))
    return digester.finish()


def step(old: str, new: str, edition: int, share: float, why: str = "due, good") -> RampStep:
    return RampStep("order-book", "n", old, new, why, edition, share=round(share * 1_000_000))


def course(*digests: Digest) -> Course:
    return lay_out(list(digests))


PLANNED: list[tuple[float, Body]] = [
    (1.0, step("WARNING", "SHEDDING", 1, 0.2)),
    (2.0, step("SHEDDING", "HOLDING", 1, 0.2)),
    (20.0, step("HOLDING", "SHEDDING", 2, 0.6)),
    (21.0, step("SHEDDING", "HOLDING", 2, 0.6)),
]


def test_a_ramp_that_went_as_planned_is_no_finding_and_is_drawn() -> None:
    fleet = tell(course(digest("n1", *PLANNED[:2]), digest("n2", *PLANNED[2:])))
    shares = [one.share for one in fleet.moves["order-book"]]
    assert fleet.told == [] and shares == [200_000, 200_000, 600_000, 600_000]
    dark, light = step("WARNING", "BROWNOUT", 1, 1.0), step("BROWNOUT", "WARNING", 2, 0.0)
    assert tell(course(digest("n1", (1.0, dark), (9.0, light)))).told == []


def test_one_that_stood_still_or_fell_is_told_with_its_reason_and_for_how_long() -> None:
    held = digest(
        "n1",
        *PLANNED[:2],
        (5.0, step("HOLDING", "PAUSED", 1, 0.2, "bad, unheard")),
        (15.0, step("PAUSED", "HOLDING", 1, 0.2)),
        *PLANNED[2:],
        (30.0, step("HOLDING", "STEPPING_BACK", 3, 0.2, "worse, worse")),
    )
    first, second = tell(course(held)).told
    assert first.what is second.what is What.RAMP_HELD_UP
    assert "HOLDING -> PAUSED at 20% turned away: bad, unheard" in first.text
    assert 14.9 < (first.end - first.start) / S < 15.1  # until the next step
    assert "STEPPING_BACK at 20%" in second.text and second.servers == ("n1",)


def test_one_step_that_two_say_they_wrote_is_told() -> None:
    again = step("WARNING", "SHEDDING", 1, 0.2)
    (told,) = tell(course(digest("n1", *PLANNED), digest("n2", (1.5, again)))).told
    assert told.what is What.RAMP_TWICE and told.servers == ("n1", "n2")
    # Its phases after the decision, by another holder, are none.
    assert tell(course(digest("n1", PLANNED[0]), digest("n2", PLANNED[1]))).told == []


def test_the_report_has_charts_of_it_and_of_the_rulebook() -> None:
    pytest.importorskip("matplotlib")
    from ringshift.findings.cause import Cause
    from ringshift.report.fleetcharts import ALONE, by_version, retirement, rulebook

    laid, cause = course(digest("n1", *PLANNED)), Cause(None, None, [], [])
    drawn = retirement(laid, tell(laid), cause)
    assert drawn.startswith("<svg") and "order-book" in drawn and "Retirements of operations" in drawn
    empty = course(digest("n1"))
    assert retirement(empty, tell(empty), cause) == rulebook(empty, cause) == ""
    both = (
        RulesChange("READING", ((0, 1),)),
        RulesChange("BETWEEN", ((0, 1), (0, 2))),
        RulesChange("READING", ((0, 2),)),
        RulesChange("ALONE", ((0, 2),)),
    )
    first = digest("n1", *zip((1.0, 5.0, 6.0, 9.0), both, strict=True))
    laid = course(first, digest("n2", *zip((2.0, 5.5, 7.0), both[:3], strict=True)))
    counts = {name: [count for _, count in rows] for name, rows in by_version(laid).items()}
    assert counts == {"0.1": [1, 2, 2, 2, 1, 0], "0.2": [1, 2, 2, 2, 1, 0], ALONE: [1, 0]}
    told = rulebook(laid, cause)
    assert all(f">{name}<" in told for name in counts)
