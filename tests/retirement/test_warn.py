"""What answers carry, the laws of the counts, their bound, and the floor."""

from __future__ import annotations

from random import Random

from hypothesis import given, settings
from hypothesis import strategies as st

from ringshift.retirement.conditions import WHOLE, Floor
from ringshift.retirement.shed import key, lot
from ringshift.retirement.warn import Counted, Warned, cut, fields, fold, join, lowest, ready, total
from tests.retirement.builders import ANNOUNCED, DAY, LINE, WARNED, S, timeline

KEY = key(LINE)
FLOOR = Floor(answers=3, over_s=10, clocks_apart_s=2)


def test_fields_are_those_published() -> None:
    assert fields(LINE, WARNED - 1) == {}
    assert fields(LINE, WARNED) == {
        "Deprecation": f"@{ANNOUNCED // S}",
        "Sunset": "Mon, 01 Jun 2026 00:00:00 GMT",
        "Link": '<https://api.example/tank-lookup>; rel="successor-version"',
    }
    bare = timeline(link=None, exemptions=[{"caller": 7, "until": "2026-09-30T10:00:00+02:00"}])
    assert fields(bare, WARNED, 7)["Sunset"] == "Wed, 30 Sep 2026 08:00:00 GMT"
    assert fields(bare, WARNED, 8)["Sunset"] == "Mon, 01 Jun 2026 00:00:00 GMT"
    assert "Link" not in fields(bare, WARNED)
    page = "<https://docs.example/old>"
    told = fields(timeline(about=page[1:-1]), WARNED)["Link"]
    assert told.endswith(f'"successor-version", {page}; rel="deprecation", {page}; rel="sunset"')


Told = dict[str, dict[int, Counted]]
COUNTED = st.tuples(st.integers(1, 9), st.integers(0, 50), st.integers(0, 50)).map(
    lambda told: Counted(told[0], min(told[1:]), max(told[1:]))
)
COUNTS = st.dictionaries(st.integers(0, 8), COUNTED, max_size=6)
ROWS = st.dictionaries(st.sampled_from("abc"), COUNTS, max_size=3)


@settings(derandomize=True, database=None, max_examples=300)
@given(ROWS, ROWS, ROWS)
def test_tellings_join_in_any_order_and_any_number_of_times(a: Told, b: Told, c: Told) -> None:
    assert join(a, b) == join(b, a)
    assert join(join(a, b), c) == join(a, join(b, c))
    assert join(a, a) == a
    assert join(join(a, b), a) == join(a, b)


@settings(derandomize=True, database=None, max_examples=300)
@given(st.lists(COUNTS, max_size=5), st.randoms(use_true_random=False), st.integers(1, 6))
def test_rows_fold_in_any_order_and_grouping_under_the_bound(
    rows: list[dict[int, Counted]], chance: Random, most: int
) -> None:
    whole = lowest(total({}, rows), KEY, most)
    shuffled = list(rows)
    chance.shuffle(shuffled)
    one_by_one = dict[int, Counted]()
    for row in shuffled:
        one_by_one = fold(one_by_one, [row], KEY, most)
    assert fold({}, rows, KEY, most) == one_by_one == whole
    assert len(whole) <= most
    left_out = total({}, rows).keys() - whole.keys()
    assert all(lot(KEY, caller) >= cut(whole, KEY, most) for caller in left_out)


def test_a_full_table_says_up_to_where_it_counts() -> None:
    counts = {caller: Counted(9, 0, 99 * S) for caller in range(10)}
    assert cut(counts, KEY, 11) == WHOLE
    lots = sorted(lot(KEY, caller) for caller in counts)
    assert cut(counts, KEY, 10) == lots[-1]
    assert [lot(KEY, caller) for caller in lowest(counts, KEY, 3)] == lots[:3]


def test_a_process_counts_what_was_handed_over_under_its_bound() -> None:
    warned = Warned(most=2)
    for caller, at in ((7, 5), (8, 6), (9, 7), (7, 9)):
        warned.handed(caller, at)
    assert warned.counts == {7: Counted(2, 5, 9), 8: Counted(1, 6, 6)} and warned.left_out == 1
    warned.anew()
    assert warned.counts == {}


def test_the_floor_is_answers_over_time_by_any_backend() -> None:
    short = Counted(3, 0, 12 * S - 1)
    assert not short.reaches(FLOOR) and Counted(3, 0, 12 * S).reaches(FLOOR)
    assert not Counted(2, 0, 99 * DAY).reaches(FLOOR)
    halves = total({7: Counted(2, 0, 5 * S)}, [{7: Counted(1, 12 * S, 12 * S)}])
    assert ready(halves, FLOOR, KEY, WHOLE) == {7}
    assert ready(halves, FLOOR, KEY, lot(KEY, 7)) == frozenset()


@settings(derandomize=True, database=None, max_examples=200)
@given(
    st.lists(
        st.tuples(
            st.sampled_from("ab"),
            st.sampled_from(("hand", "tell", "crash", "retell", "lose")),
            st.integers(0, 3),
        ),
        max_size=40,
    )
)
def test_no_course_of_crashes_and_lost_tellings_counts_more_than_was_handed_over(
    steps: list[tuple[str, str, int]],
) -> None:
    """Two processes and a keeper: rows told, told twice, lost on the way, folded as their process crashes."""
    true = dict[int, list[int]]()
    live = {name: Warned() for name in "ab"}
    rows = dict[str, dict[int, Counted]]()
    kept = dict[int, Counted]()
    for now, (name, what, caller) in enumerate(steps):
        if what == "hand":
            live[name].handed(caller, now * S)
            true.setdefault(caller, []).append(now * S)
        elif what in ("tell", "retell"):
            rows = join(rows, {name: live[name].counts})
        elif what == "crash":
            kept = fold(kept, [rows.pop(name, {})], KEY)
            live[name] = Warned()
        counted = total(kept, rows.values())
        for one, count in counted.items():
            assert count.answers <= len(true[one])
            assert true[one][0] <= count.first and count.last <= true[one][-1]
        for one in ready(counted, Floor(answers=2, over_s=3, clocks_apart_s=0), KEY, WHOLE):
            assert len(true[one]) >= 2 and true[one][-1] - true[one][0] >= 3 * S
