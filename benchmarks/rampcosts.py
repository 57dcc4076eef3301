"""What a retirement's looks at the keeper cost, for benchmarks/rulebook.py: a backend's, the ramp holder's.

EMULATED: the program's own client on a store of the keeper stand-in in one process; bytes are those of the
bodies, without HTTP's headers. `before`: as the program read until each read only what changed.
"""

from __future__ import annotations

import base64
import statistics
import time
from collections.abc import Callable
from random import Random

import msgspec

from ringshift.retirement.figures import Figures
from ringshift.retirement.holding import Holding
from ringshift.retirement.position import Position
from ringshift.retirement.shed import Decided
from ringshift.retirement.sight import Sight
from ringshift.retirement.warn import Counted
from ringshift.wire import retiring
from ringshift.wire.keeper import b64
from ringshift.wire.retiring import Held, Kept, RetireLink, Row, found, held, put, ranged, value
from standins.keeper.clients import Inside

NAME = "order-book"
START = 1_800_000_000_000_000_000  # ns since the epoch
WARNED = 200  # callers that one backend counted: its row tells all of them


def row(chance: Random, callers: int, n: int, warned: int = WARNED) -> Row:
    counted = chance.sample(range(callers), min(warned, callers))
    told = {caller: Counted(chance.randrange(1, 40), START, START + caller) for caller in counted}
    return Row(n, Figures(3, 900, 300, 2, 40, frozenset(counted[:20]), 500_000), told)


def position(callers: int, edition: int = 3) -> Position:
    return Position(Decided(edition, 1 << 63, 1, 500_000, 0, frozenset(range(callers))), "HOLDING", START)


def spent(link: Inside, step: Callable[[], object], times: int) -> tuple[float, float]:
    """kB of answers a step, and ms of this side of it, medians."""
    sizes, took = [], []
    for _ in range(times):
        back, keeper, began = link.back, link.keeper, time.perf_counter()
        step()
        took.append((time.perf_counter() - began - (link.keeper - keeper)) * 1e3)
        sizes.append((link.back - back) / 1e3)
    return statistics.median(sizes), statistics.median(took)


def refresh(sizes: list[int], times: int) -> int:
    print(
        f"EMULATED: one backend's refresh, {WARNED} callers counted in its row\n\n"
        "| callers in the edition | before, kB of answers | ms | the same edition held, kB | ms | "
        "another one fetched, kB | ms |\n| --- | --- | --- | --- | --- | --- | --- |"
    )
    for callers in sizes:
        link, holding, mine = Inside(), Holding(), row(Random(1), 100_000, 2)
        assert link.write(NAME, *link.seized(NAME), link.read(NAME), position(callers))
        created = link.put(NAME, "b1.1", mine, 0, holding).created
        key = f"{link.prefix(NAME)}rows/b1.1"

        def before(link: Inside = link, key: str = key, mine: Row = mine) -> None:
            reads = [ranged(f"{link.prefix(NAME)}state"), ranged(key)]
            writes = [put(key, msgspec.json.encode(mine)), *reads]
            answer = link.call("/kv/txn", {"compare": [], "failure": reads, "success": writes})
            msgspec.json.decode(value(found(answer["responses"][1])[0]), type=Position)

        def held(
            link: Inside = link, holding: Holding = holding, created: int = created, mine: Row = mine
        ) -> None:
            link.put(NAME, "b1.1", mine, created, holding)

        def fetched(link: Inside = link, created: int = created, mine: Row = mine) -> None:
            link.put(NAME, "b1.1", mine, created, Holding())

        told = [spent(link, step, times) for step in (before, held, fetched)]
        print(
            f"| {callers:,} | " + " | ".join(f"{size:.1f} | {took:.2f}" for size, took in told) + " |",
            flush=True,
        )
    return 0


def read_before(link: RetireLink) -> Held:
    """All rows, state, counts and word at each look."""
    place = f"{link.prefix(NAME)}rows/"
    rows_range = {"request_range": {"key": b64(place.encode()), "range_end": b64(f"{place[:-1]}0".encode())}}
    singles = [ranged(link.prefix(NAME) + one) for one in ("state", "counts", "word")]
    answer = link.call("/kv/txn", {"compare": [], "failure": [], "success": [rows_range, *singles]})
    listed, state, counts, word = (found(one) for one in answer["responses"])
    rows, revisions = dict[str, Row](), dict[str, int]()
    for kv in listed:
        backend = base64.b64decode(kv["key"]).decode().removeprefix(place)
        if told := retiring.read_row(backend, value(kv)):
            rows[backend], revisions[backend] = told, int(kv["mod_revision"])
    return Held(
        rows,
        revisions,
        msgspec.json.decode(value(state[0]), type=Position),
        int(state[0]["mod_revision"]),
        msgspec.json.decode(value(counts[0]), type=dict[int, Counted]),
        int(counts[0]["mod_revision"]),
        msgspec.json.decode(value(word[0]), type=retiring.Word) if word else retiring.Word(),
    )


def looked(size: int, times: int, callers: int, refresh: int) -> list[tuple[float, float]]:
    """Of the three ways: kB of answers a look, and ms, medians."""
    chance, link = Random(1), Inside()
    counts = {caller: Counted(9, START, START + caller) for caller in range(callers)}
    assert link.write(NAME, *link.seized(NAME), link.read(NAME), position(callers), counts)

    def told(first: int, many: int, n: int) -> None:
        for place in range(first, first + many):
            key = f"{link.prefix(NAME)}rows/backend-{place % size:04}.1"
            link.store.put(0, key.encode(), msgspec.json.encode(row(chance, 16_384, n)))

    def look(sight: Sight[Kept]) -> Held:
        ask = sight.ask()
        assert sight.heard(ask, link.look(NAME, ask))
        return held(sight.known)

    told(0, size, 1)
    sight, whole = Sight[Kept]("s", every=10**9), Sight[Kept]("all", every=0)
    look(sight)
    # The whole look is the last of each round and gives its mark on: else the next would find another's.
    ways: list[Callable[[], Held]] = [lambda: read_before(link), lambda: look(sight), lambda: look(whole)]
    ones = list[list[tuple[float, float]]]([[] for _ in ways])
    many = max(size // refresh, 1)
    for n in range(times):
        told(n * many, many, n + 2)
        for way, out in zip(ways, ones, strict=True):
            out.append(spent(link, way, 1))
        sight.mark = whole.mark
        assert ways[0]() == held(sight.known)
    return [
        (statistics.median(kb for kb, _ in out), statistics.median(took for _, took in out)) for out in ones
    ]


def looks(sizes: list[int], times: int, callers: int, refresh: int = 5) -> int:
    """Between two looks, a second apart, each backend's row is put once in `refresh` seconds."""
    print(
        f"EMULATED: a look of the ramp's holder, each second; a backend's row put once in {refresh} s, "
        f"with {WARNED} callers in it; {callers:,} callers in the edition and in the counts\n\n"
        "| backends | before, kB of answers a look | ms | what changed, kB | ms | all, kB | ms |\n"
        "| --- | --- | --- | --- | --- | --- | --- |"
    )
    for size in sizes:
        told = looked(size, times, callers, refresh)
        cells = " | ".join(f"{kb:,.0f} | {took:.1f}" for kb, took in told)
        print(f"| {size:,} | {cells} |", flush=True)
    return 0
