"""What the decisions make of the fleet's rulebook, and that without one they are as they were."""

from __future__ import annotations

from dataclasses import replace
from random import Random

from hypothesis import given, settings
from hypothesis import strategies as st

from ringshift import interface as face
from ringshift.control.invocation import Inv
from ringshift.interface import Clause, Effect, Ruled
from ringshift.rulebook.document import Portion, Quota, Rules
from ringshift.rulebook.indices import Names, found, ruled
from tests.simulation import MS, SimulatedServer, any_machine, machine, operation

NONE = frozenset[int]()
S = 1000 * MS


def server(*operations: face.Operation, cores: int = 4) -> SimulatedServer:
    return SimulatedServer(machine(*operations, cores=cores), Random(1))


def back(
    operations: frozenset[int] = NONE, customers: frozenset[int] = NONE, callers: frozenset[int] = NONE
) -> Ruled:
    return Ruled(held_back=(operations, customers, callers))


def comes(played: SimulatedServer, op: int = 0, **other: object) -> face.Arrived:
    plain: dict[str, object] = {"unread": 0, "patience": None, "repeats": None, "caller": 1}
    return played.arrive(op, **(plain | other))


def one(actions: list[face.Action], kind: type, inv: int) -> bool:
    return any(isinstance(action, kind) and getattr(action, "inv", None) == inv for action in actions)


def turned(actions: list[face.Action], inv: int) -> face.Throttle | None:
    return next((a for a in actions if isinstance(a, face.Throttle) and a.inv == inv), None)


@settings(max_examples=40, deadline=None, derandomize=True)
@given(st.integers(0, 2**32))
def test_a_rulebook_that_refuses_nobody_changes_no_action(seed: int) -> None:
    def play(under_rules: bool) -> list[list[face.Action]]:
        chance = Random(seed)
        played = SimulatedServer(any_machine(chance), chance)
        if under_rules:
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
    played = SimulatedServer(any_machine(chance), chance)

    def some(most: int) -> frozenset[int] | None:
        if chance.random() < 0.5:
            return None
        return frozenset(chance.sample(range(most), chance.randint(0, most)))

    for _ in range(chance.randint(50, 120)):
        played.now += chance.choice([2, 20, 50]) * MS
        if played.kill and played.now >= played.kill:
            return
        news = [
            replace(n, lot=chance.randrange(10**6)) if isinstance(n, face.Arrived) else n
            for n in played.any_news()
        ]
        if chance.random() < 0.2:
            clause = Clause(
                some(3),
                some(2),
                some(3),
                chance.choice([0.0, 2.0, 50.0, float("inf")]),
                chance.choice([0, 300_000, 10**6]),
            )
            held_back = some(3) or NONE, some(2) or NONE, some(3) or NONE
            shed = {0: chance.choice([0, 500_000, 10**6])}
            news.append(Ruled(held_back, (some(3), some(2), some(3)), found((clause,)), shed))
        played.step(news)


def test_who_is_held_back_is_turned_away_for_good_at_once_and_apart_from_overload() -> None:
    others, nothing = Ruled(let_through=(None, None, frozenset({2}))), Ruled(let_through=(NONE, None, None))
    for rules in (back(operations=frozenset({0})), back(callers=frozenset({1})), others, nothing):
        played = server()
        played.step([rules])
        told = turned(played.step([news := comes(played)]), news.inv)
        assert told == face.Throttle(news.inv, 0, True, True, True), rules
    played = server()
    played.step([back(callers=frozenset({1}))])
    assert one(played.step([news := comes(played, caller=2)]), face.Start, news.inv)


