"""The differences between two rulebooks, each of a kind, and which kinds contradict.

Decisions only. Two backends *contradict* each other while one admits what the other's rules refuse and there
is no one rulebook that both keep. Which differences can make them do so is decided by kind, in the table.
"""

from __future__ import annotations

from collections.abc import Iterator, Mapping
from dataclasses import dataclass
from enum import Enum
from math import inf

from msgspec.structs import replace

from ringshift.rulebook.document import Rulebook, Rules, digest
from ringshift.schedule.planned import Horizon, Planned, by_name, nanoseconds, over


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
change added        | NEVER   | begun only where each version acted by holds it; validated beside the others
change withdrawn    | NEVER   | it only falls, and its place is held until its planned end
change settled      | NEVER   | only windows that could begin nowhere are let go
change over         | NEVER   | nothing of it is in force anywhere any more
change altered      | ENDLESS | a backend without contact goes on by the plan that it began
change dropped      | ENDLESS | the same, and its place is given to another; it is withdrawn instead
horizon moved       | NEVER   | windows up to it are validated and those beyond it are not begun
horizon cut         | ENDLESS | a window that was in the plan may have begun
world changed       | NEVER   | nothing is judged by it in service: plans are validated against it
timeline added      | ALWAYS  | one turns away callers whom the other serves
timeline dropped    | ALWAYS  | the same, seen from the other side
timeline altered    | ALWAYS  | they may turn away other callers, or the same at other dates
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
    out = [*of_lists(a, b), *of_amounts(a, b), *of_changes(a, b), *of_texts(a, b)]
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


def of_changes(a: Rulebook, b: Rulebook) -> Iterator[Difference]:
    old, new = by_name(a.changes), by_name(b.changes)
    for name in sorted({*old, *new}):
        was, now = old.get(name), new.get(name)
        if was is None:
            yield Difference("change added", name)
        elif now is None:
            gone = b.horizon is not None and over(was, b.horizon)
            yield Difference("change over" if gone else "change dropped", name)
        elif was is not now:
            yield from (Difference(kind, name) for kind in marked(was, now, b.horizon))
    if a.horizon != b.horizon and a.horizon is not None:
        cut = b.horizon is None or b.horizon.to < a.horizon.to or b.horizon.at < a.horizon.at
        yield Difference("horizon cut" if cut and a.changes else "horizon moved", "horizon")
    elif a.horizon != b.horizon:
        yield Difference("horizon moved", "horizon")
    if a.world != b.world:
        yield Difference("world changed", "world")
    yield from of_timelines(a, b)


def of_timelines(a: Rulebook, b: Rulebook) -> Iterator[Difference]:
    old, new = ({one.name: one for one in book.timelines} for book in (a, b))
    for name in sorted({*old, *new}):
        if name not in old or name not in new:
            yield Difference("timeline added" if name in new else "timeline dropped", name)
        elif replace(old[name], text="") != replace(new[name], text=""):
            yield Difference("timeline altered", name)


def marked(was: Planned, now: Planned, horizon: Horizon | None) -> Iterator[str]:
    """Kinds of difference between two rows of one name. A mark is set once, and settled only by a horizon
    that was planned when the withdrawal was in force."""
    taken_back = was.withdrawn not in (None, now.withdrawn) or was.settled not in (None, now.settled)
    early = (
        now.settled is not None
        and was.settled is None
        and (
            was.withdrawn is None or horizon is None or nanoseconds(now.settled) < horizon.now + horizon.late
        )
    )
    if was.plan() != now.plan() or taken_back or early:
        yield "change altered"
        return
    if was.withdrawn != now.withdrawn:
        yield "change withdrawn"
    if was.settled != now.settled:
        yield "change settled"


def texts(book: Rulebook) -> Mapping[str, str]:
    return {
        "text": book.text,
        **{f"changes {one.name}": one.text for one in book.changes},
        **{f"timelines {one.name}": one.text for one in book.timelines},
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
