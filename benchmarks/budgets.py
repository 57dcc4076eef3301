"""`python -m benchmarks.budgets scripts|model|scale`: what the budgets promise and what it costs, recorded.

scripts  Random fault scripts (standins/fleet/budgets.py), each from its own seed: joins, leaves, crashes,
stalls,
         partitions, divider failover, skew; the dependency's word on every instant over the whole, the share
         in use, the time to divide anew after a join and a leave. Wrong scripts' folders are kept.
model    Every state of the model (standins/checkers/budget_model.py) to a depth, for several budgets of
faults. scale    The decisions alone in emulated time at 10, 100 and 1,000 backends: time of a round,
messages, rounds and
         emulated seconds until every share is its fair part; Jain's index at rest; failover with the ledger
         taken back against waiting it out.

`--short` is a small run of the same. Loopback only, in a folder of its own, bounded in count and time.
"""

from __future__ import annotations

import argparse
import multiprocessing
import shutil
import statistics
import sys
import tempfile
import time
from dataclasses import asdict
from pathlib import Path
from typing import Any

from benchmarks.leases import share as part_of

SPANS = {
    "joins": "a joiner's first grant",
    "leaves": "a leaver's part is granted again",
    "kills": "a crashed one's part is granted again",
}


def played(job: tuple[list[int], str, int]) -> list[dict[str, Any]]:
    """One worker's scripts, `at_once` of them side by side."""
    import gevent
    from gevent.pool import Pool

    from standins.checkers.budgets import check
    from standins.fleet.budgets import BudgetFleet, draw

    seeds, folder, at_once = job

    def one(seed: int) -> dict[str, Any]:
        place, script = Path(folder, str(seed)), draw(seed)
        told: dict[str, Any] = {"seed": seed, "failed": "", "wrong": [], "whole": script.whole}
        try:
            BudgetFleet(script, place).play()
            told |= asdict(check(place))
        except (Exception, gevent.Timeout) as wrong:
            told["failed"] = repr(wrong)
        if not told["wrong"] and not told["failed"] and not told["stalled"]:
            shutil.rmtree(place, ignore_errors=True)
        return told

    return list(Pool(at_once).imap_unordered(one, seeds))


