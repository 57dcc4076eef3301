"""What a backend holds of a decision: fetched where it is another, and none stale kept as current."""

from __future__ import annotations

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from ringshift.retirement.holding import TABLE, Holding, State, Word
from ringshift.retirement.position import Position, digest
from ringshift.retirement.shed import Decided
from ringshift.wire.retiring import Row
from standins.keeper.clients import Inside


def position(edition: int, *callers: int, phase: str = "HOLDING") -> Position:
    return Position(Decided(edition, 99, 1, 200_000, 0, frozenset(callers)), phase)


def led(link: Inside, *positions: Position, heads: bool = True) -> None:
    """Written as the ramp's holder does; `heads` False: as an older program's does."""
    for one in positions:
        if heads:
            assert link.write("old", *link.seized("old"), link.read("old"), one)
        else:
            link.store.put(0, b"/ringshift/retire/old/state", msgspec.json.encode(one))


class Backend:
    def __init__(self, link: Inside) -> None:
        self.link, self.holding, self.n, self.created = link, Holding(), 0, 0

    def looks(self) -> tuple[Position | None, bool]:
        """What it holds then, and whether it was fetched."""
        self.n, calls = self.n + 1, self.link.calls
        answer = self.link.put("old", "b1.1", Row(self.n), self.created, self.holding)
        self.created = answer.created
        return answer.position, self.link.calls - calls == 2


def test_each_row_of_the_table() -> None:
    for state in State:
        for word in Word:
            one = Holding(state, position(3), digest(position(3)))
            one.hear(word, position(4))
            to, effect = TABLE.get((state, word), (state, ""))
            kept = {"take": position(4), "drop": None}.get(effect, position(3))
            assert (one.state, one.position, one.digest) == (to, kept, digest(kept))


def test_a_decision_is_fetched_once_and_a_phase_fetches_nothing() -> None:
    link = Inside()
    one = Backend(link)
    assert one.looks() == (None, False)
    led(link, position(3, 5, 7))
    assert one.looks() == (position(3, 5, 7), True)
    assert [one.looks() for _ in range(2)] == [(position(3, 5, 7), False)] * 2
    led(link, position(3, 5, 7, phase="PAUSED"))  # known to be the same decision
    assert one.looks() == (position(3, 5, 7), False)
    led(link, position(4, 5, 7, 8))
    assert one.looks() == (position(4, 5, 7, 8), True)
    led(link, msgspec.structs.replace(position(4, 5, 7, 8), kept=frozenset((9,))))
    found, fetched = one.looks()
    assert fetched and found is not None and found.kept == {9}
    link.store.delete(0, b"/ringshift/retire/old/state")
    assert one.looks() == (None, False) and one.looks() == (None, False)


def test_the_order_in_which_callers_came_makes_no_other_decision() -> None:
    up, down = frozenset((0, 8, 16)), frozenset((16, 8, 0))
    assert list(up) != list(down)
    assert digest(position(3, *up)) == digest(position(3, *down)) != digest(position(4, *up))


def test_a_keeper_restored_that_reaches_the_same_revision_is_not_taken_for_the_one_held() -> None:
    """Revision for revision, edition for edition the same, and another decision."""
    link = Inside()
    one = Backend(link)
    led(link, position(3, 5))
    image, revisions = link.store.image(), list[list[tuple[int, int]]]()
    for caller in (6, 8):
        link.restore(image)
        link.climb(40)
        led(link, position(4, 5, caller))
        places = "/ringshift/retire/old/state", "/ringshift/retire-heads/old"
        kvs = [link.store.kvs[place.encode()] for place in places]
        revisions.append([(kv.create_revision, kv.mod_revision) for kv in kvs])
        assert one.looks() == (position(4, 5, caller), True)
    assert revisions[0] == revisions[1]
    link.restore(image)  # its revisions fell
    assert one.looks() == (position(3, 5), True)  # below the one acted by: follow.py says what becomes of it


def test_of_a_holder_that_writes_no_heads_all_is_fetched_each_time() -> None:
    link = Inside()
    one = Backend(link)
    led(link, position(3, 5), heads=False)
    assert [one.looks() for _ in range(2)] == [(position(3, 5), True)] * 2
    led(link, position(4, 5))
    assert [one.looks() for _ in range(2)] == [(position(4, 5), True), (position(4, 5), False)]
    led(link, position(5, 6), heads=False)  # the head there is of the state before
    assert [one.looks() for _ in range(2)] == [(position(5, 6), True)] * 2
    link.store.put(0, b"/ringshift/retire-heads/old", b"{")
    assert one.looks() == (position(5, 6), True)


def test_a_fetch_that_went_lost_is_made_again(monkeypatch: pytest.MonkeyPatch) -> None:
    link = Inside()
    one = Backend(link)
    led(link, position(3, 5))
    one.looks()
    led(link, position(4, 6))

    def unanswered(name: str) -> Position:
        raise ConnectionError("no answer")

    with monkeypatch.context() as lost:
        lost.setattr(link, "position", unanswered)
        with pytest.raises(ConnectionError):
            one.looks()
    assert one.looks() == (position(4, 6), True)


STEPS = st.lists(
    st.sampled_from(["look", "decide", "pause", "older", "copy", "restore", "clear"]), max_size=30
)


@settings(derandomize=True, deadline=None, max_examples=100)
@given(STEPS)
def test_after_each_look_it_holds_what_the_keeper_has(steps: list[str]) -> None:
    link, edition, image = Inside(), 0, Inside().store.image()
    one = Backend(link)
    for number, step in enumerate(steps):
        if step in ("decide", "older"):
            edition += 1
            led(link, position(edition % 4, number % 3), heads=step == "decide")
        elif step == "pause" and (there := link.position("old")) is not None:
            led(link, msgspec.structs.replace(there, phase="PAUSED"))
        elif step == "copy":
            image = link.store.image()
        elif step == "restore":
            link.restore(image)
        elif step == "clear":
            link.store.delete(0, b"/ringshift/retire/old/state")
        held, there = one.looks()[0], link.position("old")
        assert (held is None) == (there is None)
        if held is not None and there is not None:
            assert (held.decided, held.kept) == (there.decided, there.kept)
