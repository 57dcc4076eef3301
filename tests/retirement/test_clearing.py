"""A withdrawn retirement's keys go once nobody can act by it; whoever did all the same does no harm."""

from __future__ import annotations

import time
from pathlib import Path

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from ringshift.fleet.lease import LeaseTerms
from ringshift.lifecycle.holder import OwnClock
from ringshift.lifecycle.ramping import Ramps
from ringshift.retirement.clearing import (
    AGAIN_AFTER,
    KEPT_FOR,
    Agreed,
    Finding,
    begun,
    clears,
    highest,
    judge,
    left,
    wanted,
    written,
)
from ringshift.retirement.figures import Figures
from ringshift.retirement.position import Head, Position, head_of
from ringshift.retirement.shed import Decided, key, lot
from ringshift.retirement.warn import Counted
from ringshift.rulebook.document import Rulebook, Rules, digest
from ringshift.rulebook.version import Stamp, Version
from ringshift.wire.keeper import b64
from ringshift.wire.retiring import Held, RetireLink, Word
from ringshift.wire.rules import RulesLink
from standins.fleet.emulated_clearing import DAY, Fleet
from tests.retirement.builders import ANNOUNCED, FIRST, LINE, S
from tests.retirement.processes import LONG, Keeper

NAME, ONE, TWO, AWAY = LINE.name, "r1.1.a", "r2.2.b", "r3.3.c"
GONE = Position(phase="WITHDRAWN", since=0)
LOW = frozenset(one for one in range(50) if lot(key(LINE), one) < 200_000)  # 50 to 59 are never warned


def found(
    position: Position = GONE,
    rows: dict[str, Figures] | None = None,
    now: int = KEPT_FOR,
    floor: Stamp = (0, 3),
    **of: object,
) -> str:
    told = {"in_force": (0, 3), "floors": {ONE: (0, 3), TWO: floor}, **of}
    return judge(NAME, Agreed(**told), position, rows or {}, now).name  # type: ignore[arg-type]


def test_each_finding() -> None:
    owing, kept = Figures(owed=frozenset((4,))), Position(phase="WITHDRAWN", kept=frozenset((4,)))
    assert [
        found(in_force=None),
        found(names=frozenset((NAME,))),
        found(Position(phase="ENDED")),
        found(now=KEPT_FOR - 1),
        found(rows={f"{ONE}.2": owing}),
        found(floor=(0, 2)),
        found(),
    ] == [one.name for one in Finding]
    assert highest(0, GONE, {}) == 0 and begun(0, 5) == Position() and begun(7, 5).decided.edition == 8
    assert highest(3, GONE, {ONE: Figures(9)}) == 9 == highest(9, Position(Decided(8)), {ONE: Figures(3)})
    assert found(kept, {f"{ONE}.2": owing}) == found(rows={"r9.9.a.1": owing}) == "CLEAR"
    assert found(floor=(1, 0)) == found(names=frozenset(("other",))) == "CLEAR"


VERSIONS = st.tuples(st.integers(0, 1), st.integers(0, 4))


@settings(derandomize=True, deadline=None)
@given(
    st.dictionaries(st.sampled_from("abcd"), VERSIONS),
    VERSIONS,
    st.integers(0, 2 * KEPT_FOR),
    st.booleans(),
    st.sampled_from(["WITHDRAWN", "ENDED"]),
)
def test_clear_only_with_all_readers_at_the_version_in_force(
    floors: dict[str, Stamp],
    in_force: Stamp,
    now: int,
    named: bool,
    phase: str,
) -> None:
    one = Agreed(in_force, frozenset((NAME,)) if named else frozenset(), floors)
    clear = judge(NAME, one, Position(phase=phase), {}, now) is Finding.CLEAR
    alone = not named and phase == "WITHDRAWN" and now >= KEPT_FOR
    assert clear == (alone and min([in_force, *floors.values()]) == in_force)


