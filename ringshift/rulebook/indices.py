"""What a rulebook's rules ask of one backend, in the indices that its decisions know.

Decisions only. Operations and customers are indices by their place in the machine, callers are the number
with which they present themselves; an entry that is no number, or names what this backend doesn't have, names
nobody here. What is listed by place is for all or nothing: a backend serves at one place. A backend that says
no place is at none that a list lets through.

Quotas of the fleet are divided by its size: a backend knows no more of the others than that. A share is of
this backend's capacity, in invocations a second, where that is known; where not, only a share of 0 binds.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator, Mapping, Sequence
from dataclasses import dataclass, field

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
        names = {"operations": self.operations, "customers": self.customers}.get(of, ())
        wanted = frozenset(entries)
        return frozenset(index for index, name in enumerate(names) if name in wanted)


def number(entry: str) -> int:
    """A caller's number, -1 where the entry is none."""
    return int(entry) if entry.isascii() and entry.isdigit() and len(entry) < 20 else -1


def ruled(rules: Rules, names: Names, clauses: Sequence[face.Clause] = (),
          shed: Mapping[int, int] | None = None) -> face.Ruled:  # fmt: skip
    """`clauses` and `shed`: of scheduled changes and of retirements, beside what the rules say. Time and room
    are linear in the rules; what comes out is judged by look-ups."""
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
        clauses=(*quotas(rules, names), *shares(rules, names), *clauses), shed=dict(shed or {}),
    )  # fmt: skip


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
