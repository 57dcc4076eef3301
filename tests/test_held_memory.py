"""What owner, decisions and stores hold once invocations are over: nothing that grows with their number."""

from __future__ import annotations

from collections.abc import Sized
from dataclasses import replace
from typing import Any

import pytest

from ringshift.interface import Effect
from ringshift.machine import MOST, ns
from ringshift.wire import news
from tests.simulation import MS, machine, operation
from tests.test_owner import Played

OVER = 5000  # invocations that come and are over
LEFT = 600  # entries in any one container that may be left: far fewer than were there


def containers(played: Played) -> dict[str, int]:
    """How much each table, heap and list holds, by its name."""
    owner = played.owner
    assert owner.controller is not None
    parts: list[Any] = [owner, owner.controller, owner.invocations, owner.results, owner.keyed]
    return {
        f"{type(part).__name__}.{name}": len(held)
        for part in parts
        for name, held in vars(part).items()
        if isinstance(held, Sized) and not isinstance(held, str)
    }


@pytest.mark.parametrize("allow_ms", [9300.0, MOST, 1e300, 1e302])
@pytest.mark.parametrize("effect", [Effect.IDEMPOTENT, Effect.NON_IDEMPOTENT])
def test_invocations_that_are_over_leave_nothing_behind(effect: Effect, allow_ms: float) -> None:
    """The deadline of one whose launch the agent refused stayed until its time, for ever with some figures:
    three such clients took a backend over its memory limit in half a minute."""
    played = Played(machine(operation(effect=effect)))
    for request in range(1, OVER + 1):
        played.step(played.call(request, allow=ns(allow_ms)), after=MS // 4)
        played.step(news.CommandRefused("launch", f"{request:016x}"))
    assert not list(played.owner.invocations)
    assert {name: size for name, size in containers(played).items() if size > LEFT} == {}


def queued(played: Played) -> int:
    """Entries of all queues of the decisions."""
    assert played.owner.controller is not None
    return sum(len(line.queue) for line in played.owner.controller.lines)


def test_held_requests_whose_callers_left_keep_no_place_in_their_queue() -> None:
    """Each stayed until those before it had begun: one client that takes its requests back at once filled a
    backend's memory in ten seconds where the queue waits long (`review/8`)."""
    played = Played(machine(operation(late=0.2, objective=3900), cores=1))
    played.step(*(replace(played.call(n), rank=0.99) for n in range(1, 4)))
    held = queued(played)
    assert held > 0
    for request in range(100, 100 + OVER):
        played.step(replace(played.call(request), rank=0.99))
        played.step(news.CallerLeft(played.hands, request), after=MS // 10)
    assert queued(played) <= held and len(played.told("launch")) <= 3


def test_checks_that_are_answered_leave_no_timer_behind() -> None:
    """Each one left its timer for a second, however many came in it."""
    played = Played()
    for _ in range(OVER):
        played.owner.health = True, False  # answered by work, not from store
        played.step(news.Checked(played.hands, 1, True), after=MS // 10)
        played.step(news.Exercised(played.told("exercise")[-1], True))
    assert {name: size for name, size in containers(played).items() if size > LEFT} == {}


def test_a_wait_beyond_the_operations_own_ends_with_that() -> None:
    """No client waits longer than its operation's time-out: what tells more held its memory as long."""
    played = Played(machine(operation(late=0.2), cores=1))
    played.step(*(replace(played.call(n, allow=ns(MOST)), rank=0.99) for n in range(1, 4)))
    for _ in range(90):
        played.step(after=50 * MS)
    assert all(played.status(n) for n in range(1, 4))
