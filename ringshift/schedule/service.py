"""One change in service at one backend: what of it is in force at an instant of its clock.

States as a table; time, whether the rulebook's word is fresh, and a withdrawal come in as arguments. A change
never has more effect than its plan (`Change.part`): a late or a walked-back one stays below it, so what the
validator found of the plan holds.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum
from fractions import Fraction

from ringshift.schedule.change import WHOLE, Change

State = IntEnum("State", "PLANNED ARMED UNDER_WAY HOLDING ENDING DONE WITHDRAWN MISSED")
Word = IntEnum("Word", "EARLY NEAR DUE DUE_STALE HELD FALLING OVER BACK GONE")
# EARLY: before it is to be armed; NEAR: within `lead` of its start; DUE: past its start, confirmed;
# DUE_STALE: past its start, cut off; HELD: its ramp in is through; FALLING: its ramp out has begun; OVER: its
# window has ended; BACK: withdrawn, with something in force; GONE: withdrawn, with nothing in force.

# The specification: states | words | next state | effect. What is missing changes nothing.
TABLE = """
PLANNED                   | NEAR    | ARMED     |
PLANNED ARMED             | DUE     | UNDER_WAY | begin
PLANNED ARMED             | OVER    | MISSED    |
UNDER_WAY                 | HELD    | HOLDING   |
UNDER_WAY HOLDING         | FALLING | ENDING    |
UNDER_WAY HOLDING ENDING  | OVER    | DONE      |
UNDER_WAY HOLDING ENDING  | BACK    | ENDING    | walk_back
PLANNED ARMED UNDER_WAY HOLDING ENDING | GONE | WITHDRAWN |
"""

NEXT = {
    (State[state], Word[word.strip()]): (State[to.strip()], effect.strip())
    for states, word, to, effect in (line.split("|") for line in TABLE.strip().splitlines())
    for state in states.split()
}
RUNNING = (State.UNDER_WAY, State.HOLDING, State.ENDING)


@dataclass
class Service:
    """`lead`: ns before its start from which a change is armed. Times in ns, never falling."""

    change: Change
    lead: int = 0
    state: State = State.PLANNED
    began: int = 0
    back_at: int | None = None  # when it was withdrawn under way
    back_from: Fraction = Fraction(0)

    def hear(self, now: int, fresh: bool, withdrawn: bool = False) -> State:
        """The state at `now`. `fresh`: the version that holds the change is confirmed for this instant."""
        for _ in State:  # one look may pass several states: a backend that slept through a ramp
            to = NEXT.get((self.state, self.word(now, fresh, withdrawn)))
            if to is None:
                break
            if to[1]:
                getattr(self, to[1])(now)
            if to[0] is self.state:
                break
            self.state = to[0]
        return self.state

    def word(self, now: int, fresh: bool, withdrawn: bool) -> Word:
        change = self.change
        if withdrawn or self.back_at is not None:  # a withdrawal is final: a number is never used twice
            if self.state in RUNNING and (self.back_at is None or self.part(now)):
                return Word.BACK if now < change.end else Word.GONE
            return Word.GONE
        if now >= change.end:
            return Word.OVER
        if now < change.start:
            return Word.EARLY if now < change.start - self.lead else Word.NEAR
        if self.state not in RUNNING:
            return Word.DUE if fresh else Word.DUE_STALE
        if now >= change.end - change.ramp_out:
            return Word.FALLING
        return Word.HELD if now >= self.began + change.ramp_in else Word.DUE

    # Effects, named in the specification.

    def begin(self, now: int) -> None:
        """A change begun late ramps from now on: what it moves must not jump."""
        self.began = now if self.change.ramp_in else self.change.start

    def walk_back(self, now: int) -> None:
        if self.back_at is None:
            self.back_from, self.back_at = self.part(now), now

    def part(self, now: int) -> Fraction:
        """How much of the effect is in force, from 0 to 1; meant for the instant last heard of, or later."""
        if self.state not in RUNNING:
            return Fraction(0)
        change, part = self.change, self.change.part(now)
        if now - self.began < change.ramp_in:
            part = min(part, Fraction(now - self.began, change.ramp_in))
        if self.back_at is not None:
            fallen = Fraction(now - self.back_at, change.ramp_out) if change.ramp_out else Fraction(1)
            part = max(Fraction(0), min(part, self.back_from - fallen))
        return part

    def in_force(self, now: int) -> int:
        """Millionths of the effect in force at `now`; a move's share is this part of its own."""
        return int(self.part(now) * WHOLE)
