"""What a rulebook's `alone` admits that its own rules refuse, by kind and entry.

Decisions only. B bounds for how long two backends contradict of whom each has contact, or lost it within B.
One that stays `alone` acts by `alone` without end: it contradicts the others by nothing only where all that
the rules refuse is refused by `alone` as well. That is told and not demanded: `alone` changes in two
publications, so what is held back of a sudden is held back by the rules first.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass
from math import inf

from ringshift.rulebook.document import OF, Rulebook, Rules
from ringshift.rulebook.kinds import amounts
from ringshift.rulebook.meet import alone_of

OTHERS = "all others"

# kind | a backend alone
SPECIFICATION = """
held_back   | serves an entry that the rules hold back
let_through | serves an entry that the rules' let-through list does not name
quota       | admits above the rate at which the rules refuse
share       | admits above the share at which the rules refuse
whole       | divides more than the rules have
"""
REASONS = {
    kind.strip(): f"a backend alone {reason.strip()}"
    for kind, reason in (line.split("|") for line in SPECIFICATION.strip().splitlines())
}


@dataclass(frozen=True)
class Lax:
    """`kind` is a row of the table; `what` names the entry, or all that a let-through list doesn't name.
    `alone`, `rules`: the two amounts, where it has any; no limit is inf."""

    kind: str
    what: str
    alone: float | None = None
    rules: float | None = None

    @property
    def reason(self) -> str:
        return REASONS[self.kind]


def lax(book: Rulebook) -> list[Lax]:
    """In the order of the document's words; empty where `alone` (met with the announced one) admits nothing
    that the rules refuse. Time and room are linear in the book."""
    alone, rules = Admitting(alone_of(book)), Admitting(book)
    return [*(one for of in OF for one in of_lists(of, alone, rules)), *of_amounts(alone, rules)]


class Admitting:
    """What a document's rules say of one entry."""

    def __init__(self, rules: Rules) -> None:
        self.lists = {(str(one.of), str(one.effect)): frozenset(one.entries) for one in rules.lists}
        whole = {key for key, most in amounts(rules).items() if key[0] == "share" and most >= 1}
        self.limits = {key: most for key, most in amounts(rules).items() if key not in whole}

    def held_back(self, of: str) -> frozenset[str]:
        return self.lists.get((of, "held_back"), frozenset())

    def let_through(self, of: str) -> frozenset[str] | None:
        """None: everyone."""
        return self.lists.get((of, "let_through"))

    def none(self, of: str, entry: str) -> bool:
        """Whether nothing of an entry is admitted: a limit of 0 is as good as a list."""
        named = self.let_through(of)
        listed = entry in self.held_back(of) or (named is not None and entry not in named)
        return listed or any(self.limits.get((kind, f"{of} {entry}")) == 0 for kind in ("quota", "share"))


def of_lists(of: str, alone: Admitting, rules: Admitting) -> Iterator[Lax]:
    held, named, served = rules.held_back(of), rules.let_through(of), alone.let_through(of)
    for entry in sorted(held):
        if not alone.none(of, entry):
            yield Lax("held_back", f"{of} {entry}")
    if named is None:
        return
    if served is None:
        yield Lax("let_through", f"{of}: {OTHERS}")
        return
    for entry in sorted(served - named - held):
        if not alone.none(of, entry):
            yield Lax("let_through", f"{of} {entry}")


def of_amounts(alone: Admitting, rules: Admitting) -> Iterator[Lax]:
    for (kind, what), most in sorted(rules.limits.items()):
        admitted = alone.limits.get((kind, what), inf)
        if admitted > most and (kind == "whole" or not alone.none(*what.split(" ", 1))):
            yield Lax(kind, what, admitted, most)