def test_what_is_to_be_led_out() -> None:
    old = Head("", "WITHDRAWN", 0)
    heads = {
        "fresh": Head("", "WITHDRAWN", 9),
        "old": old,
        "left": Head("", "HOLDING", 9),
        "later": Head("", "WITHDRAWN", 0, KEPT_FOR + 1),
        "named": old,
    }
    one = Agreed((0, 3), frozenset(("named",)))
    assert wanted(heads, one, KEPT_FOR) == ["left", "old"] and wanted(heads, Agreed(), KEPT_FOR) == []
    assert left(Position(since=4), None, 9) == Position(since=4) and left(None, None, 9).since == 9
    assert left(None, Head("", "WITHDRAWN", 3), 9) == Position(phase="WITHDRAWN", since=3)
    heads_of = {one: [written(one, GONE, there, 9) for there in (None, old)] for one in Finding}
    later = msgspec.structs.replace(head_of(GONE), again=9 + AGAIN_AFTER)
    assert heads_of.pop(Finding.RECENT) == [head_of(GONE), None]
    assert heads_of.pop(Finding.OWED) == heads_of.pop(Finding.BEHIND) == [later, later]
    assert all(ones == [None, None] for ones in heads_of.values())
    assert [one for one in Finding if clears(one)] == [Finding.CLEAR]


@pytest.fixture
def fleet() -> Fleet:
    """All backends act by the first step."""
    fleet = Fleet(LINE, FIRST + S, range(60), ONE, TWO, AWAY)
    fleet.warn(range(50), 3, 10 * DAY)
    fleet.served(20)
    fleet.run(200, 5)
    assert fleet.sheds() == [LOW] * 3
    return fleet


def withdraw(fleet: Fleet) -> None:
    """Taken out of the rulebook, which the ramp's holder writes down."""
    fleet.publish()
    fleet.step()
    position = fleet.link.read(NAME).position
    assert fleet.work.done and position is not None and position.phase == "WITHDRAWN"


def test_keys_go_a_stated_time_after_the_withdrawal(fleet: Fleet) -> None:
    withdraw(fleet)
    fleet.link.say(NAME, Word(True, "a fair"))
    fleet.now += KEPT_FOR - 60 * S
    calls = fleet.link.calls
    assert fleet.swept() == [] and fleet.keys() and fleet.link.calls == calls + 1  # a look at the heads
    fleet.now += 120 * S
    assert fleet.swept() == [NAME] and fleet.keys() == set() and fleet.swept() == []


def test_one_cut_off_that_acts_by_it_keeps_the_keys_there(fleet: Fleet) -> None:
    fleet.away = {AWAY}
    withdraw(fleet)
    fleet.now += KEPT_FOR
    assert fleet.sheds() == [frozenset(), frozenset(), LOW] and fleet.rules.read().absent == {AWAY}
    kept = fleet.link.read(NAME)
    for _ in range(3):
        assert fleet.swept() == [NAME] and fleet.link.read(NAME) == kept
        assert fleet.swept() == []  # not before a day has passed
        fleet.now += AGAIN_AFTER
    fleet.back(AWAY)
    assert fleet.swept() == [NAME] and fleet.keys() == set()


def test_planned_anew_under_the_name_while_one_acts_by_what_is_gone(fleet: Fleet) -> None:
    """Taken for a process that is no more, it lives: it turns callers away all the while, as others that
    were started since turn away by another ramp of the same name and key, that began from nothing."""
    old = fleet.lines[AWAY].follower.decided.edition
    fleet.away = {AWAY}
    withdraw(fleet)
    fleet.rules.gone(AWAY)
    fleet.now += KEPT_FOR
    assert fleet.swept() == [NAME] and fleet.keys() == set() and fleet.shed(AWAY) == LOW
    for name, other in ((ONE, "r4.4.d"), (TWO, "r5.5.e")):
        fleet.ended(name)
        fleet.join(other)
    fleet.publish(LINE)
    fleet.lead(LINE)
    fleet.run(30)
    held = fleet.link.read(NAME)
    assert held.counts == {} and not any(row.warned for row in held.rows.values())
    assert fleet.sheds() == [LOW, frozenset(), frozenset()]
    fleet.warn(range(25, 50), 3, 10 * DAY)
    fleet.served(20)
    fleet.run(200, 5)
    anew = LOW - frozenset(range(25))
    assert fleet.sheds() == [LOW, anew, anew] and anew != LOW
    assert fleet.lines[AWAY].follower.decided.edition == old
    fleet.back(AWAY, LINE)
    fleet.refresh()
    assert fleet.sheds() == [anew] * 3  # by the first answer
    fleet.run(60, 5)
    # It told of those it had turned away: they are again, as the share has come back to them.
    assert fleet.sheds() == [LOW] * 3
    for shed in fleet.verdicts.values():
        assert len(shed) == 1 and all(one <= LOW for one in shed)  # all at an edition alike; none not warned


