"""A publication's life, and the publisher that leads one version after another into force.

Decisions only. Times are whole nanoseconds of the publisher's clock; what the keeper holds comes in as `Row`s
with the time at which it was read, what to write goes out as `Effect`: each a compare at the keeper.

**In force** only once each reader acknowledged or its reading lease surely ended: `surely_ended` after the
publisher *read* the last confirmation it may have had. A publisher started anew has read none, and counts
from its own first look. A confirmation that came after the look breaks the compare (`ended`, `known`).

**Two in play at most**: the one in force and one proposed, as in F1's published schema change (Rae et al.,
VLDB 2013). So the two that a fleet may act by at once are always neighbours.

**Numbers** only grow and none is used twice; withdrawing publishes the book before under a new number.
Versions are ordered by (epoch, number). A keeper that lost its data is known by its readers (loss.py); the
publisher then opens an epoch above every one seen, so what it publishes is newer than anything anyone holds,
and what the keeper still holds of before stays lower and is refused. A reader's word is on a number *and* a
digest (`Mark`): on a book of before the loss it never counts for another that was given its number.

**`alone` in two steps.** A backend without contact acts by `alone` for as long as its cut lasts, so no wait
helps: a step from one `alone` to another would let two backends contradict without end. First a version is
published that changes nothing but `alone_next`; a backend alone that holds it keeps both. That one is in
force only when *every* reader acknowledged it, an ended lease is not enough (a row whose process is no
more is deleted). Then a version is published that changes nothing but makes `alone_next` the `alone`. At
any instant two backends alone hold neighbours of the row old, old and new, new, and keep one together.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field
from enum import Enum, IntEnum

from ringshift.rulebook.bound import ReadingTerms
from ringshift.rulebook.document import Rulebook, digest
from ringshift.rulebook.kinds import Verdict, differences
from ringshift.rulebook.loss import highest as highest_of
from ringshift.rulebook.loss import lost_epoch
from ringshift.rulebook.words import NOTHING as NOTHING
from ringshift.rulebook.words import UNMARKED as UNMARKED
from ringshift.rulebook.words import Effect as Effect
from ringshift.rulebook.words import Mark as Mark
from ringshift.rulebook.words import Row as Row
from ringshift.rulebook.words import Stamp as Stamp
from ringshift.rulebook.words import Told as Told
from ringshift.rulebook.words import Version as Version

KEPT = 32  # superseded versions beside the one in force and the one before it


class PublicationError(ValueError):
    """A publication that may not be made, and why."""


State = IntEnum("State", "DRAFTED PROPOSED ACKNOWLEDGED IN_FORCE SUPERSEDED WITHDRAWN REFUSED")


class News(Enum):
    """ACK, REFUSAL, ENDED: of one reader; UNHEARD: the keeper has not got the
    proposal; BEATEN: it holds another one; SETTLED: no reader is waited for; UNSETTLED: the keeper's compare
    failed; LANDED: it held; NEWER: another is in force; UNDONE: another is, that withdraws this one."""

    PROPOSE = 1
    ACK = 2
    REFUSAL = 3
    ENDED = 4
    SETTLED = 5
    UNSETTLED = 6
    LANDED = 7
    NEWER = 8
    UNDONE = 9
    WITHDRAW = 10
    UNHEARD = 11
    BEATEN = 12


# states | news | next state | effects. What is missing changes nothing: a refusal after the last
# acknowledgement, of a reader that came later, does not undo what the keeper may hold as in force already.
SPECIFICATION = """
DRAFTED          | PROPOSE   | PROPOSED     | propose
PROPOSED         | ACK       | PROPOSED     | note
PROPOSED         | ENDED     | PROPOSED     | note
PROPOSED         | REFUSAL   | REFUSED      | note take_back
PROPOSED         | UNHEARD   | PROPOSED     | propose
PROPOSED         | BEATEN    | REFUSED      | note
PROPOSED         | SETTLED   | ACKNOWLEDGED | put_in_force
ACKNOWLEDGED     | UNSETTLED | PROPOSED     | forget
PROPOSED ACKNOWLEDGED | LANDED | IN_FORCE   |
DRAFTED PROPOSED | WITHDRAW  | WITHDRAWN    | take_back
IN_FORCE         | NEWER     | SUPERSEDED   |
IN_FORCE         | UNDONE    | WITHDRAWN    |
"""
TABLE: dict[tuple[State, News], tuple[State, list[str]]] = {
    (State[state], News[row[1].strip()]): (State[row[2].strip()], row[3].split())
    for row in (line.split("|") for line in SPECIFICATION.strip().splitlines())
    for state in row[0].split()
}


@dataclass
class Publication:
    """One version's life. `by_all`: an ended lease does not stand for an acknowledgement."""

    version: Version
    by_all: bool = False
    undoes: Stamp | None = None
    base: Stamp | None = None
    state: State = State.DRAFTED
    acked: set[str] = field(default_factory=set)
    ended: dict[str, int] = field(default_factory=dict)
    refusals: dict[str, str] = field(default_factory=dict)
    out: list[Effect] = field(default_factory=list)

    def hear(self, news: News, reader: str = "", n: int = 0, why: str = "") -> list[Effect]:
        self.out = []
        if (self.state, news) in TABLE:
            self.state, effects = TABLE[self.state, news]
            for effect in effects:
                getattr(self, effect)(news, reader, n, why)
        return self.out

    # Effects, named in the specification.

    def propose(self, news: News, reader: str, n: int, why: str) -> None:
        self.out.append(
            Effect("propose", self.version, undoes=self.undoes, by_all=self.by_all, base=self.base)
        )

    def note(self, news: News, reader: str, n: int, why: str) -> None:
        if news is News.ACK:
            self.acked.add(reader)
            self.ended.pop(reader, None)
        elif news is News.ENDED:
            self.ended[reader] = n
        else:
            self.refusals[reader] = why

    def put_in_force(self, news: News, reader: str, n: int, why: str) -> None:
        known = frozenset(self.acked | self.ended.keys())
        self.out.append(Effect("put_in_force", self.version, known, dict(self.ended)))

    def forget(self, news: News, reader: str, n: int, why: str) -> None:
        self.acked.clear()
        self.ended.clear()

    def take_back(self, news: News, reader: str, n: int, why: str) -> None:
        self.out.append(Effect("take_back", self.version))


