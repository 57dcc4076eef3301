"""The states of standins/checkers/rules_model.py as values, and the program's own objects made of them.

Times are kept as ages against each clock's own now, numbers of confirmations as ranks, readers in sorted
order: what can't be told apart is one state.
"""

from __future__ import annotations

from collections import deque
from functools import lru_cache
from typing import Any, NamedTuple

from ringshift.rulebook import reader as readers
from ringshift.rulebook.bound import ReadingTerms, S
from ringshift.rulebook.document import Listing, Rulebook, Rules, digest
from ringshift.rulebook.reader import Reader
from ringshift.rulebook.version import Publication, Publisher, Row, Stamp, Told, Version
from ringshift.rulebook.version import State as Life

TICK, SLOW, FAST = 4 * S, 3 * S, 5 * S
TERMS = ReadingTerms(life=8 * S, margin=0, drift_ppm=250_000, refresh=2 * S)
B_TICKS = 2  # `bound` of these terms, in ticks of true time
NOW = 1000 * S  # every clock's own now: all else is an age against it
WAYS = 2  # messages of a kind on their way
Frozen = tuple[Any, ...]
Vid = tuple[int, ...]  # epoch, number, the entry held back, that of alone, that of alone_next or -1
FIRST: Vid = (0, 1, 0, 0, -1)


class Slot(NamedTuple):
    """A reader and what the keeper and the publishers have of it; no reader: a process that is no more."""

    reader: Frozen = ()
    asks: tuple[Frozen, ...] = ()  # rows on their way
    answers: tuple[Frozen, ...] = ()  # (n, told) on their way back
    stopped: bool = False
    odd: bool = False  # an older program: it refuses every even number
    row: Frozen = ()
    put: int = 0  # the keeper's number of its putting
    absent: bool = False
    reads: tuple[Frozen, ...] = ()  # of each publisher: (n, put, how long ago first read)
    copied: Frozen = ()  # (row, absent, put) in the keeper's copy


class Head(NamedTuple):
    in_force: Vid = FIRST
    proposed: Vid = ()
    highest: Stamp = (0, 1)
    undoes: Stamp | None = None
    by_all: bool = False
    revision: int = 1
    before: Vid = ()  # in force before it

    def told(self) -> Frozen:
        return (self.highest[0], self.revision), self.in_force, self.proposed


class Write(NamedTuple):
    """A publisher's effect on its way, with what the keeper compares: whether all is as it was read."""

    owner: int  # the publisher that waits for its answer, or -1
    kind: str
    version: Vid
    undoes: Stamp | None
    by_all: bool
    base: Stamp | None
    stays: Vid  # in force, as it was read
    head: bool = True
    joins: bool = True
    moved: bool = False
    ended: tuple[int, ...] = ()  # of each slot: 0 not counted as ended, 1 so and as it was read, 2 changed


class Faults(NamedTuple):
    publications: int = 2
    withdrawals: int = 0
    kills: int = 0
    stops: int = 0
    crashes: int = 0
    doubles: int = 0
    restores: int = 0


class State(NamedTuple):
    slots: tuple[Slot, ...]
    head: Head
    publishers: tuple[Frozen, ...]
    writes: tuple[Write, ...] = ()
    left: Faults = Faults()
    copy: Head | tuple[()] = ()
    lost: int = -1  # ticks since the keeper lost data
    broken: str = ""


# Decisions' objects as values, and back.


def listing(entry: str) -> list[Listing]:
    return [Listing("callers", "held_back", [entry])]


VIDS: dict[tuple[Stamp, str], Vid] = {}  # of every version ever made here: a reader knows digests alone


@lru_cache(None)
def version(vid: Vid) -> Version:
    epoch, number, entry, alone, coming = vid
    book = Rulebook(
        listing(f"rule {entry}"),
        alone=Rules(listing(f"alone {alone}")),
        alone_next=None if coming < 0 else Rules(listing(f"alone {coming}")),
    )
    one = Version((epoch, number), book, digest(book))
    VIDS[one.stamp, one.digest] = vid
    return one


def vid_of(one: Version) -> Vid:
    def entry(rules: Rules | None) -> int:
        return -1 if rules is None else int(rules.lists[0].entries[0].split()[1])

    return (*one.stamp, entry(one.book), entry(one.book.alone), entry(one.book.alone_next))


@lru_cache(None)
def told_of(frozen: Frozen) -> Told:
    place, in_force, proposed = frozen
    return Told(place, version(in_force), version(proposed) if proposed else None)


def freeze_row(row: Row) -> Frozen:
    return row.n, row.acked, row.refused, row.seen, row.high, row.floor


def thaw_row(frozen: Frozen, put: int) -> Row:
    n, acked, refused, seen, high, floor = frozen
    return Row(n, acked, refused, "", seen, high, floor, put)


