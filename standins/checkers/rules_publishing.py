"""The publishers' side of standins/checkers/rules_model.py: what each may do next, and what it writes.

A publisher is the program's own `Publisher` (ringshift/rulebook/version.py). What it writes arrives at once
and is answered, or is on its way and may be given up: at most two writes are on their way.
"""

from __future__ import annotations

from collections.abc import Iterator

from ringshift.rulebook.document import Rulebook
from ringshift.rulebook.version import Effect, PublicationError, Publisher
from ringshift.rulebook.version import State as Life
from standins.checkers import rules_keeper as keeper
from standins.checkers.rules_values import (
    NOW,
    TERMS,
    WAYS,
    Faults,
    State,
    Write,
    freeze_publisher,
    put,
    thaw_publisher,
    thaw_row,
    told_of,
    version,
    vid_of,
)


class Publishing:
    """`most`: how many publishers there may be. `plant`: a planted bug's name."""

    def __init__(self, faults: Faults, most: int, plant: str) -> None:
        self.faults, self.most, self.plant = faults, most, plant

    def publisher(self, state: State, which: int) -> Publisher:
        reads = {
            str(at): (slot.reads[which][:2], NOW - slot.reads[which][2])
            for at, slot in enumerate(state.slots)
            if slot.reads[which]
        }
        return thaw_publisher(state.publishers[which], reads)

    def with_publisher(self, state: State, which: int, one: Publisher, reads: bool = False) -> State:
        state = state._replace(publishers=put(state.publishers, which, freeze_publisher(one)))
        if not reads:
            return state
        slots = []
        for at, slot in enumerate(state.slots):
            read = one.read.get(str(at))
            told = () if read is None else (*read[0], NOW - read[1])
            slots.append(slot._replace(reads=put(slot.reads, which, told)))
        return state._replace(slots=tuple(slots))

    def look(self, state: State, which: int) -> tuple[State, list[Effect]]:
        """It reads the keeper: what it waited for an answer to is given up, and may arrive later."""
        state = state._replace(
            writes=tuple(one._replace(owner=-1) if one.owner == which else one for one in state.writes)
        )
        one, rows = self.publisher(state, which), {str(at): slot for at, slot in enumerate(state.slots)}
        held = {name: thaw_row(slot.row, slot.put) for name, slot in rows.items() if slot.row}
        absent = frozenset(name for name, slot in rows.items() if slot.row and slot.absent)
        effects = one.look(NOW, told_of(state.head.told()), held, absent, state.head.highest)
        return self.with_publisher(state, which, one, True), effects

    def sent(self, state: State, which: int, effects: list[Effect]) -> State:
        """The first effect on its way; what follows it would be judged by a new look."""
        for effect in effects[:1]:
            ended = tuple(int(str(at) in effect.ended) for at in range(len(state.slots)))
            write = Write(
                which,
                effect.kind,
                vid_of(effect.version),
                effect.undoes,
                effect.by_all,
                effect.base,
                state.head.in_force,
                ended=ended,
            )
            state = state._replace(writes=(*state.writes, write)[-WAYS:])
        return state

    def of_publisher(self, state: State, which: int) -> Iterator[tuple[str, State]]:
        looked, effects = self.look(state, which)
        yield from self.both(looked, which, effects, "looks")
        left = state.left
        idle = not looked.publishers[which][3] and not effects
        if idle and left.publications and not state.head.proposed:
            less = looked._replace(left=left._replace(publications=left.publications - 1))
            for name, book in self.books(state, which):
                one = self.publisher(less, which)
                try:
                    effects = one.publish(book)
                except PublicationError:
                    continue
                made = self.with_publisher(less, which, one)
                yield from self.both(made, which, effects, f"publishes {name}")
        one = self.publisher(looked, which)
        if left.withdrawals and (idle and len(one.past) > 1 or one.play and one.play.state is Life.PROPOSED):
            less = looked._replace(left=left._replace(withdrawals=left.withdrawals - 1))
            effects = one.withdraw()
            yield from self.both(self.with_publisher(less, which, one), which, effects, "withdraws")
        if left.kills:
            less = state._replace(left=left._replace(kills=left.kills - 1))
            late = tuple(one._replace(owner=-1) if one.owner == which else one for one in state.writes)
            yield "is killed and started anew", self.anew(less._replace(writes=late), which)
            if len(state.publishers) < self.most:
                yield "has another beside it", self.anew(less, len(state.publishers))

    def both(self, state: State, which: int, effects: list[Effect], name: str) -> Iterator[tuple[str, State]]:
        """What it writes arrives at once and is answered, or is on its way."""
        if not effects:
            yield name, state
            return
        sent = self.sent(state, which, effects)
        kind = effects[0].kind
        landed = self.landed(sent, len(sent.writes) - 1)
        while landed.writes and landed.writes[-1].owner == which:
            landed = self.landed(landed, len(landed.writes) - 1)
        yield f"{name}, {kind} written", landed
        yield f"{name}, {kind} on its way", sent

    def books(self, state: State, which: int) -> Iterator[tuple[str, Rulebook]]:
        """What operators may ask for: each once a number, so that no two are alike."""
        _, _, entry, alone, coming = state.publishers[which][0]
        spent = self.faults.publications - state.left.publications
        new = 1 + spent
        yield f"a list {new}", version((0, 0, new, alone, coming)).book
        yield f"an alone {new} to come", version((0, 0, entry, alone, new)).book
        if coming >= 0:
            yield "the alone announced", version((0, 0, entry, coming, -1)).book
        yield f"an alone {new} at once", version((0, 0, entry, new, -1)).book

    def anew(self, state: State, which: int) -> State:
        """A publisher that goes on from what the keeper holds."""
        head = state.head
        kept = [version(head.before)] if head.before else []
        one = Publisher.begun(TERMS, told_of(head.told()), head.highest, head.undoes, head.by_all, kept)
        if which == len(state.publishers):
            slots = tuple(slot._replace(reads=(*slot.reads, ())) for slot in state.slots)
            state = state._replace(publishers=(*state.publishers, ()), slots=slots)
        return self.with_publisher(state, which, one, True)

    def landed(self, state: State, at: int) -> State:
        """A write at the keeper, in two steps where readers are to be moved first; its owner is told."""
        write, compares = state.writes[at], self.plant != "no_compare"
        if keeper.moves(write) and 2 not in write.ended and compares:
            return keeper.moved(state, at)
        writes = state.writes[:at] + state.writes[at + 1 :]
        state, held = keeper.done(state._replace(writes=writes), write, compares)
        if write.owner >= 0 and write.kind == "put_in_force":
            one = self.publisher(state, write.owner)
            if one.play is not None and one.play.version == version(write.version):
                one.landed(held)
                state = self.with_publisher(state, write.owner, one)
        return state
