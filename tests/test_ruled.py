"""What the decisions make of the fleet's rulebook, and that without one they are as they were."""

from __future__ import annotations

from dataclasses import replace
from random import Random

from hypothesis import given, settings
from hypothesis import strategies as st

from ringshift import interface as face
from ringshift.interface import Clause, Effect, Ruled
from tests.world import MS, World, any_machine, machine, operation

NONE = frozenset[int]()
S = 1000 * MS


def world(*operations: face.Operation, cores: int = 4) -> World:
    return World(machine(*operations, cores=cores), Random(1))


def back(operations: frozenset[int] = NONE, customers: frozenset[int] = NONE,
         callers: frozenset[int] = NONE) -> Ruled:  # fmt: skip
    return Ruled(held_back=(operations, customers, callers))


def comes(played: World, op: int = 0, **other: object) -> face.Arrived:
    plain: dict[str, object] = {"unread": 0, "patience": None, "repeats": None, "caller": 1}
    return played.arrive(op, **(plain | other))


def one(actions: list[face.Action], kind: type, inv: int) -> bool:
    return any(isinstance(action, kind) and getattr(action, "inv", None) == inv for action in actions)


def turned(actions: list[face.Action], inv: int) -> face.Throttle | None:
    return next((a for a in actions if isinstance(a, face.Throttle) and a.inv == inv), None)


@settings(max_examples=40, deadline=None, derandomize=True)
@given(st.integers(0, 2**32))
def test_a_rulebook_that_refuses_nobody_changes_no_action(seed: int) -> None:
    def play(ruled: bool) -> list[list[face.Action]]:
        chance = Random(seed)
        played = World(any_machine(chance), chance)
        if ruled:
            played.controller.decide(played.now, [back(callers=frozenset({99})), Ruled(shed={0: 10})])
        said = []
        for _ in range(60):
            played.now += 20 * MS
            said.append(played.step(played.any_news()))
        return said

    assert play(True) == play(False)


@settings(max_examples=60, deadline=None, derandomize=True)
@given(st.integers(0, 2**32))
def test_the_four_rules_hold_whatever_rulebook_comes_and_goes(seed: int) -> None:
    chance = Random(seed)
    played = World(any_machine(chance), chance)

    def some(most: int) -> frozenset[int] | None:
        if chance.random() < 0.5:
            return None
        return frozenset(chance.sample(range(most), chance.randint(0, most)))

    for _ in range(chance.randint(50, 120)):
        played.now += chance.choice([2, 20, 50]) * MS
        if played.kill and played.now >= played.kill:
            return
        news = [replace(n, lot=chance.randrange(10**6)) if isinstance(n, face.Arrived) else n
                for n in played.any_news()]  # fmt: skip
        if chance.random() < 0.2:
            clause = Clause(some(3), some(2), some(3), chance.choice([0.0, 2.0, 50.0, float("inf")]),
                            chance.choice([0, 300_000, 10**6]))  # fmt: skip
            held_back = some(3) or NONE, some(2) or NONE, some(3) or NONE
            shed = {0: chance.choice([0, 500_000, 10**6])}
            news.append(Ruled(held_back, (some(3), some(2), some(3)), (clause,), shed))
        played.step(news)


def test_who_is_held_back_is_turned_away_for_good_at_once_and_apart_from_overload() -> None:
    others, nothing = Ruled(let_through=(None, None, frozenset({2}))), Ruled(let_through=(NONE, None, None))
    for rules in (back(operations=frozenset({0})), back(callers=frozenset({1})), others, nothing):
        played = world()
        played.step([rules])
        told = turned(played.step([news := comes(played)]), news.inv)
        assert told == face.Throttle(news.inv, 0, True, True), rules
    played = world()
    played.step([back(callers=frozenset({1}))])
    assert one(played.step([news := comes(played, caller=2)]), face.Start, news.inv)


def test_what_was_read_before_is_not_begun_where_the_new_rules_forbid_it_and_what_runs_runs_on() -> None:
    played = world(cores=1)
    first, second = comes(played), comes(played)
    assert one(played.step([first]), face.Start, first.inv)
    while one(played.step([second]), face.Start, second.inv):
        second = comes(played)
    assert played.seen[second.inv].state == "held"
    said = played.step([back(callers=frozenset({1}))])
    assert turned(said, second.inv) == face.Throttle(second.inv, 0, True, True)
    assert turned(said, first.inv) is None and not one(said, face.Halted, first.inv)
    played.step([played.finish(played.seen[first.inv])])
    assert played.seen[first.inv].answered


def test_a_step_of_a_retirement_sheds_no_one_who_was_read_before_it() -> None:
    played = world(cores=1)
    held = comes(played, lot=10)
    while one(played.step([held]), face.Start, held.inv):
        held = comes(played, lot=10)
    assert played.seen[held.inv].state == "held"
    assert turned(played.step([Ruled(shed={0: 500_000})]), held.inv) is None
    below, above = comes(played, lot=499_999), comes(played, lot=500_000)
    said = played.step([below, above])
    assert turned(said, below.inv) == face.Throttle(below.inv, 0, True, True)
    above_told = turned(said, above.inv)
    assert above_told is None or not above_told.ruled


def test_a_keyed_repeat_of_what_ran_gets_its_result_whatever_the_rules_say_by_then() -> None:
    played = world(operation(effect=Effect.TOKENED))
    first = comes(played, lot=5)
    assert one(played.step([first]), face.Start, first.inv)
    played.step([played.finish(played.seen[first.inv])])
    played.step([back(operations=frozenset({0})), Ruled(shed={0: 10**6})])
    again = comes(played, repeats=first.inv, lot=5)
    said = played.step([again])
    assert one(said, face.Reuse, again.inv) and turned(said, again.inv) is None
    fresh = comes(played, lot=5)
    told = turned(played.step([fresh]), fresh.inv)
    assert told is not None and told.ruled


def test_a_share_to_be_served_elsewhere_is_turned_away_with_no_wish_to_give_up() -> None:
    played = world(operation(), operation("other"))
    played.step([Ruled(clauses=(Clause(operations=frozenset({0}), away=300_000),))])
    away = 0
    for _ in range(2000):
        news = comes(played, caller=2)
        told = turned(played.step([news], forward=20 * MS), news.inv)
        if told is not None:
            away += 1
            assert not (told.give_up or told.ruled)
        else:
            played.step([played.finish(played.seen[news.inv])])
    assert 520 < away < 680  # of 2,000, 0.3 of them: five times what chance spreads
    other = comes(played, 1)
    assert turned(played.step([other]), other.inv) is None


def test_a_rate_holds_over_versions_that_keep_it() -> None:
    played = world(operation())
    clause, begun = Clause(callers=frozenset({1}), rate=5.0), 0
    for turn in range(500):
        rules = [Ruled(clauses=(clause,)), Ruled(clauses=(clause, Clause(rate=1000.0)))][turn % 2]
        news = comes(played)
        if one(played.step([rules, news], forward=20 * MS), face.Start, news.inv):
            begun += 1
            played.step([played.finish(played.seen[news.inv])])
    assert 45 <= begun <= 52  # 10 s at 5 a second, taken at every fiftieth second
