"""A retirement's keys at the keeper: what is compared, and what is written once only."""

from __future__ import annotations

import time
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import pytest

from ringshift.fleet.lease import News
from ringshift.retirement.figures import Figures
from ringshift.retirement.position import Position
from ringshift.retirement.shed import Decided
from ringshift.retirement.warn import Counted
from ringshift.wire.keeper import KeeperLink, b64
from ringshift.wire.retiring import MOST_ROW, Held, RetireLink, Row, Word, read_row
from tests.retirement.processes import Keeper

TASK = b"/ringshift/tasks/retire-old"
POSITION = Position(Decided(3, 99, 1, 200_000, 0, frozenset((5, 7))), "SHEDDING", 12, why="due, good")
ROW = Row(2, Figures(3, 10, 20, 1, 4, frozenset((5,))), {5: Counted(3, 100, 200)})


@pytest.fixture(scope="module")
def address(tmp_path_factory: pytest.TempPathFactory) -> Iterator[str]:
    keeper = Keeper(tmp_path_factory.mktemp("link"))
    yield keeper.address
    keeper.stop()


@pytest.fixture
def link(address: str, tmp_path: Path) -> RetireLink:
    link = RetireLink([address], time.monotonic_ns, 5.0)
    link.call("/kv/deleterange", {"key": b64(b"/"), "range_end": b64(b"0")})
    return link


def token(link: KeeperLink) -> int:
    heard = link.seek(TASK, b"me", 60)
    assert heard.news is News.GRANTED
    return heard.token


def test_a_row_is_put_and_read_as_it_was_told_and_answered_with_the_state(link: RetireLink) -> None:
    first = link.put("old", "b1", Row(1), 0)
    assert first.created and first.position is None
    assert link.write("old", TASK, token(link), link.read("old"), POSITION)
    second = link.put("old", "b1", ROW, first.created)
    assert (second.created, second.position) == (first.created, POSITION)
    held = link.read("old")
    assert (held.rows, held.position, held.counts, held.word) == ({"b1": ROW}, POSITION, {}, Word())
    assert link.read("olde") == Held()  # another of which this name is a beginning


def test_a_first_row_whose_answer_was_lost_is_found_and_one_that_went_is_not_put(link: RetireLink) -> None:
    created = link.put("old", "b1", Row(1), 0).created
    again = link.put("old", "b1", ROW, 0)
    assert again.created == created and link.read("old").rows["b1"] == Row(1)  # nothing was put
    mine = token(link)
    assert link.write("old", TASK, mine, link.read("old"), None, {}, ["b1"])
    gone = link.put("old", "b1", ROW, created)
    assert gone.created == 0 and link.read("old").rows == {}


def changes(link: RetireLink, mine: int) -> dict[str, Any]:
    held = link.read("old")
    return {
        "the lease is another's": lambda: (
            link.call("/kv/put", {"key": b64(TASK), "value": b64(b"x")})
            and link.call("/kv/deleterange", {"key": b64(TASK)})
        ),
        "another position": lambda: link.write("old", TASK, mine, held, Position(phase="PAUSED")),
        "other counts": lambda: link.write("old", TASK, mine, held, None, {1: Counted(1, 1, 1)}),
        "the operators' word": lambda: link.say("old", Word(True, "a fair")),
        "the row of one that goes": lambda: link.put("old", "b1", Row(9), created_of(link)),
    }


def created_of(link: RetireLink) -> int:
    return link.put("old", "b1", Row(0), 0).created


@pytest.mark.parametrize(
    "what",
    [
        "the lease is another's",
        "another position",
        "other counts",
        "the operators' word",
        "the row of one that goes",
    ],
)
def test_nothing_is_written_where_that_changed_since_it_was_read(link: RetireLink, what: str) -> None:
    mine = token(link)
    link.put("old", "b1", ROW, 0)
    held = link.read("old")
    changes(link, mine)[what]()
    before = link.read("old")
    assert not link.write("old", TASK, mine, held, POSITION, {5: Counted(3, 100, 200)}, ["b1"])
    assert link.read("old") == before


def test_what_is_as_it_was_read_is_written_in_one(link: RetireLink) -> None:
    mine = token(link)
    link.put("old", "b1", ROW, 0)
    other = link.put("old", "b2", Row(1), 0).created
    held = link.read("old")
    link.put("old", "b2", Row(2), other)  # a row that does not go may change
    assert link.write("old", TASK, mine, held, POSITION, dict(ROW.warned), ["b1"])
    now = link.read("old")
    assert (now.position, now.counts, set(now.rows)) == (POSITION, ROW.warned, {"b2"})


def test_what_is_no_row_is_not_counted_and_no_position_is_never_taken_for_none(link: RetireLink) -> None:
    assert read_row("b", b"{") is None and read_row("b", b'{"n": "x"}') is None
    assert read_row("b", b'{"n": 1, "warned": {"x": [1, 2, 3]}}') is None
    assert read_row("b", b" " * MOST_ROW + b'{"n": 1}') is None and read_row("b" * 300, b'{"n": 1}') is None
    assert read_row("b", b'{"n": 1, "later": true}') == Row(1)  # a newer program's
    key = b64(b"/ringshift/retire/old/state")
    link.call("/kv/put", {"key": key, "value": b64(b"[]")})
    with pytest.raises(ValueError):
        link.read("old")
    with pytest.raises(ValueError):
        link.put("old", "b1", Row(1), 0)