def opening(rows: Mapping[str, Row]) -> Stamp:
    """Of the first publication where the keeper holds none: above all that any reader saw, since it may
    have held some and lost them."""
    stamp = highest_of(rows)
    epochs = [
        max(row.seen[0] + (row.seen != (0, 0)), row.high[0] + (row.high != UNMARKED)) for row in rows.values()
    ]
    return max(epochs, default=0), stamp[1] + 1


def check_step(old: Rulebook, new: Rulebook) -> bool:
    """Whether the step must be acknowledged by every reader. Raises PublicationError, with the way to go,
    where it may not be made at all."""
    found = differences(old, new)
    kinds = {one.kind for one in found}
    for one in found:
        if one.verdict is Verdict.ENDLESS and one.kind != "alone changed":
            raise PublicationError(f"{one.kind}: {one.what}: {one.reason}")
    alone = {kind for kind in kinds if kind.startswith("alone")}
    if alone and kinds - alone:
        raise PublicationError(
            f"alone: changed together with {', '.join(sorted(kinds - alone))}; publish "
            "the one, then the other"
        )
    if "alone changed" in alone:
        if old.alone_next is None or digest(new.alone) != digest(old.alone_next):
            raise PublicationError(
                "alone: differs from the one in force and was not announced; publish a "
                "version that names it as alone_next first"
            )
        if new.alone_next is not None:
            raise PublicationError("alone_next: another announced while alone changes; one, then the other")
    return "alone announced" in alone


