"""What a backend tells of its scheduled changes: a record and a log line for each step of their states."""

from __future__ import annotations

from collections.abc import Sequence
from typing import TYPE_CHECKING

from loguru import logger

from ringshift.lifecycle.sharing import Tell
from ringshift.records.schema import ChangeStep

if TYPE_CHECKING:
    from ringshift.schedule.timetable import Passed


def tell_passed(passed: Sequence[Passed], confirmed: bool, tell: Tell | None) -> None:
    """`confirmed`: whether what is acted by was confirmed at the look that found them."""
    for one in passed:
        logger.bind(kind="schedule").debug(f"change {one.name}: {one.old.lower()} -> {one.new.lower()}")
        if tell is not None:
            tell(
                ChangeStep(
                    one.name, one.old, one.new, one.part, round(one.left / 1e6, 3), one.withdrawn, confirmed
                )
            )
