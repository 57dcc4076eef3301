"""The document, its differences, the meet, a publication's step, the reader's deadline: plain cases."""

from __future__ import annotations

from dataclasses import replace

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from ringshift.machine import Malformed
from ringshift.rulebook import kinds, version
from ringshift.rulebook.bound import MS, ReadingTerms, ReadingTermsError, S, bound
from ringshift.rulebook.document import OF, Listing, Portion, Quota, Rulebook, Rules, Whole, digest, read
from ringshift.rulebook.meet import Invocation, Judge, meet
from ringshift.rulebook.reader import TABLE, News, Reader, State
from ringshift.rulebook.version import Publication, PublicationError, Publisher, Told, Version, check_step
from tests.rulebook.emulated import BASE, FIRST, TERMS, held

GOOD = """text = "winter"
[[lists]]
of = "callers"
effect = "held_back"
entries = ["old-agency"]
[[quotas]]
of = "customers"
entry = "hostel"
most = 20
[alone]
[[alone.lists]]
of = "operations"
effect = "let_through"
entries = ["book"]
"""


def test_a_document_is_read_and_its_digest_does_not_depend_on_order() -> None:
    book = read(GOOD)
    assert book.quotas == [Quota("customers", "hostel", 20.0)] and len(book.alone.lists) == 1
    a, b = (Rulebook(held(*entries), alone=Rules()) for entries in ("ab", "ba"))
    assert digest(a) == digest(b) != digest(book) and len(digest(book)) == 64


@pytest.mark.parametrize(
    ("old", "new", "told"),
    [
        ("most = 20", "most = -1", "line 9: quotas.most: -1.0; from 0"),
        ('["old-agency"]', '["a", "a"]', "line 5: lists.entries: 'a' twice"),
        ('["old-agency"]', '["a", 3]', "line 5: lists.entries: Expected `str`"),
        ("most = 20", "mots = 20", "line 9: "),
        ("[alone]", "[aloof]", "`alone`|aloof"),
        ('"let_through"', '"let_pass"', "line 13: alone.lists.effect"),
        ("most = 20", "most = ", "line 9"),
    ],
)
def test_a_wrong_document_is_refused_with_line_and_field(old: str, new: str, told: str) -> None:
    with pytest.raises(Malformed, match=told.replace("[", r"\[")):
        read(GOOD.replace(old, new), "rules.toml")


def test_each_difference_has_its_kind_and_the_kind_its_verdict() -> None:
    a = Rulebook(held("x"), wholes=[Whole("calls", 10)], text="a", alone=Rules())
    b = Rulebook(held("y"), wholes=[Whole("calls", 12)], text="b", alone=Rules())
    assert [one.kind for one in kinds.differences(a, b)] == [
        "held_back added",
        "held_back removed",
        "whole raised",
        "text changed",
    ]
    raised = Rulebook(held("x"), wholes=[Whole("calls", 12)], alone=Rules())
    assert not kinds.contradict(a, raised) and kinds.contradict(a, raised, summed=True)
    assert kinds.contradict(raised, a) and not kinds.contradict(raised, raised)
    begun = Rulebook([Listing("places", "let_through")], alone=Rules(quotas=[Quota("places", "p", 1)]))
    assert {"let_through begun", "alone changed"} <= {one.kind for one in kinds.differences(a, begun)}


EFFECTS = ["held_back", "let_through"]
names = st.sampled_from(["a", "b", "c"])
some = st.lists(names, unique=True)
rules = st.builds(
    Rules,
    lists=st.lists(
        st.builds(Listing, st.sampled_from(OF), st.sampled_from(EFFECTS), some),
        unique_by=lambda one: (one.of, one.effect),
        max_size=4,
    ),
    quotas=st.lists(
        st.builds(Quota, st.sampled_from(OF[:2]), names, st.integers(0, 4)),
        unique_by=lambda one: (one.of, one.entry),
        max_size=3,
    ),
    shares=st.lists(
        st.builds(Portion, st.just(OF[0]), names, st.sampled_from([0.0, 0.5, 1.0])),
        unique_by=lambda one: one.entry,
        max_size=2,
    ),
    wholes=st.lists(st.builds(Whole, names, st.integers(0, 4)), unique_by=lambda one: one.budget, max_size=2),
)
limits = st.sampled_from([("quota", "callers a"), ("share", "callers a"), ("whole", "a")])
invocations = st.builds(Invocation, names, names, names, names, st.dictionaries(limits, st.floats(0, 5)))


@settings(derandomize=True, deadline=None, max_examples=250)
@given(rules, rules, invocations)
def test_the_meet_admits_exactly_what_both_admit(a: Rules, b: Rules, one: Invocation) -> None:
    assert Judge(meet(a, b)).admits(one) == (Judge(a).admits(one) and Judge(b).admits(one))


def test_every_effect_of_the_tables_is_a_method() -> None:
    for owner, table in ((Publication, version.TABLE), (Reader, TABLE)):
        for _, effects in table.values():
            assert all(callable(getattr(owner, name)) for name in effects)


