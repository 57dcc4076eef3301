"""What travels between publishers, the keeper and readers: versions, what is told of them, rows, effects.

Words only; version.py and reader.py decide on them.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field

from ringshift.rulebook.document import Rulebook

Stamp = tuple[int, int]  # (epoch, number): the order of versions
NOTHING: Stamp = (0, 0)
Mark = tuple[int, int, str]
"""A version by (epoch, number, the first `MARKED` digits of its digest): what a reader says of it. After a
keeper's loss of data one number may name two books, and a word on the one must not count for the other."""
UNMARKED: Mark = (0, 0, "")
MARKED = 16  # hex digits, 64 bits: two books of one number are never alike by chance


@dataclass(frozen=True)
class Version:
    stamp: Stamp
    book: Rulebook = field(compare=False)  # its digest stands for it, whatever the order of its lists
    digest: str
    author: str = ""
    reason: str = ""
    odd: str = field(default="", compare=False)
    """Why this program can't take its book in, as an older one can't read a newer one's."""

    @property
    def mark(self) -> Mark:
        return *self.stamp, self.digest[:MARKED]


@dataclass(frozen=True)
class Told:
    """What the keeper holds at `place` of its history, (epoch, revision)."""

    place: tuple[int, int]
    in_force: Version
    proposed: Version | None = None


@dataclass(frozen=True)
class Row:
    """A reader's last confirmation at the keeper: its `n`th, what it acknowledged or refused, and the highest
    place in the keeper's history that it has seen. A process started anew is another reader."""

    n: int
    acked: Mark = UNMARKED
    refused: Mark = UNMARKED
    why: str = ""
    seen: tuple[int, int] = (0, 0)  # (epoch, the keeper's revision)
    high: Mark = UNMARKED  # the highest version it has seen
    floor: Stamp = NOTHING  # what is in force below it is refused as lower
    put: int = field(default=0, compare=False)  # the keeper's revision of it: not part of what is said

    @property
    def named(self) -> tuple[Mark, Mark, Mark]:
        """The versions that it says something of."""
        return self.acked, self.refused, self.high

    @property
    def mark(self) -> tuple[int, int]:
        """Of this very putting: a confirmation that comes twice, the second time after a newer one, has the
        number of the first, and the newer one was answered all the same."""
        return self.n, self.put


@dataclass(frozen=True)
class Effect:
    """`kind`: propose, put_in_force, take_back. The keeper does put_in_force only where the proposal is still
    this one, its readers are `known`, and those in `ended` have not confirmed beyond that number."""

    kind: str
    version: Version
    known: frozenset[str] = frozenset()
    ended: Mapping[str, int] = field(default_factory=dict)
    undoes: Stamp | None = None  # with these a publisher started anew goes on as this one would
    by_all: bool = False
    base: Stamp | None = None  # the one in force that a proposal was made on; None: any, of a lost epoch
