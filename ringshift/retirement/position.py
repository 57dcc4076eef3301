"""What the keeper holds of a ramp between two decisions, and the picture of one decision for the records.

Words only: ringshift/retirement/ramp.py decides. Of a position backends read no more than `decided` and
`kept`, which may be long; so a `Head` is written with each, by which they know whether they hold them already
(holding.py).
"""

from __future__ import annotations

from dataclasses import dataclass

import msgspec
from xxhash import xxh3_128_hexdigest

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


class Head(msgspec.Struct, frozen=True):
    """Of a position, in a hundred bytes. `digest`: of what backends read of it (`digest`)."""

    digest: str
    phase: str = Phase.PLANNED.name
    since: int = 0
    """When the phase began, ns since the epoch."""
    again: int = 0
    """Of one that is withdrawn: not to be looked at before (clearing.py)."""


def digest(position: Position | None) -> str:
    """Of the decision whole, and of the callers kept, not of the phase: a ramp that only pauses sends nobody
    for callers that are held already. Equal only where they are, whatever revisions or editions say: a keeper
    restored from an older copy gives both a second time. Empty for None."""
    if position is None:
        return ""
    parts = position.decided, position.kept
    return str(xxh3_128_hexdigest(msgspec.json.encode(parts, order="deterministic")))


def head_of(position: Position) -> Head:
    return Head(digest(position), position.phase, position.since)


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
