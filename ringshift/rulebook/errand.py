"""One errand of an operator at the keeper, to its end: a rulebook published, a proposal settled or withdrawn.

Decisions only, above `Publisher` (version.py): what is found at the keeper comes in as `Found`, with the time
after it was read; out goes the one write that is next. Only one: each is compared with what was read, so the
next must be judged by a new look. Any number of publishers may be at it at once, and any of them may end at
any point: what is at the keeper is all that the next one needs.

A number that the keeper has used and that stands no more was taken back, by whoever; it is never proposed
again. An errand that finds a keeper that lost its data first leads a new epoch in (version.py), then goes on.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass, field
from enum import IntEnum

from ringshift.rulebook import version
from ringshift.rulebook.bound import ReadingTerms
from ringshift.rulebook.document import digest
from ringshift.rulebook.loss import lost_epoch
from ringshift.rulebook.version import Effect, Publication, Publisher, Version, opening
from ringshift.rulebook.wish import Found
from ringshift.rulebook.wish import Memory as Memory
from ringshift.rulebook.wish import Wish as Wish
from ringshift.rulebook.wish import numbered as numbered

State = IntEnum(
    "State",
    "PUBLISHING SETTLING BEGINNING LEADING REOPENING TAKING REFUSING "
    "IN_FORCE REFUSED WITHDRAWN BEATEN NOTHING LATE",
)
ENDS = frozenset({State.IN_FORCE, State.REFUSED, State.WITHDRAWN, State.BEATEN, State.NOTHING, State.LATE})

News = IntEnum("News", "EMPTY FREE TAKEN STANDS FORCE OTHER GONE USED UNHEARD LANDED REFUSAL BEATEN LOST")
"""EMPTY: nothing was ever published; FREE: a version is in force and none proposed; TAKEN: one is proposed;
of this errand's version: STANDS, FORCE (it is in force), OTHER (another is), GONE (it stood and stands no
more), USED (its number was, and it was never seen to stand), UNHEARD (its writing was lost); of the
publisher's look: LANDED, REFUSAL (by a reader), BEATEN (by another publisher), LOST (the keeper's data: a new
epoch is proposed instead)."""

# states | news | next state | effects
SPECIFICATION = """
PUBLISHING        | EMPTY     | BEGINNING | begin
PUBLISHING        | FREE      | LEADING   | open look
PUBLISHING        | TAKEN     | BEATEN    | say_taken
PUBLISHING        | OTHER     | BEATEN    | say_other
SETTLING          | EMPTY     | NOTHING   | say_empty
SETTLING          | FREE      | LEADING   | adopt look
SETTLING          | TAKEN     | LEADING   | adopt look
BEGINNING         | EMPTY     | BEGINNING | begin
BEGINNING         | FORCE     | IN_FORCE  |
BEGINNING         | OTHER     | BEATEN    | say_other
LEADING REOPENING TAKING REFUSING | EMPTY | NOTHING | say_lost
LEADING REOPENING | STANDS    | =         | look
LEADING REOPENING | UNHEARD   | =         | look
LEADING REOPENING | LOST      | REOPENING | follow
LEADING REOPENING | GONE      | WITHDRAWN | say_gone
LEADING REOPENING | USED      | BEATEN    | say_used
LEADING REOPENING | BEATEN    | BEATEN    | say_why
LEADING REOPENING | REFUSAL   | REFUSING  | say_why
LEADING           | LANDED    | IN_FORCE  |
LEADING           | FREE      | NOTHING   | say_free
REOPENING         | LANDED    | first     | again
TAKING REFUSING   | STANDS    | =         | take_back
TAKING REFUSING   | FORCE     | IN_FORCE  | say_late
TAKING            | GONE      | WITHDRAWN |
REFUSING          | GONE      | REFUSED   |
"""
TABLE: dict[tuple[State, News], tuple[str, list[str]]] = {
    (State[state], News[row[1].strip()]): (row[2].strip(), row[3].split())
    for row in (line.split("|") for line in SPECIFICATION.strip().splitlines())
    for state in row[0].split()
}


@dataclass
class Errand:
    """`state` at the start: PUBLISHING (with a wish), SETTLING, or TAKING (back the proposed `version`).
    `before`: the versions kept, ascending, for their states."""

    terms: ReadingTerms
    state: State
    wish: Wish | None = None
    memory: Memory = field(default_factory=Memory)
    before: Sequence[Version] = ()
    publisher: Publisher | None = None
    led: Publication | None = None
    version: Version | None = None
    why: str = ""
    stood: bool = False  # the keeper was seen to hold the proposal
    out: Effect | None = None
    now: int = 0
    absent: frozenset[str] = frozenset()

    def __post_init__(self) -> None:
        self.first = self.state

    @property
    def ended(self) -> bool:
        return self.state in ENDS

    @property
    def fulfilled(self) -> bool:
        """Whether what was asked for is so: in force; taken back; or nothing left that could be settled."""
        wanted = {State.PUBLISHING: State.IN_FORCE, State.TAKING: State.WITHDRAWN}
        if self.first is State.SETTLING:
            nothing = self.state is State.NOTHING and self.publisher is not None
            return nothing or self.state is State.IN_FORCE
        return self.state is wanted.get(self.first)

    def hear(self, found: Found, now: int) -> Effect | None:
        """The write that is next, if any. `now`: of this process's clock, after `found` was read. Raises
        PublicationError where the wish may not be published."""
        self.now, self.out, self.absent = now, None, found.absent
        self.step(self.judged(found), found)
        if self.publisher is not None and found.told is not None:
            self.memory.place, self.memory.in_force = self.publisher.place, self.publisher.in_force
        return self.out

    def step(self, news: News, found: Found) -> None:
        if (self.state, news) not in TABLE:
            return
        state, effects = TABLE[self.state, news]
        if state == "first" and self.first is not State.PUBLISHING:
            state = "IN_FORCE"
        self.state = {"=": self.state, "first": self.first}.get(state) or State[state]
        for effect in effects:
            getattr(self, effect)(found)

    def done(self, effect: Effect, held: bool | None) -> None:
        """How the write went; None: not answered, so what the next look finds counts."""
        if effect.kind == "propose" and held and self.version == effect.version:
            self.stood = True
        if effect.kind == "put_in_force" and held is not None and self.publisher is not None:
            self.publisher.landed(held)

    def late(self) -> None:
        """The time for it is over: what stands at the keeper stands on."""
        if not self.ended:
            self.state = State.LATE
            self.why = self.why or "the time for it was over"

    def waited(self) -> dict[str, int]:
        """Readers without whom the version can't come in force now -> nanoseconds of this process's clock
        until their lease surely ended; -1 where only their word counts."""
        if self.publisher is None or self.led is None or self.led.state is not version.State.PROPOSED:
            return {}
        out = {}
        for name, (_, read) in sorted(self.publisher.read.items()):
            if name in self.led.acked or name in self.led.ended:
                continue
            if self.led.by_all:
                out[name] = -1
            elif name not in self.absent:
                out[name] = max(read + self.terms.surely_ended - self.now, 0)
        return out

    # What was found is judged.

    def judged(self, found: Found) -> News:
        told = found.told
        if told is None:
            return News.EMPTY
        base = None if self.wish is None else self.wish.base
        if self.state is State.PUBLISHING and base not in (None, told.in_force.stamp):
            return News.OTHER
        if self.state in (State.PUBLISHING, State.SETTLING):
            return News.FREE if told.proposed is None else News.TAKEN
        mine = self.version
        if mine is None:
            return News.FREE
        if self.state is State.BEGINNING:
            return News.FORCE if told.in_force == mine else News.OTHER
        if told.proposed == mine:
            self.stood = True
            return News.STANDS
        if self.state in (State.TAKING, State.REFUSING):
            return News.FORCE if told.in_force == mine else News.GONE
        if told.in_force != mine and told.proposed is None and found.highest >= mine.stamp:
            if told.in_force.stamp >= mine.stamp:
                return News.UNHEARD
            return News.GONE if self.stood else News.USED
        return News.UNHEARD

    # Effects, named in the specification.

    def begin(self, found: Found) -> None:
        """The first version of all; above whatever a reader saw, as the keeper may have lost everything."""
        assert self.wish is not None
        stamp, mine = opening(found.rows), self.memory.in_force
        if mine is not None:
            stamp = max(stamp[0], mine.stamp[0] + 1), max(stamp[1], mine.stamp[1] + 1)
        if self.version is None or self.version.stamp < stamp:
            wish = self.wish
            self.version = Version(stamp, wish.book, digest(wish.book), wish.author, wish.reason)
        self.out = Effect("begin", self.version)

    def anew(self, found: Found, play: Publication | None) -> Publisher:
        told, memory = found.told, self.memory
        assert told is not None
        held = told.in_force
        if memory.in_force is not None and memory.place > told.place and memory.in_force.stamp > held.stamp:
            held = memory.in_force  # the keeper lost it: published anew from here
        past = [
            Publication(one, state=version.State.SUPERSEDED) for one in self.before if one.stamp < held.stamp
        ]
        past.append(Publication(held, state=version.State.IN_FORCE))
        return Publisher(self.terms, held, found.highest, memory.place, play, past)

    def open(self, found: Found) -> None:
        assert self.wish is not None
        self.publisher = self.anew(found, None)
        if self.lost(found):
            return  # the publisher's look leads a new epoch in first
        wish = self.wish
        self.publisher.publish(wish.book, wish.author, wish.reason, wish.undoes)
        self.lead()

    def lost(self, found: Found) -> bool:
        assert found.told is not None and self.publisher is not None
        seen = max([self.publisher.place, *(row.seen for row in found.rows.values())])
        return lost_epoch(found.told, found.rows, seen, found.highest, found.moved) is not None

    def adopt(self, found: Found) -> None:
        assert found.told is not None
        proposed, play = found.told.proposed, None
        if proposed is not None:
            play = Publication(proposed, found.by_all, found.undoes, state=version.State.PROPOSED)
        self.publisher = self.anew(found, play)
        self.stood = play is not None
        self.lead()

    def lead(self) -> None:
        assert self.publisher is not None
        self.led = self.publisher.play
        self.version = None if self.led is None else self.led.version

    def look(self, found: Found) -> None:
        assert self.publisher is not None and found.told is not None
        effects = self.publisher.look(
            self.now, found.told, found.rows, found.absent, found.highest, found.moved
        )
        self.out = effects[0] if effects else None
        led, play = self.led, self.publisher.play
        if play is not None and play is not led:
            self.step(News.LOST, found)
        elif led is None:
            self.step(News.FREE, found)
        elif led.state is version.State.IN_FORCE:
            self.step(News.LANDED, found)
        elif led.state is version.State.REFUSED:
            self.step(News.BEATEN if "" in led.refusals else News.REFUSAL, found)

    def follow(self, found: Found) -> None:
        self.stood = False
        self.lead()

    def again(self, found: Found) -> None:
        if self.state is State.PUBLISHING:
            self.publisher, self.led, self.version, self.stood = None, None, None, False
        else:
            self.why = "the keeper had lost data: a new epoch was opened"

    def take_back(self, found: Found) -> None:
        assert self.version is not None
        self.out = Effect("take_back", self.version)

    def say_taken(self, found: Found) -> None:
        assert found.told is not None and found.told.proposed is not None
        self.why = f"{numbered(found.told.proposed.stamp)} is proposed already: two in play are the most"

    def say_other(self, found: Found) -> None:
        assert found.told is not None
        self.why = f"another publisher was first: {numbered(found.told.in_force.stamp)} is in force"

    def say_empty(self, found: Found) -> None:
        self.why = "nothing was ever published"

    def say_lost(self, found: Found) -> None:
        self.why = "the keeper lost everything that it held: publish anew"

    def say_free(self, found: Found) -> None:
        self.why = "no version is proposed"

    def say_gone(self, found: Found) -> None:
        assert self.version is not None
        self.why = f"{numbered(self.version.stamp)} was taken back by another"

    def say_used(self, found: Found) -> None:
        assert self.version is not None
        number = numbered(self.version.stamp)
        self.why = f"another publisher was first: it used the number {number}, and took it back"

    def say_why(self, found: Found) -> None:
        assert self.led is not None
        self.why = "; ".join(f"{name}: {why}" if name else why for name, why in self.led.refusals.items())

    def say_late(self, found: Found) -> None:
        self.why = "it came in force before it could be taken back"
