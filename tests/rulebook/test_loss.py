"""A keeper that lost data is known by what readers saw, and their word counts for the very book it was on."""

from __future__ import annotations

from dataclasses import replace
from typing import Any

import pytest

from ringshift.rulebook.document import digest
from ringshift.rulebook.errand import State
from ringshift.rulebook.loss import SIGNS, highest, lost_epoch, signs
from ringshift.rulebook.picture import picture
from ringshift.rulebook.reader import Reader
from ringshift.rulebook.version import UNMARKED, Publisher, Row, Told, Version
from standins.checkers.explore import explore
from standins.checkers.rules_model import Model
from standins.checkers.rules_values import Faults
from standins.fleet.planted_rules import BUGS
from standins.keeper.store import Store, restored
from tests.rulebook.emulated import BASE, TERMS
from tests.rulebook.memory_fleet import MemoryFleet, book

FIRST = Version((0, 4), BASE, digest(BASE))
TOLD = Told((0, 30), FIRST, replace(FIRST, stamp=(0, 6), digest="6" * 64))
ROW = Row(3, (0, 6, "6" * 16), (0, 5, "5" * 16), "", (0, 30), (0, 6, "6" * 16), (0, 4))


@pytest.mark.parametrize(
    ("row", "told", "shown"),
    [
        (ROW, TOLD, []),
        (Row(1), TOLD, []),
        (replace(ROW, acked=UNMARKED, high=FIRST.mark), TOLD, []),
        (replace(ROW, seen=(0, 31)), TOLD, ["place"]),
        (replace(ROW, floor=(0, 5)), TOLD, ["floor"]),
        (replace(ROW, high=(0, 7, "7" * 16)), TOLD, ["number"]),
        (replace(ROW, acked=(0, 6, "a" * 16)), TOLD, ["book"]),
        (replace(ROW, refused=(0, 6, "a" * 16)), TOLD, ["book"]),
        (replace(ROW, high=(*FIRST.stamp, "a" * 16)), TOLD, ["book"]),
        (replace(ROW, seen=(1, 2), floor=(1, 7), high=(1, 7, "7" * 16)), TOLD, ["place", "floor", "number"]),
    ],
)
def test_each_sign_of_a_loss_is_one_that_no_delay_can_make(row: Row, told: Told, shown: list[str]) -> None:
    assert signs(told, row, (0, 6)) == shown and set(shown) < set(SIGNS)
    epoch = lost_epoch(told, {"a": ROW, "b": row}, row.seen, (0, 6))
    assert epoch == (None if not shown else max(row.floor[0], row.seen[0]))
    assert highest({"b": row}) == max(row.floor, *(mark[:2] for mark in row.named))


def test_another_keeper_is_a_sign_by_itself_and_what_one_is_about_to_propose_is_none() -> None:
    assert lost_epoch(TOLD, {"a": ROW}, TOLD.place, (0, 6), moved=True) == 0
    publisher = Publisher(TERMS, FIRST, (0, 5), (0, 30))
    publisher.publish(book("mine"))
    # Another was first with the very number: beaten, and no epoch is opened for it.
    publisher.look(0, TOLD, {"a": ROW}, highest=(0, 6))
    assert publisher.play is None and publisher.highest == (0, 6)


def started(*names: str) -> MemoryFleet:
    fleet = MemoryFleet()
    assert fleet.publishing().publish(book("x")).in_force
    fleet.join(*names)
    return fleet


def proposed(fleet: MemoryFleet, entry: str) -> Version:
    """By a process that looks, proposes and is no more."""
    link = fleet.link()
    held = link.read()
    assert held.told is not None
    (effect,) = Publisher.begun(TERMS, held.told, held.highest).publish(book(entry))
    assert link.do(effect, held)
    return effect.version


def put_back(fleet: MemoryFleet, image: dict[str, Any], entry: str) -> tuple[Version, Version]:
    """A first book of a number, taken in by all; the disk put back; another book of that number, before
    any reader was heard of again."""
    first = proposed(fleet, "p")
    fleet.wait(0.6)
    assert all(first in reader.basis for reader in fleet.readers.values())
    fleet.store = Store.from_image(image, 0)
    second = proposed(fleet, entry)
    assert second.stamp == first.stamp and second.digest != first.digest
    return first, second


def test_a_word_on_the_first_book_of_a_number_never_counts_for_the_second() -> None:
    fleet = started("a", "b")
    first, second = put_back(fleet, fleet.store.image(), "q")
    fleet.wait(0.6)  # they confirm, and say what they took in
    rows = fleet.link().read().rows
    assert {row.acked for row in rows.values()} == {first.mark}
    outcome = fleet.publishing().settle()
    assert outcome.done and outcome.version is not None and outcome.version.reason == "the keeper lost data"
    assert outcome.version.stamp > second.stamp and outcome.version.stamp[0] == 1
    for _ in range(3):
        fleet.wait(0.5)
    assert {digest(one) for one in fleet.rules()} == {digest(book("x").rules())}


