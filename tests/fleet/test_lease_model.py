"""Every state of two holders, a keeper and a resource, to a depth; planted bugs are found there too."""

from __future__ import annotations

from contextlib import nullcontext

import pytest

from standins.checkers.explore import explore
from standins.checkers.lease_model import Model
from standins.fleet.planted import planted

DEPTH = 7  # in CI; benchmarks/leases.py model goes deeper, docs/results.md says how deep
ALL = (1, 1, 1, 1)  # stalls, crashes, leaves, keeper restarts


def test_nothing_is_wrong_in_any_state_to_the_depth() -> None:
    model = Model("", ALL)
    told = explore(model.held(), model.after, model.wrong, DEPTH)
    assert told.wrong == "", told.trace
    assert told.depth == DEPTH and told.states > 10_000


def test_the_model_meets_what_it_is_meant_to() -> None:
    """Not vacuous: a second hold, a doubtful holder, a step on its way under an old token are all reached."""
    model = Model("", (1, 0, 0, 0))
    met = set[str]()

    def look(state: object) -> str:
        holders = state.holders  # type: ignore[attr-defined]
        met.update(f"phase {one.phase}" for one in holders)
        if any(one.step and one.step < state.key_token for one in holders):  # type: ignore[attr-defined]
            met.add("old step on its way")
        return ""

    explore(model.held(), model.after, look, 9)
    assert {"phase 1", "phase 2", "phase 3", "old step on its way"} <= met


BUGS = ["no_fence", "restart_expires", "answer_deadline", "no_drift", "act_doubtful"]


@pytest.mark.parametrize("bug", BUGS)
def test_a_planted_bug_is_found_with_the_events_that_lead_to_it(bug: str) -> None:
    in_holders = bug in ("answer_deadline", "no_drift", "act_doubtful")
    with planted(bug) if in_holders else nullcontext():
        model = Model("" if in_holders else bug, (0, 0, 0, 1))
        told = explore(model.held(), model.after, model.wrong, 9)
    assert told.wrong and 3 <= len(told.trace) <= 9, (told.wrong, told.trace)
    model = Model("", (0, 0, 0, 1))
    assert explore(model.held(), model.after, model.wrong, len(told.trace)).wrong == ""
