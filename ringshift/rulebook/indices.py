"""What a rulebook's rules ask of one backend, in the indices that its decisions know.

Decisions only. Operations and customers are indices by their place in the machine, callers are the number
with which they present themselves; an entry that is no number, or names what this backend doesn't have, names
nobody here. What is listed by place is for all or nothing: a backend serves at one place. A backend that says
no place is at none that a list lets through.

Quotas of the fleet are divided by its size: a backend knows no more of the others than that. A share is of
this backend's capacity, in invocations a second, where that is known; where not, only a share of 0 binds.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass, field
from functools import cached_property

from ringshift import interface as face
from ringshift.rulebook.document import Of, Rules

KINDS: tuple[Of, Of, Of] = ("operations", "customers", "callers")  # in the order of face.Ruled
NOTHING = frozenset[int]()


@dataclass(frozen=True)
class Names:
    """`place`: where this backend serves, empty where it says none. `capacity`: invocations a second of each
    operation that this backend could serve alone, where that is known."""

    operations: tuple[str, ...] = ()
    customers: tuple[str, ...] = ()
    place: str = ""
    fleet: int = 1
    capacity: Mapping[int, float] = field(default_factory=dict)

    def indices(self, of: Of, entries: Iterable[str]) -> frozenset[int]:
        if of == "callers":
            return frozenset(filter(lambda one: one >= 0, map(number, entries)))
        known = self.numbers.get(of, {})
        return frozenset(known[one] for one in entries if one in known)

    @cached_property
    def numbers(self) -> dict[Of, dict[str, int]]:
        return {
            "operations": {name: n for n, name in enumerate(self.operations)},
            "customers": {name: n for n, name in enumerate(self.customers)},
        }


def number(entry: str) -> int:
    """A caller's number, -1 where the entry is none."""
    return int(entry) if entry.isascii() and entry.isdigit() and len(entry) < 20 else -1


def found(clauses: Iterable[face.Clause]) -> tuple[face.Found, ...]:
    """Indexed by what they name, so that whoever judges an invocation looks at few of them: by callers, where
    none is named by customers, then by operations; (3, 0) has those that name nobody. None for no clauses.

    There are more callers than customers, and more of these than operations: this order leaves fewest under
    one key. What is found under it and concerns another invocation names the same caller (or customer) with
    other operations or customers: shares have one for each operation, changes those in force by then."""
    by = defaultdict[tuple[int, int], list[face.Clause]](list)
    for one in clauses:
        kind = next((kind for kind in (2, 1, 0) if one.scope[kind] is not None), 3)
        for index in (one.scope[kind] or ()) if kind < 3 else (0,):
            by[kind, index].append(one)
    return (dict(by),) if by else ()


def ruled(rules: Rules, names: Names) -> face.Ruled:
    """What the rules say, without scheduled changes and retirements. Time and room are linear in the rules;
    what comes out is judged by look-ups."""
    held, through = dict.fromkeys(KINDS, NOTHING), dict[Of, frozenset[int]]()
    closed = False
    for one in rules.lists:
        if one.of == "places":
            closed |= (names.place in one.entries) == (one.effect == "held_back")
        elif one.effect == "held_back":
            held[one.of] = names.indices(one.of, one.entries)
        else:
            through[one.of] = names.indices(one.of, one.entries)
    if closed:
        through["operations"] = NOTHING
    return face.Ruled(
        held_back=(held["operations"], held["customers"], held["callers"]),
        let_through=(through.get("operations"), through.get("customers"), through.get("callers")),
        clauses=found((*quotas(rules, names), *shares(rules, names))),
    )


def clause(of: Of, entry: str, names: Names, rate: float) -> face.Clause | None:
    """None where it concerns nothing of this backend."""
    if of == "places":
        return face.Clause(rate=rate) if entry == names.place else None
    some = names.indices(of, (entry,))
    if not some:
        return None
    if of == "operations":
        return face.Clause(operations=some, rate=rate)
    if of == "customers":
        return face.Clause(customers=some, rate=rate)
    return face.Clause(callers=some, rate=rate)


def quotas(rules: Rules, names: Names) -> Iterator[face.Clause]:
    for one in rules.quotas:
        found = clause(one.of, one.entry, names, one.most / names.fleet)
        if found is not None:
            yield found


def shares(rules: Rules, names: Names) -> Iterator[face.Clause]:
    for one in rules.shares:
        if one.share == 0:
            found = clause(one.of, one.entry, names, 0.0)
            if found is not None:
                yield found
        elif one.share < 1:
            yield from of_capacity(one.of, one.entry, one.share, names)


def of_capacity(of: Of, entry: str, share: float, names: Names) -> Iterator[face.Clause]:
    """A share below 1 as a rate for each operation whose capacity is known: together they are the share of
    the capacity at most where only one is asked for, and less than it of each otherwise."""
    for operation, capacity in sorted(names.capacity.items()):
        found = clause(of, entry, names, share * capacity)
        if found is None or operation not in (found.operations or (operation,)):
            continue
        yield face.Clause(frozenset({operation}), found.customers, found.callers, found.rate)
