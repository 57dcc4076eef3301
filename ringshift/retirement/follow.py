"""Which decision of the ramp one backend acts by: the last it was told in time, kept through lost contact.

Decisions only; times are ns of the backend's own clock. An edition heard is taken only when it is above the
one acted by, so an answer that was overtaken, or a keeper restored from an older copy, undoes nothing. A word
that comes too late (the backend was stopped between asking and reading) may be overtaken already: what turns
more callers away is then not taken, what turns fewer away is.

Without contact a backend keeps its decision: it never moves on, and never back, by its own clock. That holds
for the **end** as well. Every backend knows its date, but a pause may have moved it, and one that ended alone
would turn callers away for good whom the fleet still serves; serving an old version some time longer is the
lesser harm. Only a brownout ends by the clock (`Decided.until`): its hours were stated, and turning callers
away for the length of a cut was not.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum

from ringshift.retirement.shed import Decided

State = IntEnum("State", "UNTOLD FOLLOWING CUT_OFF WITHDRAWN")
Word = IntEnum("Word", "SAME HIGHER LATE_MORE LATE_LESS OTHER SILENT GONE AGAIN")
# SAME: a decision not above the one acted by; HIGHER: one above it, heard in time; LATE_MORE, LATE_LESS: one
# above it, heard too late, that turns more away, or not more; OTHER: decided for another timeline; SILENT: no
# answer for `fresh`; GONE: the timeline is no more in the rulebook; AGAIN: it is there again.

# states | words | next state | effect. What is missing changes nothing.
SPECIFICATION = """
UNTOLD FOLLOWING CUT_OFF           | HIGHER    | FOLLOWING | take
UNTOLD FOLLOWING CUT_OFF           | LATE_LESS | CUT_OFF   | take
FOLLOWING CUT_OFF                  | SAME      | FOLLOWING |
FOLLOWING                          | LATE_MORE | CUT_OFF   |
FOLLOWING                          | SILENT    | CUT_OFF   |
UNTOLD FOLLOWING CUT_OFF           | GONE      | WITHDRAWN |
WITHDRAWN                          | AGAIN     | CUT_OFF   |
"""
TABLE: dict[tuple[State, Word], tuple[State, str]] = {
    (State[state], Word[row[1].strip()]): (State[row[2].strip()], row[3].strip())
    for row in (line.split("|") for line in SPECIFICATION.strip().splitlines())
    for state in row[0].split()
}


@dataclass
class Follower:
    """`key`: of the timeline (`shed.key`); `fresh`: ns for which an answer may be under way."""

    key: int
    fresh: int
    state: State = State.UNTOLD
    decided: Decided = Decided()
    told_at: int = 0  # when the last answered confirmation was sent

    @property
    def acts_by(self) -> Decided:
        """Nobody is turned away by a timeline that is not in the rulebook; what was decided is kept, so that
        all are at one again where the timeline comes back."""
        return Decided(self.decided.edition) if self.state is State.WITHDRAWN else self.decided

    def answered(self, told: Decided | None, sent: int, now: int) -> bool:
        """The keeper's answer to a confirmation sent at `sent`; None: nothing was decided yet. True if
        another decision is acted by now."""
        in_time = now - sent <= self.fresh
        if in_time:
            self.told_at = max(self.told_at, sent)
        return told is not None and self.hear(self.word(told, in_time), told)

    def word(self, told: Decided, in_time: bool) -> Word:
        if told.key != self.key:
            return Word.OTHER
        if told.edition <= self.decided.edition:
            return Word.SAME if in_time else Word.OTHER
        if in_time:
            return Word.HIGHER
        share = 0 if self.decided.until else self.decided.share  # a brownout may be over by now
        less = told.share <= share and (told.ready <= self.decided.ready or not told.share)
        return Word.LATE_LESS if less else Word.LATE_MORE

    def tick(self, now: int) -> None:
        if now - self.told_at > self.fresh:
            self.hear(Word.SILENT, self.decided)

    def listed(self, there: bool) -> bool:
        """Whether the rulebook acted by has the timeline. True if another decision is acted by now."""
        return self.hear(Word.AGAIN if there else Word.GONE, self.decided)

    def hear(self, word: Word, told: Decided) -> bool:
        if (self.state, word) not in TABLE:
            return False
        was = self.acts_by
        self.state, effect = TABLE[self.state, word]
        if effect:
            getattr(self, effect)(told)
        return self.acts_by != was

    # Effect, named in the specification.

    def take(self, told: Decided) -> None:
        self.decided = told
