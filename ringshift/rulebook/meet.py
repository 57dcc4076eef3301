"""The meet of two rulebooks: what either refuses is refused; and the predicate that judges an invocation.

Decisions only. The meet of a and b is the greatest set of rules below both: whoever acts by it keeps a and
keeps b, so it contradicts neither, for every kind of ringshift/rulebook/kinds.py that contradicts: held back
lists are joined, let-through lists cut down to what both name, quotas, shares and wholes the lesser.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import TypeVar

from ringshift.rulebook.document import OF, Listing, Portion, Quota, Rulebook, Rules, Whole
from ringshift.rulebook.kinds import amounts

Key = TypeVar("Key")


def meet(a: Rules, b: Rules) -> Rules:
    """Commutative, associative and idempotent but for texts, which are a's where a has any."""
    return Rules(
        lists=met_lists(a, b),
        quotas=[Quota(*key, value) for key, value in lesser(
            {(one.of, one.entry): one.most for one in a.quotas},
            {(one.of, one.entry): one.most for one in b.quotas}).items()],
        shares=[Portion(*key, value) for key, value in lesser(
            {(one.of, one.entry): one.share for one in a.shares},
            {(one.of, one.entry): one.share for one in b.shares}).items()],
        wholes=[Whole(key, value) for key, value in lesser(
            {one.budget: one.whole for one in a.wholes},
            {one.budget: one.whole for one in b.wholes}).items()],
    )  # fmt: skip


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
