"""A reader's blocking work in a thread of its own: confirmations at the keeper, the head start's writing.

One at a time, in order; the answers come back through a queue. A proposal is checked in a thread beside it: a
long check must not cost the reader its time. Until its verdict stands the proposal is not told, as if the
keeper had been asked before it came: the reader goes on by what is in force, and is waited for.
"""

from __future__ import annotations

import threading
from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass, replace
from queue import SimpleQueue

from loguru import logger

from ringshift.rulebook.version import Row, Stamp, Told, Version
from ringshift.wire.rules import RulesLink

CHECKED = 4  # verdicts remembered: a proposal is told with every answer for as long as it stands
CHECK_WAIT = 0.2  # seconds for a check to end within the answer that brought the proposal
MOST_WHY = 200  # characters


@dataclass(frozen=True)
class Answer:
    """Of the confirmation `n`. `told` is None where there was none, and `why` says so."""

    n: int
    told: Told | None
    why: str = ""


class Confirming:
    """`link`: makes one, for each thread its own. `keep`: writes a version to the disk; raises OSError.
    `check`: why this program can't take a version in, or empty; it may take its time."""

    def __init__(
        self,
        name: str,
        link: Callable[[], RulesLink],
        answers: SimpleQueue[Answer],
        keep: Callable[[Version], None] | None = None,
        check: Callable[[Version], str] | None = None,
    ) -> None:
        self.name, self.link, self.answers = name, link, answers
        self.keep, self.check = keep, check
        self.checked: dict[tuple[Stamp, str], str] = {}
        self.checking: threading.Thread | None = None
        self.generation = 0
        self.begin()

    def begin(self) -> None:
        """A new thread; what an older one still hears is dropped, as nobody waits for it any more."""
        self.generation += 1
        self.orders: SimpleQueue[Row | Version | None] = SimpleQueue()
        work = self.generation, self.orders, self.link()
        self.thread = threading.Thread(target=self.work, args=work, name="rules", daemon=True)
        self.thread.start()

    def work(self, generation: int, orders: SimpleQueue[Row | Version | None], link: RulesLink) -> None:
        while generation == self.generation and (order := orders.get()) is not None:
            if isinstance(order, Version):
                self.kept(order)
                continue
            answer = self.confirmed(link, order)
            if generation == self.generation:
                self.answers.put(answer)
        if generation == self.generation:
            with suppress(Exception):  # the row then counts until a publisher takes its lease as ended
                link.gone(self.name)

    def confirmed(self, link: RulesLink, row: Row) -> Answer:
        try:
            told = link.confirm(self.name, row)
            if told is not None and told.proposed is not None:
                told = replace(told, proposed=self.judged(told.proposed, row))
            return Answer(row.n, told, "" if told else "nothing was published yet")
        except Exception as wrong:  # whatever a client raises: not answered, and asked again later
            return Answer(row.n, None, f"{type(wrong).__name__}: {wrong}"[:MOST_WHY])

    def judged(self, version: Version, row: Row) -> Version | None:
        """With why it is refused here; None while that isn't known yet. One that was acknowledged is never
        taken back by a verdict that was forgotten: the fleet counts on it."""
        key = version.stamp, version.digest
        if version.odd or self.check is None or row.acked == version.mark:
            return version
        if key not in self.checked and (self.checking is None or not self.checking.is_alive()):
            self.checking = threading.Thread(
                target=self.checks, args=(version,), name="rules-check", daemon=True
            )
            self.checking.start()
        if self.checking is not None:
            self.checking.join(CHECK_WAIT)
        why = self.checked.get(key)
        return None if why is None else replace(version, odd=why)

    def checks(self, version: Version) -> None:
        assert self.check is not None
        try:
            why = self.check(version)[:MOST_WHY]
        except Exception as wrong:  # what can't be checked can't be taken in
            why = f"{type(wrong).__name__}: {wrong}"[:MOST_WHY]
        while len(self.checked) >= CHECKED:
            self.checked.pop(next(iter(self.checked)))
        self.checked[version.stamp, version.digest] = why

    def kept(self, version: Version) -> None:
        if self.keep is None:
            return
        try:
            self.keep(version)
        except OSError as wrong:
            logger.bind(kind="rules").warning(f"head start of version {version.stamp} not kept: {wrong}")
