"""A model of a budget of one call between two backends, for standins/checkers/explore.py to go through whole.

The backends are the program's own `Share`, the divider its own `Divider` (ringshift/fleet): only the network,
the keeper, the clocks and the faults are modelled. Both backends want the one call always. One tick of true
time moves a backend's clock by 3 s and the divider's by 3 or 4, at each tick as the explorer likes. A grant
lives 12 s, 16 s by the divider's count, a call lasts a tick at the most and begins whenever one may: nothing
is to spare. An ask waits on its way and its answer on its way back for any number of ticks, or is lost by
being given up; the divider reads and writes at one moment, or its writing comes later: awaited, given up by
the divider that reads anew, or left behind by a new one. The keeper takes a writing only from who has the
lease's token, and over the ledger that its writer knew. Faults, each from a budget: a backend stalled and
woken, crashed, told to leave; a new divider. It begins with a ledger and a divider that knows it, or,
`empty`, where the keeper lost all of it: the second backend holds a grant that only it knows of, and a new
divider reads nothing and waits. Times are kept as ages, asks and rounds as distances from the newest. Not
modelled: more backends, a lowered whole (standins/fleet/emulated.py draws those).
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterator
from typing import Any, NamedTuple

from ringshift.fleet import share as shares
from ringshift.fleet.budget import KEPT_ODD, Ask, Budget, Divider, Grant, Ledger, Row, S, Stage, Word
from ringshift.fleet.share import Demand, News, Share
from ringshift.interface import Unit

TICK, DIVIDER_TICKS = 3 * S, (3 * S, 4 * S)
BUDGET = Budget(
    "one", Unit.CALLS, 1, 2, 0, life=12 * S, refresh=2 * S, margin=0, longest=3 * S, drift_ppm=333_334
)
NOW, BASE = 1000 * S, 1000  # every clock's own now; what the newest ask and round are counted from
OLD = -12  # what is further back than that is all the same
NAMES = ("a", "b")

ODD = KEPT_ODD * BUDGET.life
Frozen = tuple[Any, ...]


class State(NamedTuple):
    a: Frozen
    b: Frozen
    divider: Frozen
    calls: tuple[int, int] = (-1, -1)  # how long each one's call is under way, below 0 for none
    stray: tuple[int, ...] = ()  # calls of crashed backends, still under way at the dependency
    on_way: tuple[Frozen, Frozen] = ((), ())  # ("ask", Ask) or ("answer", Ledger)
    stalled: tuple[bool, bool] = (False, False)
    gone: tuple[bool, bool] = (False, False)
    asks: tuple[Frozen, Frozen] = ((), ())
    ledger: Frozen = ()
    known: Frozen = ()  # the ledger as the divider read or wrote it last: the revision it compares with
    token: int = 0  # the lease's
    writing: Frozen = ()  # the divider's ledger on its way, awaited: (ledger, what it was made from, token)
    late: Frozen = ()  # the same of one that nobody awaits any more
    stalls: int = 0
    crashes: int = 0
    leaves: int = 0
    failovers: int = 0


# Decisions' objects as values, and back. Times become ages; what has ended is all the same.


def freeze_share(one: Share) -> Frozen:
    sent = tuple((n - one.n, max(at - NOW, -BUDGET.life)) for n, at in one.sent if n - one.n > OLD)
    asked = None if one.asked is None else max(one.asked - NOW, -TICK)
    return (
        int(one.state),
        one.extra,
        one.round,
        max(one.ends - NOW, -1),
        one.n,
        sent,
        asked,
        max(one.next_ask - NOW, 0),
    )


def thaw_share(name: str, told: Frozen, use: float) -> Share:
    state, extra, number, ends, n, sent, asked, next_ask = told
    one = Share(name, BUDGET, TICK)
    one.state, one.extra, one.round, one.ends = shares.State(state), extra, number, NOW + ends
    one.n, one.sent = n, deque(((n + back, NOW + at) for back, at in sent), maxlen=16)
    one.asked, one.next_ask = None if asked is None else NOW + asked, NOW + next_ask
    one.use, one.demand = use, Demand(1, 1.0, NOW)
    return one


def freeze_divider(one: Divider) -> Frozen:
    rows = tuple(
        (
            name,
            row.n,
            row.want,
            row.extra,
            max(row.read_at - NOW, -BUDGET.counted - 1),
            None if row.odd_at is None else max(row.odd_at - NOW, -ODD),
            row.leaving,
            tuple((number, extra, until - NOW) for number, extra, until in row.out if until > NOW),
        )
        for name, row in sorted(one.rows.items())
    )
    return (
        int(one.stage),
        rows,
        one.round,
        max(one.until - NOW, 0),
        tuple(sorted((name, *told) for name, told in one.told.items())),
        one.written_whole,
    )


def thaw_divider(told: Frozen) -> Divider:
    stage, rows, number, until, last, whole = told
    one = Divider(BUDGET, Stage(stage))
    for name, n, want, extra, read_at, odd, leaving, out in rows:
        odd_at = None if odd is None else NOW + odd
        row = Row(n, want, 1.0, extra, NOW + read_at, odd_at, leaving)
        row.out = [(round_, amount, NOW + left) for round_, amount, left in out]
        one.rows[name] = row
    one.round, one.until, one.written_whole = number, NOW + until, whole
    one.told = {name: (n, extra) for name, n, extra in last}
    return one


def freeze_ledger(ledger: Ledger) -> Frozen:
    rows = tuple(sorted((name, grant.n, grant.extra, grant.held) for name, grant in ledger.rows.items()))
    return ledger.round, rows


def thaw_ledger(told: Frozen) -> Ledger | None:
    if not told:
        return None
    number, rows = told
    rows = {name: Grant(n, extra, held) for name, n, extra, held in rows}
    return Ledger(number, BUDGET.whole, rows, BUDGET.life)


class Model:
    def __init__(self, faults: tuple[int, int, int, int] = (1, 1, 1, 1), empty: bool = False) -> None:
        self.faults, self.empty = faults, empty

    def first(self) -> State:
        """The second backend was granted the call this moment, and both have asked; the divider knows, or all
        at the keeper is lost and a new one is to read."""
        a, b = Share("a", BUDGET, TICK), Share("b", BUDGET, TICK)
        for one in (a, b):
            one.n, one.round, one.next_ask = BASE, BASE, NOW
            one.sent.append((BASE, NOW))
        divider = Divider(BUDGET, Stage.DIVIDING, round=BASE, written_whole=BUDGET.whole)
        until = NOW + BUDGET.counted
        divider.rows = {
            "b": Row(BASE, 1.0, 1.0, 1.0, NOW, NOW, False, [(BASE, 1.0, until)]),
            "a": Row(BASE, 1.0, 1.0, 0.0, NOW),
        }
        divider.told = {"b": (BASE, 1.0), "a": (BASE, 0.0)}
        ledger = Ledger(
            BASE, BUDGET.whole, {"b": Grant(BASE, 1.0, 1.0), "a": Grant(BASE, 0.0, 0.0)}, BUDGET.life
        )
        b.round = BASE - 1
        b.hear(News.LEDGER, NOW, ledger)
        asks = tuple((one.n, 1.0, 0.0, BASE, False) for one in (a, b))
        frozen = freeze_ledger(ledger)
        state = State(
            freeze_share(a),
            freeze_share(b),
            freeze_divider(divider),
            asks=asks,  # type: ignore[arg-type]
            ledger=frozen,
            known=frozen,
            stalls=self.faults[0],
            crashes=self.faults[1],
            leaves=self.faults[2],
            failovers=self.faults[3],
        )
        return self.taken(state._replace(asks=((), ()), ledger=())) if self.empty else state

    @staticmethod
    def taken(state: State) -> State:
        """A new divider; what the one before had on its way may still arrive."""
        fresh = Divider(BUDGET)
        fresh.hear(Word.TAKEN, NOW)
        return state._replace(
            divider=freeze_divider(fresh),
            known=(),
            token=state.token + 1,
            writing=(),
            late=state.writing or state.late,
        )

    # Events.

    def after(self, state: State) -> Iterator[tuple[str, State]]:
        for fast in DIVIDER_TICKS:
            yield f"tick {fast // S}", normal(self.ticked(state, fast))
        for which in (0, 1):
            for event, coming in self.of(state, which):
                yield f"{NAMES[which]} {event}", normal(coming)
        yield from ((event, normal(coming)) for event, coming in self.of_divider(state))

    def ticked(self, state: State, fast: int) -> State:
        told = [self.older(getattr(state, name)) for name in NAMES]
        stage, rows, number, until, last, whole = state.divider
        rows = tuple(
            (
                name,
                n,
                want,
                extra,
                max(read - fast, -BUDGET.counted - 1),
                None if odd is None else max(odd - fast, -ODD),
                leaving,
                tuple((r, e, left - fast) for r, e, left in out if left > fast),
            )
            for name, n, want, extra, read, odd, leaving, out in rows
        )
        # A call lasts a tick at the most: what was under way for one has ended.
        calls = tuple(-1 if age < 0 or age + TICK >= BUDGET.longest else age + TICK for age in state.calls)
        stray = tuple(age + TICK for age in state.stray if age + TICK < BUDGET.longest)
        state = state._replace(
            a=told[0],
            b=told[1],
            calls=calls,  # type: ignore[arg-type]
            stray=stray,
            divider=(stage, rows, number, max(until - fast, 0), last, whole),
        )
        for which in (0, 1):
            if not state.stalled[which] and not state.gone[which]:
                state = self.hear(self.begun(state, which), which, News.TICK)
        return state

    def begun(self, state: State, which: int) -> State:
        """A call begins whenever one may, so that each backend has one under way for as long as it can."""
        if state.calls[which] >= 0 or state.gone[which] or state.stalled[which]:
            return state
        may = thaw_share(NAMES[which], self.frozen(state, which), 0.0).allowed(NOW) >= 1
        return put(state, "calls", which, 0) if may else state

    @staticmethod
    def older(told: Frozen) -> Frozen:
        state, extra, number, ends, n, sent, asked, next_ask = told
        sent = tuple((back, max(at - TICK, -BUDGET.life)) for back, at in sent)
        asked = None if asked is None else max(asked - TICK, -TICK)
        return state, extra, number, max(ends - TICK, -1), n, sent, asked, max(next_ask - TICK, 0)

    @staticmethod
    def frozen(state: State, which: int) -> Frozen:
        return state.b if which else state.a

    def hear(self, state: State, which: int, news: News, ledger: Ledger | None = None) -> State:
        use = float(state.calls[which] >= 0)
        one = thaw_share(NAMES[which], self.frozen(state, which), use)
        ask = one.hear(news, NOW, ledger)
        told = freeze_share(one)
        state = state._replace(b=told) if which else state._replace(a=told)
        if ask is not None and (not state.on_way[which] or ask.leaving):
            state = put(state, "on_way", which, ("ask", ask.n, ask.want, ask.use, ask.round, ask.leaving))
        return self.begun(state, which)

    def of(self, state: State, which: int) -> Iterator[tuple[str, State]]:
        way = state.on_way[which]
        if way and way[0] == "ask":
            answer = ("answer", state.ledger) if not state.gone[which] else ()
            yield "ask arrives", put(put(state, "asks", which, way[1:]), "on_way", which, answer)
        if state.gone[which]:
            return
        if state.stalled[which]:
            yield "wakes", self.begun(put(state, "stalled", which, False), which)
            return
        if way and way[0] == "answer":
            ledger = thaw_ledger(way[1])
            news = News.LEDGER if ledger else News.UNANSWERED
            yield "answer heard", self.hear(put(state, "on_way", which, ()), which, news, ledger)
        asked = self.frozen(state, which)[6]
        if way and asked is not None and asked <= -TICK:
            yield "gives up", self.hear(put(state, "on_way", which, ()), which, News.UNANSWERED)
        if state.stalls:
            yield "stalls", put(state, "stalled", which, True)._replace(stalls=state.stalls - 1)
        if state.crashes:
            stray = state.stray + ((state.calls[which],) if state.calls[which] >= 0 else ())
            crashed = put(put(state, "gone", which, True), "calls", which, -1)
            yield "crashes", crashed._replace(crashes=state.crashes - 1, stray=stray)
        if state.leaves:
            left = self.hear(state, which, News.LEAVE)
            yield "leaves", put(left, "gone", which, True)._replace(leaves=state.leaves - 1)

    def of_divider(self, state: State) -> Iterator[tuple[str, State]]:
        divider = thaw_divider(state.divider)
        if divider.stage is Stage.READING:
            held = thaw_ledger(state.ledger)
            divider.hear(Word.LEDGER if held else Word.EMPTY, NOW, ledger=held)
            read = state._replace(divider=freeze_divider(divider), known=state.ledger)
            yield f"divider reads {'the ledger' if held else 'nothing'}", read
        elif not state.writing and state.known != state.ledger:
            divider.hear(Word.REFUSED, NOW)
            yield "divider finds another's writing", state._replace(divider=freeze_divider(divider))
        elif not state.writing:
            asks = [
                Ask(NAMES[which], told[0], told[1], told[2], told[3], 1.0, told[4])
                for which, told in enumerate(state.asks)
                if told
            ]
            ledger = divider.hear(Word.ROUND, NOW, asks)
            divided = state._replace(divider=freeze_divider(divider))
            if ledger is None:
                yield "divider finds nothing new", divided
            else:
                frozen = freeze_ledger(ledger)
                yield "divider writes", divided._replace(ledger=frozen, known=frozen)
                if self.faults[3]:  # only with a new divider is it of interest when it arrives
                    waits = (frozen, state.ledger, state.token)
                    yield "divider's writing waits", divided._replace(writing=waits)
        if state.writing:
            good, written = carried_out(state, state.writing)
            heard = thaw_divider(state.divider)
            heard.hear(Word.WRITTEN if good else Word.REFUSED, NOW)
            yield (
                "the writing arrives",
                written._replace(
                    divider=freeze_divider(heard), writing=(), known=written.ledger if good else state.known
                ),
            )
            reread = thaw_divider(state.divider)
            reread.hear(Word.UNKNOWN, NOW)
            yield (
                "the writing is given up",
                state._replace(divider=freeze_divider(reread), writing=(), late=state.writing),
            )
        if state.late:
            yield "a late writing arrives", carried_out(state, state.late)[1]._replace(late=())
        if state.failovers:
            yield "a new divider", self.taken(state)._replace(failovers=state.failovers - 1)

    def wrong(self, state: State) -> str:
        under_way = sum(age >= 0 for age in state.calls) + len(state.stray)
        return f"{under_way} calls under way of a whole of 1" if under_way > 1 else ""


def carried_out(state: State, writing: Frozen) -> tuple[bool, State]:
    """At the keeper, by its two compares: the lease is at the writer's token, the ledger as it knew it."""
    frozen, before, token = writing
    good = token == state.token and before == state.ledger
    return good, state._replace(ledger=frozen) if good else state