def test_what_was_read_before_is_not_begun_where_the_new_rules_forbid_it_and_what_runs_runs_on() -> None:
    played = server(cores=1)
    first, second = comes(played), comes(played)
    assert one(played.step([first]), face.Start, first.inv)
    while one(played.step([second]), face.Start, second.inv):
        second = comes(played)
    assert played.seen[second.inv].state == "held"
    said = played.step([back(callers=frozenset({1}))])
    assert turned(said, second.inv) == face.Throttle(second.inv, 0, True, True, True)
    assert turned(said, first.inv) is None and not one(said, face.Halted, first.inv)
    played.step([played.finish(played.seen[first.inv])])
    assert played.seen[first.inv].answered


def test_a_step_of_a_retirement_sheds_no_one_who_was_read_before_it() -> None:
    played = server(cores=1)
    held = comes(played, lot=10)
    while one(played.step([held]), face.Start, held.inv):
        held = comes(played, lot=10)
    assert played.seen[held.inv].state == "held"
    assert turned(played.step([Ruled(shed={0: 500_000})]), held.inv) is None
    below, above = comes(played, lot=499_999), comes(played, lot=500_000)
    said = played.step([below, above])
    assert turned(said, below.inv) == face.Throttle(below.inv, 0, True, True, True)
    above_told = turned(said, above.inv)
    assert above_told is None or not above_told.ruled


def test_a_keyed_repeat_of_what_ran_gets_its_result_whatever_the_rules_say_by_then() -> None:
    played = server(operation(effect=Effect.TOKENED))
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
    played = server(operation(), operation("other"))
    played.step([Ruled(clauses=found([Clause(operations=frozenset({0}), away=300_000)]))])
    away = 0
    for _ in range(2000):
        news = comes(played, caller=2)
        told = turned(played.step([news], forward=20 * MS), news.inv)
        if told is not None:
            away += 1
            assert told.ruled and not (told.give_up or told.final)
        else:
            played.step([played.finish(played.seen[news.inv])])
    assert 520 < away < 680  # of 2,000, 0.3 of them: five times what chance spreads
    other = comes(played, 1)
    assert turned(played.step([other]), other.inv) is None


def test_a_rate_holds_over_versions_that_keep_it() -> None:
    played = server(operation())
    clause, begun = Clause(callers=frozenset({1}), rate=5.0), 0
    for turn in range(500):
        rules = Ruled(clauses=found([clause, Clause(rate=1000.0)][: 1 + turn % 2]))
        news = comes(played)
        if one(played.step([rules, news], forward=20 * MS), face.Start, news.inv):
            begun += 1
            played.step([played.finish(played.seen[news.inv])])
    assert 45 <= begun <= 52  # 10 s at 5 a second, taken at every fiftieth second


def shut(*operations: face.Operation) -> SimulatedServer:
    """One core, and a line so long that whoever comes with a low rank is turned away for overload."""
    played = server(*(operations or (operation(),)), cores=1)
    for _ in range(40):
        played.step([comes(played, rank=1.0, caller=7) for _ in range(4)], forward=20 * MS)
    told = turned(played.step([news := comes(played, rank=0.0, caller=7)]), news.inv)
    assert told is not None and not (told.ruled or told.final) and played.controller.open < 0.9
    return played


def test_retirement_comes_before_overload_and_whom_it_does_not_draw_the_door_alone_judges() -> None:
    played = shut()
    played.step([Ruled(shed={0: 500_000})])
    for rank in (0.0, 1.0):
        told = turned(played.step([drawn := comes(played, rank=rank, lot=499_999)]), drawn.inv)
        assert told == face.Throttle(drawn.inv, 0, True, True, True)  # no pause either: it is never to return
    for lot in (500_000, -1):
        told = turned(played.step([other := comes(played, rank=0.0, lot=lot)]), other.inv)
        assert told is not None and not (told.ruled or told.final)


def test_a_keyed_repeat_of_one_served_before_the_end_gets_its_result_with_the_door_shut() -> None:
    played = shut(operation(effect=Effect.TOKENED))
    ran = next(s for s in played.seen.values() if s.state == "running")
    played.step([played.finish(ran), Ruled(shed={0: 10**6})])
    again = comes(played, rank=0.0, repeats=ran.news.inv, lot=0)
    said = played.step([again])
    assert one(said, face.Reuse, again.inv) and turned(said, again.inv) is None


