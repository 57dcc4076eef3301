"""A run's figures over time, in buckets that grow wider as it grows longer."""

from __future__ import annotations

from ringshift.findings.digest.words import (
    AGAIN,
    COUNTS,
    LAG,
    LIMIT,
    MOST_BUCKETS,
    PRESSURE,
    RUNNING,
    SECONDS,
    SERVER_FIGURES,
    WIDTHS,
    Digest,
)
from ringshift.records.schema import Record, Second

MOST_OPERATIONS = 200


class Series:
    def __init__(self, digest: Digest) -> None:
        self.digest = digest
        self.index: dict[str, int] = {}

    def place(self, operation: str) -> int:
        """Of an operation among those of this run, which learns the ones that its start did not name."""
        index = self.index.get(operation)
        if index is None:
            if len(self.index) >= MOST_OPERATIONS:
                return -1
            index = self.index[operation] = len(self.index)
            self.digest.operations = tuple(self.index)
        return index

    def count(self, record: Record, body: Second) -> None:
        """Into the buckets of `up`; the course shifts them to the common time by their middles."""
        digest = self.digest
        bucket = digest.buckets.setdefault(record.up // digest.width, [0.0] * SERVER_FIGURES)
        bucket[SECONDS] += 1
        bucket[LIMIT] += body.limit
        bucket[PRESSURE] += body.pressure
        bucket[RUNNING] += body.running
        bucket[AGAIN] += body.again
        bucket[LAG] = max(bucket[LAG], body.lag_ms)
        for one in body.counts[:MOST_OPERATIONS]:
            if (index := self.place(one.operation[:200])) < 0:
                continue
            at = SERVER_FIGURES + index * COUNTS
            if len(bucket) < at + COUNTS:
                bucket.extend([0.0] * (at + COUNTS - len(bucket)))
            figures = (one.arrived, one.succeeded, one.throttled, one.errored, one.gone, one.ran, one.ran_ms)
            for offset, value in enumerate(figures):
                bucket[at + offset] += value
        if len(digest.buckets) > MOST_BUCKETS:
            self.widen()

    def widen(self) -> None:
        digest = self.digest
        old, digest.width = digest.width, next((w for w in WIDTHS if w > digest.width), digest.width)
        folded: dict[int, list[float]] = {}
        for index, bucket in digest.buckets.items():
            into = folded.setdefault(index * old // digest.width, [0.0] * len(bucket))
            into.extend([0.0] * (len(bucket) - len(into)))
            lag = max(into[LAG], bucket[LAG])
            for place, value in enumerate(bucket):
                into[place] += value
            into[LAG] = lag
        digest.buckets = folded
