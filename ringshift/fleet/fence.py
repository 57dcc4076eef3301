"""The guarded resource's side of a lease: it refuses an action whose fencing token is below the highest seen.

Decisions only. A token is the create revision of the task's key at the keeper (docs/leases.md): revisions
rise, so a later holder always has a higher token, and an old holder that wakes from a stall is refused at
the resource even if it believes it still holds. Source: Burrows, "The Chubby lock service" (OSDI 2006), 2.4.
"""

from __future__ import annotations

from dataclasses import dataclass


@dataclass
class Fence:
    """The highest token admitted so far, and the progress that the last admitted step left."""

    highest: int = 0
    step: int = 0  # the task's own count of steps done, kept here so that a successor continues from it

    def admit(self, token: int, step: int) -> bool:
        """Whether a step with `token` may take effect; `step` is the one it claims to do, after the last.

        A lower token is refused (a holder that lost its lease); a step that is not the next one is refused
        too, so that a step done twice, or skipped, never takes effect."""
        if token < self.highest or step != self.step + 1:
            return False
        self.highest, self.step = token, step
        return True
