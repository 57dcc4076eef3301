"""A model of two readers that agree on a rulebook, for standins/checkers/explore.py to go through whole.

The readers are the program's own `Reader`, the publishers its own `Publisher` (ringshift/rulebook): only the
network, the keeper, the clocks and the faults are modelled, the keeper as ringshift/wire/rules.py uses it.
One tick of true time is 4 s and moves a clock by 3 or 5 s, the edges of a drift bound of a quarter. A reading
lease lives 8 s: two ticks at the least for the publisher and two at the most for its reader, so nothing is
to spare. Each reader confirms once a tick. A confirmation or its answer waits on its way for any number of
ticks (at most two of each are on their way, a third makes the oldest lost) and may be overtaken. A
publisher's write arrives at once, later, or with its answer lost; at most two are on their way.

Faults, each from a budget (`Faults`): a publisher killed and started anew, or another beside it; a proposal
withdrawn; a reader stopped and woken; a process that crashes and starts anew (under a new name: its row
stays until an operator deletes it); a message that arrives twice; the keeper restored from an older copy,
which cuts every connection. Loss and cuts need no event: what never arrives is lost.

Each version holds back one entry of its own and each `alone` likewise, so that rules keep a version exactly
where they refuse its entry. Wrong is any instant at which two act by versions that no one rulebook keeps, or
two by such an `alone`; after a keeper's loss of data the former for longer than B. Not judged: a backend
alone against one with contact, one that never heard a version (docs/rulebook.md, "Not promised"). Not
modelled: watches, more than two living readers, a clock that steps.
"""

from __future__ import annotations

from collections.abc import Iterator
from itertools import product

from ringshift.rulebook import reader as readers
from ringshift.rulebook.bound import S
from ringshift.rulebook.reader import News
from ringshift.rulebook.version import NOTHING, Publisher
from standins.checkers import rules_keeper as keeper
from standins.checkers.rules_publishing import Publishing
from standins.checkers.rules_values import (
    B_TICKS,
    FAST,
    FIRST,
    NOW,
    SLOW,
    TERMS,
    WAYS,
    Faults,
    Frozen,
    Head,
    Slot,
    State,
    Vid,
    canonical,
    freeze_publisher,
    freeze_reader,
    freeze_row,
    older,
    put,
    thaw_reader,
    told_of,
    version,
)

NONE = Faults()


