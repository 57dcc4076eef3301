"""Errands at the keeper: published, settled, withdrawn, with others at it, killed, unanswered, data lost."""

from __future__ import annotations

from dataclasses import replace
from random import Random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from ringshift.lifecycle.publishing import Outcome
from ringshift.rulebook import errand
from ringshift.rulebook.document import Rulebook, Rules, digest
from ringshift.rulebook.errand import Errand, State
from ringshift.rulebook.picture import ADVICE, picture
from ringshift.rulebook.steps import plan
from ringshift.rulebook.version import PublicationError, check_step
from standins.keeper.store import Store
from tests.rulebook.emulated import TERMS, held
from tests.rulebook.memory_fleet import MemoryFleet, book

S = 1_000_000_000
PLACES = ["before propose", "after propose", "before put_in_force", "after put_in_force"]


class Killed(BaseException):
    pass


def started(*names: str) -> MemoryFleet:
    fleet = MemoryFleet()
    first = fleet.publishing().publish(book("x"), "anna", "first")
    assert first.in_force and first.version is not None and first.version.stamp == (0, 1)
    fleet.join(*names)
    fleet.heard.clear()
    return fleet


def test_every_effect_of_the_table_is_there_and_every_end_is_reached() -> None:
    assert all(callable(getattr(Errand, name)) for _, names in errand.TABLE.values() for name in names)
    reached = {state for state, _ in errand.TABLE.values()}
    assert {one.name for one in errand.ENDS} - reached == {"LATE"}  # by `late`
    assert not {state for state, _ in errand.TABLE} & errand.ENDS


def test_a_publication_passes_its_states_and_all_readers_act_by_it() -> None:
    fleet = started("a", "b")
    outcome = fleet.publishing().publish(book("y", "x"), "anna", "y too")
    assert outcome.done and fleet.states() == ["PROPOSED", "ACKNOWLEDGED", "IN_FORCE"]
    waits = [told["readers"] for kind, told in fleet.heard if kind == "waiting"]
    assert set(waits[0]) == {"a", "b"} and waits[0]["a"] == TERMS.surely_ended
    fleet.wait(0.5)
    fleet.wait(0.5)
    assert all(digest(rules) == digest(book("x", "y").rules()) for rules in fleet.rules())
    told = outcome.told()
    assert told["in_force"]["number"] == "0.2" and told["version"]["author"] == "anna"


def test_a_silent_reader_costs_its_lease_once_and_comes_back() -> None:
    fleet = started("a", "b")
    fleet.silent.add("b")
    publishing, began = fleet.publishing(), fleet.now
    assert publishing.publish(book("y")).in_force
    assert TERMS.surely_ended <= fleet.now - began < TERMS.surely_ended + S
    began = fleet.now
    assert fleet.publishing().publish(book("z")).in_force and fleet.now - began < S  # absent: not waited for
    assert fleet.link().read().absent == {"b"}
    fleet.silent.clear()
    fleet.wait(0.5)
    fleet.wait(0.5)
    assert fleet.link().read().absent == frozenset() and len({digest(one) for one in fleet.rules()}) == 1


def test_a_silent_reader_is_counted_from_when_it_was_read_and_not_from_when_it_was_asked_for() -> None:
    fleet = started("a", "b")
    link, sure = fleet.link(), list[bool]()

    def watch(place: str) -> None:
        fleet.silent.add("b")  # its last confirmation came during the first look
        if place == "before put_in_force":
            sure.append(not fleet.readers["b"].acting(fleet.now))

    link.slow = 2 * S
    assert fleet.publishing(watch, link).publish(book("y")).in_force and sure == [True]


def test_what_a_reader_refuses_is_taken_back_and_its_number_is_never_used_again() -> None:
    fleet = started("a")
    fleet.join("old", check=lambda version: "too new" if version.stamp == (0, 2) else "")
    outcome = fleet.publishing().publish(book("y"))
    assert (outcome.state, outcome.why, outcome.done) == (State.REFUSED, "old: too new", False)
    found = fleet.link().read()
    assert found.told is not None and found.told.proposed is None and found.told.in_force.stamp == (0, 1)
    again = fleet.publishing().publish(book("y"))
    assert again.in_force and again.version is not None and again.version.stamp == (0, 3)


