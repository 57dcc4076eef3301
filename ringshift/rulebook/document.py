"""A rulebook: one TOML document of the operators, read into typed words; what is wrong is told by line.

Decisions only. Every list is kept once for what it lists (`of`) and what it does (`effect`), so that a
look-up is one set and the meet of two rulebooks needs no order. Amounts are of the fleet: a quota in
invocations a second, a share from 0 to 1 of a backend's capacity, a whole in the units of its budget.

`changes` are scheduled ones (ringshift/schedule/planned.py), `world` what they are validated against,
`horizon` when and how far ahead that was done; docs/schedule.md tells how they land.

`alone` is mandatory: the cautious rules of a backend without contact. `alone_next` announces the one that
will follow it (ringshift/rulebook/version.py tells why that takes two steps).
"""

from __future__ import annotations

import hashlib
import re
import tomllib
from typing import Literal

import msgspec

from ringshift.machine import Malformed
from ringshift.retirement.timeline import Timeline
from ringshift.schedule.planned import MOST_ROWS, Horizon, Planned, Stated
from ringshift.settings.operators import NAME, where

Of = Literal["callers", "customers", "places", "operations"]
OF: tuple[Of, ...] = ("callers", "customers", "places", "operations")
MOST_ENTRIES = 100_000  # of one list: a document past it is a mistake, not a rulebook


class Listing(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    of: Of
    effect: Literal["held_back", "let_through"]
    """held_back: those named are refused. let_through: all others are refused; empty, everyone is."""
    entries: list[str] = []
    text: str = ""
    """For people; nothing is judged by it."""

    def __post_init__(self) -> None:
        if len(self.entries) > MOST_ENTRIES:
            raise ValueError(f"entries: {len(self.entries)}, more than {MOST_ENTRIES}")
        seen = set[str]()
        for entry in self.entries:
            if not 0 < len(entry) <= 256 or not entry.isprintable():
                raise ValueError(f"entries: {entry[:40]!r} is not 1 to 256 printable characters")
            if entry in seen:
                raise ValueError(f"entries: {entry!r} twice")
            seen.add(entry)


class Quota(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    of: Of
    entry: str
    most: float
    """Invocations a second over the fleet."""
    text: str = ""

    def __post_init__(self) -> None:
        if not 0 <= self.most < 1e12:
            raise ValueError(f"most: {self.most}; from 0 to under 1e12")


class Portion(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    of: Of
    entry: str
    share: float
    """Of a backend's capacity."""
    text: str = ""

    def __post_init__(self) -> None:
        if not 0 <= self.share <= 1:
            raise ValueError(f"share: {self.share}; from 0 to 1")


class Whole(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    budget: str
    whole: float
    text: str = ""

    def __post_init__(self) -> None:
        if not NAME.fullmatch(self.budget):
            raise ValueError(f"budget: {self.budget!r} is not 1 to 64 letters, digits, - or _")
        if not 0 <= self.whole < 1e12:
            raise ValueError(f"whole: {self.whole}; from 0 to under 1e12")


class Rules(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """What is refused. Empty, nothing is."""

    lists: list[Listing] = []
    quotas: list[Quota] = []
    shares: list[Portion] = []
    wholes: list[Whole] = []

    def __post_init__(self) -> None:
        once("lists", [(one.of, one.effect) for one in self.lists])
        once("quotas", [(one.of, one.entry) for one in self.quotas])
        once("shares", [(one.of, one.entry) for one in self.shares])
        once("wholes", [(one.budget,) for one in self.wholes])


class Rulebook(Rules, frozen=True, forbid_unknown_fields=True, kw_only=True):
    alone: Rules
    """By which a backend without contact acts: mandatory, as a backend may lose contact in any version."""
    alone_next: Rules | None = None
    """Announced: the `alone` of a version to come. A backend without contact keeps both."""
    changes: list[Planned] = []
    world: Stated = Stated()
    horizon: Horizon | None = None
    timelines: list[Timeline] = []
    text: str = ""

    def __post_init__(self) -> None:
        super().__post_init__()
        if len(self.changes) > MOST_ROWS:
            raise ValueError(f"changes: {len(self.changes)}, more than {MOST_ROWS}")
        once("changes", [(one.name,) for one in self.changes])
        once("timelines", [(one.name,) for one in self.timelines])

    def rules(self) -> Rules:
        """What is judged while there is contact: the document without what is for backends alone."""
        return Rules(self.lists, self.quotas, self.shares, self.wholes)


def once(field: str, keys: list[tuple[str, ...]]) -> None:
    """Raises ValueError, naming the field, where two say something of the same."""
    seen = set[tuple[str, ...]]()
    for key in keys:
        if key in seen:
            raise ValueError(f"{field}: two of {' '.join(key)}")
        seen.add(key)


def read(text: str, name: str = "rulebook") -> Rulebook:
    """The rulebook of a TOML text. Raises Malformed with one line: file, line, field, what is wrong."""
    try:
        return msgspec.convert(tomllib.loads(text), Rulebook)
    except tomllib.TOMLDecodeError as wrong:
        told = str(wrong).replace("at end of document", f"at line {len(text.splitlines()) + 1}, the end")
        raise Malformed(f"{name}: {told}") from None
    except msgspec.ValidationError as wrong:
        raise Malformed(f"{name}: {where(text, named(str(wrong)))}") from None


def named(wrong: str) -> str:
    """msgspec names the struct of a failed check, our check names its field: the path to both."""
    told, dash, path = wrong.partition(" - at `")
    checked = re.match(r"(\w+): ", told)
    if checked is None:
        return wrong
    return f"{told} - at `{path.rstrip('`') if dash else '$'}.{checked[1]}`"


def canonical(book: Rules) -> bytes:
    """The same bytes for the same rules, whatever the order in which the document gave them."""
    return msgspec.json.encode(ordered(msgspec.to_builtins(book)), order="deterministic")


def ordered(value: object) -> object:
    if isinstance(value, dict):
        return {key: ordered(one) for key, one in value.items()}
    if isinstance(value, list):
        return sorted((ordered(one) for one in value), key=msgspec.json.Encoder(order="deterministic").encode)
    return value


def digest(book: Rules) -> str:
    """64 hexadecimal digits."""
    return hashlib.sha256(canonical(book)).hexdigest()
