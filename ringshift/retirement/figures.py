"""What one backend tells the ramp of a retired operation and its successor: figures of the last stretch.

Decisions only; times are ns of the backend's own clock. Two halves of a stretch are kept and the older one
goes as the newer is full, so that a figure is never older than one stretch and never of nothing after a
half. Bounded: callers seen to have moved are those that a step turns away, no others.
"""

from __future__ import annotations

import msgspec


class Figures(msgspec.Struct, frozen=True):
    """Of the last stretch, but for `moved`."""

    edition: int = 0
    """Of the decision that the backend acts by."""
    old: int = 0
    """Answers of the retired operation that were no refusals."""
    new: int = 0
    """Answers of its successor, errors too."""
    errors: int = 0
    """Of the successor's."""
    shed: int = 0
    """Refusals by retirement."""
    moved: frozenset[int] = frozenset()
    """Callers turned away by the decision that were served by the successor here since it was heard."""
    share: int = 0
    """Millionths that the decision turns away."""
    owed: frozenset[int] = frozenset()
    """Callers turned away by a decision acted by before, not by this one, that the keeper is not known to
    have down (`Position.kept`)."""


class Half:
    def __init__(self) -> None:
        self.old = self.new = self.errors = self.shed = 0


class Tally:
    """`stretch`: ns."""

    def __init__(self, stretch: int, now: int) -> None:
        self.half, self.began = stretch // 2, now
        self.this, self.before = Half(), Half()
        self.ready: frozenset[int] = frozenset()
        self.owed: frozenset[int] = frozenset()
        self.moved: set[int] = set()

    def decided(self, ready: frozenset[int]) -> None:
        """Another decision is acted by: whoever moved earlier and is still turned away stays counted. Whoever
        is not any more is told: after a step back the fleet's counts name them still, but a keeper that lost
        its data may have lost those."""
        self.owed = (self.owed | self.ready) - ready
        self.ready = ready
        self.moved &= ready

    def down(self, kept: frozenset[int]) -> None:
        """The keeper has them down."""
        self.owed -= kept

    def turn(self, now: int) -> None:
        halves = (now - self.began) // self.half
        if halves > 0:
            self.before = self.this if halves == 1 else Half()
            self.this = Half()
            self.began += halves * self.half

    def answered(self, now: int, shed: bool = False) -> None:
        """The retired operation gave an answer; `shed`: a refusal by retirement."""
        self.turn(now)
        if shed:
            self.this.shed += 1
        else:
            self.this.old += 1

    def succeeded(self, now: int, caller: int, error: bool = False) -> None:
        """The successor gave an answer."""
        self.turn(now)
        self.this.new += 1
        if error:
            self.this.errors += 1
        elif caller in self.ready:
            self.moved.add(caller)

    def figures(self, now: int, edition: int, share: int = 0) -> Figures:
        self.turn(now)
        a, b = self.this, self.before
        return Figures(
            edition,
            a.old + b.old,
            a.new + b.new,
            a.errors + b.errors,
            a.shed + b.shed,
            frozenset(self.moved),
            share,
            self.owed,
        )
