"""The differences between two rulebooks, each of a kind, and which kinds contradict.

Decisions only. Two backends *contradict* each other while one admits what the other's rules refuse and there
is no one rulebook that both keep. Which differences can make them do so is decided by kind, in the table.
"""

from __future__ import annotations

from collections.abc import Iterator, Mapping
from dataclasses import dataclass
from enum import Enum
from math import inf

from ringshift.rulebook.document import Rulebook, Rules, digest


class Verdict(Enum):
    """ALWAYS: for as long as both are acted by, at most B; SUMMED: only while the amounts of both are in use
    at once; NEVER: not at all; ENDLESS: without a bound, so it is never done in one step."""

    ALWAYS = 1
    SUMMED = 2
    NEVER = 3
    ENDLESS = 4


# kind | verdict | reason
SPECIFICATION = """
held_back added     | ALWAYS  | one refuses the entry that the other serves
held_back removed   | ALWAYS  | one serves the entry that the other refuses
let_through added   | ALWAYS  | one serves the entry, the other refuses all that it does not name
let_through removed | ALWAYS  | one refuses the entry that the other still names
let_through begun   | ALWAYS  | one refuses all others, the other none
let_through ended   | ALWAYS  | one refuses none, the other all that it does not name
quota lowered       | ALWAYS  | one admits above the rate at which the other refuses
quota raised        | ALWAYS  | the same, seen from the other side: a quota is judged at each invocation
share lowered       | ALWAYS  | one admits above the share at which the other refuses
share raised        | ALWAYS  | the same, seen from the other side
whole lowered       | ALWAYS  | what was granted of the old whole is more than the new one allows
whole raised        | SUMMED  | grants of the old whole fit the new one; grants of both, each in full, do not
text changed        | NEVER   | nothing is judged by it
alone announced     | NEVER   | a backend alone keeps both: it keeps the one before, and the one after
alone dropped       | NEVER   | a backend alone keeps the one that both versions hold
alone changed       | ENDLESS | a backend without contact acts by `alone` for as long as the cut lasts
"""
TABLE: dict[str, tuple[Verdict, str]] = {
    row[0].strip(): (Verdict[row[1].strip()], row[2].strip())
    for row in (line.split("|") for line in SPECIFICATION.strip().splitlines())
}


@dataclass(frozen=True)
class Difference:
    """`kind` is a row of the table; `what` names the entry; `old`, `new`: amounts, where it has any."""

    kind: str
    what: str
    old: float | None = None
    new: float | None = None

    @property
    def verdict(self) -> Verdict:
        return TABLE[self.kind][0]

    @property
    def reason(self) -> str:
        return TABLE[self.kind][1]


def differences(a: Rulebook, b: Rulebook) -> list[Difference]:
    """From `a` to `b`, in the order of the document's words. Time and room are linear in both."""
    out = [*of_lists(a, b), *of_amounts(a, b), *of_texts(a, b)]
    if digest(a.alone) != digest(b.alone):
        out.append(Difference("alone changed", "alone"))
    was, now = (None if one is None else digest(one) for one in (a.alone_next, b.alone_next))
    if was != now and now is not None:
        out.append(Difference("alone announced", "alone_next"))
    if was is not None and was != now:
        out.append(Difference("alone dropped", "alone_next"))
    return out


def contradict(a: Rulebook, b: Rulebook, summed: bool = False) -> bool:
    """Whether two backends in contact, one by each, contradict. `summed`: both amounts are in use."""
    verdicts = {one.verdict for one in differences(a, b)}
    return Verdict.ALWAYS in verdicts or (summed and Verdict.SUMMED in verdicts)


def of_lists(a: Rules, b: Rules) -> Iterator[Difference]:
    old, new = ({(one.of, one.effect): set(one.entries) for one in book.lists} for book in (a, b))
    for key in sorted(old | new):
        of, effect = key
        if effect == "let_through" and (key in old) != (key in new):
            yield Difference("let_through begun" if key in new else "let_through ended", of)
            continue
        was, now = old.get(key, set()), new.get(key, set())
        for entry in sorted(now - was):
            yield Difference(f"{effect} added", f"{of} {entry}")
        for entry in sorted(was - now):
            yield Difference(f"{effect} removed", f"{of} {entry}")


def amounts(book: Rules) -> dict[tuple[str, str], float]:
    """Every limit by its kind and name; one that is not there is no limit."""
    return {
        **{("quota", f"{one.of} {one.entry}"): one.most for one in book.quotas},
        **{("share", f"{one.of} {one.entry}"): one.share for one in book.shares},
        **{("whole", one.budget): one.whole for one in book.wholes},
    }


def of_amounts(a: Rules, b: Rules) -> Iterator[Difference]:
    old, new = amounts(a), amounts(b)
    for key in sorted(old | new):
        was, now = old.get(key, inf), new.get(key, inf)
        if was != now:
            yield Difference(f"{key[0]} {'lowered' if now < was else 'raised'}", key[1], was, now)


def texts(book: Rulebook) -> Mapping[str, str]:
    return {
        "text": book.text,
        **{f"lists {one.of} {one.effect}": one.text for one in book.lists},
        **{f"quotas {one.of} {one.entry}": one.text for one in book.quotas},
        **{f"shares {one.of} {one.entry}": one.text for one in book.shares},
        **{f"wholes {one.budget}": one.text for one in book.wholes},
    }


def of_texts(a: Rulebook, b: Rulebook) -> Iterator[Difference]:
    old, new = texts(a), texts(b)
    for key in sorted(set(old) | set(new)):
        if old.get(key, "") != new.get(key, ""):
            yield Difference("text changed", key)
