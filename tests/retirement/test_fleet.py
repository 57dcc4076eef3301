"""Several backends, a keeper, and faults between them: one ramp for all, and nobody turned away early."""

from __future__ import annotations

import time
from collections.abc import Callable
from functools import partial
from pathlib import Path
from typing import Any

import gevent
import pytest

from ringshift.retirement.shed import key, lot
from ringshift.rulebook.document import read
from ringshift.wire.retiring import RetireLink, Word
from tests.retirement.processes import FAR, Backend, Fleet, book
from tests.side_by_side import play_all

LOTS = key(read(book([(0, 0.5)])).timelines[0])
CALLERS = tuple(range(40))
LOW = frozenset(one for one in CALLERS if lot(LOTS, one) < 500_000)


def warned(backend: Backend, *callers: int) -> None:
    """Each to the floor."""
    told = backend.calls(0, *callers * 3)
    assert all(one["shed"] or one["fields"]["Deprecation"].startswith("@") for one in told)


def turned_away(backend: Backend, callers: tuple[int, ...]) -> frozenset[int]:
    return frozenset(one["caller"] for one in backend.calls(0, *callers) if one["shed"])


def at_least(rung: int, ready: frozenset[int] = frozenset()) -> Callable[[dict[str, Any]], bool]:
    return lambda one: one["ev"] == "acts" and one["rung"] >= rung and ready <= set(one["ready"])


def stalled(folder: Path) -> None:
    """The holder stands still in the midst of a step, until its lease ended and another took over: that one
    decides the same step, and it moves once."""
    with Fleet(folder, 2, b0=("--pause-rung", "1", "--pause-ms", "3800")) as fleet:
        first, second = fleet.backends
        fleet.plan((0, 0.5))
        first.until(lambda one: one["ev"] == "ramp" and one["rung"] == 1)
        with first.standing_still():  # it wakes once the other holds, however long that takes
            second.until(lambda one: one["ev"] == "act")
        late = first.until(lambda one: one["ev"] == "ramped" and not one["landed"])
        assert first.acts(1) and second.acts(1)
        moved = [one for one in fleet.ramped() if one["phase"] == "SHEDDING"]
        # The late one was refused, or not answered in time on a loaded machine: it did not land.
        assert {(one["holder"], bool(one["landed"])) for one in moved} == {("b1", True), ("b0", False)}
        assert len(moved) == 2 and {one["edition"] for one in moved} == {late["edition"]}
        begun = first.until(lambda one: one["ev"] == "ramp" and one["edition"] == late["edition"])
        assert begun["rung"] == 1 and late["t"] - begun["t"] > 3_500_000_000


def another_try(folder: Path) -> None:
    """A caller that changes backend at each try is turned away by all or by none."""
    with Fleet(folder) as fleet:
        warned(fleet.backends[0], *CALLERS[:20])
        warned(fleet.backends[1], *CALLERS[20:])
        fleet.plan((0, 0.5))
        acted = [one.until(at_least(1, LOW)) for one in fleet.backends]
        found = [turned_away(one, (*CALLERS, 1001, 1002)) for one in fleet.backends]
        assert found == [LOW] * 3 and len({one["edition"] for one in acted}) == 1
        never = [caller for caller in range(2000, 2040) if lot(LOTS, caller) < 500_000]
        assert never and all(turned_away(one, tuple(never)) == frozenset() for one in fleet.backends)


def lost_counts(folder: Path) -> None:
    """What a backend had not told when it crashed is lost: those are warned again before they are turned
    away."""
    lost, told = sorted(LOW)[0], sorted(LOW)[1]
    with Fleet(folder, heard=0.55) as fleet:
        holder, other, crashing = fleet.backends
        crashing.until(at_least(0))
        crashing.proxy.faults.refuse = True
        crashing.proxy.cut()
        warned(crashing, lost)
        crashing.kill()
        warned(other, told)
        anew = fleet.add("b2")
        fleet.plan((0, 0.5))
        for one in (holder, other, anew):
            one.until(at_least(1, frozenset((told,))))
            assert turned_away(one, (lost, told)) == {told}
        # Three tries above are three warnings, at three backends: with them it has reached the floor.
        for one in (holder, other, anew):
            one.until(at_least(1, frozenset((lost, told))))
            assert turned_away(one, (lost, told)) == {lost, told}


