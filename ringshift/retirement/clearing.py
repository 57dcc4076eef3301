"""When what the keeper has of a withdrawn retirement goes: once no backend can act by it, none is owed it.

Decisions only; times are ns since the epoch. A backend without contact acts by the timelines of the version
that it held last, for as long as the cut lasts, and by the decision that it was told; its own row may long
have been counted as of one that is no more. Who may still do so is told by the **rulebook's** keys: a reader,
an absent one as well, goes by no version below its `floor`. Where all are at the version in force, which has
no timeline of the name, nobody acts by one. A reader whose process is no more waits for the operators' word
(`ringshift rules forget`), as a change of `alone` does.

Before that, callers are owed their warnings: a timeline that is planned anew under the name within `KEPT_FOR`
finds them counted. After it, whoever comes back is warned anew, and is turned away by no decision of before:
the highest edition of all that went stays, one number for all names, and a ramp that finds nothing begins
above it.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import IntEnum

import msgspec

from ringshift.retirement.conditions import S
from ringshift.retirement.figures import Figures
from ringshift.retirement.position import Head, Position, head_of
from ringshift.retirement.shed import Decided
from ringshift.retirement.timeline import Phase

DAY = 86_400 * S
KEPT_FOR = 30 * DAY  # after a withdrawal
AGAIN_AFTER = DAY  # until it is looked at again, where something stands in the way

Finding = IntEnum("Finding", "UNKNOWN NAMED STANDING RECENT OWED BEHIND CLEAR")

# The first that holds is found: finding | what holds | effect. clear: all keys go; note: a head is written
# where there is none, so that it is found again; later: one is that says when to look again; else nothing.
SPECIFICATION = """
UNKNOWN  | what is in force can't be read, or nothing was ever published           |
NAMED    | the version in force or the proposed one has a timeline of the name     |
STANDING | the ramp is not written down as withdrawn                               |
RECENT   | it is, for less than `KEPT_FOR`                                         | note
OWED     | a reader's row tells callers turned away that the keeper has not down   | later
BEHIND   | a reader, or an absent one, may go by a version before the one in force | later
CLEAR    | none of these                                                           | clear
"""
TABLE: dict[Finding, tuple[str, str]] = {
    Finding[row[0].strip()]: (row[1].strip(), row[2].strip())
    for row in (line.split("|") for line in SPECIFICATION.strip().splitlines())
}
assert list(TABLE) == list(Finding)


@dataclass(frozen=True)
class Agreed:
    """The rulebook at the keeper, read at once. `in_force`: the version's (epoch, number), None where it is
    not known; `names`: of the timelines of that version and of the one proposed; `floors`: reader -> the
    lowest version that it may go by, absent ones too; `revision`: at which in force and proposed were
    written: what is decided here holds only while that is the same."""

    in_force: tuple[int, int] | None = None
    names: frozenset[str] = frozenset()
    floors: Mapping[str, tuple[int, int]] = field(default_factory=dict)
    revision: int = 0


def left(position: Position | None, head: Head | None, now: int) -> Position:
    """The position of a retirement that is led out. One that was withdrawn before anything was decided left
    rows alone: its head tells since when, and where there is none yet, that is now."""
    if position is not None:
        return position
    return Position(phase=Phase.WITHDRAWN.name, since=now if head is None else head.since)


def judge(
    name: str,
    agreed: Agreed,
    position: Position,
    rows: Mapping[str, Figures],
    now: int,
    kept_for: int = KEPT_FOR,
) -> Finding:
    """`rows`: of backends, by the name of their process and how often it began a row (`READER.1`)."""
    if agreed.in_force is None:
        return Finding.UNKNOWN
    if name in agreed.names:
        return Finding.NAMED
    if position.phase != Phase.WITHDRAWN.name:
        return Finding.STANDING
    if now - position.since < kept_for:
        return Finding.RECENT
    if any(
        told.owed - position.kept and backend.rpartition(".")[0] in agreed.floors
        for backend, told in rows.items()
    ):
        return Finding.OWED
    if any(floor < agreed.in_force for floor in agreed.floors.values()):
        return Finding.BEHIND
    return Finding.CLEAR


def written(finding: Finding, position: Position, head: Head | None, now: int) -> Head | None:
    """The head to write; None: none. `head`: the one there."""
    _, effect = TABLE[finding]
    if effect == "later":
        return msgspec.structs.replace(head_of(position), again=now + AGAIN_AFTER)
    return head_of(position) if effect == "note" and head is None else None


def clears(finding: Finding) -> bool:
    return TABLE[finding][1] == "clear"


def highest(before: int, position: Position, rows: Mapping[str, Figures]) -> int:
    """Edition that stays when these go; `before`: the one there. A backend may act by a higher one than the
    keeper has, which lost data."""
    return max(before, position.decided.edition, *(told.edition for told in rows.values()))


def begun(cleared: int, lots: int) -> Position:
    """Of a ramp that the keeper has nothing of; `lots`: the timeline's key, so that who acts by an edition
    that was cleared takes this one, by which nobody is turned away."""
    return Position(Decided(cleared + 1, lots)) if cleared else Position()


def wanted(heads: Mapping[str, Head], agreed: Agreed, now: int, kept_for: int = KEPT_FOR) -> list[str]:
    """Names of retirements that someone has to lead out: their withdrawal was never written, as whoever held
    the ramp was gone by then, or it is time to look whether their keys go."""
    if agreed.in_force is None:
        return []
    return sorted(
        name for name, head in heads.items() if name not in agreed.names and due(head, now, kept_for)
    )


def due(head: Head, now: int, kept_for: int = KEPT_FOR) -> bool:
    return now >= head.again and (head.phase != Phase.WITHDRAWN.name or now - head.since >= kept_for)
