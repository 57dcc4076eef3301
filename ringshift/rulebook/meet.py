"""The meet of two rulebooks: what either refuses is refused; and the predicate that judges an invocation.

Decisions only. The meet of a and b is the greatest set of rules below both: whoever acts by it keeps a and
keeps b, so it contradicts neither, for every kind of ringshift/rulebook/kinds.py that contradicts: held back
lists are joined, let-through lists cut down to what both name, quotas, shares and wholes the lesser.

Of scheduled changes (`standing`) a backend by several versions begins only what every one of them holds and
none has withdrawn, and walks back only what no one of them holds: so what it has in force was begun by a
version that was in force, and whatever is planned on either of them was validated beside it. Of retirements
it acts by the timelines of all (`met_timelines`): a caller is turned away where any of them does.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field
from enum import IntEnum
from typing import TypeVar

from ringshift.retirement.timeline import Timeline
from ringshift.rulebook.document import OF, Listing, Portion, Quota, Rulebook, Rules, Whole
from ringshift.rulebook.kinds import amounts
from ringshift.schedule.change import Change

Key = TypeVar("Key")


def meet(a: Rules, b: Rules) -> Rules:
    """Commutative, associative and idempotent but for texts, which are a's where a has any."""
    return Rules(
        lists=met_lists(a, b),
        quotas=[
            Quota(*key, value)
            for key, value in lesser(
                {(one.of, one.entry): one.most for one in a.quotas},
                {(one.of, one.entry): one.most for one in b.quotas},
            ).items()
        ],
        shares=[
            Portion(*key, value)
            for key, value in lesser(
                {(one.of, one.entry): one.share for one in a.shares},
                {(one.of, one.entry): one.share for one in b.shares},
            ).items()
        ],
        wholes=[
            Whole(key, value)
            for key, value in lesser(
                {one.budget: one.whole for one in a.wholes}, {one.budget: one.whole for one in b.wholes}
            ).items()
        ],
    )


def lesser(a: Mapping[Key, float], b: Mapping[Key, float]) -> dict[Key, float]:
    """Of two limits the lower; a limit that only one states is stated by the meet."""
    return {key: min(a.get(key, b.get(key, 0.0)), b.get(key, a.get(key, 0.0))) for key in {**a, **b}}


def met_lists(a: Rules, b: Rules) -> list[Listing]:
    out = {(one.of, one.effect): one for one in a.lists}
    for other in b.lists:
        key = other.of, other.effect
        one = out.get(key)
        if one is None:
            out[key] = other  # let-through of one side only: the other names everyone
            continue
        mine, theirs = set(one.entries), set(other.entries)
        both = mine | theirs if other.effect == "held_back" else mine & theirs
        out[key] = Listing(other.of, other.effect, sorted(both), one.text or other.text)
    return list(out.values())


Standing = IntEnum("Standing", "BEGINS GOES_ON BACK")
"""Of a change by the versions acted by. GOES_ON: not begun, but one under way goes on by its plan."""

Set = Mapping[str, tuple[Change, bool]]
"""A version's changes by name, and whether each is withdrawn (ringshift/schedule/planned.py: `expanded`)."""


def standing(sets: Sequence[Set]) -> dict[str, tuple[Change, Standing]]:
    """Commutative, associative and idempotent. One that two versions of one name state otherwise begins by
    neither: that is refused where it is planned."""
    out: dict[str, tuple[Change, Standing]] = {}
    for name in dict.fromkeys(name for one in sets for name in one):
        told = [one.get(name) for one in sets]
        held = [one for one in told if one is not None and not one[1]]
        known = [one for one in told if one is not None]
        if not held:
            out[name] = known[0][0], Standing.BACK
        elif len(held) == len(sets) and all(one == held[0] for one in held):
            out[name] = held[0][0], Standing.BEGINS
        else:
            out[name] = held[0][0], Standing.GOES_ON
    return out


def met_timelines(books: Sequence[Rulebook]) -> list[Timeline]:
    """Each once; two of one name where one version alters the other's."""
    out: list[Timeline] = []
    for book in books:
        out += [one for one in book.timelines if one not in out]
    return out


def alone_of(book: Rulebook) -> Rules:
    """By what a backend without contact acts that holds `book`: both, where the next one is announced."""
    return book.alone if book.alone_next is None else meet(book.alone, book.alone_next)


@dataclass(frozen=True)
class Invocation:
    """What is judged. `used`: by kind and name as in `kinds.amounts`, what would be in use with this one."""

    callers: str = ""
    customers: str = ""
    places: str = ""
    operations: str = ""
    used: Mapping[tuple[str, str], float] = field(default_factory=dict)


class Judge:
    """A rulebook made ready for the request path: one look-up for each list and each amount in use."""

    def __init__(self, rules: Rules) -> None:
        empty = frozenset[str]()
        lists = {(one.of, one.effect): frozenset(one.entries) for one in rules.lists}
        self.held_back = [(of, lists.get((of, "held_back"), empty)) for of in OF]
        self.let_through = [(of, lists[of, "let_through"]) for of in OF if (of, "let_through") in lists]
        self.limits = amounts(rules)

    def refused(self, invocation: Invocation) -> str:
        """Why, or empty where nothing refuses it."""
        for of, entries in self.held_back:
            if getattr(invocation, of) in entries:
                return f"{of} held back"
        for of, entries in self.let_through:
            if getattr(invocation, of) not in entries:
                return f"{of} not let through"
        for key, amount in invocation.used.items():
            if key in self.limits and amount > self.limits[key]:
                return " ".join(key)
        return ""

    def admits(self, invocation: Invocation) -> bool:
        return not self.refused(invocation)
