"""What the ramp's holder knows of all keys of a retirement, and whether a look reads all of them or part.

Decisions only. The holder looks each second, while a backend's row changes every few seconds and counts and
state hardly ever: so a look asks for what was written since the last one. That is enough only where the
keeper's history went on from that look, and a keeper restored from an older copy went back: its revisions
fall, and may have risen past the last look's by the next. So each look **writes a mark**, never the same, in
the transaction that reads, and compares the mark of the look before: whatever keeper has that mark has all
that was known then, and what it wrote since bears a higher revision. Where it hasn't, the same transaction
reads all.

Keys that went are not told by what changed; but the keeper tells how many there are, and that is as many as
are known with those told anew, unless some went. Then all are read, at once.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from enum import IntEnum
from typing import Generic, TypeVar

Value = TypeVar("Value")
EVERY = 60  # looks, of which one reads all: for what is not foreseen here, at most that long

State = IntEnum("State", "BLIND KNOWING")
Word = IntEnum("Word", "ALL PART SHORT FELL DUE WENT")
# ALL: every key was told, as it was asked for or as the mark was another; PART: what changed since, and
# nothing went; SHORT: the same, but there are not as many keys as are known; FELL: the same, at a revision
# not above the last look's; DUE: `EVERY` looks since all were told; WENT: keys that the holder itself
# deleted. A holder that takes the lease begins BLIND.

# states | words | next state | effect. What is missing changes nothing: a look that is not answered as well.
SPECIFICATION = """
BLIND KNOWING | ALL   | KNOWING | renew
KNOWING       | PART  | KNOWING | join
KNOWING       | SHORT | BLIND   | forget
KNOWING       | FELL  | BLIND   | forget
KNOWING       | DUE   | BLIND   | forget
KNOWING       | WENT  | KNOWING | drop
"""
TABLE: dict[tuple[State, Word], tuple[State, str]] = {
    (State[state], Word[row[1].strip()]): (State[row[2].strip()], row[3].strip())
    for row in (line.split("|") for line in SPECIFICATION.strip().splitlines())
    for state in row[0].split()
}


@dataclass(frozen=True)
class Ask:
    """One look: `mark` is to be written; where the mark there is `expects`, what was written at `since` or
    later is asked for, otherwise all. `since` 0: all in any case."""

    mark: str
    expects: str = ""
    since: int = 0


@dataclass(frozen=True)
class Told(Generic[Value]):
    """What came of it, read in the transaction that wrote the mark. `revision`: of that transaction; `count`:
    of all keys that there are; `keys`: key -> revision at which it was written, and its value; `whole`: of
    all of them."""

    revision: int
    count: int
    keys: Mapping[str, tuple[int, Value]]
    whole: bool


@dataclass
class Sight(Generic[Value]):
    """One holder's, under one lease. `salt`: of no other's marks, whatever became of the keeper."""

    salt: str
    every: int = EVERY
    state: State = State.BLIND
    known: dict[str, tuple[int, Value]] = field(default_factory=dict)
    mark: str = ""  # of the last look that was answered
    revision: int = 0
    looks: int = 0  # since all were told
    n: int = 0

    def ask(self) -> Ask:
        """Each with another mark: of a look that was not answered it isn't known whether it was carried out,
        so its mark is never expected, and what it may have read is asked for again."""
        self.n += 1
        if self.looks >= self.every:
            self.hear(Word.DUE)
        mark = f"{self.salt}.{self.n}"
        return Ask(mark) if self.state is State.BLIND else Ask(mark, self.mark, self.revision + 1)

    def heard(self, ask: Ask, told: Told[Value]) -> bool:
        """True if `known` is all that the keeper has, at `told.revision`; otherwise to be asked anew."""
        self.hear(self.word(told), told)
        if self.state is State.KNOWING:
            self.mark, self.revision = ask.mark, told.revision
        return self.state is State.KNOWING

    def word(self, told: Told[Value]) -> Word:
        if told.whole:
            return Word.ALL
        if told.revision <= self.revision:  # each look writes
            return Word.FELL
        new = sum(key not in self.known for key in told.keys)
        return Word.PART if told.count == len(self.known) + new else Word.SHORT

    def went(self, keys: Iterable[str]) -> None:
        """Deleted by a write of this holder that landed."""
        self.hear(Word.WENT, keys=keys)

    def hear(self, word: Word, told: Told[Value] | None = None, keys: Iterable[str] = ()) -> None:
        if (self.state, word) not in TABLE:
            return
        self.state, effect = TABLE[self.state, word]
        getattr(self, effect)(told.keys if told is not None else dict.fromkeys(keys))

    # Effects, named in the specification.

    def renew(self, keys: Mapping[str, tuple[int, Value]]) -> None:
        self.known, self.looks = dict(keys), 0

    def join(self, keys: Mapping[str, tuple[int, Value]]) -> None:
        self.known.update(keys)
        self.looks += 1

    def forget(self, keys: Mapping[str, tuple[int, Value]]) -> None:
        self.known, self.looks = {}, 0

    def drop(self, keys: Mapping[str, object]) -> None:
        for key in keys:
            self.known.pop(key, None)