def test_what_any_clause_turns_away_is_told_as_ruled_and_not_as_final_with_the_door_shut_as_well() -> None:
    drain, quota = Clause(away=10**6), Clause(callers=frozenset({1}), rate=0.0)
    for clause, played in ((drain, server()), (quota, server()), (drain, shut())):
        played.step([Ruled(clauses=found([clause]))])
        told = turned(played.step([news := comes(played)]), news.inv)
        assert told is not None and told.ruled and not told.final
    told = turned(played.step([Ruled(), news := comes(played, rank=0.0)]), news.inv)
    assert told is not None and not told.ruled  # as soon as nothing is drained it is overload again


@settings(max_examples=30, deadline=None, derandomize=True)
@given(st.integers(0, 2**32))
def test_what_is_looked_up_is_what_a_walk_of_all_clauses_finds(seed: int) -> None:
    chance = Random(seed)

    def some(most: int) -> frozenset[int] | None:
        return None if chance.random() < 0.5 else frozenset(chance.sample(range(most), chance.randint(1, 3)))

    ones = [Clause(some(3), some(6), some(20), chance.choice([1.0, 5.0]), n) for n in range(30)]
    at = [found(ones[:20]), found(ones[20:])]
    played = SimulatedServer(
        machine(
            operation(),
            operation("b"),
            operation("c"),
            customers=(*(face.Customer(f"c{n}", 5.0) for n in range(6)),),
        ),
        Random(1),
    )
    played.step([Ruled(clauses=(*at[0], *at[1]))])
    for _ in range(20):
        news = played.arrive(chance.randrange(3), caller=chance.randrange(20))
        inv = Inv(news, played.controller.lines[news.operation], played.now)
        bearing = played.controller.bearing(inv)
        assert sorted(c.away for c in bearing) == [c.away for c in ones if c.concerns(inv.who)]


def test_a_look_up_walks_few_clauses_however_many_quotas_there_are() -> None:
    names = Names(
        tuple("abcd"), tuple(f"c{n}" for n in range(10_000)), "north", capacity=dict.fromkeys(range(4), 9.0)
    )
    quotas = [Quota("customers", one, 5.0) for one in names.customers] + [Quota("places", "north", 5.0)]
    quotas += [Quota("callers", str(n), 5.0) for n in range(10_000)]
    shares = [Portion("customers", one, 0.5) for one in names.customers[:100]]
    (index,) = ruled(Rules(quotas=quotas, shares=shares), names).clauses
    walked = [max(len(ones) for (kind, _), ones in index.items() if kind == one) for one in (1, 2, 3)]
    assert walked == [1 + 4, 1, 1]  # a customer's share is one for each operation


def test_a_quota_on_its_ramp_holds_though_its_rate_is_told_anew_at_each_step() -> None:
    played, begun = server(operation()), 0
    for turn in range(500):
        clause = Clause(rate=5.0 + (500 - turn) / 1e6)
        news = comes(played)
        if one(played.step([Ruled(clauses=found([clause])), news], forward=20 * MS), face.Start, news.inv):
            begun += 1
            played.step([played.finish(played.seen[news.inv])])
    assert 45 <= begun <= 52


def test_a_caller_beyond_its_quota_takes_nothing_of_what_it_shares_with_others() -> None:
    played, begun = server(operation()), 0
    clauses = found([Clause(rate=20.0), Clause(callers=frozenset({1}), rate=1.0)])
    played.step([Ruled(clauses=clauses)])
    for _ in range(250):
        other = comes(played, caller=2)
        said = played.step([*(comes(played) for _ in range(8)), other], forward=20 * MS)
        for news in [n for n in played.of("running")]:
            begun += news.news.caller == 2
            said += played.step([played.finish(news)])
    assert begun > 85  # 5 s at 20 a second, less the few that caller 1 may
