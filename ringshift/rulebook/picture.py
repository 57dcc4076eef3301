"""What operators are told of the fleet's rulebook: who acts by which version and until when, who is waited
for, and what can be done next. Judged from what the keeper holds at two looks, some refreshes apart.

Decisions only. Times are whole nanoseconds of the clock of whoever looks. The keeper knows no more of a
reader than its last confirmation, so what a reader acts by is told as of that one, and an end as the latest
one that it can have: `surely_ended` after it was last seen to be written.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

from ringshift.rulebook.bound import ReadingTerms
from ringshift.rulebook.loss import signs
from ringshift.rulebook.version import UNMARKED, Mark, Row, Stamp, Told, Version
from ringshift.rulebook.wish import Found, numbered

# The first that is so | by which versions it acts, as of its last confirmation; met. Without one it is alone.
SPECIFICATION = """
absent       | alone         its lease surely ended when a version was put in force without its word
ahead        | own           it saw more than the keeper has, refuses what is in force, and will be alone
refused      | in_force      it refused the proposal
acknowledged | both
starting     | alone         it has heard no version: its installation's
behind       | seen          it has not heard of the one in force yet
confirming   | in_force
"""
TABLE: list[tuple[str, str]] = [
    (row[0].strip(), row[1].split()[0])
    for row in (line.split("|", 1) for line in SPECIFICATION.strip().splitlines())
]

# what is found | what can be done
NEXT = """
nothing | `ringshift rules publish FILE`: the first version is in force at once
free    | `ringshift rules publish FILE`, or `ringshift rules withdraw`: the version before, published anew
waiting | `ringshift rules settle` waits and puts it in force; `ringshift rules withdraw` takes it back
settled | `ringshift rules settle` puts it in force; `ringshift rules withdraw` takes it back
refused | `ringshift rules withdraw` takes it back; update the programs that refuse it, or change the document
by_all  | each must acknowledge it itself: `ringshift rules forget NAME` for every process that is no more
lost    | the keeper lost data: `ringshift rules settle` opens an epoch above all that was seen
absent  | `ringshift rules forget NAME` for every process that is no more; one that comes back joins anew
"""
ADVICE: dict[str, str] = {
    row[0].strip(): row[1].strip() for row in (line.split("|", 1) for line in NEXT.strip().splitlines())
}


@dataclass(frozen=True)
class Seen:
    """One reader. `acts_by`: the versions, met; empty where it is `alone`. `ends`: nanoseconds from the last
    look until its lease surely ended, if it confirms no more; 0 where that is over."""

    name: str
    standing: str
    acts_by: tuple[Stamp, ...]
    ends: int
    silent: bool
    waited: bool
    why: str = ""


@dataclass(frozen=True)
class Publishing:
    """What is proposed. `undoes`: the version that it withdraws."""

    version: Version
    state: str
    by_all: bool
    undoes: Stamp | None
    waited: tuple[str, ...]
    refused: Mapping[str, str]


@dataclass(frozen=True)
class Picture:
    in_force: Version | None
    highest: Stamp
    proposed: Publishing | None
    readers: tuple[Seen, ...]
    lost: bool
    next: tuple[str, ...]


def picture(first: Found, last: Found, between: int, terms: ReadingTerms) -> Picture:
    """`between`: nanoseconds from the first look's end to the last one's; 0, with one look given twice,
    where silence is not to be judged."""
    told = last.told
    if told is None:
        starting = tuple(Seen(name, "starting", (), 0, False, False) for name in sorted(last.rows))
        return Picture(None, last.highest, None, starting, False, (ADVICE["nothing"],))
    readers = tuple(
        seen(name, row, last, name in first.rows and first.rows[name] == row and between > 0, between, terms)
        for name, row in sorted(last.rows.items())
    )
    proposed = None if told.proposed is None else publishing(told.proposed, last, readers)
    lost = last.moved or any(signs(told, row, last.highest) for row in last.rows.values())
    return Picture(
        told.in_force,
        last.highest,
        proposed,
        readers,
        lost,
        tuple(ADVICE[one] for one in advice(proposed, readers, lost)),
    )


@dataclass(frozen=True)
class View:
    """One reader's row beside what the keeper holds: the words of the specification."""

    row: Row
    told: Told
    gone: bool
    used: Stamp

    @property
    def next(self) -> Mark:
        return UNMARKED if self.told.proposed is None else self.told.proposed.mark

    def standing(self) -> tuple[str, tuple[Stamp, ...]]:
        is_so, by = next((is_so, by) for is_so, by in TABLE if getattr(self, f"is_{is_so}")())
        acts_by: tuple[Stamp, ...] = getattr(self, f"by_{by}")()
        return is_so, acts_by

    def is_absent(self) -> bool:
        return self.gone

    def is_ahead(self) -> bool:
        return bool(signs(self.told, self.row, self.used))

    def is_refused(self) -> bool:
        return self.row.refused == self.next != UNMARKED

    def is_acknowledged(self) -> bool:
        return self.row.acked == self.next != UNMARKED

    def is_starting(self) -> bool:
        return self.row.high == UNMARKED

    def is_behind(self) -> bool:
        return self.row.high[:2] < self.told.in_force.stamp

    def is_confirming(self) -> bool:
        return True

    def by_alone(self) -> tuple[Stamp, ...]:
        return ()

    def by_own(self) -> tuple[Stamp, ...]:
        return (self.row.floor,)

    def by_in_force(self) -> tuple[Stamp, ...]:
        return (self.told.in_force.stamp,)

    def by_both(self) -> tuple[Stamp, ...]:
        return self.told.in_force.stamp, self.next[:2]

    def by_seen(self) -> tuple[Stamp, ...]:
        return (self.row.high[:2],)


def seen(name: str, row: Row, found: Found, silent: bool, between: int, terms: ReadingTerms) -> Seen:
    told = found.told
    assert told is not None
    absent = name in found.absent
    is_so, acts_by = View(row, told, absent, found.highest).standing()
    silent = silent and not absent
    ends = 0 if absent else max(terms.surely_ended - (between if silent else 0), 0)
    waited = False
    if told.proposed is not None and told.proposed.mark not in (row.acked, row.refused):
        waited = found.by_all or not (absent or ends == 0)
    return Seen(name, is_so, acts_by, ends, silent, waited, row.why if is_so == "refused" else "")


def publishing(version: Version, found: Found, readers: tuple[Seen, ...]) -> Publishing:
    waited = tuple(one.name for one in readers if one.waited)
    refused = {one.name: one.why for one in readers if one.standing == "refused"}
    state = "REFUSED" if refused else "PROPOSED" if waited else "ACKNOWLEDGED"
    return Publishing(version, state, found.by_all, found.undoes, waited, refused)


def advice(proposed: Publishing | None, readers: tuple[Seen, ...], lost: bool) -> list[str]:
    out = ["lost"] if lost else []
    if proposed is None:
        out += ["free"]
    elif proposed.refused:
        out += ["refused"]
    else:
        out += ["waiting" if proposed.waited else "settled"]
    if proposed is not None and proposed.by_all and proposed.waited:
        out += ["by_all"]
    elif any(one.standing == "absent" for one in readers):
        out += ["absent"]
    return out


def acts(one: Seen) -> str:
    """For people: by what this reader acts."""
    if one.standing == "absent":
        return "alone, if it lives"
    if one.standing == "starting":
        return "its installation's alone"
    return " met with ".join(numbered(stamp) for stamp in one.acts_by)
