"""Every state of two readers and a publisher, to a depth; planted bugs are found there with their way."""

from __future__ import annotations

import pytest

from ringshift.rulebook import version
from ringshift.rulebook.bound import ReadingTerms, bound
from ringshift.rulebook.reader import Reader
from ringshift.rulebook.version import UNMARKED, Row
from standins.checkers.explore import explore
from standins.checkers.rules_model import Model
from standins.checkers.rules_values import B_TICKS, TERMS, TICK, Faults, State, ranked
from standins.fleet.planted_rules import BUGS

DEPTH = 6  # in CI; benchmarks/rulebook.py model goes deeper, docs/results.md says how deep
ALL = Faults(publications=2, withdrawals=1, kills=1, stops=1, crashes=1, doubles=1, restores=1)


@pytest.mark.parametrize(("faults", "depth"), [(Faults(publications=2), DEPTH), (ALL, DEPTH - 2)])
def test_nothing_is_wrong_in_any_state_to_the_depth(faults: Faults, depth: int) -> None:
    model = Model(faults, publishers=2)
    told = explore(model.proposed(), model.after, model.wrong, depth)
    assert told.wrong == "", told.trace
    assert told.depth == depth and told.states > 2_000


def test_after_a_loss_of_data_two_contradict_and_never_for_longer_than_b() -> None:
    faults = Faults(publications=2, kills=1, crashes=1, restores=1)
    model = Model(faults)
    told = explore(model.lost(), model.after, model.wrong, DEPTH - 1)
    assert told.wrong == "" and told.states > 2_000, told.trace
    model = Model(faults, allowed=B_TICKS - 1)
    told = explore(model.lost(), model.after, model.wrong, DEPTH - 1)
    assert told.wrong and "tick 3,3,3,5" in told.trace


def test_the_ticks_of_the_model_are_the_edges_of_its_terms() -> None:
    assert bound(TERMS.life, TERMS.margin, TERMS.drift_ppm) == B_TICKS * TICK
    assert TERMS.acting_time == B_TICKS * 3 * TICK // 4 and TERMS.surely_ended == B_TICKS * 5 * TICK // 4


def test_the_model_meets_what_it_is_meant_to() -> None:
    """Not vacuous: in force without a silent reader, one alone, a refusal, an absent one, a loss of data."""
    met = set[str]()

    def look(state: State) -> str:
        met.update(f"state {slot.reader[0]}" for slot in state.slots if slot.reader)
        met.update("absent" for slot in state.slots if slot.absent)
        met.update("refused" for slot in state.slots if slot.row and slot.row[2] > UNMARKED)
        met.add(f"in force {state.head.in_force[:2]}, lost {state.lost >= 0}")
        return ""

    for faults in (Faults(), Faults(restores=1)):
        model = Model(faults)
        explore(model.proposed(), model.after, look, 6)
    model = Model(Faults(publications=1), odd=True)
    explore(model.first(), model.after, look, 5)
    assert {
        "state 2",
        "state 3",
        "state 4",
        "absent",
        "refused",
        "in force (0, 2), lost False",
        "in force (0, 1), lost True",
    } <= met


@pytest.mark.parametrize(
    ("bug", "faults", "depth"),
    [
        ("answer_deadline", Faults(publications=1), 6),
        ("no_waiting", Faults(publications=1), 6),
        ("alone_at_once", Faults(publications=1), 8),
        ("no_compare", Faults(publications=1, withdrawals=1), 7),
    ],
)
def test_a_planted_bug_is_found_with_the_events_that_lead_to_it(
    bug: str,
    faults: Faults,
    depth: int,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    right = Model(faults)
    first = right.first() if bug == "alone_at_once" else right.proposed()
    with monkeypatch.context() as patch:
        patch.setattr(Reader, "end_of", Reader.end_of)  # put back whatever the bug changes
        patch.setattr(ReadingTerms, "surely_ended", ReadingTerms.surely_ended)
        patch.setattr(version, "check_step", version.check_step)
        if bug != "no_compare":
            BUGS[bug]()
        model = Model(faults, plant=bug)
        told = explore(first, model.after, model.wrong, depth)
    assert told.wrong and 2 <= len(told.trace) <= depth, (told.wrong, told.trace)
    state = first
    for event in told.trace:  # the same way without the bug, as far as there is one
        state = dict(right.after(state)).get(event, state)
        assert right.wrong(state) == ""


TWICE = """tick
reader 0 confirmation 2 arrives, and will again
publisher 0 looks
tick
reader 0 confirms
reader 0 confirmation 1 arrives
publisher 0 publishes a list 1, propose written
reader 1 confirms
reader 1 confirms
tick
publisher 0 looks
reader 1 confirms"""


@pytest.mark.parametrize("bug", ["", "number_alone"])
def test_a_confirmation_that_comes_again_after_a_newer_one_is_not_taken_for_the_one_read_before(
    bug: str,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Found by the model: the row has the number that the publisher read a lease ago, and yet a newer
    confirmation was answered in between."""
    if bug:
        monkeypatch.setattr(Row, "mark", property(lambda self: (self.n, 0)))
    ranked.cache_clear()
    model = Model(Faults(publications=1, doubles=1))
    state = model.led(model.first(), *TWICE.splitlines())  # numbered by rank: the first 2 is a 1 by then
    ranked.cache_clear()
    assert ("two act by version" in model.wrong(state)) == bool(bug)
