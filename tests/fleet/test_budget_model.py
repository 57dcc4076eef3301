"""Every state of a whole of one between two backends, to a depth; planted bugs are found there too."""

from __future__ import annotations

from dataclasses import replace

import pytest

from ringshift.fleet.budget import S, Stage
from standins.checkers import budget_model
from standins.checkers.budget_model import Model, State, carried_out
from standins.checkers.explore import explore
from standins.fleet.planted import planted

DEPTH = 6  # in CI; benchmarks/budgets.py model goes deeper, docs/results.md says how deep


def test_nothing_is_wrong_in_any_state_to_the_depth() -> None:
    model = Model((1, 1, 1, 1))
    told = explore(model.first(), model.after, model.wrong, DEPTH)
    assert told.wrong == "", told.trace
    assert told.depth == DEPTH and told.states > 2_000


def test_the_model_meets_what_it_is_meant_to() -> None:
    """Not vacuous: a leaver's call goes on, ends, and goes to the other."""
    model, met = Model((0, 0, 1, 0)), set[str]()

    def look(state: object) -> str:
        calls = state.calls  # type: ignore[attr-defined]
        met.add(f"under way {calls[0] >= 0} {calls[1] >= 0}")
        return ""

    explore(model.first(), model.after, look, 8)
    assert {"under way False True", "under way True False", "under way False False"} <= met


def test_where_no_ledger_is_found_the_longest_grant_is_waited_out() -> None:
    model, met = Model((0, 0, 0, 1), empty=True), set[tuple[Stage, bool]]()

    def look(state: State) -> str:
        met.add((Stage(state.divider[0]), bool(state.ledger)))
        return model.wrong(state)

    told = explore(model.first(), model.after, look, 9)
    assert told.wrong == "", told.trace
    assert {(Stage.WAITING, False), (Stage.DIVIDING, True), (Stage.READING, True)} <= met


def test_an_old_dividers_late_writing_is_met_and_refused_by_its_token() -> None:
    model, met = Model((0, 0, 0, 1)), set[tuple[bool, bool]]()

    def look(state: State) -> str:
        if state.late:
            met.add((state.late[2] == state.token, carried_out(state, state.late)[0]))
        return ""

    explore(model.first(), model.after, look, 6)
    # One given up by its own divider may still land; one of a divider before never does.
    assert met == {(True, True), (True, False), (False, False)}


@pytest.mark.parametrize(
    ("bug", "faults", "depth", "empty", "life"),
    [
        ("early_regrant", (0, 0, 1, 0), 8, False, 12),
        ("no_fall", (0, 0, 0, 0), 10, False, 12),
        ("no_waiting", (0, 0, 0, 1), 9, False, 12),
        ("no_waiting", (0, 0, 0, 0), 9, True, 12),
        # In whole ticks a life of 12 s ends at the same one with and without the drift.
        ("drift_ignored", (0, 0, 0, 0), 9, False, 16),
    ],
)
def test_a_planted_bug_is_found_with_the_events_that_lead_to_it(
    bug: str,
    faults: tuple[int, int, int, int],
    depth: int,
    empty: bool,
    life: int,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(budget_model, "BUDGET", replace(budget_model.BUDGET, life=life * S))
    with planted(bug):
        model = Model(faults, empty)
        told = explore(model.first(), model.after, model.wrong, depth)
    assert told.wrong and len(told.trace) <= depth, (told.wrong, told.trace)
    model = Model(faults, empty)
    assert explore(model.first(), model.after, model.wrong, len(told.trace)).wrong == ""
