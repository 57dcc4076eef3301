"""A fleet task's progress: which step to do next, from what the guarded resource last accepted.

Decisions only. The progress lives at the resource with the token that made it (ringshift/fleet/fence.py),
not at the holder: a successor, or a holder back from a stall, takes up the last step the resource accepted,
so that nothing is done twice and nothing skipped, whoever died between the resource's acceptance and its own
record of it. `most`: steps in the whole task, 0 for a task that never ends.
"""

from __future__ import annotations

from dataclasses import dataclass


@dataclass
class Progress:
    most: int = 0
    last: int = 0  # the last step the resource is known to have accepted
    known: bool = False  # whether `last` was heard from the resource since the lease was taken

    def taken(self) -> None:
        """A new hold: what the resource holds must be heard before a step is sent."""
        self.known = False

    def next(self) -> int | None:
        """The step to send now, or None: not known yet (ask the resource), or the task is done."""
        if not self.known or self.finished:
            return None
        return self.last + 1

    @property
    def finished(self) -> bool:
        return self.known and 0 < self.most <= self.last

    def heard(self, last: int) -> None:
        """The resource's answer to a step or a question: its last accepted step, whoever sent it."""
        self.last, self.known = last, True