def test_alone_changes_in_two_steps_only() -> None:
    new = Rules(lists=held("z"))
    with pytest.raises(PublicationError, match="not announced"):
        check_step(BASE, Rulebook(alone=new))
    with pytest.raises(PublicationError, match="together with held_back added"):
        check_step(BASE, Rulebook(held("y"), alone=BASE.alone, alone_next=new))
    announced = Rulebook(alone=BASE.alone, alone_next=new)
    assert check_step(BASE, announced)  # every reader must acknowledge this one
    assert not check_step(announced, Rulebook(alone=new))
    with pytest.raises(PublicationError, match="another"):
        check_step(announced, Rulebook(alone=new, alone_next=BASE.alone))


def test_withdrawing_publishes_the_one_before_under_a_new_number_and_two_in_play_are_the_most() -> None:
    publisher = Publisher(TERMS, FIRST)
    for book in (Rulebook(held("y"), alone=BASE.alone), None):
        publisher.withdraw() if book is None else publisher.publish(book)
        with pytest.raises(PublicationError, match="the most"):
            publisher.publish(BASE)
        assert publisher.play is not None
        (put,) = publisher.look(0, Told((0, 2), publisher.in_force, publisher.play.version), {})
        publisher.landed(True)
        assert publisher.in_force == put.version
    assert publisher.in_force.stamp == (0, 3) and publisher.in_force.digest == FIRST.digest
    assert [one.state.name for one in publisher.past] == ["SUPERSEDED", "WITHDRAWN", "IN_FORCE"]
    for number in range(100):
        publisher.publish(Rulebook(held(str(number)), alone=BASE.alone))
        assert publisher.play is not None
        publisher.look(0, Told((0, 4), publisher.in_force, publisher.play.version), {})
        publisher.landed(True)
    assert len(publisher.past) == version.KEPT + 2 and publisher.in_force.stamp == (0, 103)


def test_the_deadline_counts_from_the_sending_and_a_lower_version_gives_no_time() -> None:
    reader = Reader(TERMS, BASE.alone)
    assert reader.hear(News.TICK, 0) is not None and reader.state is State.STARTING
    second = replace(FIRST, stamp=(0, 2))
    reader.hear(News.ANSWERED, 2 * S, Told((0, 5), second), 1)
    end = TERMS.acting_time
    assert reader.picture().until == end and reader.acting(end - 1) and not reader.acting(end)
    assert reader.hear(News.TICK, 3 * S) is not None
    reader.hear(News.ANSWERED, 3 * S, Told((0, 6), FIRST), 2)  # the keeper lost its data
    reader.hear(News.ANSWERED, 3 * S, Told((0, 6), replace(second, digest="odd")), 2)
    assert reader.picture().until == end
    reader.hear(News.TICK, end)
    assert reader.picture().state == "ALONE" and reader.rules(end) == BASE.alone
    reader.hear(News.ANSWERED, end + MS, Told((0, 6), second), 2)
    assert reader.picture().state == "READING" and reader.rules(end + MS) == BASE.rules()


def test_a_head_start_counts_only_once_confirmed_and_a_refusal_tells_why() -> None:
    kept = Version((0, 7), Rulebook(held("y"), alone=Rules(lists=held("w"))), "d")
    reader = Reader(TERMS, BASE.alone, head_start=kept, check=lambda v: "too new" if v.stamp[1] == 8 else "")
    reader.hear(News.TICK, 0)
    judge = Judge(reader.rules(0))
    assert judge.admits(Invocation("y")) and not judge.admits(Invocation("w"))
    reader.hear(News.ANSWERED, 1, Told((0, 9), FIRST), 1)
    assert not reader.acting(1)  # lower than the one kept
    row = reader.hear(News.ANSWERED, 2, Told((0, 9), kept, replace(kept, stamp=(0, 8))), 1)
    assert row is not None and (row.refused, row.why) == ((0, 8, "d"), "too new") and reader.acting(2)


def test_the_bound_in_figures_and_terms_that_cannot_be_kept() -> None:
    assert bound(8 * S, 500 * MS, 10_000) == 7_494_949_495
    for terms in ({"life": 0}, {"margin": -1}, {"drift_ppm": 500_000}, {"refresh": 4 * S}, {"margin": 8 * S}):
        field = "refresh" if terms.get("margin", 0) > 0 else next(iter(terms))
        with pytest.raises(ReadingTermsError, match=f"^{field}: "):
            ReadingTerms(**terms)


def test_an_answer_that_was_overtaken_does_not_undo_an_acknowledgement() -> None:
    reader = Reader(TERMS, BASE.alone)
    reader.hear(News.TICK, 0)
    reader.hear(News.TICK, 2 * S)  # the first is given up and comes late
    both = (FIRST, replace(FIRST, stamp=(0, 2)))
    reader.hear(News.ANSWERED, 2 * S + 1, Told((0, 3), *both), 2)
    reader.hear(News.ANSWERED, 2 * S + 2, Told((0, 2), FIRST), 1)
    assert reader.basis == both
