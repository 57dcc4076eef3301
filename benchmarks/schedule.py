"""`python -m benchmarks.schedule`: the validator's time over random accepted sets of changes over a year.

For each size a set that is accepted whole is drawn from the seed (what would contradict is left out, one by
one), then validated at once by the sweep, and 200 more are judged one by one against it.
`--short` is a small run.
"""

from __future__ import annotations

import argparse
import random
import statistics
import sys
import time
from itertools import product

from ringshift.schedule.change import WHOLE, Change, Drain, Move, Quota, Scope, World
from ringshift.schedule.validate import Schedule, validate

S = 1_000_000_000
YEAR = 365 * 86_400 * S
LATE = 8 * S
OPERATIONS = [f"o{n}" for n in range(40)]
CUSTOMERS = [f"c{n}" for n in range(50)]
PLACES = [f"p{n}" for n in range(12)]
WORLD = World(
    {operation: frozenset(PLACES) for operation in OPERATIONS},
    dict.fromkeys(PLACES, 5_000),
    {cell: 1 for cell in product(OPERATIONS, CUSTOMERS, PLACES)},
)


def draw(chance: random.Random, name: str) -> Change:
    start, minutes = chance.randrange(YEAR), chance.randint(5, 120)
    source, target = chance.sample(PLACES, 2)
    does = chance.choices(
        (Move(chance.randint(1, 10) * WHOLE // 10, source, target), Drain(source), Quota(50)), (6, 1, 3))[0]
    scope = Scope(frozenset(chance.sample(OPERATIONS, 2)), frozenset(chance.sample(CUSTOMERS, 3)))
    return Change(name, scope, does, start, start + minutes * 60 * S, 60 * S, 60 * S)


def one_size(size: int, seed: int, more: int) -> None:
    chance = random.Random(seed)
    schedule, drawn = Schedule(WORLD, LATE), 0
    while len(schedule.names) < size:
        drawn += 1
        schedule.add(draw(chance, f"n{drawn:07}"))
        if drawn % 10_000 == 0:
            print(f"{size}: {len(schedule.names)} taken of {drawn} drawn", file=sys.stderr, flush=True)
    changes = list(schedule.names.values())
    began = time.perf_counter()
    whole = validate(changes, WORLD, LATE)
    took = time.perf_counter() - began
    assert isinstance(whole, Schedule), whole
    spent = []
    for n in range(more):
        change = draw(chance, f"more{n}")
        began = time.perf_counter()
        whole.add(change)
        spent.append((time.perf_counter() - began) * 1_000)
    spent.sort()
    print(f"| {size:,} | {drawn - size:,} | {took:.3f} | {took / size * 1e6:.0f} | "
          f"{statistics.median(spent):.2f} | {spent[int(len(spent) * 0.99)]:.2f} |", flush=True)


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--short", action="store_true")
    told = parser.parse_args()
    print("| changes | left out | validated, s | us a change | one added, ms, median | 99th |")
    print("| --- | --- | --- | --- | --- | --- |")
    for size in (100, 1_000) if told.short else (100, 1_000, 10_000, 100_000):
        one_size(size, told.seed, 50 if told.short else 200)


if __name__ == "__main__":
    main()
