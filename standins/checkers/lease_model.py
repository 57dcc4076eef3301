"""A model of two holders, a keeper and a resource, for standins/checkers/explore.py to go through whole.

The holders are the program's own `Lease` (ringshift/fleet/lease.py) and the resource its own `Fence`: only
the network, the keeper, the clocks and the faults are modelled. Times are kept as ages against each holder's
own now, tokens and lease ids as ranks, and the two holders in sorted order, so that what can't be told apart
is one state.

One tick of true time moves a holder's clock by 3 s and the keeper's by 3 or 4, at each tick as the explorer
likes: the bound on drift is a quarter. With a time to live of 12 s a hold lasts 3 ticks at the least for the
keeper and 3 at the most for its holder: nothing is to spare. A call is on its way to the keeper, or its
answer on its way back, for any number of ticks; a call given up may still arrive later (one of each holder).
Faults, each from a budget: a holder stalled (its clock runs on) and woken, crashed and started anew, told to
leave; the keeper restarted. Loss needs no event of its own: what never arrives is lost. A step is looked for,
then on its way to the resource for any time: the pause after the last look. Not modelled: watches (they only
make a seek earlier), a clock that steps, three holders.
"""

from __future__ import annotations

from collections.abc import Iterator
from typing import NamedTuple

from ringshift.fleet.fence import Fence
from ringshift.fleet.lease import DOUBTFUL, HOLDING, RELEASED, SEEKING, Heard, Lease, LeaseTerms, News, S

TICK, KEEPER_TICKS = 3 * S, (3 * S, 4 * S)
TERMS = LeaseTerms(
    ttl=12 * S, margin=0, drift_ppm=250_000, renew_share=0.5, seek_after=TICK, answer_within=TICK
)
NOW = 1000 * S  # every holder's own now: all else is an age against it
NONE = -1


class Call(NamedTuple):
    """What a holder asked: `seek`, `renew`, `check` or `revoke`; `answer` once the keeper gave one."""

    kind: str
    age: int = 0
    lease: int = 0
    token: int = 0
    answer: str = ""  # the name of the news on its way back
    told_lease: int = 0
    told_token: int = 0


class Holder(NamedTuple):
    phase: int = int(SEEKING)
    lease: int = 0
    token: int = 0
    left: int = 0  # until its deadline
    asked: int = NONE  # how long ago
    due: int = 0  # until it asks next
    call: Call | tuple[()] = ()
    late: Call | tuple[()] = ()  # given up, but it may still reach the keeper
    stalled: bool = False
    step: int = 0  # the token of a step on its way to the resource
    gone: bool = False


class State(NamedTuple):
    holders: tuple[Holder, ...]
    key_token: int = 0
    key_lease: int = 0
    key_owner: int = NONE  # which holder's own process made it
    key_left: int = 0
    highest: int = 0
    stalls: int = 1
    crashes: int = 1
    leaves: int = 1
    restarts: int = 1
    broken: str = ""