class Model(Publishing):
    """`publishers`: how many may be at it. `odd`: one program is an older one that refuses every even number.
    `plant`: `no_compare`, a bug of the keeper's. `rates`: what a tick may add to a reader's and a publisher's
    clock, in ns. `allowed`: ticks for which two may contradict after a loss of data."""

    def __init__(
        self,
        faults: Faults = NONE,
        publishers: int = 1,
        odd: bool = False,
        plant: str = "",
        rates: tuple[tuple[int, ...], tuple[int, ...]] = ((SLOW,), (FAST,)),
        allowed: int = B_TICKS,
    ) -> None:
        super().__init__(faults, publishers, plant)
        self.odd, self.rates, self.allowed = odd, rates, allowed
        self.heard: dict[Frozen, tuple[Frozen, Frozen]] = {}  # a reader's answer to a fact never varies
        self.acts: dict[Frozen, tuple[str, frozenset[str]]] = {}

    def first(self) -> State:
        """Both readers were answered this moment, the publisher read it, nothing is proposed."""
        model, empty = Slot(self.fresh()), Head()
        slots = []
        for odd in (False, self.odd):
            reader, ask = self.hear(model.reader, News.TICK)
            reader, _ = self.hear(reader, News.ANSWERED, 1, empty.told())
            slots.append(Slot(reader, odd=odd, row=ask, put=1, reads=((1, 1, 0),)))
        publisher = freeze_publisher(Publisher(TERMS, version(FIRST), place=(0, 1)))
        return canonical(State(tuple(slots), empty, (publisher,), left=self.faults))

    def proposed(self) -> State:
        """A second version is proposed and acknowledged by one reader; the other's confirmation of before
        is answered with the first version alone, and that answer is on its way. The publisher has looked."""
        state = self.led(self.first(), "tick", "reader 0 confirmation 2 arrives")
        return self.led(
            state,
            "publisher 0 publishes a list",
            "publisher 0 looks",
            "reader 0 confirms",
            "reader 1 confirms",
            "publisher 0 looks",
        )

    def announced(self) -> State:
        """A second version is in force that announces another `alone`; both readers act by it."""
        state = self.quiet(self.led(self.first(), "tick", "publisher 0 publishes an alone 1 to come"))
        return self.quiet(self.led(state, "publisher 0 looks", "tick"))

    def lost(self) -> State:
        """The keeper was restored this moment from a copy of before the second version, by which both act."""
        state = self.led(self.first(), "keeper copied", "tick", "publisher 0 publishes a list")
        state = self.quiet(self.led(self.quiet(state), "tick"))
        return self.led(state, "keeper restored")

    def quiet(self, state: State) -> State:
        """Every confirmation goes there and back, until none is on its way; the publisher looks."""
        while to := next((to for name, to in self.after(state) if name.endswith(" confirms")), None):
            state = to
        return self.led(state, "publisher 0 looks")

    def led(self, state: State, *events: str) -> State:
        """By these events, each the first whose name begins so."""
        for event in events:
            state = next(to for name, to in self.after(state) if name.startswith(event))
        return state

    @staticmethod
    def fresh() -> Frozen:
        return int(readers.State.STARTING), (), 0, 0, (), None, 0, (0, 0), NOTHING, NOTHING, ()

    # The program's own decisions, on values.

    def hear(
        self, frozen: Frozen, news: News, n: int = 0, told: Frozen = (), odd: bool = False
    ) -> tuple[Frozen, Frozen]:
        key = frozen, news, n, told, odd
        if key not in self.heard:
            one = thaw_reader(frozen, odd)
            row = one.hear(news, NOW, told_of(told) if told else None, n)
            self.heard[key] = freeze_reader(one), freeze_row(row) if row is not None else ()
        return self.heard[key]

    def rules(self, frozen: Frozen) -> tuple[str, frozenset[str]]:
        """By what a reader acts, and the entries it refuses; not judged before it heard a version."""
        if frozen not in self.acts:
            one = thaw_reader(frozen, False)
            refused = frozenset(entry for told in one.rules(NOW).lists for entry in told.entries)
            by = "version" if one.acting(NOW) else "alone" if one.basis else ""
            self.acts[frozen] = by, refused
        return self.acts[frozen]

    # Events.

    def after(self, state: State) -> Iterator[tuple[str, State]]:
        for rates in self.products(len(state.slots), len(state.publishers)):
            told = ",".join(str(rate // S) for rate in (*rates[0], *rates[1]))
            yield f"tick {told}", canonical(self.ticked(state, *rates))
        for which in range(len(state.slots)):
            yield from ((f"reader {which} {event}", canonical(to)) for event, to in self.of(state, which))
        for which in range(len(state.publishers)):
            yield from (
                (f"publisher {which} {event}", canonical(to)) for event, to in self.of_publisher(state, which)
            )
        yield from ((event, canonical(to)) for event, to in self.of_keeper(state))

    def products(self, slots: int, publishers: int) -> Iterator[tuple[tuple[int, ...], tuple[int, ...]]]:
        for a in product(self.rates[0], repeat=slots):
            for b in product(self.rates[1], repeat=publishers):
                yield a, b

    def ticked(self, state: State, rates: tuple[int, ...], fast: tuple[int, ...]) -> State:
        slots = []
        for slot, rate in zip(state.slots, rates, strict=True):
            slot = slot._replace(
                reads=tuple(
                    (*one[:2], min(one[2] + more, TERMS.surely_ended)) if one else ()
                    for one, more in zip(slot.reads, fast, strict=True)
                )
            )
            if slot.reader:
                slot = slot._replace(reader=older(slot.reader, rate))
                if not slot.stopped:
                    slot = self.told(slot, News.TICK)
            slots.append(slot)
        lost = min(state.lost + 1, B_TICKS) if state.lost >= 0 else -1
        return state._replace(slots=tuple(slots), lost=lost)

    def told(self, slot: Slot, news: News, n: int = 0, told: Frozen = ()) -> Slot:
        reader, ask = self.hear(slot.reader, news, n, told, slot.odd)
        asks = (*slot.asks, ask)[-WAYS:] if ask else slot.asks
        return slot._replace(reader=reader, asks=asks)

    def answered(self, state: State, which: int, at: int, again: bool = False) -> State:
        slot = state.slots[which]
        n, told = slot.answers[at]
        kept = slot.answers if again else slot.answers[:at] + slot.answers[at + 1 :]
        slot = self.told(slot._replace(answers=kept), News.ANSWERED, n, told)
        return state._replace(slots=put(state.slots, which, slot))

    def confirmed(self, state: State, which: int) -> State:
        """The newest confirmation there and back at once."""
        state = keeper.arrived(state, which, len(state.slots[which].asks) - 1, WAYS)
        return self.answered(state, which, len(state.slots[which].answers) - 1)

    def of(self, state: State, which: int) -> Iterator[tuple[str, State]]:
        slot, left = state.slots[which], state.left
        for at, ask in enumerate(slot.asks):
            yield f"confirmation {ask[0]} arrives", keeper.arrived(state, which, at, WAYS)
            if left.doubles:
                less = state._replace(left=left._replace(doubles=left.doubles - 1))
                twice = keeper.arrived(less, which, at, WAYS, True)
                yield f"confirmation {ask[0]} arrives, and will again", twice
        if not slot.reader:
            if slot.row:
                yield "its row is forgotten", keeper.forgotten(state, which)
            return
        if slot.stopped:
            yield "wakes", state._replace(slots=put(state.slots, which, slot._replace(stopped=False)))
            return
        if slot.asks:
            yield "confirms", self.confirmed(state, which)
        for at, answer in enumerate(slot.answers):
            yield f"hears the answer to {answer[0]}", self.answered(state, which, at)
            if left.doubles:
                less = state._replace(left=left._replace(doubles=left.doubles - 1))
                yield f"hears the answer to {answer[0]}, and will again", self.answered(less, which, at, True)
        if left.stops:
            less = state._replace(left=left._replace(stops=left.stops - 1))
            yield "is stopped", less._replace(slots=put(state.slots, which, slot._replace(stopped=True)))
        if left.crashes:
            less = state._replace(left=left._replace(crashes=left.crashes - 1))
            yield "crashes and starts anew", self.crashed(less, which, ())
            if slot.reader[1]:  # with what its disk kept: the last version that was in force
                yield "crashes and starts from its disk", self.crashed(less, which, slot.reader[1][0])

    def crashed(self, state: State, which: int, kept: Vid) -> State:
        slot, fresh = state.slots[which], self.fresh()
        if kept:
            fresh = (*fresh[:-1], (kept,))
        dead = slot._replace(reader=(), answers=(), stopped=False)
        new = Slot(
            fresh,
            odd=slot.odd,
            reads=((),) * len(state.publishers),
            copied=((), False, 0) if state.copy else (),
        )
        writes = tuple(one._replace(ended=(*one.ended, 0)) for one in state.writes)
        return state._replace(slots=(*put(state.slots, which, dead), new), writes=writes)

    # The keeper.

    def of_keeper(self, state: State) -> Iterator[tuple[str, State]]:
        for at, write in enumerate(state.writes):
            whose = f"publisher {write.owner}'s" if write.owner >= 0 else "a late"
            name = "readers moved for" if keeper.moves(write) else "arrives:"
            yield f"{whose} write, {name} {write.kind}", self.landed(state, at)
            if write.owner >= 0 and not keeper.moves(write):
                late = state._replace(writes=put(state.writes, at, write._replace(owner=-1)))
                yield f"{whose} write, {name} {write.kind}, its answer is lost", self.landed(late, at)
        if state.left.restores:
            if not state.copy:
                yield "keeper copied", keeper.copied(state)
            else:
                yield "keeper restored from its copy", keeper.restored(state)

    # What may never be.

    def wrong(self, state: State) -> str:
        if state.broken:
            return state.broken
        acting = [(slot.reader, *self.rules(slot.reader)) for slot in state.slots if slot.reader]
        for place, (one, by, refused) in enumerate(acting):
            for other, as_well, too in acting[place + 1 :]:
                if by and by == as_well and not (of(by, refused) & of(by, too)):
                    if 0 <= state.lost < self.allowed and by == "version":
                        continue  # the keeper lost data: at most B from then on
                    return f"two act by {by}: {sorted(refused)} {one[1]}, {sorted(too)} {other[1]}"
        if state.lost < 0:
            known = {
                vid for slot in state.slots if slot.reader for vid in (*slot.reader[1], *slot.reader[10])
            }
            known |= {state.head.in_force, state.head.proposed or state.head.in_force}
            if len({vid[:2] for vid in known}) < len(known):
                return f"a number used twice: {sorted(known)}"
        return ""


def of(by: str, refused: frozenset[str]) -> frozenset[str]:
    """The entries of versions, or of `alone`."""
    return frozenset(one for one in refused if one.startswith("rule") == (by == "version"))
