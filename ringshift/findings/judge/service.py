"""What service each operation had over the whole course."""

from __future__ import annotations

from ringshift.findings.course import Course
from ringshift.findings.digest import ARRIVED, COUNTS, GONE, SUCCEEDED
from ringshift.findings.judge.finding import Loss


def losses(course: Course) -> list[Loss]:
    told = []
    for operation, series in sorted(course.work.items()):
        sums = [int(sum(series[offset::COUNTS])) for offset in range(COUNTS)]
        worst, at = 1.0, course.start
        for bucket in range(course.buckets):
            figures = series[bucket * COUNTS : (bucket + 1) * COUNTS]
            answered = sum(figures[SUCCEEDED : GONE + 1])
            if answered * 100 >= max(sum(sums[SUCCEEDED : GONE + 1]), 1):
                share = figures[SUCCEEDED] / answered
                if share < worst:
                    worst, at = share, course.start + bucket * course.width
        arrived, succeeded, throttled, errored, gone = sums[ARRIVED : GONE + 1]
        told.append(Loss(operation, arrived, succeeded, throttled, errored, gone, at, worst))
    return told
