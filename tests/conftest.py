"""Which tests share a worker of pytest-xdist (`-n 4 --dist loadgroup`), and which begin first.

Tests that start fleets of processes and put faults between them by the clock go in two lanes, one after the
other within each: all at once they would crowd the machine, and one another's times. Every other file goes
whole to the worker that is free next, so that what its tests share is made once. The long ones begin first.
"""

from __future__ import annotations

from pathlib import PurePosixPath

import pytest
from xdist.remote import Producer  # type: ignore[import-untyped]
from xdist.scheduler import LoadScopeScheduling  # type: ignore[import-untyped]

LANES = {
    "test_rules_fleet": "rules",
    "test_benchmarks": "rules",
    "test_fleet": "leases",
    "test_budgets": "leases",
}
FIRST = ["test_rules_fleet", "test_budgets", "test_fleet", "test_benchmarks", "test_stage", "test_planners"]


def pytest_configure(config: pytest.Config) -> None:
    config.option.loadscopereorder = False  # xdist's own order is by the number of tests, not by their time


class ByLane(LoadScopeScheduling):  # type: ignore[misc]
    """xdist's own `loadgroup` groups nothing with pytest 9.2, which takes no other id for a test."""

    def _split_scope(self, nodeid: str) -> str:
        file = nodeid.partition("::")[0]
        return LANES.get(PurePosixPath(file).stem, file)


def pytest_xdist_make_scheduler(config: pytest.Config, log: Producer) -> LoadScopeScheduling:
    return ByLane(config, log)


def pytest_collection_modifyitems(items: list[pytest.Item]) -> None:
    rank = {name: place for place, name in enumerate(FIRST)}
    items.sort(key=lambda item: rank.get(item.path.stem, len(FIRST)))
