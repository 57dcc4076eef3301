"""Rows of changes: read, refused by field, expanded within the horizon, and when one is over."""

from __future__ import annotations

from datetime import UTC, datetime

import msgspec
import pytest

from ringshift.machine import Malformed
from ringshift.rulebook.document import canonical, digest, read
from ringshift.schedule.change import ALL, ChangeError, Drain, Move, Scope
from ringshift.schedule.planned import (
    Drained,
    Horizon,
    Planned,
    Recurring,
    expanded,
    over,
    settle,
    windows,
)
from tests.schedule.planning import DAWN, HALF, NOW, S, at, later, row

GOOD = """
[alone]
[[changes]]
name = "north-night"
operations = ["book", "look"]
does = {kind = "move", share = 0.25, source = "north", target = "south"}
from = 2026-12-05T01:00:00+01:00
to = 2026-12-05T02:00:00Z
ramp_in_ms = 60000
left = {south = 20}
[[changes]]
name = "drill"
does = {kind = "drain", place = "east"}
recurring = {rule = "FREQ=WEEKLY", first = 2026-12-06T03:00:00, zone = "Europe/Berlin", seconds = 600}
after = ["north-night"]
[world]
serves = [{operation = "book", places = ["north", "south"]}]
capacity = [{place = "south", most = 100}]
load = [{operation = "book", customer = "hostel", place = "north", rate = 60}]
"""


def horizon(seconds: float = 0, days: float = 20, late_ms: int = 8000) -> Horizon:
    return Horizon(at(seconds), at(seconds + days * 86_400), late_ms)


def test_rows_are_read_as_changes_and_survive_the_keepers_json() -> None:
    book = read(GOOD)
    found = expanded(book.changes, horizon())
    night, withdrawn = found["north-night"]
    assert not withdrawn and night.scope == Scope(frozenset({"book", "look"}), ALL, ALL)
    assert night.does == Move(250_000, "north", "south") and night.end - night.start == 7_200 * S
    assert night.ramp_in == 60 * S and night.left == {"south": 20}
    assert list(found)[1:] == [f"drill@2026-12-{day}T02:00:00Z" for day in ("06", "13", "20")]
    assert found["drill@2026-12-06T02:00:00Z"][0].does == Drain("east")
    assert book.world.world().load == {("book", "hostel", "north"): 60}
    again = msgspec.json.decode(canonical(book), type=type(book))
    assert again.changes == book.changes or {c.name for c in again.changes} == {"north-night", "drill"}
    assert digest(again) == digest(book)


@pytest.mark.parametrize(
    ("old", "new", "told"),
    [
        ("share = 0.25", "share = 1.5", "changes.*share: 1500000 millionths"),
        ("share = 0.25", "share = 0.2500005", "changes.*finer than a millionth"),
        ("02:00:00Z", "00:00:00Z", "changes.*end: .* empty window"),
        ("T02:00:00Z", "T02:00:00", "changes.to: .*timezone"),
        ('"north-night"\nop', '"a@b"\nop', "changes.name: .*without @"),
        ('kind = "drain"', 'kind = "drop"', "changes.does"),
        (
            'zone = "Europe/Berlin", seconds = 600',
            'zone = "Europe/Berlin", seconds = 0',
            "changes.*seconds: 0",
        ),
        ("to = 2026-12-05T02:00:00Z\n", "", "changes.*from: an absolute change"),
        ('name = "drill"', 'name = "north-night"', "'north-night' requires itself"),
        ('operations = ["book", "look"]', "operations = []", "scope.operations: empty"),
        ('{place = "south", most = 100}', '{place = "s", most = 1}, {place = "s", most = 1}', "two rows"),
    ],
)
def test_a_wrong_row_is_refused_by_field(old: str, new: str, told: str) -> None:
    assert old in GOOD
    with pytest.raises(Malformed, match=told):
        read(GOOD.replace(old, new), "rules.toml")


def test_two_rows_of_one_name_are_refused() -> None:
    with pytest.raises(Malformed, match="changes: two of north-night"):
        read(GOOD.replace('"drill"', '"north-night"').replace('after = ["north-night"]', ""))


def test_a_horizon_bounds_what_recurs_and_whoever_has_none_expands_none() -> None:
    at_three = Recurring("FREQ=DAILY", datetime(2026, 1, 1, 3), "UTC", 600)
    daily = Planned(name="d", does=HALF, recurring=at_three)
    assert [start for start, _ in windows(daily, horizon(days=2))] == [
        NOW + 3 * 3_600 * S,
        NOW + 27 * 3_600 * S,
    ]
    # One that began before the horizon and goes on at a backend that is late is in it still.
    late = horizon(seconds=3 * 3_600 + 607)
    assert windows(daily, late)[0] == (NOW + 3 * 3_600 * S, NOW + 3 * 3_600 * S + 600 * S)
    assert windows(daily, horizon(seconds=3 * 3_600 + 608))[0][0] == NOW + 3 * 3_600 * S
    assert windows(daily, horizon(seconds=3 * 3_600 + 609))[0][0] == NOW + 27 * 3_600 * S
    with pytest.raises(ChangeError, match="^horizon: none, beside the recurring 'd'"):
        expanded([daily], None)
    many = f"FREQ=DAILY;BYHOUR={','.join(map(str, range(24)))};BYMINUTE={','.join(map(str, range(60)))}"
    for first, told in ((datetime(2026, 12, 1), "more than 10000"), (datetime(2026, 8, 1), "since first")):
        often = msgspec.structs.replace(daily, recurring=Recurring(many, first, "UTC", 6))
        with pytest.raises(ChangeError, match=f"^d: rule: .*{told}"):
            expanded([often], horizon())
    with pytest.raises(ValueError, match="^rule: .*FREQ from DAILY"):
        Planned(name="d", does=HALF, recurring=Recurring("FREQ=HOURLY", datetime(2026, 12, 1), "UTC", 6))


def test_over_is_only_what_is_in_force_at_no_backend_any_more() -> None:
    one = row("a", 100, 200)
    assert not over(one, horizon(207)) and over(one, horizon(208))
    marked = msgspec.structs.replace(one, withdrawn=at(50))
    # It may have begun somewhere: a backend that is 8 s ahead took it as begun at 92 s.
    assert not over(marked, horizon(93)) and over(marked, horizon(92))
    settled = settle(marked, horizon(92))
    assert settled.settled == at(100) and windows(settled, horizon(150)) == []
    assert settle(one, horizon(92)) == one and settle(settled, horizon(120)) == settled
    every = Planned(
        name="d",
        does=Drained("north"),
        withdrawn=DAWN,
        recurring=Recurring("FREQ=DAILY", datetime(2026, 1, 1, 3), "UTC", 600),
    )
    assert not over(msgspec.structs.replace(every, withdrawn=None), horizon(days=0.01))
    assert over(every, horizon(3 * 3_600 - 8)) and not over(every, horizon(3 * 3_600))
    kept = settle(every, horizon(3 * 3_600))  # today's window may have begun, tomorrow's can't
    assert windows(kept, horizon(3 * 3_600)) == [(later(3 * 3_600), later(3 * 3_600 + 600))]


def test_order_and_offsets_of_a_document_make_no_other_row() -> None:
    one = row("a", 100, 200, operations=["y", "x"], after=["b", "a0"])
    assert one == row("a", 100, 200, operations=["x", "y"], after=["a0", "b"])
    assert one.start is not None and one.start.tzinfo is UTC
