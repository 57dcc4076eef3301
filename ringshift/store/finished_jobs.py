"""Ids of requests that may have run and are over, so that none of them runs twice."""

from __future__ import annotations


class FinishedJobs:
    """Ids as they come on the wire, 16 hex digits, in two generations: each is kept for `span` nanoseconds.

    A generation of `most` ids ends early, and the one before it goes: the newest `most` are always kept.
    """

    def __init__(self, span: int, most: int) -> None:
        self.span, self.most = span, most
        self.recent: set[int] = set()
        self.older: set[int] = set()
        self.begun = 0
        """When the recent generation began."""

    def add(self, job: str, now: int) -> None:
        """One more that is over now."""
        if now >= self.begun + self.span or len(self.recent) >= self.most:
            self.older = self.recent if now < self.begun + 2 * self.span else set()
            self.recent, self.begun = set(), now
        self.recent.add(int(job, 16))

    def __contains__(self, job: str) -> bool:
        number = int(job, 16)
        return number in self.recent or number in self.older