class Model:
    """`no_fence`, `restart_expires`: planted bugs of the resource and the keeper."""

    def __init__(self, plant: str = "", faults: tuple[int, int, int, int] = (1, 1, 1, 1)) -> None:
        self.plant, self.faults = plant, faults
        self.heard: dict[tuple[Holder, Heard], Holder] = {}  # a holder's answer to a fact never varies
        self.acts: dict[Holder, bool] = {}

    def first(self) -> State:
        return State((Holder(), Holder()), 0, 0, NONE, 0, 0, *self.faults)

    def held(self) -> State:
        """One was granted the key this moment, the other has not asked yet: three events less to explore."""
        one = self.hear(Holder(), Heard(News.GRANTED, NOW, NOW, 1, 1))
        state = State((one, Holder()), 1, 1, 0, TERMS.ttl, 0, *self.faults)
        return canonical(state)

    # The program's own decisions, on a holder of the model.

    @staticmethod
    def lease(holder: Holder) -> Lease:
        return Lease(
            TERMS,
            [SEEKING, HOLDING, DOUBTFUL, RELEASED][holder.phase - 1],
            holder.lease,
            holder.token,
            NOW + holder.left,
            None if holder.asked == NONE else NOW - holder.asked,
            NOW + holder.due,
        )

    def acting(self, holder: Holder) -> bool:
        if holder not in self.acts:
            self.acts[holder] = not holder.gone and self.lease(holder).acting(NOW)
        return self.acts[holder]

    def hear(self, holder: Holder, heard: Heard) -> Holder:
        key = holder, heard
        if key not in self.heard:
            self.heard[key] = self.decided(holder, heard)
        return self.heard[key]

    def decided(self, holder: Holder, heard: Heard) -> Holder:
        lease = self.lease(holder)
        effects = lease.hear(heard)
        call, late = holder.call, holder.late
        for effect in effects:
            if effect.kind in ("seek", "renew", "check") and not call:
                call = Call(effect.kind, 0, effect.lease, effect.token)
            elif effect.kind == "revoke":
                late = Call("revoke", 0, effect.lease, effect.token)
        held = lease.phase in (HOLDING, DOUBTFUL)
        return holder._replace(
            phase=int(lease.phase),
            lease=lease.lease,
            token=lease.token,
            left=max(lease.deadline - NOW, -1) if held else 0,
            asked=NONE if lease.asked is None else min(NOW - lease.asked, TERMS.answer_within),
            due=max(lease.next_ask - NOW, 0),
            call=call,
            late=late,
        )

    # Events.

    def after(self, state: State) -> Iterator[tuple[str, State]]:
        for fast in KEEPER_TICKS:
            yield f"tick {fast // S}", self.ticked(state, fast)
        for number, holder in enumerate(state.holders):
            yield from ((f"{event} {number}", canonical(to)) for event, to in self.of(state, number, holder))
        if state.restarts:
            yield "keeper restarts", self.restarted(state)

    def ticked(self, state: State, fast: int) -> State:
        holders = []
        for holder in state.holders:
            call = holder.call
            call = call._replace(age=min(call.age + TICK, 4 * TICK)) if call else ()
            holder = holder._replace(
                left=max(holder.left - TICK, -1) if holder.token else 0,
                call=call,
                asked=NONE if holder.asked == NONE else min(holder.asked + TICK, TERMS.answer_within),
                due=max(holder.due - TICK, 0),
            )
            holders.append(holder)
        left = state.key_left - fast
        state = state._replace(holders=tuple(holders))
        state = state._replace(key_left=left) if left > 0 else without_key(state)
        heard = [
            holder if holder.stalled or holder.gone else self.hear(holder, Heard(News.TICK, NOW))
            for holder in state.holders
        ]
        return canonical(state._replace(holders=tuple(heard)))

    def of(self, state: State, number: int, holder: Holder) -> Iterator[tuple[str, State]]:
        def put(new: Holder, base: State = state) -> State:
            return base._replace(holders=(*base.holders[:number], new, *base.holders[number + 1 :]))

        call = holder.call
        if call and not call.answer:
            reached, answer = self.at_keeper(state, number, call)
            yield f"{call.kind} arrives", put(holder._replace(call=answer), reached)
        if holder.late:
            reached, _ = self.at_keeper(state, number, holder.late)
            yield f"late {holder.late.kind} arrives", put(holder._replace(late=()), reached)
        if holder.step:
            yield "step arrives", self.at_resource(put(holder._replace(step=0)), holder.step)
        if holder.stalled:
            yield "wakes", put(holder._replace(stalled=False))
            return
        if holder.gone:
            return
        if call and call.answer:
            news = Heard(News[call.answer], NOW, NOW - call.age, call.told_lease, call.told_token)
            yield f"{call.answer} heard", put(self.hear(holder._replace(call=()), news))
        if call and call.age >= TERMS.answer_within:
            given_up = holder._replace(call=(), late=call._replace(age=0) if not call.answer else holder.late)
            yield "gives up", put(self.hear(given_up, Heard(News.UNANSWERED, NOW, NOW - call.age)))
        if not holder.step and self.acting(holder):
            yield "looks", put(holder._replace(step=holder.token))
        if state.stalls:
            yield "stalls", put(holder._replace(stalled=True), state._replace(stalls=state.stalls - 1))
        if state.crashes:
            owner = NONE if state.key_owner == number else state.key_owner
            fresh = Holder(late=holder.late or (call if call and not call.answer else ()), step=holder.step)
            if fresh.late:
                fresh = fresh._replace(late=fresh.late._replace(age=0, answer=""))
            # What a crashed process had sent is another's from now on: no seek of its own will find it.
            if fresh.late and fresh.late.kind == "seek":
                fresh = fresh._replace(late=fresh.late._replace(kind="other's seek"))
            yield "crashes", put(fresh, state._replace(crashes=state.crashes - 1, key_owner=owner))
        if state.leaves:
            left = self.hear(holder, Heard(News.LEAVE, NOW))
            late = left.late or (call if call and not call.answer else ())
            late = late._replace(age=0) if late else ()
            left = Holder(phase=int(RELEASED), late=late, step=left.step, gone=True)
            yield "leaves", put(left, state._replace(leaves=state.leaves - 1))

    @staticmethod
    def at_keeper(state: State, number: int, call: Call) -> tuple[State, Call]:
        """What the call does at the keeper, and the call with its answer."""
        ours = bool(state.key_token) and (state.key_token, state.key_lease) == (call.token, call.lease)
        if call.kind in ("seek", "other's seek"):
            if not state.key_token:
                token = newest(state) + 1
                owner = number if call.kind == "seek" else NONE
                state = state._replace(key_token=token, key_lease=token, key_owner=owner, key_left=TERMS.ttl)
                return state, call._replace(answer="GRANTED", told_lease=token, told_token=token)
            if state.key_owner == number and call.kind == "seek":
                told = call._replace(answer="STALE", told_lease=state.key_lease, told_token=state.key_token)
                return state, told
            return state, call._replace(answer="TAKEN")
        if call.kind == "revoke":
            return (without_key(state) if ours else state), call
        if not ours:
            return state, call._replace(answer="LOST")
        if call.kind == "renew":
            state = state._replace(key_left=TERMS.ttl)
        answer = "RENEWED" if call.kind == "renew" else "STANDING"
        return state, call._replace(answer=answer, told_lease=call.lease, told_token=call.token)

    def at_resource(self, state: State, token: int) -> State:
        fence = Fence(state.highest, 0)
        if self.plant == "no_fence":
            if token < state.highest:
                state = state._replace(broken=f"a step with token {token} accepted after {state.highest}")
            return state._replace(highest=max(state.highest, token))
        fence.admit(token, 1)
        return state._replace(highest=fence.highest)

    def restarted(self, state: State) -> State:
        state = state._replace(restarts=state.restarts - 1)
        if self.plant == "restart_expires":
            return canonical(without_key(state))
        return canonical(state._replace(key_left=TERMS.ttl if state.key_token else 0))

    def wrong(self, state: State) -> str:
        if state.broken:
            return state.broken
        acting = [one for one in state.holders if self.acting(one)]
        if len(acting) > 1:
            return f"two act at once, with tokens {acting[0].token} and {acting[1].token}"
        for one in acting:
            if one.left <= 0:
                return f"token {one.token} acts past its deadline"
            if state.key_token > one.token:
                return f"token {one.token} acts though the key was made anew at {state.key_token}"
        return ""