def test_one_that_took_a_withdrawn_number_in_and_went_on_is_heard_as_well() -> None:
    """It holds the book no more, and would take the second one in; its word of before is on the first."""
    fleet = started("a")
    image = fleet.store.image()
    first = proposed(fleet, "p")
    fleet.wait(0.6)
    assert fleet.publishing().withdraw().state is State.WITHDRAWN
    fleet.wait(0.6)
    assert fleet.link().read().rows["a"].acked == first.mark and len(fleet.readers["a"].basis) == 1
    fleet.silent.add("a")
    fleet.store = Store.from_image(image, 0)
    link, row = fleet.link(), replace(fleet.readers["a"].row, n=99, seen=(0, 0))
    second = proposed(fleet, "q")
    link.confirm("a", row)
    outcome = fleet.publishing().settle(TERMS.refresh)
    held = fleet.link().read()
    assert second.stamp == first.stamp and held.told is not None and held.told.in_force != second, outcome


def test_another_book_in_force_under_a_number_that_a_reader_holds_opens_an_epoch_by_its_word_alone() -> None:
    fleet = started("a", "b")
    image = fleet.store.image()
    assert fleet.publishing().publish(book("p")).in_force
    fleet.wait(0.6)
    fleet.silent = {"a", "b"}
    fleet.store = Store.from_image(image, 0)
    assert fleet.publishing().publish(book("q")).in_force  # both leases were waited for
    for _ in range(6):  # the head's revision is above what they saw of the first keeper
        proposed(fleet, "r")
        assert fleet.publishing().withdraw().done
    assert fleet.publishing().settle().state is State.NOTHING
    fleet.silent = set()
    fleet.wait(0.6)
    assert not any(reader.acting(fleet.now) for reader in fleet.readers.values())  # alone, and answering on
    found = fleet.link().read()
    assert picture(found, found, 0, TERMS).lost
    assert fleet.publishing().settle().done
    for _ in range(3):
        fleet.wait(0.5)
    assert {digest(one) for one in fleet.rules()} == {digest(book("q").rules())}


def test_a_keeper_restored_as_documented_is_known_without_any_reader_and_no_number_is_given_again() -> None:
    fleet = started()
    image = restored(fleet.store.image())
    first = proposed(fleet, "p")
    fleet.store = Store.from_image(image, 0)
    found = fleet.link().read()
    assert found.moved and picture(found, found, 0, TERMS).lost and found.highest < first.stamp
    second = fleet.publishing().publish(book("q")).version
    assert second is not None and second.stamp == (1, 3) and second.stamp > first.stamp
    assert not fleet.link().read().moved
    assert fleet.publishing().settle().state is State.NOTHING


def test_taking_a_proposal_back_at_a_restored_keeper_does_not_hide_the_loss() -> None:
    fleet = started()
    proposed(fleet, "p")
    fleet.store = Store.from_image(restored(fleet.store.image()), 0)
    assert fleet.publishing().withdraw().state is State.WITHDRAWN and fleet.link().read().moved
    assert fleet.publishing().settle().done and not fleet.link().read().moved


def test_a_write_made_of_what_another_keeper_answered_does_not_land_where_the_head_differs() -> None:
    fleet = started()
    image = fleet.store.image()
    proposed(fleet, "p")
    link = fleet.link()
    held = link.read()
    assert held.told is not None and held.told.proposed is not None
    fleet.store = Store.from_image(image, 0)
    while fleet.link().read().head_revision < held.head_revision:  # the same revision, another history
        proposed(fleet, "r")
        fleet.publishing().withdraw()
    publisher = Publisher.begun(TERMS, held.told, held.highest)
    (effect,) = publisher.withdraw()
    assert not link.do(effect, held)


@pytest.mark.parametrize("bug", ["", "number_alone"])
def test_the_model_finds_a_word_that_counts_for_another_book(
    bug: str,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(Version, "mark", Version.mark)  # put back whatever the bug changes
    monkeypatch.setattr(Reader, "high", Reader.high)
    if bug:
        BUGS[bug]()
    model = Model(Faults(publications=2, kills=1, restores=1))
    state = model.led(
        model.first(),
        "keeper copied",
        "tick",
        "publisher 0 publishes a list",
        "reader 0 confirms",
        "reader 1 confirms",
        "keeper restored",
        "publisher 0 is killed",
        "publisher 0 publishes a list",
    )
    told = explore(state, model.after, model.wrong, 4)
    assert ("took in another book" in told.wrong) == bool(bug), (told.wrong, told.trace)
