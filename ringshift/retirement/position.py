"""What the keeper holds of a ramp between two decisions, and the picture of one decision for the records.

Words only: ringshift/retirement/ramp.py decides.
"""

from __future__ import annotations

from dataclasses import dataclass

import msgspec

from ringshift.retirement.judge import Summed
from ringshift.retirement.shed import Decided
from ringshift.retirement.timeline import Phase


class Position(msgspec.Struct, frozen=True):
    """All that the keeper holds of a ramp: the next holder goes on from it. Times ns since the epoch."""

    decided: Decided = Decided()
    phase: str = Phase.PLANNED.name
    since: int = 0
    """When the phase began."""
    held: int = 0
    """Of this rung's hold, ns waited out before `since`."""
    widened: int = 0
    """When callers were last added to a rung."""
    why: str = ""
    """The word and the finding that led here."""
    kept: frozenset[int] = frozenset()
    """Callers that some decision of this timeline turned away and a later one did not, as backends told
    (`Figures.owed`): turned away again wherever the share comes back to them, whatever counts were lost."""


@dataclass(frozen=True)
class Picture:
    """One decision, or why there is none, for the records."""

    timeline: str
    edition: int
    phase: str
    word: str
    """Empty where nothing was decided."""
    finding: str
    rung: int
    share: int
    told: Summed
