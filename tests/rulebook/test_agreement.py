"""One publisher and three readers: no two act on contradicting rules for longer than B."""

from __future__ import annotations

from dataclasses import replace

from hypothesis import given, settings
from hypothesis import strategies as st

from ringshift.rulebook.bound import S
from ringshift.rulebook.reader import News
from ringshift.rulebook.version import Row, State
from standins.fleet.emulated_rules import B, Keeper, world

RUNS = settings(derandomize=True, deadline=None, max_examples=60)


@RUNS
@given(st.integers(0, 2**32))
def test_by_the_meet_no_two_contradict_at_any_instant(seed: int) -> None:
    run = world(seed)
    for _ in range(120):
        run.step()
        assert run.worst == 0 and not run.miscounted
    assert run.keeper.highest[0] == 0  # nothing was lost, and nobody took anything for it


@settings(RUNS, max_examples=40)
@given(st.integers(0, 2**32))
def test_a_keeper_restored_from_an_older_copy_costs_at_most_b_and_agreement_comes_back(seed: int) -> None:
    run = world(seed)
    copy = run.keeper
    for step in range(100):
        if step == 15:
            copy = run.keeper.copied()
        if step == 45:
            run.keeper = copy.copied()
            run.queue.clear()
        run.step()
        assert run.worst <= B and not run.miscounted, run.miscounted
    run.calm = True
    for _ in range(40):
        run.step(faults=False)
    assert all(one.acting(run.clock(name)) for name, one in run.readers.items())


def test_the_runs_do_switch() -> None:
    run = world(3)
    for _ in range(1000):
        run.step()
    assert run.switches > 10


def test_a_restored_keeper_is_refused_until_a_new_epoch_is_above_all_seen() -> None:
    run = world(1, "ab")
    empty = Keeper()
    while run.publisher.in_force.stamp < (0, 3) or run.publisher.play:
        run.step(faults=False)
    run.keeper = Keeper(empty.told)
    floor = {name: one.basis[0].stamp for name, one in run.readers.items()}
    for _ in range(80):
        run.step(faults=False)
        assert all(one.basis[0].stamp >= floor[name] for name, one in run.readers.items())
    assert run.publisher.in_force.stamp[0] == 1 and run.publisher.in_force.stamp[1] > 3


def test_a_silent_reader_is_waited_for_and_one_that_confirmed_meanwhile_breaks_the_compare() -> None:
    run = world(2, "ab")
    for name in run.readers:
        run.answer(name, replace(run.readers[name].row, n=1))
    run.publisher.look(0, run.keeper.told, run.keeper.rows)
    run.effects(run.publisher.publish(run.publisher.in_force.book))
    assert run.publisher.play is not None
    mark = run.publisher.play.version.mark
    run.keeper.rows["a"] = replace(run.keeper.rows["a"], n=2, acked=mark)
    wait = run.publisher.terms.surely_ended
    assert run.publisher.look(wait - 1, run.keeper.told, run.keeper.rows) == []
    seen = run.keeper.held()
    (put,) = run.publisher.look(wait, run.keeper.told, run.keeper.rows)
    assert put.kind == "put_in_force" and put.ended == {"b": 1} and put.known == {"a", "b"}
    run.keeper.rows["b"] = replace(run.keeper.rows["b"], n=2)
    assert not run.keeper.do(put, seen)
    run.publisher.landed(False)
    assert run.publisher.play.state is State.PROPOSED
    assert run.publisher.look(wait + 1, run.keeper.told, run.keeper.rows) == []
    assert run.readers["a"].hear(News.TICK, 5 * S) is not None


def test_a_row_put_again_under_an_old_number_is_a_new_confirmation() -> None:
    """It comes twice, and a newer one came in between that was answered: its lease is not the old one's."""
    run = world(2, "a")
    publisher, wait = run.publisher, run.publisher.terms.surely_ended
    publisher.look(0, run.keeper.told, {"a": Row(5, put=10)})
    run.effects(publisher.publish(publisher.in_force.book))
    assert publisher.look(wait, run.keeper.told, {"a": Row(5, put=12)}) == []
    assert publisher.look(2 * wait - 1, run.keeper.told, {"a": Row(5, put=12)}) == []
    (put,) = publisher.look(2 * wait, run.keeper.told, {"a": Row(5, put=12)})
    assert put.ended == {"a": 5}
