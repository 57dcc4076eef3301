"""`python -m benchmarks.schedule`: the validator's time over random accepted sets of changes over a year.

For each size a set that is accepted whole is drawn from the seed (what would contradict is left out, one by
one), then validated at once by the sweep, and 200 more are judged one by one against it: CPU time, which
other work on the machine moves less than the clock.
`--dense` draws windows of up to two days over one week, of all customers, so that hundreds are in force at
once in one scope. `--timetable` measures one backend's looks at a book of so many rows instead. `--short` is
a small run.
"""

from __future__ import annotations

import argparse
import random
import statistics
import sys
import time
from collections.abc import Callable
from itertools import product

from ringshift.rulebook.document import Rulebook, Rules
from ringshift.rulebook.indices import Names
from ringshift.schedule.change import WHOLE, Change, Drain, Move, Quota, Scope, World
from ringshift.schedule.planned import HeldDown, Horizon, Planned, moment
from ringshift.schedule.timetable import GRAIN, Timetable
from ringshift.schedule.validate import Schedule, validate

S = 1_000_000_000
YEAR = 365 * 86_400 * S
LATE = 8 * S
OPERATIONS = [f"o{n}" for n in range(40)]
CUSTOMERS = [f"c{n}" for n in range(50)]
PLACES = [f"p{n}" for n in range(12)]
WAYS = [("p0", "p1"), ("p2", "p3"), ("p4", "p5")]
WORLD = World(
    {operation: frozenset(PLACES) for operation in OPERATIONS},
    dict.fromkeys(PLACES, 5_000),
    {cell: 1 for cell in product(OPERATIONS, CUSTOMERS, PLACES)},
)


def draw(chance: random.Random, name: str) -> Change:
    start, minutes = chance.randrange(YEAR), chance.randint(5, 120)
    source, target = chance.sample(PLACES, 2)
    does = chance.choices(
        (Move(chance.randint(1, 10) * WHOLE // 10, source, target), Drain(source), Quota(50)), (6, 1, 3)
    )[0]
    scope = Scope(frozenset(chance.sample(OPERATIONS, 2)), frozenset(chance.sample(CUSTOMERS, 3)))
    return Change(name, scope, does, start, start + minutes * 60 * S, 60 * S, 60 * S)


def draw_dense(chance: random.Random, name: str) -> Change:
    """Small shares along few ways, and quotas: what can be in force together in one scope by the hundred."""
    start, minutes = chance.randrange(7 * 86_400 * S), chance.randint(120, 2_880)
    does = chance.choices((Move(chance.randint(100, 2_000), *chance.choice(WAYS)), Quota(50)), (3, 1))[0]
    scope = Scope(frozenset(chance.sample(OPERATIONS[:4], 2)))
    return Change(name, scope, does, start, start + minutes * 60 * S, 600 * S, 600 * S)


def overlap(changes: list[Change]) -> int:
    """The most that are in force at once."""
    edges = sorted([(c.start, 1) for c in changes] + [(c.end, -1) for c in changes])
    most = at = 0
    for _, step in edges:
        at += step
        most = max(most, at)
    return most


def one_size(size: int, seed: int, more: int, draw: Callable[[random.Random, str], Change] = draw) -> None:
    chance = random.Random(seed)
    schedule, drawn = Schedule(WORLD, LATE), 0
    while len(schedule.names) < size and drawn < 20 * size:
        drawn += 1
        schedule.add(draw(chance, f"n{drawn:07}"))
        if drawn % 10_000 == 0:
            print(f"{size}: {len(schedule.names)} taken of {drawn} drawn", file=sys.stderr, flush=True)
    changes = list(schedule.names.values())
    size = len(changes)
    began = time.process_time()
    whole = validate(changes, WORLD, LATE)
    took = time.process_time() - began
    assert isinstance(whole, Schedule), whole
    spent = []
    for n in range(more):
        change = draw(chance, f"more{n}")
        began = time.process_time()
        whole.add(change)
        spent.append((time.process_time() - began) * 1_000)
    spent.sort()
    print(
        f"| {size:,} | {overlap(changes):,} | {drawn - size:,} | {took:.3f} | {took / size * 1e6:.0f} | "
        f"{statistics.median(spent):.2f} | {spent[int(len(spent) * 0.99)]:.2f} |",
        flush=True,
    )


def looks(rows: int, at_once: int) -> None:
    """One backend's timetable: `at_once` in their ramps, the others to come."""
    now = 1_800_000_000 * S
    told = [
        Planned(
            name=f"n{n}",
            does=HeldDown(50),
            ramp_in_ms=3_000_000,
            start=moment(begins),
            end=moment(begins + 3_600 * S),
        )
        for n in range(rows)
        for begins in [now - 600 * S if n < at_once else now + n * 3_600 * S]
    ]
    horizon = Horizon(moment(now), moment(now + YEAR), 8_000)
    book = Rulebook(alone=Rules(), changes=told, horizon=horizon)
    timetable = Timetable(LATE, Names(fleet=8))
    began = time.perf_counter()
    timetable.hear(now, True, (book,))
    took = (time.perf_counter() - began) * 1_000
    spent: list[float] = []
    between: list[float] = []
    for n in range(2_000):
        for at, into in ((n * GRAIN, spent), (n * GRAIN + GRAIN // 2, between)):
            began = time.perf_counter()
            timetable.hear(now + at, True, (book,))
            into.append((time.perf_counter() - began) * 1e6)
    spent.sort()
    print(
        f"| {rows:,} | {len(timetable.near)} | {took:.1f} | {spent[1000]:.1f} | {spent[1980]:.1f} | "
        f"{statistics.median(between):.1f} |",
        flush=True,
    )


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--short", action="store_true")
    parser.add_argument("--dense", action="store_true")
    parser.add_argument("--timetable", action="store_true")
    told = parser.parse_args()
    if told.timetable:
        print("| rows | in their ramps | taken in, ms | a look, us, median | 99th | one before it is due |")
        print("| --- | --- | --- | --- | --- | --- |")
        for rows, at_once in ((100, 1), (1_000, 10)) if told.short else ((100, 1), (1_000, 10), (5_000, 50)):
            looks(rows, at_once)
        return
    print("| changes | at once | left out | validated, s | us a change | one added, ms: median | 99th |")
    print("| --- | --- | --- | --- | --- | --- | --- |")
    sizes = (100, 300, 1_000, 3_000) if told.dense else (100, 1_000, 10_000, 100_000)
    for size in sizes[:2] if told.short else sizes:
        one_size(size, told.seed, 50 if told.short else 200, draw_dense if told.dense else draw)


if __name__ == "__main__":
    main()
