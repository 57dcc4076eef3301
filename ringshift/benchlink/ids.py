"""The wire's ids of invocations as small indices, each handed out once in an instance's life."""

from __future__ import annotations


class Ids:
    """Wire ids as small indices that are handed out once in an instance's life."""

    __slots__ = ("by_id", "by_index", "next")

    def __init__(self) -> None:
        self.by_id: dict[str, int] = {}
        self.by_index: dict[int, str] = {}
        self.next = 0

    def new(self, job: str) -> int:
        index = self.next
        self.next += 1
        self.by_id[job] = index
        self.by_index[index] = job
        return index

    def drop(self, index: int) -> None:
        job = self.by_index.pop(index, None)
        if job is not None:
            self.by_id.pop(job, None)
