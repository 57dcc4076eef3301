"""When a figure's trouble began and ended: one table for every figure that is watched."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum


class Kind(Enum):
    """What can befall a server, as its own records tell it."""

    SLOW = "slow"
    HUNG = "hung"
    PAUSED = "paused"
    JUMP = "traffic jump"
    STORM = "retry storm"
    ERRORS = "errors"
    SHEDDING = "shedding"
    NOT_READY = "not ready"
    LINK_LOST = "agent lost"
    ANNOUNCE_LOST = "announce unreachable"
    COLD = "cold start"
    GAP = "gap in records"
    STEP = "clock stepped"


class Sign(Enum):
    OVER = "over"  # the figure shows the trouble
    BETWEEN = "between"
    UNDER = "under"  # it clearly does not
    NOTHING = "nothing"  # nothing came by which to judge


class Mood(Enum):
    CALM = "calm"
    SUSPECT = "suspect"
    ON = "on"
    EASING = "easing"


M, G = Mood, Sign
# mood, sign -> next mood, effect. What is missing changes nothing.
TABLE: dict[tuple[Mood, Sign], tuple[Mood, str]] = {
    (M.CALM, G.OVER): (M.SUSPECT, "suspect"),
    (M.SUSPECT, G.OVER): (M.SUSPECT, "confirm"),  # to ON once it has been seen often enough
    (M.SUSPECT, G.BETWEEN): (M.CALM, "drop"),
    (M.SUSPECT, G.UNDER): (M.CALM, "drop"),
    (M.ON, G.UNDER): (M.EASING, "ease"),
    (M.EASING, G.UNDER): (M.EASING, "release"),  # to CALM once it has been seen often enough
    (M.EASING, G.OVER): (M.ON, "again"),
    (M.EASING, G.BETWEEN): (M.ON, "again"),
}


@dataclass(slots=True)
class Spell:
    """A stretch of trouble in one run, in its own `up`. `end` is None while it lasts at the run's end."""

    kind: Kind
    start: int
    end: int | None
    operation: str = ""
    before: float = 0.0
    after: float = 0.0
    """The figure before it and at its worst; their meaning goes with the kind."""
    evidence: list[int] = field(default_factory=list)
    """The seq of the records that it rests on."""
    slack: int = 0
    """By how much the start may be off, in nanoseconds."""


class Watcher:
    """Feeds one figure's signs to the table. `needs` signs in a row begin a spell at the first of them,
    `eases` in a row end it there."""

    __slots__ = (
        "before",
        "count",
        "end",
        "evidence",
        "kind",
        "mood",
        "needs",
        "eases",
        "partial",
        "spell",
        "spells",
        "start",
        "values",
    )

    def __init__(self, kind: Kind, spells: list[Spell], needs: int = 2, eases: int = 3) -> None:
        self.kind, self.spells, self.needs, self.eases = kind, spells, needs, eases
        self.mood, self.count, self.start, self.end = Mood.CALM, 0, (0, 0), 0
        self.before, self.values, self.evidence = 0.0, list[float](), list[int]()
        self.spell: Spell | None = None

    def hear(
        self,
        sign: Sign,
        span: tuple[int, int],
        seq: int,
        value: float,
        before: float,
        partial: tuple[tuple[int, int], float, int] | None = None,
    ) -> None:
        """`span` is the stretch of time the sign is of, `partial` the one before it, whose figure may show
        the trouble for a part of it."""
        step = TABLE.get((self.mood, sign))
        if step is None:
            if self.spell is not None and sign is Sign.OVER:
                self.worse(value)
            return
        self.mood, effect = step
        getattr(self, effect)(span, seq, value, before, partial)

    def suspect(
        self,
        span: tuple[int, int],
        seq: int,
        value: float,
        before: float,
        partial: tuple[tuple[int, int], float, int] | None,
    ) -> None:
        self.start, self.count, self.before = span, 1, before
        self.values, self.evidence = [value], [seq]
        self.partial = partial
        if self.needs <= 1:
            self.begin()

    def confirm(self, span: tuple[int, int], seq: int, value: float, *_: object) -> None:
        self.count += 1
        self.values.append(value)
        self.evidence.append(seq)
        if self.count >= self.needs:
            self.begin()

    def begin(self) -> None:
        start, slack = self.onset()
        self.mood = Mood.ON
        self.spell = Spell(self.kind, start, None, "", self.before, max(self.values), self.evidence, slack)
        self.spells.append(self.spell)

    def onset(self) -> tuple[int, int]:
        """Within the first stretch: the share of it that its figure shows, were the trouble as bad throughout
        as right after."""
        low, high = self.start
        full = self.values[-1] if len(self.values) > 1 else self.values[0]
        if full <= self.before:
            return low, high - low
        share = min(max((self.values[0] - self.before) / (full - self.before), 0.0), 1.0)
        start = high - round(share * (high - low))
        if share > 0.9 and self.partial is not None:
            (before_low, before_high), value, seq = self.partial
            part = min(max((value - self.before) / (full - self.before), 0.0), 1.0)
            if part > 0.15 and before_high >= low - 10**8:
                start = min(start, before_high - round(part * (before_high - before_low)))
                self.evidence.insert(0, seq)
        return start, (high - low) // 2

    def worse(self, value: float) -> None:
        if self.spell is not None:
            self.spell.after = max(self.spell.after, value)

    def drop(self, *_: object) -> None:
        self.count = 0

    def ease(self, span: tuple[int, int], seq: int, *_: object) -> None:
        self.count, self.end = 1, span[0]
        self.evidence = [seq]
        if self.eases <= 1:
            self.release(span, seq)

    def release(self, span: tuple[int, int], seq: int, *_: object) -> None:
        self.count += 1
        if self.count >= self.eases and self.spell is not None:
            self.spell.end = self.end
            self.spell.evidence.append(self.evidence[0])
            self.mood, self.spell = Mood.CALM, None

    def again(self, span: tuple[int, int], seq: int, value: float, *_: object) -> None:
        self.worse(value)

    def close(self, up: int) -> None:
        """Whatever it was, it ends here: a run that began anew or a stretch that can't be judged."""
        if self.spell is not None:
            self.spell.end = up
        self.mood, self.spell, self.count = Mood.CALM, None, 0