def put(state: State, name: str, which: int, value: Any) -> State:
    pair = list(getattr(state, name))
    pair[which] = value
    return state._replace(**{name: tuple(pair)})  # type: ignore[arg-type]


def normal(state: State) -> State:
    """Asks' numbers and rounds counted from the newest, so that time going by makes no new states."""
    ledgers = [state.ledger, state.known, *(one[0] for one in (state.writing, state.late) if one)]
    newest = max(state.divider[2], state.a[2], state.b[2], *(one[0] for one in ledgers if one))
    by, n_by = BASE - newest, {name: BASE - getattr(state, name)[4] for name in NAMES}
    if not by and not any(n_by.values()):
        return state

    def number(value: int) -> int:
        return max(value + by, BASE + OLD) if value else 0

    def asked(name: str, n: int) -> int:
        return int(max(n + n_by[name], BASE + OLD))

    def ledger(told: Frozen) -> Frozen:
        if not told:
            return ()
        rows = tuple((name, asked(name, n), extra, held) for name, n, extra, held in told[1])
        return number(told[0]), rows

    def writing(told: Frozen) -> Frozen:
        return (ledger(told[0]), ledger(told[1]), told[2]) if told else ()

    def way(name: str, told: Frozen) -> Frozen:
        if not told:
            return ()
        if told[0] == "answer":
            return "answer", ledger(told[1])
        return told[0], asked(name, told[1]), told[2], told[3], number(told[4]), told[5]

    def share(name: str, told: Frozen) -> Frozen:
        return *told[:2], number(told[2]), told[3], asked(name, told[4]), *told[5:]

    stage, rows, round_, until, last, whole = state.divider
    rows = tuple(
        (
            name,
            asked(name, n),
            want,
            extra,
            read,
            odd,
            leaving,
            tuple((number(r), e, left) for r, e, left in out),
        )
        for name, n, want, extra, read, odd, leaving, out in rows
    )
    last = tuple((name, asked(name, n), extra) for name, n, extra in last)
    asks = tuple(
        (asked(name, told[0]), told[1], told[2], number(told[3]), told[4]) if told else ()
        for name, told in zip(NAMES, state.asks, strict=True)
    )
    return state._replace(
        a=share("a", state.a),
        b=share("b", state.b),
        asks=asks,  # type: ignore[arg-type]
        divider=(stage, rows, number(round_), until, last, whole),
        ledger=ledger(state.ledger),
        on_way=tuple(way(name, told) for name, told in zip(NAMES, state.on_way, strict=True)),  # type: ignore[arg-type]
        known=ledger(state.known),
        writing=writing(state.writing),
        late=writing(state.late),
    )
