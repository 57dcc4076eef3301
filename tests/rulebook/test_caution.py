"""An `alone` laxer than its own book's rules: each kind, and that none is missed."""

from __future__ import annotations

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from ringshift.rulebook.caution import OTHERS, REASONS, Lax, lax
from ringshift.rulebook.document import OF, Portion, Quota, Rulebook, Rules, Whole, read
from ringshift.rulebook.meet import Invocation, Judge
from tests.rulebook.test_rules import names, rules

BLOCK = '[[{}lists]]\nof = "places"\neffect = "{}"\nentries = [{}]\n'


@pytest.mark.parametrize(
    ("own", "alone", "found"),
    [
        (("held_back", '"a", "b"'), ("held_back", '"b"'), [Lax("held_back", "places a")]),
        (("held_back", '"a", "b"'), ("let_through", '"c", "a"'), [Lax("held_back", "places a")]),
        (("let_through", '"a"'), ("held_back", '"b"'), [Lax("let_through", f"places: {OTHERS}")]),
        (("let_through", '"a"'), ("let_through", '"a", "b"'), [Lax("let_through", "places b")]),
        (("let_through", '"a"'), ("let_through", ""), []),
        (("held_back", '"a"'), ("held_back", '"a", "b"'), []),
    ],
)
def test_what_alone_serves_that_a_list_refuses_is_found_by_entry(
    own: tuple[str, str],
    alone: tuple[str, str],
    found: list[Lax],
) -> None:
    book = read(BLOCK.format("", *own) + "[alone]\n" + BLOCK.format("alone.", *alone))
    assert lax(book) == found
    assert all(one.reason == REASONS[one.kind] for one in found)


def test_amounts_are_compared_and_what_alone_refuses_outright_needs_none() -> None:
    own = Rules(
        quotas=[Quota("customers", "hostel", 4), Quota("customers", "depot", 4)],
        shares=[Portion("operations", "a", 0.5), Portion("operations", "b", 1)],
        wholes=[Whole("database", 9)],
    )
    book = Rulebook(
        own.lists, own.quotas, own.shares, own.wholes, alone=Rules(quotas=[Quota("customers", "hostel", 5)])
    )
    inf = float("inf")
    assert lax(book) == [
        Lax("quota", "customers depot", inf, 4),
        Lax("quota", "customers hostel", 5, 4),
        Lax("share", "operations a", inf, 0.5),
        Lax("whole", "database", inf, 9),
    ]
    cautious = Rules(
        quotas=[Quota("customers", "hostel", 0), Quota("customers", "depot", 4)],
        shares=[Portion("operations", "a", 0)],
        wholes=[Whole("database", 9)],
    )
    assert lax(Rulebook(own.lists, own.quotas, own.shares, own.wholes, alone=cautious)) == []
    announced = Rulebook(own.lists, own.quotas, own.shares, own.wholes, alone=Rules(), alone_next=cautious)
    assert lax(announced) == []  # a backend alone keeps both


@settings(derandomize=True, deadline=None, max_examples=250)
@given(rules, rules, st.tuples(names, names, names, names), st.floats(0.01, 5), st.floats(0.01, 1))
def test_nothing_is_admitted_alone_and_refused_otherwise_where_none_is_found(
    own: Rules,
    alone: Rules,
    entries: tuple[str, str, str, str],
    rate: float,
    share: float,
) -> None:
    of = list(zip(OF, entries, strict=True))
    used = {("quota", f"{kind} {entry}"): rate for kind, entry in of}
    used |= {("share", f"{kind} {entry}"): share for kind, entry in of} | {("whole", "a"): rate}
    one = Invocation(*entries, used)
    if Judge(alone).admits(one) and Judge(own).refused(one):
        assert lax(Rulebook(own.lists, own.quotas, own.shares, own.wholes, alone=alone))
