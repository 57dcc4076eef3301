"""What ties a run's clock to its callers': the least difference of each window of time."""

from __future__ import annotations

from ringshift.findings.digest.words import MS, S
from ringshift.records.schema import Record, Second

MOST_STAMPED = 240  # windows by caller that tie a run's clock


class Stamps:
    def __init__(self) -> None:
        self.window = 60 * S
        self.best: dict[tuple[int, int], tuple[int, int]] = {}
        """caller, window -> how far `up` 0 lies past the caller's clock's 0 at least, up"""

    def take(self, record: Record, body: Second) -> None:
        """The least difference of a window is the one with the least delay in it."""
        for one in body.stamps:
            key = one.caller, record.up // self.window
            # By the caller's clock it was `at - least` when it was `up` here.
            value = record.at - record.up - round(one.least_ms * MS)
            best = self.best.get(key)
            if best is None or value > best[0]:
                self.best[key] = value, record.up
        while len(self.best) > MOST_STAMPED:
            # Of a long run fewer and wider windows: its clock drifts no faster for it.
            self.window *= 2
            folded: dict[tuple[int, int], tuple[int, int]] = {}
            for (caller, window), seen in self.best.items():
                into = caller, window // 2
                folded[into] = max(folded.get(into, seen), seen)
            if len(folded) == len(self.best):
                folded = dict(list(folded.items())[:MOST_STAMPED])  # that many callers: the first ones do
            self.best = folded

    def rows(self) -> list[tuple[int, int, int, int]]:
        """As `Digest.stamps` holds them."""
        return [(caller, window, value, up) for (caller, window), (value, up) in sorted(self.best.items())]
