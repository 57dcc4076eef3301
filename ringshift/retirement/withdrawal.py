"""The wish that timelines are no more in the rulebook: nobody is turned away by them from then on.

Decisions only. What a backend was told of the step stays known to it, so all are at one again should the
timeline come back (follow.py).
"""

from __future__ import annotations

from dataclasses import dataclass, field

import msgspec

from ringshift.rulebook.document import Rulebook
from ringshift.schedule.plan import Against, PlanError, Terms
from ringshift.schedule.planner import Wish


@dataclass(frozen=True)
class Withdrawal(Wish):
    """`withdrawn`: names of timelines, not of changes. `seen`: those that were found in force: one that is
    gone at a later look was withdrawn, by whoever led this proposal on."""

    seen: set[str] = field(default_factory=set, compare=False)

    def judge(self, base: Rulebook, now: int, terms: Terms) -> Rulebook | Against | None:
        """The next book; None where none of them is there any more. Raises PlanError for a name that never
        was: a misspelt one must not look withdrawn."""
        there = {one.name for one in base.timelines}
        self.seen.update(self.withdrawn & there)
        if unknown := self.withdrawn - self.seen:
            names = ", ".join(sorted(there)) or "none"
            raise PlanError(f"{', '.join(sorted(unknown))}: no such timeline in force; there are: {names}")
        if not self.withdrawn & there:
            return None
        kept = [one for one in base.timelines if one.name not in self.withdrawn]
        return msgspec.structs.replace(base, timelines=kept)
