"""What the ramp's holder knows after each look is what a whole read tells, whatever became of the keeper."""

from __future__ import annotations

from typing import Any

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from ringshift.retirement.position import Position
from ringshift.retirement.sight import TABLE, Ask, Sight, State, Told, Word
from ringshift.wire.retiring import Kept, Row, held
from standins.keeper.clients import Inside

PREFIX = b"/ringshift/retire/old/"


class Holder:
    """It takes the lease anew with `taken`."""

    def __init__(self, every: int = 60) -> None:
        self.link, self.every, self.n, self.salts = Inside(), every, 0, 0
        self.wholes = list[bool]()  # of each look, whether all was told
        self.image: dict[str, Any] = self.link.store.image()
        self.taken()

    def taken(self) -> None:
        self.salts += 1
        self.sight = Sight[Kept](f"s{self.salts}", self.every)

    def put(self, *names: str) -> None:
        for name in names:
            self.n += 1
            self.link.store.put(0, PREFIX + f"rows/{name}".encode(), msgspec.json.encode(Row(self.n)))

    def looks(self) -> list[bool]:
        """As the program's holder does; each ask of this look, whether it told all."""
        before = len(self.wholes)
        for _ in range(2):
            ask = self.sight.ask()
            told = self.link.look("old", ask)
            self.wholes.append(told.whole)
            self.told = told.keys
            if self.sight.heard(ask, told):
                break
        assert held(self.sight.known) == self.link.read("old")
        return self.wholes[before:]

    def write(self, position: Position | None, gone: tuple[str, ...] = (), answered: bool = True) -> None:
        all_ = self.link.read("old")
        there = tuple(name for name in gone if name in all_.rows)
        assert self.link.write("old", *self.link.seized("old"), all_, position, None, there)
        if answered:
            self.sight.went(f"rows/{name}" for name in there)


def test_each_row_of_the_table() -> None:
    told = Told(9, 3, {"b": (8, 2), "c": (9, 3)}, False)
    effects = {
        "renew": {"b": (8, 2), "c": (9, 3)},
        "join": {"a": (1, 1), "b": (8, 2), "c": (9, 3)},
        "forget": {},
        "drop": {"a": (1, 1)},
        "": {"a": (1, 1), "b": (2, 1)},
    }
    for state in State:
        for word in Word:
            one = Sight[int]("s", state=state, known={"a": (1, 1), "b": (2, 1)})
            one.hear(word, *((told,) if word is not Word.WENT else (None, ["b"])))
            to, effect = TABLE.get((state, word), (state, ""))
            assert (one.state, one.known) == (to, effects[effect])


def test_a_look_is_told_what_changed_since_and_all_at_its_moments() -> None:
    one = Holder(every=4)
    one.put("b1", "b2", "b3")
    assert one.looks() == [True]  # the first
    one.put("b2")
    assert one.looks() == [False] and set(one.told) == {"rows/b2"}
    assert one.looks() == [False]  # nothing changed
    one.write(Position(phase="WARNING"), ("b1",))
    assert one.looks() == [False] and set(held(one.sight.known).rows) == {"b2", "b3"}
    one.link.store.delete(0, PREFIX + b"rows/b2")  # by hand
    assert one.looks() == [False, True]  # and there are fewer than are known
    one.taken()
    assert one.looks() == [True]
    assert [one.looks() for _ in range(5)] == [[False]] * 4 + [[True]]


def test_a_row_that_went_and_one_that_came_are_not_taken_for_one_another() -> None:
    one = Holder()
    one.put("b1", "b2")
    one.looks()
    one.link.store.delete(0, PREFIX + b"rows/b1")
    one.put("b3")
    assert one.looks() == [False, True] and set(held(one.sight.known).rows) == {"b2", "b3"}
    one.link.store.delete(0, PREFIX + b"rows/b3")
    one.put("b3")
    assert one.looks() == [False]


@pytest.mark.parametrize("past", [0, 40])
def test_a_keeper_restored_from_an_older_copy_tells_all(past: int) -> None:
    """Also one whose revisions have risen past the last look's by the next."""
    one = Holder()
    one.put("b1", "b2")
    image = one.link.store.image()
    one.looks()
    one.put("b1", "b2", "b3")
    one.looks()
    one.link.restore(image)
    one.put("b2", "b4")  # as many as before
    one.link.climb(past)
    assert one.looks() == [True] and set(held(one.sight.known).rows) == {"b1", "b2", "b4"}


def test_a_copy_made_after_the_last_look_has_all_that_was_known() -> None:
    one = Holder()
    one.put("b1", "b2")
    one.looks()
    image = one.link.store.image()
    one.put("b1", "b3")
    one.link.restore(image)
    one.put("b2")
    assert one.looks() == [False]


def test_a_look_or_a_write_whose_answer_was_lost_is_not_gone_on_from() -> None:
    one = Holder()
    one.put("b1", "b2")
    one.looks()
    one.put("b1")
    one.link.look("old", one.sight.ask())
    assert one.looks() == [True]
    one.write(Position(phase="WARNING"), ("b1",), answered=False)
    assert one.looks() == [False, True]


def test_a_revision_that_did_not_rise_is_not_believed() -> None:
    one = Sight[int]("s")
    first = one.ask()
    assert one.heard(first, Told(9, 1, {"a": (3, 1)}, True))
    second = one.ask()
    assert second == Ask("s.2", "s.1", 10) and not one.heard(second, Told(9, 1, {}, False))
    assert one.ask() == Ask("s.3")


NAMES = st.sampled_from(["b1", "b2", "b3", "b4"])
STEPS = st.lists(
    st.one_of(
        st.tuples(st.sampled_from(["put", "delete", "gone", "gone unheard"]), NAMES),
        st.tuples(
            st.sampled_from(["look", "look", "look unheard", "state", "copy", "restore", "climb", "taken"]),
            st.just(""),
        ),
    ),
    max_size=40,
)


@settings(derandomize=True, deadline=None, max_examples=300)
@given(STEPS)
def test_after_each_look_it_knows_what_a_whole_read_tells(steps: list[tuple[str, str]]) -> None:
    one, highest = Holder(every=5), 0
    for step, name in steps:
        highest = max(highest, one.link.store.revision)
        match step:
            case "put":
                one.put(name)
            case "delete":
                one.link.store.delete(0, PREFIX + f"rows/{name}".encode())
            case "gone" | "gone unheard":
                one.write(None, (name,), step == "gone")
            case "look":
                one.looks()
            case "look unheard":
                one.link.look("old", one.sight.ask())
            case "state":
                one.n += 1
                one.write(Position(since=one.n))
            case "copy":
                one.image = one.link.store.image()
            case "restore":
                one.link.restore(one.image)
            case "climb":
                one.link.climb(highest)
            case "taken":
                one.taken()
    one.looks()