def without_key(state: State) -> State:
    return state._replace(key_token=0, key_lease=0, key_owner=NONE, key_left=0)


def newest(state: State) -> int:
    tokens = [state.key_token, state.highest]
    for holder in state.holders:
        tokens += [holder.token, holder.step]
        tokens += [max(c.token, c.told_token) for c in (holder.call, holder.late) if c]
    return max(tokens)


def canonical(state: State) -> State:
    """Tokens as ranks (a lease's id goes with its token), the two holders in sorted order."""
    tokens = {state.key_token, state.highest}
    for holder in state.holders:
        tokens |= {holder.token, holder.step}
        for call in (holder.call, holder.late):
            if call:
                tokens |= {call.token, call.told_token}
    rank = {token: place for place, token in enumerate(sorted(tokens | {0}))}

    def renamed(call: Call | tuple[()]) -> Call | tuple[()]:
        if not call:
            return ()
        token, told = rank[call.token], rank[call.told_token]
        return call._replace(token=token, lease=token, told_token=told, told_lease=told)

    holders = [
        holder._replace(
            token=rank[holder.token],
            lease=rank[holder.token],
            step=rank[holder.step],
            call=renamed(holder.call),
            late=renamed(holder.late),
        )
        for holder in state.holders
    ]
    order = sorted(range(len(holders)), key=lambda place: holders[place])
    owner = state.key_owner if state.key_owner == NONE else order.index(state.key_owner)
    return state._replace(
        holders=tuple(holders[place] for place in order),
        key_owner=owner,
        highest=rank[state.highest],
        key_token=rank[state.key_token],
        key_lease=rank[state.key_token],
    )
