"""Each figure that comes from outside, at the ends of its range and beyond them."""

from __future__ import annotations

from collections.abc import Iterator
from random import Random
from typing import Any

import gevent
import orjson
import pytest
from loguru import logger

from ringshift.machine import Malformed
from ringshift.wire import calls
from ringshift.wire.agent import Agent, read_greeting, read_outcome, read_sampled
from ringshift.wire.news import Called, Greeted, RunEnded, Sampled
from standins.sidecar import Sidecar
from tests.crossings.test_input import answer
from tests.listening import Here
from tests.simulation import MS
from tests.test_owner import Played


@pytest.fixture
def bugs() -> Iterator[list[str]]:
    """Log lines of exceptions that nothing was prepared for."""
    told: list[str] = []
    sink = logger.add(told.append, level="ERROR", format="{message}")
    yield told
    logger.remove(sink)


TAKEN = [
    ("HTTP_X_ALLOW_MS", "0"),
    ("HTTP_X_ALLOW_MS", "999999999999999"),
    ("HTTP_X_DOOR_TIME", "0"),
    ("HTTP_X_DOOR_TIME", "999999999999999"),
    ("HTTP_X_SENT_TIME", "999999999999999"),
    ("HTTP_X_SENDER", "0"),
    ("HTTP_X_SENDER", str(2**53 - 1)),
    ("HTTP_X_RAM_KB", "1e-9"),
    ("HTTP_X_RAM_KB", "1999.999"),
    ("HTTP_X_PRECEDENCE", "0"),
    ("HTTP_X_PRECEDENCE", "0.999999"),
    ("HTTP_X_UNIQUE", "k" * 128),
    ("HTTP_X_ITEM", "i" * 7000),
]
REFUSED = [
    (name, value)
    for name in ("HTTP_X_ALLOW_MS", "HTTP_X_DOOR_TIME", "HTTP_X_SENT_TIME", "HTTP_X_SENDER", "HTTP_X_RAM_KB")
    for value in ("-1", "1e15", "1e300", "1e303", "1e308", "1e400", "9" * 400, "nan", "inf", "0x10", "")
    if (name, value) != ("HTTP_X_SENDER", "1e15")
] + [
    ("HTTP_X_SENDER", str(2**53)),
    ("HTTP_X_RAM_KB", "0"),
    ("HTTP_X_RAM_KB", "2000"),
    ("HTTP_X_PRECEDENCE", "1"),
    ("HTTP_X_PRECEDENCE", "-0.1"),
    ("HTTP_X_UNIQUE", "k" * 129),
]


def call_with(sidecar: Sidecar, request: int, name: str, value: str) -> bytes:
    field: dict[str, Any] = {name: value}
    return sidecar.call(request, **field)


@pytest.mark.parametrize(("name", "value"), TAKEN)
def test_figures_at_the_ends_of_their_ranges_are_taken(here: Here, name: str, value: str) -> None:
    door, heard = here
    sidecar = Sidecar(door.sock.getsockname())
    sidecar.send(call_with(sidecar, 1, name, value))
    answer(heard)
    assert sidecar.answer(1).status == 200


def test_figures_beyond_their_ranges_fail_their_request_alone(here: Here, bugs: list[str]) -> None:
    """X-Allow-Ms had no upper end: 1e300 was taken, 1e303 ended its connection as a bug with a trace."""
    door, heard = here
    sidecar = Sidecar(door.sock.getsockname())
    for request, (name, value) in enumerate(REFUSED, start=1):
        sidecar.send(call_with(sidecar, request, name, value))
        assert sidecar.answer(request).status == 400, (name, value)
    sidecar.send(sidecar.call(1))
    answer(heard)
    assert sidecar.answer(1).status == 200 and not bugs


@pytest.mark.parametrize("took", [-1e15, -1.0, 0.0, 1e15])
def test_an_agent_that_tells_any_time_since_its_start_is_greeted_once(took: float) -> None:
    """A start in the future gave a speed far below none; one before the clock began, a second start."""
    played = Played()
    played.owner.controller = None
    told = read_greeting({"type": "greeting", "state": "new", "took": took})
    assert isinstance(told, Greeted)
    played.step(told)
    for _ in range(50):
        played.step(after=10 * MS)
    assert played.owner.controller is not None and 0.0 <= played.owner.controller.speed() <= 1.0
    assert len(played.owner.timers) < 5


@pytest.mark.parametrize("took", [1e16, 1e303, -1e16])
@pytest.mark.parametrize("read", [read_greeting, read_outcome])
def test_times_beyond_any_range_are_no_notice(read: Any, took: float) -> None:
    with pytest.raises(Malformed, match="took"):
        read({"state": "new", "job": "j", "took": took})


def test_gauges_that_no_machine_has_are_not_known() -> None:
    """An infinite one would stay in the decisions' means for ever."""
    told = read_sampled({"ref": "1", "gauges": [0.5, 1e308, -1e308, -1, True, "3", None, 12]})
    assert isinstance(told, Sampled)
    assert told.gauges == [0.5, None, None, None, None, None, None, 12]


def test_a_result_longer_than_the_protocols_is_answered_as_failed() -> None:
    """One beyond a record's length ended the program, and all bounds reckon with four kilobytes."""
    line = {"type": "outcome", "n": 1, "job": f"{1:016x}", "state": "good", "took": 1.0}
    longest = read_outcome({**line, "data": "AAAA" * 1365 + "AA=="})
    assert isinstance(longest, RunEnded) and longest.state == "good" and len(longest.result) == 4096
    for quads in (1366, 24_000):
        told = Agent(("127.0.0.1", 1), Random(1)).read(
            memoryview(orjson.dumps({**line, "data": "AAAA" * quads}))
        )
        assert isinstance(told, RunEnded) and told.state == "bad" and not told.result
        played = Played()
        played.step(played.call(1))
        played.step(told)
        assert played.status(1) == [500]


def test_long_items_are_told_apart_by_less_than_their_length() -> None:
    """Results are bounded by their number: items of eight kilobytes took many times their bound."""
    told = [calls.item({"HTTP_X_ITEM": item}) for item in ("", "a", "i" * 7000, "i" * 6999 + "j", "i" * 7000)]
    assert told[:2] == ["", "a"] and told[2] == told[4] != told[3] and max(map(len, told)) <= 64


def test_numbers_of_notices_beyond_64_bits_are_no_notice() -> None:
    agent = Agent(("127.0.0.1", 1), Random(1))
    with pytest.raises(Malformed, match="n: "):
        agent.read(memoryview(b'{"type":"aside","n":36893488147419103232,"state":"x"}'))
    assert agent.read_up_to == 0


def test_a_called_figure_is_as_it_was_told(here: Here) -> None:
    door, heard = here
    sidecar = Sidecar(door.sock.getsockname())
    sidecar.send(sidecar.call(1, HTTP_X_ALLOW_MS="480"))
    with gevent.Timeout(10):
        while not heard:
            gevent.sleep(0.002)
    (called,) = heard
    assert isinstance(called, Called) and called.allow == 480 * MS
