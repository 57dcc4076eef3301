"""Which of a fleet's processes should take which of several tasks: those that hold least already.

Decisions only. Every process seeks every task, and the first to ask holds it: without more, the process that
was started first would hold all of them, and all would need a successor at once when it goes. So a process
that holds others already waits longer before it seeks a freed task, by a step for each, and one that starts
waits by chance where there is more than one task. Nothing is promised by it: a lease is still whoever's asked
first, and a task that nobody else takes is taken after the wait. What it costs is that wait, at a handover
only.
"""

from __future__ import annotations

from dataclasses import dataclass, field

MS = 1_000_000
STEP = 400 * MS  # for each task held already: several answers of a keeper, well under any time to live
MOST_WAIT = 2_000 * MS  # however many are held: a task must not lie idle for its holder's sake


@dataclass
class Placement:
    """Of one process: the tasks it seeks, and which of them it holds."""

    tasks: tuple[str, ...]
    held: set[str] = field(default_factory=set)

    def took(self, task: str) -> None:
        if task in self.tasks:
            self.held.add(task)

    def let_go(self, task: str) -> None:
        self.held.discard(task)

    def wait(self, task: str) -> int:
        """Nanoseconds to wait before `task` is sought once it is free: none for one that is held here, or
        where this process holds no other."""
        others = len(self.held - {task})
        return min(others * STEP, MOST_WAIT)

    def first_wait(self, task: str, chance: float) -> int:
        """Before the first seek: spread by chance over as many steps as there are other tasks."""
        return min(int(chance * (len(self.tasks) - 1) * STEP), MOST_WAIT)
