"""One wish of a planner on its way into force: judged against what is in force, proposed, judged anew.

Decisions only. A proposal lands only as the next version, by the keeper's compare; a planner that lost the
compare looks at what is in force then, and lands on it, or is told what it contradicts now. What another left
proposed, dead or alive, is led on first: two in play are the most.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum

import msgspec

from ringshift.retirement.timeline import Timeline
from ringshift.rulebook.document import Rulebook
from ringshift.schedule.plan import Against, Terms, plan, stands, withdraw
from ringshift.schedule.planned import Planned, Stated, by_name

State = IntEnum("State", "LOOKING SETTLING JUDGING PROPOSING LANDED CONTRADICTS REFUSED WITHDRAWN LATE")
ENDS = frozenset({State.LANDED, State.CONTRADICTS, State.REFUSED, State.WITHDRAWN, State.LATE})
News = IntEnum(
    "News", "EMPTY TAKEN FREE FITS STANDS CONTRADICTS UNFIT GONE LANDED BEATEN TAKEN_BACK REFUSED LATE OVER"
)
"""EMPTY: nothing was ever published; TAKEN: another's proposal is in play; FREE: none is; of the judgement:
FITS, STANDS (all of it is in force already), CONTRADICTS, UNFIT (no plan at all), GONE (it would fit, but
was proposed before and taken back by someone); of the proposal: LANDED, BEATEN (the compare was lost),
TAKEN_BACK, REFUSED (by a reader), LATE; OVER: no more tries, or another's proposal doesn't end."""

# states | news | next state | effect
SPECIFICATION = """
LOOKING   | EMPTY       | REFUSED     | say_empty
LOOKING   | TAKEN       | SETTLING    | settle
LOOKING   | FREE        | JUDGING     | judge
SETTLING  | FREE        | JUDGING     | judge
SETTLING  | TAKEN       | =           | settle
JUDGING   | FITS        | PROPOSING   | propose
JUDGING   | STANDS      | LANDED      |
JUDGING   | CONTRADICTS | CONTRADICTS |
JUDGING   | UNFIT       | REFUSED     |
JUDGING   | GONE        | WITHDRAWN   | say_gone
PROPOSING | LANDED      | LANDED      |
PROPOSING | BEATEN      | LOOKING     | again
PROPOSING | TAKEN_BACK  | LOOKING     | doubt
PROPOSING | REFUSED     | REFUSED     |
PROPOSING | LATE        | LATE        |
LOOKING SETTLING PROPOSING | OVER | LATE | say_over
"""
TABLE: dict[tuple[State, News], tuple[State | None, list[str]]] = {
    (State[state], News[row[1].strip()]): (
        None if row[2].strip() == "=" else State[row[2].strip()],
        row[3].split(),
    )
    for row in (line.split("|") for line in SPECIFICATION.strip().splitlines())
    for state in row[0].split()
}


@dataclass(frozen=True)
class Wish:
    """What a planner wants: rows and timelines planned (and the world stated anew), or names withdrawn."""

    rows: tuple[Planned, ...] = ()
    withdrawn: frozenset[str] = frozenset()
    world: Stated | None = None
    timelines: tuple[Timeline, ...] = ()

    def judge(self, base: Rulebook, now: int, terms: Terms) -> Rulebook | Against | None:
        """The next book; None where all of it stands already. Raises PlanError, ChangeError."""
        standing = by_name(base.changes)
        if self.withdrawn:
            left = {
                name for name in self.withdrawn if name not in standing or standing[name].withdrawn is None
            }
            return withdraw(base, left, now) if left else None
        planned = all(stands(row, standing.get(row.name)) for row in self.rows)
        lines = all(one in base.timelines for one in self.timelines)
        if planned and lines and (self.world is None or self.world == base.world):
            return None
        return plan(base, self.rows, now, terms, self.world, self.timelines)


class Document(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A planner's TOML. `world` takes the place of the one in force."""

    changes: list[Planned] = []
    world: Stated | None = None
    timelines: list[Timeline] = []

    def wish(self) -> Wish:
        return Wish(tuple(self.changes), world=self.world, timelines=tuple(self.timelines))


@dataclass
class Planner:
    """One wish on its way into force. `out`: what is to be done next, "settle", "propose" (`book`) or
    nothing. `broken`: what it contradicts, by the last judgement; `tries`: proposals that may be lost to
    others."""

    wish: Wish
    terms: Terms
    tries: int = 20
    state: State = State.LOOKING
    base: Rulebook | None = None
    book: Rulebook | None = None
    broken: Against | None = None
    why: str = ""
    lost: int = 0
    doubted: bool = False
    now: int = 0
    out: str = ""

    @property
    def ended(self) -> bool:
        return self.state in ENDS

    def hear(self, news: News, now: int, base: Rulebook | None = None, why: str = "") -> str:
        """`base`: the book in force, with FREE. `why`: of an end that others brought."""
        self.now, self.base, self.out = now, base or self.base, ""
        self.why = why or (self.why if news is not News.FREE or self.doubted else "")
        self.step(news)
        return self.out

    def step(self, news: News) -> None:
        if (self.state, news) not in TABLE:
            return
        state, effects = TABLE[self.state, news]
        self.state = self.state if state is None else state
        for effect in effects:
            getattr(self, effect)()

    # Effects, named in the specification.

    def judge(self) -> None:
        assert self.base is not None
        try:
            found = self.wish.judge(self.base, self.now, self.terms)
        except ValueError as wrong:  # PlanError, ChangeError, a book too large
            self.why = str(wrong)
            self.step(News.UNFIT)
            return
        if found is None:
            self.step(News.STANDS)
        elif not isinstance(found, Rulebook):
            names = ", ".join(
                [*(one.name for one in self.wish.rows), *(one.name for one in self.wish.timelines)]
            )
            # Of a sum two others may be named: those that began last.
            self.broken, self.why = found, f"with {names or 'the world'}: {found}"
            self.step(News.CONTRADICTS)
        elif self.doubted:
            self.step(News.GONE)
        else:
            self.book = found
            self.step(News.FITS)

    def settle(self) -> None:
        self.out = "settle"

    def propose(self) -> None:
        self.out = "propose"

    def again(self) -> None:
        self.lost += 1
        if self.lost >= self.tries:
            self.step(News.OVER)

    def doubt(self) -> None:
        """Taken back, or in force for a while and superseded by a planner that led it on: the next look
        tells."""
        self.doubted = True

    def say_empty(self) -> None:
        self.why = "nothing was ever published: publish a rulebook first"

    def say_gone(self) -> None:
        self.why = f"its proposal was taken back by another{f' ({self.why})' if self.why else ''}"

    def say_over(self) -> None:
        self.why = self.why or f"lost {self.lost} compares to other publishers"
