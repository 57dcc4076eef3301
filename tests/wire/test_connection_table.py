"""Connections in the order in which they are closed to make room, against the same by sorting all of them."""

from __future__ import annotations

from dataclasses import dataclass

from hypothesis import given
from hypothesis import strategies as st

from ringshift.wire.connection_table import ConnectionTable


@dataclass(eq=False)
class Entry:
    touched: float = 0.0
    spoken: bool = False
    served: bool = False
    open: bool = True
    half_closed: bool = False


def sorted_anew(entries: list[Entry], moment: float) -> list[Entry]:
    unused = [one for one in entries if one.open and not one.half_closed and one.touched <= moment]
    return sorted(unused, key=lambda one: (one.served, one.spoken, one.touched))


OPERATIONS = ("accept", "bytes", "request", "served", "half close", "end")


STEPS = st.lists(st.tuples(st.sampled_from(OPERATIONS), st.integers(0, 30)), max_size=120)


@given(STEPS, st.integers(0, 120))
def test_the_order_is_that_of_sorting_by_whether_it_asked_and_last_use(
    steps: list[tuple[str, int]], moment: int
) -> None:
    table: ConnectionTable[Entry] = ConnectionTable()
    entries: list[Entry] = []
    for now, (operation, which) in enumerate(steps, 1):
        one = entries[which % len(entries)] if entries else None
        if operation == "accept" or one is None:
            entries.append(Entry(now))
            table.add(entries[-1])
        elif operation in ("bytes", "request", "served") and one.open:
            one.touched, one.spoken = now, one.spoken or operation != "bytes"
            one.served = one.served or operation == "served"
            table.use(one)
        elif operation == "half close" and one.open:
            one.half_closed = True
            table.leave_order(one)
        elif operation == "end":
            one.open = False
            table.remove(one)
    unused = [*table.unserved_unused_since(moment), *table.served_unused_since(moment)]
    assert unused == sorted_anew(entries, moment)
    unserved = [one for one in entries if one.open and not one.half_closed and not one.served]
    assert table.oldest_never_served() is (unserved[0] if unserved else None)
    assert table.connections == {one for one in entries if one.open}
    assert table.closing == sum(one.open and one.half_closed for one in entries)


def test_one_that_half_closed_is_in_no_order_again_whatever_still_comes_on_it() -> None:
    table: ConnectionTable[Entry] = ConnectionTable()
    one = Entry()
    table.add(one)
    table.leave_order(one)
    table.use(one)
    unused = [*table.unserved_unused_since(1.0), *table.served_unused_since(1.0)]
    assert not unused and table.oldest_never_served() is None and table.closing == 1