@dataclass
class Publisher:
    """`in_force` is what the keeper holds; `now` is this process's clock."""

    terms: ReadingTerms
    in_force: Version
    highest: Stamp = NOTHING
    place: tuple[int, int] = (0, 0)  # the keeper's, as last read
    play: Publication | None = None
    past: list[Publication] = field(default_factory=list)  # in the order in which they were in force
    read: dict[str, tuple[tuple[int, int], int]] = field(default_factory=dict)  # reader -> (mark, first read)

    def __post_init__(self) -> None:
        found = [] if self.play is None else [self.play.version.stamp]  # by one started anew, at the keeper
        self.highest = max(self.highest, self.in_force.stamp, *found)
        if not self.past:
            self.past.append(Publication(self.in_force, state=State.IN_FORCE))

    @classmethod
    def begun(
        cls,
        terms: ReadingTerms,
        told: Told,
        highest: Stamp,
        undoes: Stamp | None = None,
        by_all: bool = False,
        kept: Sequence[Version] = (),
    ) -> Publisher:
        """One started anew on what the keeper holds: it leads on what is proposed there. `kept`: versions
        that were in force before, ascending (others among them are passed over)."""
        play = None
        if told.proposed is not None:
            play = Publication(told.proposed, by_all, undoes, state=State.PROPOSED)
        before = [
            Publication(one, state=State.SUPERSEDED) for one in kept if one.stamp < told.in_force.stamp
        ][-KEPT - 1 :]
        past = [*before, Publication(told.in_force, state=State.IN_FORCE)]
        return cls(terms, told.in_force, highest, told.place, play, past)

    def publish(
        self,
        book: Rulebook,
        author: str = "",
        reason: str = "",
        undoes: Stamp | None = None,
        anew: bool = False,
    ) -> list[Effect]:
        """Proposes the next version, on the one in force; `anew`: on whatever is. Raises PublicationError
        where it may not be proposed now."""
        if self.play is not None:
            raise PublicationError(f"{self.play.version.stamp} is proposed: two in play are the most")
        by_all = check_step(self.in_force.book, book)
        self.highest = (self.highest[0], self.highest[1] + 1)
        version = Version(self.highest, book, digest(book), author, reason)
        self.play = Publication(version, by_all, undoes, None if anew else self.in_force.stamp)
        return self.play.hear(News.PROPOSE)

    def withdraw(self, author: str = "", reason: str = "") -> list[Effect]:
        """Takes back the one proposed; with none, publishes the book before the one in force anew."""
        if self.play is not None:
            return self.close(self.play, News.WITHDRAW)
        if len(self.past) < 2:
            raise PublicationError("no version before the one in force is kept")
        return self.publish(self.past[-2].version.book, author, reason, undoes=self.in_force.stamp)

    def look(
        self,
        now: int,
        told: Told,
        rows: Mapping[str, Row],
        absent: frozenset[str] = frozenset(),
        highest: Stamp = NOTHING,
        moved: bool = False,
    ) -> list[Effect]:
        """What the keeper holds, read at `now`: what to write there next, in order.

        `absent`: those of `rows` whose lease was found to have surely ended, by whichever publisher. One that
        comes back joins anew, which breaks the keeper's compare; so they are not waited for, but by a
        publication that all must acknowledge. `highest`: of the stamps that the keeper ever held; `moved`:
        another keeper answers than the one that its epoch began at."""
        self.highest = max(self.highest, highest)
        self.read = {
            name: self.read[name] if name in self.read and self.read[name][0] == row.mark else (row.mark, now)
            for name, row in rows.items()
        }
        if self.play is not None and (
            self.play.state is State.ACKNOWLEDGED or told.in_force == self.play.version
        ):
            self.landed(told.in_force == self.play.version)  # its answer may be lost: what it holds counts
        self.place = max([self.place, told.place, *(row.seen for row in rows.values())])
        above = lost_epoch(told, rows, self.place, highest, moved)
        if above is not None and (self.play is None or self.play.version.stamp[0] <= above):
            return self.reopen(max(self.place[0], above), highest_of(rows))
        if self.play is None:
            return []
        if told.proposed != self.play.version:
            return self.missing(self.play, told, highest)
        return self.settle(self.play, now, rows, absent)

    def missing(self, play: Publication, told: Told, highest: Stamp) -> list[Effect]:
        """The proposal is not at the keeper: its writing was lost, or another publisher's stands there, or
        did, or took this one back: its number was used."""
        epoch, other = play.version.stamp[0], told.proposed
        if other is not None and other.stamp[0] < epoch:  # left by a keeper that lost data
            return [Effect("take_back", other), *play.hear(News.UNHEARD)]
        same = told.in_force == self.in_force or told.in_force.stamp[0] < epoch
        if other is None and same and highest < play.version.stamp:
            return play.hear(News.UNHEARD)
        return self.close(play, News.BEATEN, why="another publisher was first: begin from what it published")

    def settle(
        self, play: Publication, now: int, rows: Mapping[str, Row], absent: frozenset[str]
    ) -> list[Effect]:
        waited, mark = 0, play.version.mark
        play.acked.clear()  # judged anew at each look: an ended one may have confirmed since
        play.ended.clear()
        for name, row in rows.items():
            if row.refused == mark:
                return self.close(play, News.REFUSAL, name, row.why)
            if row.acked == mark:
                play.hear(News.ACK, name)
            elif name in absent and not play.by_all:
                continue
            elif not play.by_all and now >= self.read[name][1] + self.terms.surely_ended:
                play.hear(News.ENDED, name, row.n)
            else:
                waited += 1
        return [] if waited else play.hear(News.SETTLED)

    def close(self, play: Publication, news: News, reader: str = "", why: str = "") -> list[Effect]:
        out = play.hear(news, reader, why=why)
        if play.state in (State.REFUSED, State.WITHDRAWN):
            self.play = None
        return out

    def landed(self, held: bool) -> None:
        """The keeper's answer to put_in_force: whether its compare held. Also found by the next look."""
        if self.play is None:
            return
        self.play.hear(News.LANDED if held else News.UNSETTLED)
        if self.play.state is State.IN_FORCE:
            undone = self.play.undoes == self.in_force.stamp
            self.past[-1].hear(News.UNDONE if undone else News.NEWER)
            self.past.append(self.play)
            self.in_force, self.play = self.play.version, None
            self.past = self.past[-KEPT - 2 :]  # compaction: the bound holds at every instant

    def reopen(self, epoch: int, stamp: Stamp) -> list[Effect]:
        """The keeper lost data: all from here on is in an epoch above any seen, first what is in force here.

        Until that lands, a backend that saw more holds what it held until its deadline and then is alone."""
        out = [] if self.play is None else self.close(self.play, News.WITHDRAW)
        self.highest = max(self.highest[0], epoch, stamp[0]) + 1, max(self.highest[1], stamp[1])
        return out + self.publish(self.in_force.book, reason="the keeper lost data", anew=True)
