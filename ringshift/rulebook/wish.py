"""What an operator wants of the keeper's rulebook, what is found there, and what a process remembers of it.

Decisions' words only; what is done with them is in errand.py.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from typing import Protocol

import msgspec

from ringshift.rulebook.document import Rulebook, canonical
from ringshift.rulebook.version import PublicationError, Row, Stamp, Told, Version


class Found(Protocol):
    """What the keeper holds, read at one revision (ringshift/wire/rules.py: Held)."""

    @property
    def told(self) -> Told | None: ...
    @property
    def rows(self) -> Mapping[str, Row]: ...
    @property
    def absent(self) -> frozenset[str]: ...
    @property
    def highest(self) -> Stamp: ...
    @property
    def undoes(self) -> Stamp | None: ...
    @property
    def by_all(self) -> bool: ...
    @property
    def moved(self) -> bool: ...


def numbered(stamp: Stamp) -> str:
    return f"{stamp[0]}.{stamp[1]}"


def as_kept(book: Rulebook) -> Rulebook:
    """As the keeper gives it back, in the canonical order: a proposal is known again by being equal."""
    return msgspec.json.decode(canonical(book), type=Rulebook)


@dataclass(frozen=True)
class Wish:
    """What is to be in force at the end, `as_kept`; `undoes`: the version that it withdraws; `base`: the one
    that it was made from, where it may follow no other."""

    book: Rulebook
    author: str = ""
    reason: str = ""
    undoes: Stamp | None = None
    base: Stamp | None = None


@dataclass
class Memory:
    """What one process learnt over all its errands: so it knows at once where the keeper lost data. Not when
    readers were last read: between errands one may have confirmed to a keeper that lost it since."""

    place: tuple[int, int] = (0, 0)
    in_force: Version | None = None


def undoing(in_force: Version, kept: Sequence[Version], author: str, reason: str) -> Wish:
    """What withdraws the one in force: the book before it, under a number of its own. `kept`: ascending.
    Raises PublicationError where none is kept."""
    stamp = in_force.stamp
    before = [one for one in kept if one.stamp < stamp]
    if not before:
        raise PublicationError(f"no version before {numbered(stamp)} is kept")
    if before[-1].odd:
        raise PublicationError(f"{numbered(before[-1].stamp)}, the version before: {before[-1].odd}")
    return Wish(before[-1].book, author, reason or f"withdraws {numbered(stamp)}", stamp, stamp)