def test_withdrawing_takes_back_a_proposal_or_publishes_the_book_before_anew() -> None:
    fleet = started("a")
    fleet.silent.add("a")
    late = fleet.publishing().publish(book("y"), within=S)
    assert late.state is State.LATE and list(late.waited) == ["a"] and "over" in late.why
    withdrawn = fleet.publishing().withdraw()
    assert withdrawn.done and withdrawn.state is State.WITHDRAWN
    with pytest.raises(PublicationError, match="no version before 0.1"):
        fleet.publishing().withdraw()
    fleet.silent.clear()
    assert fleet.publishing().publish(book("z")).in_force
    undone = fleet.publishing().withdraw("anna", "z was wrong")
    assert undone.in_force and undone.version is not None
    assert (undone.version.stamp, undone.version.book) == ((0, 4), book("x"))
    assert fleet.publishing().settle().done and fleet.publishing().settle().state is State.NOTHING
    empty = MemoryFleet()
    for outcome in (empty.publishing().withdraw(), empty.publishing().settle()):
        assert (outcome.state, outcome.done) == (State.NOTHING, False)


def test_a_withdrawal_whose_reason_is_too_long_is_refused_before_anything_is_written() -> None:
    """Refused by the write, it counted as one that was not answered, and was tried for all of its time."""
    fleet = started("a")
    assert fleet.publishing().publish(book("y")).in_force
    before, began = fleet.link().read(), fleet.now
    fleet.heard.clear()
    with pytest.raises(ValueError, match="reason: 1001 characters, more than 1000"):
        fleet.publishing().withdraw("anna", "x" * 1001)
    assert fleet.link().read().head == before.head and fleet.now == began and fleet.heard == []


@pytest.mark.parametrize("place", PLACES)
def test_of_two_publishers_at_once_exactly_one_lands_and_the_other_is_told(place: str) -> None:
    fleet = started("a", "b")
    others: list[Outcome] = []

    def other(at: str) -> None:
        if at == place and not others:
            others.append(fleet.publishing().publish(book("theirs"), "berta", within=2 * S, base=(0, 1)))

    mine = fleet.publishing(other).publish(book("mine"), "anna", base=(0, 1))
    (theirs,) = others
    assert [mine.in_force, theirs.in_force].count(True) == 1
    lost, won = (theirs, mine) if mine.in_force else (mine, theirs)
    assert lost.state is State.BEATEN and ("0." in lost.why or "another publisher" in lost.why)
    assert lost.stands is not None and lost.stands.told is not None and won.version is not None
    assert won.version in (lost.stands.told.in_force, lost.stands.told.proposed)


@pytest.mark.parametrize("place", PLACES)
@pytest.mark.parametrize("then", ["settle", "withdraw"])
def test_a_publisher_killed_anywhere_leaves_what_another_settles_or_withdraws(place: str, then: str) -> None:
    fleet = started("a")

    def kill(at: str) -> None:
        if at == place:
            raise Killed

    with pytest.raises(Killed):
        fleet.publishing(kill).publish(book("y"), "anna")
    found = fleet.link().read()
    assert found.told is not None
    stood, landed = found.told.proposed is not None, found.told.in_force.stamp == (0, 2)
    assert (stood, landed) == (place in PLACES[1:3], place == PLACES[3])
    if then == "settle":
        outcome = fleet.publishing().settle()
        assert outcome.done and (outcome.version is not None) == stood
    elif stood or landed:
        assert fleet.publishing().withdraw().done
    told = fleet.link().read().told
    assert told is not None and told.proposed is None
    in_force = {"settle": "y" if stood or landed else "x", "withdraw": "x"}[then]
    assert told.in_force.book == book(in_force)


def test_the_withdrawal_by_another_ends_the_publisher_who_would_lead_it_on() -> None:
    fleet = started("a")
    fleet.silent.add("a")
    done: list[Outcome] = []

    def other(at: str) -> None:
        if at == "after propose" and not done:
            done.append(fleet.publishing().withdraw())

    mine = fleet.publishing(other).publish(book("y"))
    assert mine.state is State.WITHDRAWN and not mine.done and mine.why == "0.2 was taken back by another"