def cut_off(folder: Path) -> None:
    """A backend without contact keeps its step while the fleet moves on, and follows once it is healed."""
    between = frozenset(one for one in CALLERS if 500_000 <= lot(LOTS, one) < 900_000)
    with Fleet(folder) as fleet:
        holder, other, away = fleet.backends
        warned(holder, *CALLERS)
        fleet.plan((0, 0.5), (FAR, 0.9))
        for one in fleet.backends:
            one.until(at_least(1, LOW))
        away.proxy.faults.blackhole = {"up", "down"}
        fleet.plan((-1, 0.5), (0, 0.9))
        both = LOW | between
        assert other.until(at_least(2, both)) and holder.until(at_least(2, both))
        assert turned_away(other, CALLERS) == both and turned_away(away, CALLERS) == LOW
        away.proxy.faults.blackhole = set()
        away.proxy.cut()
        away.until(at_least(2, both))
        assert turned_away(away, CALLERS) == both


def paused(folder: Path) -> None:
    """Paused by operators when a step is decided and not yet written: it is not moved. Let on, it is."""
    with Fleet(folder, 2, b0=("--pause-rung", "1", "--pause-ms", "600")) as fleet:
        holder = fleet.backends[0]
        fleet.plan((0, 0.5))
        begun = holder.until(lambda one: one["ev"] == "ramp" and one["rung"] == 1)
        link = RetireLink([fleet.keeper.address], time.monotonic_ns, 2.0)
        link.say("order-book", Word(True, "a fair"))
        after = len(holder.told)
        ramped = holder.until(lambda one: one["ev"] == "ramped" and one["edition"] == begun["edition"], after)
        assert not ramped["landed"]
        holder.until(lambda one: one["ev"] == "ramp" and one["phase"] == "PAUSED", after)
        held = link.read("order-book")
        assert held.position is not None and held.position.decided.share == 0
        link.say("order-book", Word(False))
        assert all(one.acts(1) for one in fleet.backends)


def restored(folder: Path) -> None:
    """The keeper comes back with an older copy, from a pause before the step: all are brought to one edition
    again, above the one that they act by, at which nobody is turned away; let on, the ramp goes on."""
    with Fleet(folder) as fleet:
        link = RetireLink([fleet.keeper.address], time.monotonic_ns, 5.0)
        holder = fleet.backends[0]
        link.say("order-book", Word(True, "a fair"))
        holder.until(lambda one: one["ev"] == "ramped" and one["phase"] == "PAUSED")
        image = fleet.keeper.image()
        link.say("order-book", Word(False))
        warned(holder, *CALLERS)
        fleet.plan((0, 0.5))
        last = max(one.until(at_least(1, LOW))["edition"] for one in fleet.backends)
        fleet.keeper.restore(image)
        above = [
            one.until(lambda told: told["ev"] == "acts" and told["edition"] > last) for one in fleet.backends
        ]
        assert [(one["edition"], one["share"]) for one in above] == [(last + 1, 0)] * 3
        assert all(turned_away(one, CALLERS) == frozenset() for one in fleet.backends)
        warned(fleet.backends[1], *CALLERS)  # what the copy has of their warnings is not known
        link.say("order-book", Word(False))
        for one in fleet.backends:
            one.until(lambda told: at_least(1, LOW)(told) and told["edition"] > last)
        assert [turned_away(one, (*CALLERS, 1001, 1002)) for one in fleet.backends] == [LOW] * 3


def withdrawn(folder: Path) -> None:
    """A timeline taken out of the rulebook turns nobody away from then on, its holder writes so and lets
    go; put in again, the ramp begins anew above all editions."""
    with Fleet(folder) as fleet:
        holder = fleet.backends[0]
        warned(holder, *CALLERS)
        fleet.plan((0, 0.5))
        last = max(one.until(at_least(1, LOW))["edition"] for one in fleet.backends)
        fleet.plan()
        assert all(turned_away(one, CALLERS) == frozenset() for one in fleet.backends)
        holder.until(lambda one: one["ev"] == "ramped" and one["phase"] == "WITHDRAWN" and one["landed"])
        holder.until(lambda one: one["ev"] == "halt")
        fleet.plan((0, 0.5))
        for one in fleet.backends:
            one.until(lambda told: at_least(1, LOW)(told) and told["edition"] > last + 1)
            assert turned_away(one, CALLERS) == LOW


PLAYED = (stalled, another_try, lost_counts, cut_off, paused, restored, withdrawn)
CASES = {one.__name__: one for one in PLAYED}
pytestmark = pytest.mark.few


@pytest.fixture(scope="module")
def played(tmp_path_factory: pytest.TempPathFactory) -> dict[str, gevent.Greenlet[..., None]]:
    """A few side by side, each judged by itself."""
    folder = tmp_path_factory.mktemp("retirement")
    return play_all({name: partial(case, folder / name) for name, case in CASES.items()})


@pytest.mark.parametrize("name", CASES)
def test_a_hard_case(name: str, played: dict[str, gevent.Greenlet[..., None]]) -> None:
    played[name].get()