def test_planned_anew_while_all_is_there_goes_on_with_its_counts(fleet: Fleet) -> None:
    old = fleet.lines[ONE].follower.decided.edition
    withdraw(fleet)
    fleet.now += KEPT_FOR // 2
    fleet.publish(LINE)
    fleet.lead(LINE)
    fleet.served(20)
    fleet.run(200, 5)
    assert fleet.sheds() == [LOW] * 3 and fleet.swept() == []  # nobody had to be warned anew
    assert min(line.follower.decided.edition for line in fleet.lines.values()) > old


@pytest.mark.parametrize("what", ["a proposal", "another holder", "another went"])
def test_keys_stay_where_what_it_was_decided_on_changed(fleet: Fleet, what: str) -> None:
    withdraw(fleet)
    fleet.now += KEPT_FOR
    fleet.lead(None)
    cleared = fleet.link.cleared

    def between() -> tuple[int, int]:
        """After all was read, before the keys go."""
        found = cleared()
        if what == "a proposal":
            fleet.propose(LINE)
        elif what == "another holder":
            fleet.link.seized(NAME)
        else:
            fleet.link.store.put(0, b"/ringshift/retire-cleared", b"99")
        fleet.link.cleared = cleared  # type: ignore[method-assign]
        return found

    fleet.link.cleared = between  # type: ignore[method-assign]
    kept = fleet.link.read(NAME)
    fleet.step()
    assert not fleet.work.done and fleet.link.read(NAME) == kept
    fleet.step()
    assert fleet.work.done == (what != "another holder")
    assert (fleet.link.read(NAME) == kept) == (what != "another went") and cleared()[0] in (0, 99)


def test_what_nobody_wrote_as_withdrawn_is_written_and_looked_at_later(fleet: Fleet) -> None:
    fleet.publish()  # and whoever held the ramp is gone
    assert fleet.swept() == [NAME]
    position = fleet.link.read(NAME).position
    assert position is not None and position.phase == "WITHDRAWN" and fleet.swept() == []
    fleet.now += KEPT_FOR + S
    assert fleet.swept() == [NAME] and fleet.keys() == set()


@pytest.mark.parametrize("by_hand", [False, True])
def test_rows_of_one_withdrawn_before_anything_was_decided_go_as_well(by_hand: bool) -> None:
    fleet = Fleet(LINE, ANNOUNCED - 60 * S, range(60), ONE, TWO)
    fleet.run(3)
    assert fleet.link.read(NAME).position is None and len(fleet.link.read(NAME).rows) == 2
    fleet.publish()
    fleet.step()
    assert fleet.work.done and fleet.swept() == []
    fleet.now += KEPT_FOR
    if by_hand:
        place = f"/ringshift/retire/{NAME}".encode()
        fleet.link.store.delete(0, place + b"/", place + b"0")
    assert fleet.swept() == [NAME] and fleet.keys() == set()


def test_a_process_leads_out_what_nobody_does(tmp_path: Path) -> None:
    """On sockets: found by a look, cleared under the lease of the ramp, let go."""
    keeper = Keeper(tmp_path)
    ramps = Ramps("n1", LeaseTerms(), [keeper.address], OwnClock(time.monotonic_ns()), 1, clears=True)
    link, task = ramps.link(RetireLink), f"/ringshift/tasks/retire-{NAME}".encode()
    book = Rulebook(alone=Rules())
    try:
        assert ramps.link(RulesLink).begin(Version((0, 1), book, digest(book)))
        token = link.seek(task, b"me", 60).token
        assert link.write(NAME, task, token, link.read(NAME), GONE, {4: Counted(1, 2, 3)})
        link.call("/kv/deleterange", {"key": b64(task)})
        assert ramps.clearing is not None
        ramps.clearing.look()
        ramps.running[NAME][2].join(LONG)
        assert link.heads() == {} and link.read(NAME) == Held() and ramps.followed() == set()
    finally:
        ramps.leave()
        keeper.stop()
