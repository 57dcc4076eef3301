"""What a retirement's looks at the keeper cost, for benchmarks/rulebook.py: a backend's, the ramp holder's.

EMULATED: the program's own client on a store of the keeper stand-in in one process; bytes are those of the
bodies, without HTTP's headers. `before`: as the program read until each read only what changed.
"""

from __future__ import annotations

import statistics
import time
from collections.abc import Callable
from random import Random

import msgspec

from ringshift.retirement.figures import Figures
from ringshift.retirement.holding import Holding
from ringshift.retirement.position import Position
from ringshift.retirement.shed import Decided
from ringshift.retirement.warn import Counted
from ringshift.wire.retiring import Row, found, put, ranged, value
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
    print(f"EMULATED: one backend's refresh, {WARNED} callers counted in its row\n\n"
          "| callers in the edition | before, kB of answers | ms | the same edition held, kB | ms | "
          "another one fetched, kB | ms |\n| --- | --- | --- | --- | --- | --- | --- |")  # fmt: skip
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

        def held(link: Inside = link, holding: Holding = holding, created: int = created,
                 mine: Row = mine) -> None:  # fmt: skip
            link.put(NAME, "b1.1", mine, created, holding)

        def fetched(link: Inside = link, created: int = created, mine: Row = mine) -> None:
            link.put(NAME, "b1.1", mine, created, Holding())

        told = [spent(link, step, times) for step in (before, held, fetched)]
        print(f"| {callers:,} | " + " | ".join(f"{size:.1f} | {took:.2f}" for size, took in told) + " |",
              flush=True)  # fmt: skip
    return 0
