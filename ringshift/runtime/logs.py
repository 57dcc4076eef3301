"""Log lines by loguru, on standard error. Kinds that traffic can repeat are counted and bounded in rate."""

from __future__ import annotations

import sys
import time

from loguru import logger

EVERY = 10.0  # seconds between two lines of one kind
MOST_KINDS = 200
LONGEST_DETAIL = 200  # characters; some come from outside


def set_up(name: str) -> None:
    logger.remove()
    logger.configure(extra={"name": name})
    logger.add(
        sys.stderr,
        format="{time:YYYY-MM-DDTHH:mm:ss.SSS} {level} {extra[name]} {message}",
        level="INFO",
        backtrace=False,
        diagnose=False,
    )


class Counted:
    """A line at the first of a kind, then at most one every ten seconds, telling how many came since."""

    def __init__(self) -> None:
        self.kinds: dict[str, tuple[float, int]] = {}

    def warn(self, kind: str, detail: str = "") -> None:
        now = time.monotonic()
        at, count = self.kinds.get(kind, (0.0, 0))
        count += 1
        if at and now < at + EVERY:
            self.kinds[kind] = (at, count)
            return
        if kind in self.kinds or len(self.kinds) < MOST_KINDS:
            self.kinds[kind] = (now, 0)
            logger.warning(
                "{}: {} ({} since the last such line)", kind, detail[:LONGEST_DETAIL] or "-", count
            )


counted = Counted()
