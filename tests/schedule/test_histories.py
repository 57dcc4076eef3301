"""The checker of a played script's changes, on histories made here: what it finds, and what it lets be."""

from __future__ import annotations

from pathlib import Path
from random import Random
from typing import Any

import msgspec
import orjson
import pytest

from ringshift.rulebook.bound import S
from ringshift.rulebook.document import Rulebook
from ringshift.schedule.plan import Terms, plan
from ringshift.schedule.planned import Drained, HeldDown, Horizon, Moved, Planned, expanded, moment
from ringshift.schedule.recur import nanoseconds
from standins.checkers.changes import Found, check
from standins.fleet.drawn import FIRST, WORLD, drawn_rows, ends, row, twice

NOW, LATE = 1_790_000_000 * S, 1_300_000_000
WHOLE = 1_000_000


def judged(folder: Path, rows: list[Planned], *forces: tuple[int, dict[str, int]]) -> Found:
    """`forces`: of one backend each, seconds after NOW and what is in force from then on, for a second."""
    for number, (second, force) in enumerate(forces):
        at = NOW + second * S
        told: list[dict[str, Any]] = [{"ev": "row", "row": msgspec.to_builtins(one)} for one in rows]
        told += [{"ev": "world", "world": msgspec.to_builtins(WORLD)}]
        told += [{"ev": "force", "b": at, "m": at, "a": at, "wall": at, "fresh": True, "force": force}]
        told += [{"ev": "look", "b": at + n, "m": at + n, "a": at + n} for n in range(0, S, S // 50)]
        lines = [orjson.dumps(line | {"pid": 1}) + b"\n" for line in told]
        (folder / f"h{number}.jsonl").write_bytes(b"".join(lines))
    return check(folder, LATE)


def moved(name: str, share: float, operation: str, target: str = "p1", **more: Any) -> Planned:
    return row(name, Moved(share, "p0", target), NOW, 9 * S, operations=[operation], **more)


ALL_OF_IT = moved("a", 1.0, "o1")
BESIDE, K1 = moved("b", 1.0, "o0"), moved("b", 1.0, "o0", customers=["k1"])
LEFT = row("b", HeldDown(1), NOW, 9 * S, left={"p1": 15})
AFTER = row("b", HeldDown(1), NOW, 9 * S, after=["a"])
A, B, A_HALF = {"a": WHOLE}, {"b": WHOLE}, {"a": WHOLE // 2}
AT = "r@2026-09-21T14:13:"
AGAIN = Planned(name="r", does=Drained("p1"), recurring=twice(NOW))


@pytest.mark.parametrize(
    ("rows", "forces", "wrong"),
    [
        ([ALL_OF_IT, BESIDE], [(0, A), (0, B)], "overlap: capacity of a and b"),
        ([ALL_OF_IT, BESIDE], [(0, A), (2, B)], ""),
        ([ALL_OF_IT, K1], [(0, A), (0, B)], ""),
        ([ALL_OF_IT, LEFT], [(0, A | B)], "overlap: capacity of a and b"),
        ([ALL_OF_IT, LEFT], [(0, A_HALF | B)], ""),
        ([moved("a", 1.0, "o0", "p2")], [(0, A)], "overlap: unserved of a and a"),
        ([ALL_OF_IT, AFTER], [(0, A), (0, B)], "begun too early: b at h1.1"),
        ([ALL_OF_IT, AFTER], [(1, A), (0, B)], "begun too early: b at h1.1"),
        ([ALL_OF_IT, AFTER], [(0, A), (2, B)], ""),
        ([AGAIN, ALL_OF_IT], [(3, {AT + "23Z": WHOLE} | A)], "overlap: into_drained of a and r@"),
        ([AGAIN], [(3, {AT + "23Z": WHOLE})], ""),
        ([AGAIN], [(2, {AT + "22Z": WHOLE})], "no window of its rule: r@2026-09-21T14:13:22Z"),
    ],
)
def test_what_is_in_force_is_judged_with_all_that_it_states(
    rows: list[Planned],
    forces: list[tuple[int, dict[str, int]]],
    wrong: str,
    tmp_path: Path,
) -> None:
    found = judged(tmp_path, rows, *forces)
    assert bool(found.wrong) == bool(wrong) and all(told.startswith(wrong) for told in found.wrong), found


def test_of_drawn_rows_every_kind_is_planned_and_all_their_windows_come_within_seconds() -> None:
    terms, had = Terms(LATE, 4 * S), dict[str, int]()
    for seed in range(40):
        random, base = Random(seed), FIRST
        for number in range(3):
            rows = drawn_rows(random, f"x{number}", NOW + 6 * S, LATE)
            try:
                found = plan(base, rows, NOW, terms)
            except ValueError:
                continue
            if not isinstance(found, Rulebook):
                had[found.beneath.name] = had.get(found.beneath.name, 0) + 1  # type: ignore[union-attr]
                continue
            base = found
            for one in rows:
                assert ends(one) < NOW + 14 * S
                for field in ("customers", "places", "after", "left", "recurring"):
                    had[field] = had.get(field, 0) + bool(getattr(one, field))
    rules = {"CAPACITY", "CHAINED", "ENDS_LATE", "SHARES", "UNSERVED"}
    wanted = rules | {"customers", "places", "after", "left", "recurring"}
    assert wanted <= {what for what, count in had.items() if count}, had


def test_a_drawn_one_recurs_twice_also_over_midnight() -> None:
    for start in (NOW, NOW + 1, nanoseconds(moment(NOW).replace(hour=23, minute=59, second=58))):
        told = expanded(
            [Planned(name="r", does=Drained("p1"), recurring=twice(start))],
            Horizon(moment(start), moment(start + 400 * 86_400 * S), 1_300),
        )
        first = -(-start // S) * S
        windows = [((c.start - first) // S, (c.end - first) // S) for c, _ in told.values()]
        assert windows == [(0, 1), (3, 4)]
