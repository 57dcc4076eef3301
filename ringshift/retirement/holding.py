"""Whether a backend holds already what the keeper has of a ramp, or has to fetch it: judged by a head.

Decisions only. A decision names its callers, so it may be 90 kB, and it changes a few times a day; a backend
looks every few seconds. With its row it reads the head (`position.Head`) and the revisions of both keys, and
it fetches only where these don't say that it holds the very same.

**Nothing stale is kept as current.** What is compared is a digest of what is held, computed here from what
came, and not a revision: a keeper restored from an older copy gives revisions a second time, and one reached
anew would look like the one held. A head counts only where it was written by the very transaction that wrote
the state: an older program's holder of the ramp writes a state alone, and all fetch each time until a newer
one decides.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum

from ringshift.retirement.position import Position, digest

State = IntEnum("State", "EMPTY HELD ASKED")
Word = IntEnum("Word", "NOTHING SAME OTHER COME")
# NOTHING: the keeper has no state; SAME: its head names what is held; OTHER: it names something else, or is
# of another state than the one there; COME: the state was fetched.

# states | words | next state | effect. What is missing changes nothing.
SPECIFICATION = """
EMPTY HELD ASKED | NOTHING | EMPTY | drop
EMPTY HELD ASKED | OTHER   | ASKED |
HELD             | SAME    | HELD  |
ASKED            | SAME    | HELD  |
ASKED            | COME    | HELD  | take
"""
TABLE: dict[tuple[State, Word], tuple[State, str]] = {
    (State[state], Word[row[1].strip()]): (State[row[2].strip()], row[3].strip())
    for row in (line.split("|") for line in SPECIFICATION.strip().splitlines())
    for state in row[0].split()
}


@dataclass(frozen=True)
class Seen:
    """What a look told: revisions at which the state and its head were written, 0 where they are not there,
    and the head's digest."""

    state: int = 0
    head: int = 0
    digest: str = ""


@dataclass
class Holding:
    """One backend's copy of one ramp's position; its phase may be an older one."""

    state: State = State.EMPTY
    position: Position | None = None
    digest: str = ""

    def told(self, seen: Seen) -> bool:
        """True if the state is to be fetched: what is held is not known to be current until `come`."""
        self.hear(self.word(seen), None)
        return self.state is State.ASKED

    def come(self, position: Position | None) -> None:
        """As it was fetched; None: the keeper had none any more."""
        self.hear(Word.NOTHING if position is None else Word.COME, position)

    def word(self, seen: Seen) -> Word:
        if not seen.state:
            return Word.NOTHING
        same = bool(self.digest) and (seen.head, seen.digest) == (seen.state, self.digest)
        return Word.SAME if same else Word.OTHER

    def hear(self, word: Word, position: Position | None) -> None:
        if (self.state, word) not in TABLE:
            return
        self.state, effect = TABLE[self.state, word]
        if effect:
            getattr(self, effect)(position)

    # Effects, named in the specification.

    def take(self, position: Position | None) -> None:
        self.position, self.digest = position, digest(position)

    def drop(self, position: Position | None) -> None:
        self.position, self.digest = None, ""
