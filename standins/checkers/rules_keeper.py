"""The keeper of standins/checkers/rules_model.py: one head, rows, joins, each write a compare, as
ringshift/wire/rules.py has them. Instead of revisions a write carries whether what it compares is as read.
"""

from __future__ import annotations

from standins.checkers.rules_values import Head, Slot, State, Vid, Write, put


def arrived(state: State, which: int, at: int, ways: int, again: bool = False) -> State:
    """A confirmation at the keeper: the row is put, whatever it was; the answer goes on its way."""
    slot = state.slots[which]
    row, writes = slot.asks[at], list(state.writes)
    asks = slot.asks if again else slot.asks[:at] + slot.asks[at + 1 :]
    for place, write in enumerate(writes):
        if not slot.row or slot.absent:
            write = write._replace(joins=False)
        if write.ended[which]:
            write = write._replace(ended=put(write.ended, which, 2))
        writes[place] = write
    answers = (*slot.answers, (row[0], state.head.told()))[-ways:] if slot.reader else ()
    newest = max(slot.put, slot.copied[2] if slot.copied else 0) + 1
    slot = slot._replace(asks=asks, answers=answers, row=row, put=newest, absent=False)
    return state._replace(slots=put(state.slots, which, slot), writes=tuple(writes))


def forgotten(state: State, which: int) -> State:
    """A process that is no more taken from the readers."""
    slot = state.slots[which]._replace(row=(), absent=False)
    writes = tuple(
        one._replace(ended=put(one.ended, which, 2)) if one.ended[which] else one for one in state.writes
    )
    return state._replace(slots=put(state.slots, which, slot), writes=writes)


def moves(write: Write) -> bool:
    return write.kind == "put_in_force" and any(write.ended) and not write.moved


def moved(state: State, at: int) -> State:
    """The readers whose leases ended, from the readers to the absent ones."""
    write = state.writes[at]
    slots = tuple(
        slot._replace(absent=True) if ended and slot.row else slot
        for slot, ended in zip(state.slots, write.ended, strict=True)
    )
    writes = tuple(
        one._replace(
            ended=tuple(2 if mine and too else mine for mine, too in zip(one.ended, write.ended, strict=True))
        )
        for one in state.writes
    )
    return state._replace(slots=slots, writes=put(writes, at, write._replace(moved=True)))


def done(state: State, write: Write, compares: bool) -> tuple[State, bool]:
    """Whether the compare held. `compares` is false for a planted bug: the head is then written as it was
    made of what was read."""
    head, vid = state.head, write.version
    if compares and not write.head:
        return state, False
    if write.kind == "propose":
        free = not head.proposed and vid[:2] > head.highest
        if compares and not (free and write.base in (None, head.in_force[:2])):
            return state, False
        head = head._replace(
            in_force=write.stays,
            proposed=vid,
            highest=(vid[0], vid[1]),
            undoes=write.undoes,
            by_all=write.by_all,
        )
    elif compares and head.proposed != vid:
        return state, False
    elif write.kind == "take_back":
        head = head._replace(in_force=write.stays, proposed=(), undoes=None, by_all=False)
    elif compares and not (write.joins and (write.moved or not any(write.ended))):
        return state, False
    else:
        head = Head(vid, highest=head.highest, revision=head.revision, before=head.in_force)
        if compares and any(
            counted(slot, ended) and not took(slot, vid)
            for slot, ended in zip(state.slots, write.ended, strict=True)
        ):
            state = state._replace(broken=f"{vid[:2]} in force by the word of one that took in another book")
    if state.lost < 0 and head.in_force[:2] < state.head.in_force[:2]:
        state = state._replace(broken=f"{head.in_force[:2]} in force after {state.head.in_force[:2]}")
    changed = tuple(one._replace(head=False) for one in state.writes)
    return state._replace(head=head._replace(revision=head.revision + 1), writes=changed), True


def counted(slot: Slot, ended: int) -> bool:
    """Whether a living reader's word stood for it, not the end of its lease."""
    return bool(slot.reader and slot.row and not slot.absent and not ended)


def took(slot: Slot, vid: Vid) -> bool:
    """Whether it acts by it, or did and has gone on: `vid` below what it holds."""
    return vid in (*slot.reader[1], *slot.reader[10]) or max(slot.reader[1], default=())[:2] > vid[:2]


def copied(state: State) -> State:
    slots = tuple(slot._replace(copied=(slot.row, slot.absent, slot.put)) for slot in state.slots)
    return state._replace(copy=state.head, slots=slots)


def restored(state: State) -> State:
    """From the copy; every connection is cut, so what was on its way is lost."""
    assert isinstance(state.copy, Head)
    slots = tuple(
        slot._replace(
            row=slot.copied[0], absent=slot.copied[1], put=slot.copied[2], copied=(), asks=(), answers=()
        )
        for slot in state.slots
    )
    left = state.left._replace(restores=state.left.restores - 1)
    return state._replace(slots=slots, head=state.copy, copy=(), writes=(), lost=0, left=left)
