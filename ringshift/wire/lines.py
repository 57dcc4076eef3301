"""Lines read straight into one buffer; each is a slice of it, good until the next read."""

from __future__ import annotations

from collections.abc import Iterator

LONGEST_LINE = 64 * 1024


class TooLong(Exception):
    """A line that is longer than any notice."""


class Lines:
    def __init__(self) -> None:
        self.buffer = bytearray(2 * LONGEST_LINE)
        self.view = memoryview(self.buffer)
        self.start = self.stop = 0

    def space(self) -> memoryview:
        """Where the next bytes go; what is left of the last ones is moved to the front first."""
        left = self.stop - self.start
        if left > LONGEST_LINE:
            raise TooLong
        if self.start and left:
            self.buffer[:left] = self.buffer[self.start : self.stop]
        self.start, self.stop = 0, left
        return self.view[left:]

    def took(self, size: int) -> Iterator[memoryview]:
        self.stop += size
        while (end := self.buffer.find(b"\n", self.start, self.stop)) >= 0:
            line = self.view[self.start : end]
            self.start = end + 1
            yield line
