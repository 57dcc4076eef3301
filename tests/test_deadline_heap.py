"""The heap of deadlines, against a plain list, and what it holds of those that are over."""

from __future__ import annotations

from hypothesis import given, settings
from hypothesis import strategies as st

from ringshift.deadline_heap import MOST_STALE, DeadlineHeap

STEPS = st.lists(st.tuples(st.sampled_from(["begin", "add", "end", "pass"]), st.integers(0, 9)), max_size=120)


@settings(derandomize=True, deadline=None)
@given(STEPS)
def test_any_order_of_steps_rings_for_all_that_live_in_order_of_time(steps: list[tuple[str, int]]) -> None:
    alive = dict[int, None]()
    heap, expected, now, begun = DeadlineHeap[int](alive), list[tuple[int, int, int]](), 0, 0
    for what, number in steps:
        if what == "begin":
            begun += 1
            alive[begun] = None
        elif what == "add" and alive:
            owner = list(alive)[number % len(alive)]
            heap.add(now + number, owner, number)
            expected.append((now + number, owner, number))
        elif what == "end" and alive:
            del alive[list(alive)[number % len(alive)]]
        else:
            now += number
            due = sorted(one for one in expected if one[0] <= now)
            expected = [one for one in expected if one[0] > now]
            rung = list(heap.due(now))
            assert [one for one in rung if one[0] in alive] == [one[1:] for one in due if one[1] in alive]


def test_owners_that_are_over_leave_at_most_a_fixed_number_behind() -> None:
    """Deadlines years away stayed for good: each request that told such a wait cost memory for ever."""
    alive = dict[int, None]()
    heap = DeadlineHeap[int](alive)
    for owner in range(20_000):
        alive[owner] = None
        heap.add(10**30, owner, 1)
        heap.add(10**30, owner, 2)
        if owner >= 10:
            del alive[owner - 10]
        assert len(heap) <= 2 * (2 * len(alive) + 2) + MOST_STALE


def test_what_rings_may_add_a_deadline_that_is_due_already() -> None:
    heap = DeadlineHeap[int]({7: None})
    heap.add(1, 7, 0)
    rung = list[int]()
    for owner, what in heap.due(5):
        rung.append(what)
        if what < 3:
            heap.add(2, owner, what + 1)
    assert rung == [0, 1, 2, 3]
