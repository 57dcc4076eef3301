"""Changes by time: which are in force in a window, and one more put in, without looking at all of them.

Windows are kept sorted by their start, apart by the power of two of their length; in one class none is longer
than its bound, so those that reach into a window begin in a stretch of known length: two bisections a class,
at most 64 classes. One long window thus doesn't make every look-up long, as a single sorted list would.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator

from sortedcontainers import SortedKeyList  # type: ignore[import-untyped]

from ringshift.schedule.change import Change


def begins(change: Change) -> tuple[int, str]:
    return change.start, change.name


class Index:
    def __init__(self, changes: Iterable[Change] = (), late: int = 0) -> None:
        """`late`: ns by which an effect may go on after its window at a backend that is behind."""
        self.late = late
        self.by_length: dict[int, SortedKeyList] = {}
        classes: dict[int, list[Change]] = {}
        for change in changes:
            classes.setdefault((change.end - change.start).bit_length(), []).append(change)
        for length, ones in classes.items():
            self.by_length[length] = SortedKeyList(ones, key=begins)

    def add(self, change: Change) -> None:
        length = (change.end - change.start).bit_length()
        self.by_length.setdefault(length, SortedKeyList(key=begins)).add(change)

    def live(self, start: int, end: int) -> Iterator[Change]:
        """Those in force, or going on late, at an instant of [start, end)."""
        for length, ones in self.by_length.items():
            for change in ones.irange_key((start - (1 << length) - self.late, ""), (end, ""), (True, False)):
                if change.end + self.late > start:
                    yield change