def scripts(count: int, first: int, workers: int, at_once: int) -> int:
    folder = tempfile.mkdtemp(prefix="budgets-")
    seeds = list(range(first, first + count))
    size = min(max(count // workers, 1), at_once * 4)
    jobs = [(seeds[at : at + size], folder, at_once) for at in range(0, count, size)]
    began, found = time.monotonic(), list[dict[str, Any]]()
    with multiprocessing.get_context("spawn").Pool(workers, maxtasksperchild=1) as pool:
        for part in pool.imap_unordered(played, jobs):
            found += part
            took = time.monotonic() - began
            print(f"{len(found)} of {count} after {took:.0f} s", file=sys.stderr, flush=True)
    failed = [one for one in found if one["failed"]]
    good = [one for one in found if not one["failed"]]
    wrong = {one["seed"]: one["wrong"] for one in good if one["wrong"]}
    took = time.monotonic() - began
    print(f"{len(good)} scripts from seed {first} in {took:.0f} s; {len(failed)} could not be played")
    print(
        f"instants over the whole {sum(len(told) for told in wrong.values())}; more by a call that was "
        f"stalled after its last look {sum(one['stalled'] for one in good)}; scripts in which the whole "
        f"was reached {sum(one['most'] >= one['whole'] for one in good)}, in which nothing was granted "
        f"{sum(not one['granted'] for one in good)}"
    )
    for name, told in (("in use", "used"), ("granted", "granted"), ("granted, of what can be", "reached")):
        shares = [one[told] for one in good if one["samples"]]
        print(
            f"share of min(whole, wants) {name}: mean {statistics.mean(shares):.2f}, "
            f"median {statistics.median(shares):.2f}"
        )
    print(
        "\n| time until | count | median s | 99th s | not until the script's end |\n"
        "| --- | --- | --- | --- | --- |"
    )
    for span, what in SPANS.items():
        values = [value for one in good for value in one[span]]
        never = sum(one["never"].get(span, 0) for one in good)
        spent = f"{statistics.median(values) / 1e9:.2f} | {part_of(values, 0.99):.2f}" if values else "- | -"
        print(f"| {what} | {len(values)} | {spent} | {never} |")
    print(
        "leaves and crashes after which nothing was to be granted again (no grant held, nobody lacked): "
        f"{sum(one['nothing_moved'] for one in good)}"
    )
    for seed, told in list(wrong.items())[:10]:
        print(f"seed {seed}: {told[:2]} (kept in {folder}/{seed})")
    for one in failed[:5]:
        print(f"seed {one['seed']}: not played: {one['failed']}")
    return 1 if wrong or failed else 0


def explored(job: tuple[tuple[int, int, int, int], int, bool]) -> str:
    from standins.checkers.budget_model import Model
    from standins.checkers.explore import explore

    faults, depth, empty = job
    model, began = Model(faults, empty), time.monotonic()
    told = explore(model.first(), model.after, model.wrong, depth, 1_500_000)
    reached = f"{told.depth}{' (whole)' if told.whole else ''}"
    return (
        f"| {', '.join(map(str, faults))} | {'nothing' if empty else 'a ledger'} | {reached} | "
        f"{told.states} | {told.moves} | "
        f"{told.wrong or 'nothing'} | {time.monotonic() - began:.0f} |"
    )


def model(depth: int, workers: int) -> int:
    none, all_ = (0, 0, 0, 0), (1, 1, 1, 1)
    jobs = [
        (none, depth + 2, False),
        ((1, 0, 0, 0), depth + 1, False),
        ((0, 1, 0, 0), depth + 1, False),
        ((0, 0, 1, 0), depth + 1, False),
        ((0, 0, 0, 1), depth + 1, False),
        (all_, depth, False),
        (none, depth + 4, True),
        ((0, 0, 0, 1), depth + 2, True),
        (all_, depth, True),
    ]
    print(
        "| faults: stalls, crashes, leaves, new dividers | at the keeper first | depth | states | moves | "
        "wrong | s |"
    )
    print("| --- | --- | --- | --- | --- | --- | --- |")
    with multiprocessing.get_context("spawn").Pool(workers, maxtasksperchild=1) as pool:
        for line in pool.imap(explored, jobs):
            print(line, flush=True)
    return 0


def settled(count: int, seed: int = 1) -> str:
    """All join at once and want everything: how long until each has its fair part, and what a round costs."""
    from ringshift.fleet.budget import MS, Budget, S
    from ringshift.interface import Unit
    from standins.fleet.emulated import Trouble, World

    budget = Budget("calls", Unit.CALLS, 2.0 * count, count, 0, life=8 * S, refresh=1 * S, longest=1 * S)
    world = World(budget, seed, Trouble(), start=count, demand=lambda random: 1000)
    first = None
    while world.ledger is None:
        world.run(world.now + 100 * MS)
    start, rounds, messages = world.now, world.rounds, world.messages
    while first is None and world.now < start + 120 * S:
        world.run(world.now + 100 * MS)
        if all(one.share.allowed(one.now(world.now)) == 2 for one in world.alive()):
            first = world.now
    shares = [one.share.allowed(one.now(world.now)) for one in world.alive()]
    jain = sum(shares) ** 2 / (len(shares) * sum(share * share for share in shares)) if any(shares) else 0.0
    round_ms = round_cost(budget, count)
    spent = f"{(first - start) / S:.1f}" if first is not None else "not settled"
    each = (world.messages - messages) / max((world.now - start) / S, 0.1) / count
    return f"| {count} | {round_ms:.2f} | {world.rounds - rounds} | {spent} | {each:.1f} | {jain:.3f} |"


def round_cost(budget: Any, count: int) -> float:
    """Milliseconds of CPU of one round in which everybody asked anew."""
    from ringshift.fleet.budget import Ask, Divider, Ledger, S, Word

    divider = Divider(budget)
    divider.hear(Word.TAKEN, 0)
    divider.hear(Word.LEDGER, 0, ledger=Ledger(0, budget.whole, {}))
    spent = list[float]()
    for number in range(1, 21):
        asks = [Ask(f"b{one}", number, 100.0, 2.0, divider.round) for one in range(count)]
        began = time.process_time()
        divider.hear(Word.ROUND, number * S // 4, asks)
        spent.append(time.process_time() - began)
    return statistics.median(spent) * 1000


def failover(waits: bool, seeds: int) -> float:
    """Emulated seconds from a new divider until a newcomer is granted what it wants beside the others."""
    from ringshift.fleet.budget import MS, Budget, S
    from ringshift.interface import Unit
    from standins.fleet.emulated import Trouble, World

    spent = list[float]()
    for seed in range(seeds):
        budget = Budget("calls", Unit.CALLS, 20, 10, 0, life=8 * S, refresh=1 * S, longest=1 * S)
        world = World(budget, seed, Trouble(), start=5, demand=lambda random: 4)
        world.run(20 * S)
        if waits:
            world.ledger = None  # as a divider that keeps no ledger finds it
        world.new_divider()
        world.join()
        name = list(world.backends)[-1]
        start = world.now
        while world.backends[name].share.allowed(world.backends[name].now(world.now)) < 3:
            world.run(world.now + 50 * MS)
            if world.now > start + 60 * S:
                break
        spent.append((world.now - start) / S)
        assert not world.over, world.over[:1]
    return statistics.median(spent)


def scale(sizes: list[int], seeds: int) -> int:
    print(
        "| backends | a round, ms of CPU | rounds to settle | emulated s to settle | messages a second of "
        "one backend | Jain at rest |"
    )
    print("| --- | --- | --- | --- | --- | --- |")
    for count in sizes:
        print(settled(count), flush=True)
    print(
        f"\na newcomer's grant after a new divider (emulated, {seeds} seeds, median): "
        f"{failover(False, seeds):.1f} s with the ledger taken back, {failover(True, seeds):.1f} s where "
        "none is and the longest grant is waited out"
    )
    return 0


def main() -> int:
    raw = argparse.RawDescriptionHelpFormatter
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=raw)
    parser.add_argument("what", choices=["scripts", "model", "scale"])
    parser.add_argument("--count", type=int, default=1000)
    parser.add_argument("--first", type=int, default=1000)
    parser.add_argument("--workers", type=int, default=6)
    parser.add_argument("--at-once", type=int, default=5)
    parser.add_argument("--depth", type=int, default=10)
    parser.add_argument("--short", action="store_true")
    told = parser.parse_args()
    if told.what == "scripts":
        count, workers = (4, 2) if told.short else (told.count, told.workers)
        return scripts(count, told.first, workers, told.at_once)
    if told.what == "model":
        return model(5 if told.short else told.depth, min(told.workers, 3))
    return scale([10, 100] if told.short else [10, 100, 1000], 3 if told.short else 10)


if __name__ == "__main__":
    sys.exit(main())