def test_whose_number_another_used_and_took_back_meanwhile_was_beaten_and_withdrew_nothing() -> None:
    """Seen in a script: it was told withdrawn, by the number of another's version that had never been its."""
    fleet = started("a")
    fleet.silent.add("a")
    done: list[Outcome] = []

    def other(at: str) -> None:
        if at == "before propose" and not done:
            done.append(fleet.publishing().publish(book("z"), within=S // 10))
            done.append(fleet.publishing().withdraw())

    mine = fleet.publishing(other).publish(book("y"))
    assert done[0].state is State.LATE and done[1].done
    assert mine.state is State.BEATEN and not mine.done
    assert mine.why == "another publisher was first: it used the number 0.2, and took it back"


@pytest.mark.parametrize("fate", ["lost", "unheard"])
@pytest.mark.parametrize("call", range(9))
def test_an_unanswered_call_is_looked_after_and_nothing_is_done_twice(fate: str, call: int) -> None:
    fleet = started("a", "b")
    link = fleet.link()
    link.fates = [""] * call + [fate]
    outcome = fleet.publishing(link=link).publish(book("y"))
    assert outcome.in_force and outcome.version is not None and outcome.version.stamp == (0, 2)
    assert [kept for kept in fleet.link().read().kept] == [(0, 1), (0, 2)]
    dark = fleet.link()
    dark.fates = ["lost"] * 100
    outcome = fleet.publishing(link=dark).publish(book("z"), within=2 * S)
    assert outcome.state is State.LATE and outcome.why == "the keeper did not answer: lost"
    dark.fates = ["lost"] * 100
    assert fleet.publishing(link=dark).withdraw(within=S).state is State.LATE


@pytest.mark.parametrize("fresh", [False, True])
@pytest.mark.parametrize("everything", [False, True])
def test_a_keeper_that_lost_data_is_led_into_an_epoch_above_all_seen(fresh: bool, everything: bool) -> None:
    fleet = started("a", "b")
    publishing = fleet.publishing()
    image = fleet.store.image()
    for entry in ("p", "q"):
        assert publishing.publish(book(entry)).in_force
    for _ in range(3):
        fleet.wait(0.5)
    fleet.store = Store() if everything else Store.from_image(image, 0)
    fleet.wait(0.6)  # the readers say what they saw
    publisher = fleet.publishing() if fresh else publishing
    outcome = publisher.publish(book("new"))
    assert outcome.in_force and outcome.version is not None and outcome.version.stamp > (1, 3)
    for _ in range(4):
        fleet.wait(0.5)
    assert {digest(one) for one in fleet.rules()} == {digest(book("new").rules())}


def test_a_publisher_that_goes_on_knows_what_a_keeper_lost_without_any_reader() -> None:
    fleet = started()
    publishing, image = fleet.publishing(), fleet.store.image()
    assert publishing.publish(book("p")).in_force and publishing.publish(book("q")).in_force
    fleet.store = Store.from_image(image, 0)
    outcome = publishing.settle()
    assert outcome.done and outcome.version is not None
    assert (outcome.version.stamp, outcome.version.book) == ((1, 4), book("q"))
    fleet.store = Store()
    begun = publishing.publish(book("r")).version
    assert begun is not None and begun.stamp == (2, 5)


def test_settle_opens_the_epoch_where_the_keeper_lost_data() -> None:
    fleet = started("a", "b")
    image = fleet.store.image()
    assert fleet.publishing().publish(book("p")).in_force
    for _ in range(3):
        fleet.wait(0.5)
    fleet.store = Store.from_image(image, 0)
    fleet.wait(0.6)
    found = fleet.link().read()
    assert picture(found, found, 0, TERMS).lost
    outcome = fleet.publishing().settle()
    assert outcome.done and outcome.version is not None and outcome.version.stamp == (1, 3)
    assert outcome.version.reason == "the keeper lost data"


def test_a_change_of_alone_is_published_in_steps_and_waits_for_every_reader() -> None:
    fleet = started("a", "b")
    wanted = book("y", alone=Rules(lists=held("x", "w")))
    steps = plan(book("x"), wanted)
    assert [step.by_all for step in steps] == [False, True, False]
    fleet.silent.add("b")
    publishing = fleet.publishing()
    assert publishing.publish(steps[0].book).in_force  # b is absent from here on
    late = publishing.publish(steps[1].book, within=20 * S)
    assert late.state is State.LATE and late.waited == {"b": -1}
    assert fleet.publishing().settle(20 * S).waited == {"b": -1}  # nor does another put it in force
    found = fleet.link().read()
    told = picture(found, found, 0, TERMS)
    assert told.proposed is not None and told.proposed.waited == ("b",) and ADVICE["by_all"] in told.next
    fleet.link().gone("b")
    assert publishing.settle().in_force and publishing.publish(steps[2].book).in_force
    with pytest.raises(PublicationError, match="not announced"):
        publishing.publish(book("y"))


rules = st.builds(Rules, lists=st.sampled_from([[], held("x"), held("y"), held("x", "y")]))
books = st.builds(
    Rulebook,
    lists=st.sampled_from([[], held("p")]),
    alone=rules,
    alone_next=st.none() | rules,
    text=st.sampled_from(["", "t"]),
)


@settings(derandomize=True, deadline=None)
@given(books, books)
def test_from_any_rulebook_a_plan_leads_to_any_other_by_possible_steps(a: Rulebook, b: Rulebook) -> None:
    steps, at = plan(a, b), a
    for step in steps:
        assert check_step(at, step.book) == step.by_all
        at = step.book
    assert digest(at) == digest(b) and len(steps) <= 4


@settings(derandomize=True, deadline=None, max_examples=150)
@given(st.integers(0, 2**32))
def test_random_publishers_in_each_others_way_never_use_a_number_twice(seed: int) -> None:
    chance, fleet = Random(seed), started("a", "b")
    used: dict[tuple[int, int], str] = {}
    said: list[tuple[int, int]] = []

    def seen() -> None:
        told = fleet.link().read().told
        assert told is not None
        for one in (told.in_force, told.proposed):
            if one is not None:
                assert used.setdefault(one.stamp, one.digest) == one.digest
        said.append(told.in_force.stamp)

    def errand_of(depth: int) -> None:
        def meddle(place: str) -> None:
            seen()
            dice = chance.random()
            if dice < 0.1:
                raise Killed
            if dice < 0.4 and depth < 3:
                errand_of(depth + 1)
            if dice > 0.9:
                fleet.silent ^= {chance.choice("ab")}

        link = fleet.link()
        link.fates = chance.choices(["", "lost", "unheard"], [8, 1, 1], k=12)
        publishing, within = fleet.publishing(meddle, link), chance.choice([S, 10 * S])
        try:
            kind = chance.choice(["publish", "publish", "settle", "withdraw"])
            if kind == "publish":
                outcome = publishing.publish(book(str(chance.randrange(1000))), within=within)
            else:
                call = publishing.settle if kind == "settle" else publishing.withdraw
                outcome = call(within=within)
            if outcome.in_force and outcome.version is not None:
                seen()
                assert outcome.version.stamp in said
        except (Killed, PublicationError):
            pass

    for _ in range(4):
        errand_of(0)
    seen()
    assert said == sorted(said)
    fleet.silent.clear()
    assert fleet.publishing().settle().done


def test_the_picture_tells_each_reader_who_is_waited_for_and_what_can_be_done() -> None:
    fleet, link = started("a", "b", "c"), MemoryFleet().link()
    assert picture(link.read(), link.read(), 0, TERMS).next == (ADVICE["nothing"],)
    link = fleet.link()
    started_only = picture(link.read(), link.read(), 0, TERMS)
    assert {(one.standing, one.acts_by) for one in started_only.readers} == {("starting", ())}
    fleet.wait(0.6)
    fleet.silent.update("bc")
    first = link.read()
    base = picture(first, first, 0, TERMS)
    assert base.proposed is None and {one.standing for one in base.readers} == {"confirming"}
    assert fleet.publishing().publish(book("y"), within=0).state is State.LATE
    fleet.silent.discard("c")
    fleet.wait(0.6)
    told = picture(first, link.read(), 2 * S, TERMS)
    by_name = {one.name: one for one in told.readers}
    assert told.proposed is not None and told.proposed.state == "PROPOSED"
    both = (0, 1), told.proposed.version.stamp
    assert (by_name["a"].standing, by_name["a"].acts_by) == ("acknowledged", both)
    assert by_name["b"].silent and by_name["b"].ends == TERMS.surely_ended - 2 * S and by_name["b"].waited
    assert not by_name["c"].silent and told.proposed.waited == ("b",) and ADVICE["waiting"] in told.next
    fleet.join("old", check=lambda version: "too new")
    fleet.wait(0.6)
    held_now = link.read()
    told = picture(held_now, held_now, 0, TERMS)
    assert told.proposed is not None and told.proposed.refused == {"old": "too new"}
    assert told.next[0] == ADVICE["refused"]
    over = picture(first, replace(held_now, absent=frozenset("b")), 10 * S, TERMS)
    assert [one.standing for one in over.readers if one.name == "b"] == ["absent"]
    assert over.proposed is not None and over.proposed.waited == ()