def freeze_reader(one: Reader) -> Frozen:
    sent = tuple((n, at - NOW) for n, at in one.sent if NOW - at < TERMS.acting_time)
    asked = None if one.asked is None else max(one.asked - NOW, -one.answer_within)
    seen = tuple(sorted(VIDS[known] for known in one.digests.items()))
    basis = tuple(vid_of(version) for version in one.basis)
    return (
        int(one.state),
        basis,
        max(one.deadline - NOW, 0),
        one.n,
        sent,
        asked,
        max(one.next_ask - NOW, 0),
        one.place,
        one.row.acked,
        one.row.refused,
        seen,
    )


def thaw_reader(frozen: Frozen, odd: bool) -> Reader:
    state, basis, left, n, sent, asked, due, place, acked, refused, seen = frozen
    one = Reader(
        TERMS,
        version(FIRST).book.alone,
        answer_within=SLOW,
        check=(lambda told: "older" if told.stamp[1] % 2 == 0 else "") if odd else readers.fits,
    )
    one.state, one.basis = readers.State(state), tuple(map(version, basis))
    one.deadline, one.n = NOW + left, n
    one.sent = deque(((number, NOW + at) for number, at in sent), maxlen=readers.REMEMBERED)
    one.asked, one.next_ask = None if asked is None else NOW + asked, NOW + due
    one.place, one.row = place, Row(n, acked, refused)
    one.digests = {version(vid).stamp: version(vid).digest for vid in seen}
    return one


def freeze_publisher(one: Publisher) -> Frozen:
    play = one.play
    frozen = (
        () if play is None else (vid_of(play.version), play.by_all, play.undoes, play.base, int(play.state))
    )
    before = vid_of(one.past[-2].version) if len(one.past) > 1 else ()
    return vid_of(one.in_force), one.highest, one.place, frozen, before


def thaw_publisher(frozen: Frozen, reads: dict[str, tuple[tuple[int, int], int]]) -> Publisher:
    in_force, highest, place, played, before = frozen
    play = None
    if played:
        vid, by_all, undoes, base, life = played
        play = Publication(version(vid), by_all, undoes, base, Life(life))
    past = [Publication(version(vid), state=Life.IN_FORCE) for vid in (before, in_force) if vid]
    return Publisher(TERMS, version(in_force), highest, place, play, past, reads)


def older(frozen: Frozen, rate: int) -> Frozen:
    state, basis, left, n, sent, asked, due, *rest = frozen
    sent = tuple((number, at - rate) for number, at in sent if rate - at < TERMS.acting_time)
    asked = None if asked is None else max(asked - rate, -SLOW)
    return (state, basis, max(left - rate, 0), n, sent, asked, max(due - rate, 0), *rest)


def put(values: tuple[Any, ...], which: int, value: Any) -> tuple[Any, ...]:
    return (*values[:which], value, *values[which + 1 :])


def canonical(state: State) -> State:
    """Confirmations numbered by rank, readers in sorted order, none of which nothing is left."""
    told = [ranked(slot) for slot in state.slots]
    order = sorted((at for at, (key, _) in enumerate(told) if key), key=lambda at: told[at][0])
    writes = tuple(one._replace(ended=tuple(one.ended[at] for at in order)) for one in state.writes)
    return state._replace(slots=tuple(told[at][1] for at in order), writes=writes)


@lru_cache(200_000)
def ranked(slot: Slot) -> tuple[str, Slot]:
    """With what it is sorted by, empty where nothing is left. A reading of a row that is no more, not in
    the copy either, is as none: the next look begins anew."""
    rows = [(slot.row, slot.put), (slot.copied[0], slot.copied[2])] if slot.copied else [(slot.row, slot.put)]
    marks = {thaw_row(row, put).mark for row, put in rows if row}
    reads = tuple(one if one and (one[:2] in marks or not one[1]) else () for one in slot.reads)
    numbers = {ask[0] for ask in slot.asks} | {n for n, _ in slot.answers} | {n for n, _ in marks}
    numbers |= {one[0] for one in reads if one}
    if slot.reader:
        numbers |= {slot.reader[3]} | {n for n, _ in slot.reader[4]}
    rank = {n: place for place, n in enumerate(sorted(numbers), 1)}
    puts = {put: place for place, put in enumerate(sorted({0} | {put for row, put in rows if row}))}

    def row(frozen: Frozen) -> Frozen:
        return (rank[frozen[0]], *frozen[1:]) if frozen else ()

    reader = slot.reader
    if reader:
        sent = tuple((rank[n], at) for n, at in reader[4])
        reader = (*reader[:3], rank[reader[3]], sent, *reader[5:])
    slot = slot._replace(
        reader=reader,
        asks=tuple(map(row, slot.asks)),
        row=row(slot.row),
        put=puts.get(slot.put, 0),
        answers=tuple((rank[n], told) for n, told in slot.answers),
        reads=tuple((rank[one[0]], puts[one[1]], one[2]) if one else () for one in reads),
        copied=(row(slot.copied[0]), slot.copied[1], puts.get(slot.copied[2], 0)) if slot.copied else (),
    )
    left = slot.reader or slot.row or slot.asks or (slot.copied and slot.copied[0])
    return repr(slot) if left else "", slot
