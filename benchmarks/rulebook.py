"""`python -m benchmarks.rulebook WHAT`: what the rulebook and its retirements promise, and cost.

model   Every state of the model (standins/checkers/rules_model.py) to a depth, for several budgets of faults.
scale   EMULATED: readers, a publisher and the keeper in virtual time by the program's own client
        (standins/fleet/emulated_readers.py): time from publication to in force, time that a backend acts on
        after a cut, instants at which two contradict, the keeper's calls and bytes a second.
look    One look of a publisher at the keeper, in ms, by the number of readers.
book    A document checked, digested, compared, written, read and taken in, in ms.
lookup  One invocation judged, in ns, by the number of entries.
amounts One invocation decided, in us of CPU, by the number of quotas.
ramp    EMULATED: what a fleet of backends turns away of a retired operation, against the ramp's plan.
refresh EMULATED: what one backend of a retirement reads at each refresh, in kB, and its own part of it in ms.
rows    EMULATED: the same of the holder of a ramp, at each look, by the number of backends.

Seeded; `--short` is a small run of the same. `book`, `lookup` and `amounts` are of one process on one core.
"""

from __future__ import annotations

import argparse
import multiprocessing
import statistics
import sys
import time
from typing import Any

from benchmarks.leases import share as part_of
from benchmarks.rampcosts import looks, refresh
from benchmarks.rulecosts import amounts, book, look, lookup

Job = tuple[dict[str, int], dict[str, Any], str, int]  # faults, the model's words, where it begins, depth


def explored(job: Job) -> str:
    from standins.checkers.explore import explore
    from standins.checkers.rules_model import Model
    from standins.checkers.rules_values import FAST, SLOW, Faults

    faults, words, first, depth = job
    rates: dict[str, Any] = {"rates": ((SLOW, FAST),) * 2} if words.pop("edges", False) else {}
    model, began = Model(Faults(**faults), **words, **rates), time.monotonic()
    told = explore(getattr(model, first)(), model.after, model.wrong, depth, 400_000)
    reached = f"{told.depth}{' (whole)' if told.whole else ''}"
    named = ", ".join(f"{count} {name}" for name, count in faults.items())
    named += ", one refuses" if words.get("odd") else ", each clock at each edge" if rates else ""
    return (
        f"| {named} | {words.get('publishers', 1)} | {first} | {reached} | {told.states:,} | "
        f"{told.moves:,} | {told.wrong or 'nothing'} | {time.monotonic() - began:.0f} |"
    )


def model(depth: int, workers: int) -> int:
    one, two = {"publications": 1}, {"publications": 2}
    all_ = dict.fromkeys(("withdrawals", "kills", "stops", "crashes", "doubles", "restores"), 1)
    jobs: list[Job] = [
        (two | all_, {"publishers": 2}, "proposed", depth - 1),
        ({"publications": 3}, {}, "first", depth + 1),
        (one, {}, "proposed", depth + 1),
        (one, {"edges": True}, "proposed", depth - 1),
        (one, {"odd": True}, "first", depth + 1),
        (one | {"withdrawals": 1}, {}, "proposed", depth + 1),
        (one | {"kills": 1}, {"publishers": 2}, "proposed", depth),
        (one | {"stops": 1}, {}, "proposed", depth + 1),
        (one | {"crashes": 1}, {}, "proposed", depth),
        (one | {"doubles": 1}, {}, "proposed", depth),
        (one | {"restores": 1}, {}, "proposed", depth + 1),
        (two | {"kills": 1, "crashes": 1, "restores": 1}, {}, "lost", depth),
        ({"publications": 3, "crashes": 1}, {}, "announced", depth),
    ]
    print("| faults | publishers | from | depth | states | moves | wrong | s |")
    print("| --- | --- | --- | --- | --- | --- | --- | --- |")
    with multiprocessing.get_context("spawn").Pool(workers, maxtasksperchild=1) as pool:
        for line in pool.imap(explored, jobs):
            print(line, flush=True)
    return 0


def fleet(job: tuple[int, int, int, int]) -> dict[str, Any]:
    """One seed: publications while all are well, one with a silent reader, one while a third is cut off."""
    from ringshift.rulebook.bound import S
    from standins.fleet.emulated_readers import Fleet

    size, seed, publications, entries = job
    run = Fleet(size, seed)
    told: dict[str, Any] = {"size": size, "well": [], "calls": [], "bytes": [], "alone": [], "back": []}
    assert run.settled()
    before, began = (run.traffic.calls, run.traffic.bytes), run.now
    run.run(run.now + 5 * S)
    told["rest"] = [
        (now - then) / 5 for now, then in zip((run.traffic.calls, run.traffic.bytes), before, strict=True)
    ]
    for number in range(publications):
        run.run(run.now + run.chance.randrange(S))
        before, began = (run.traffic.calls, run.traffic.bytes), run.now
        told["well"].append(run.publish(run.listed(3, number)))
        span = (run.now - began) / S
        told["calls"].append((run.traffic.calls - before[0]) / span)
        told["bytes"].append((run.traffic.bytes - before[1]) / span)
        assert run.settled()
    before, began = (run.traffic.calls, run.traffic.bytes), run.now
    told["large"], told["fetched"] = run.publish(run.listed(entries)), run.traffic.bytes - before[1]
    assert run.settled()
    run.backends[0].cut = True
    told["silent"] = run.publish(run.listed(3, 100))
    run.backends[0].cut = False
    assert run.settled()
    third, cut_at = run.backends[: max(size // 3, 1)], run.now
    for one in third:
        one.cut, one.flips = True, []
    run.publish(run.listed(3, 101))
    healed = run.now
    for one in third:
        one.cut = False
    assert run.settled()
    for one in third:
        told["alone"] += [at - cut_at for at, acting in one.flips if not acting]
        told["back"] += [at - healed for at, acting in one.flips if acting]
    told["doubt"] = run.doubt
    return told


def scale(sizes: list[int], seeds: int, publications: int, entries: int, workers: int) -> int:
    from ringshift.rulebook.bound import S

    print(
        "EMULATED readers in virtual time; a way of 1 to 30 ms; life 8 s, margin 500 ms, drift 1%, refresh "
        "1 s\n\n"
        "| readers | publications | in force, median s | 99th s | one silent, median s | "
        f"{entries:,} entries, median s | MB in that time | calls a second, at rest | in a publication "
        "| KB a second, at rest | in a publication |"
    )
    print("| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |")
    cuts = []
    with multiprocessing.get_context("spawn").Pool(workers, maxtasksperchild=1) as pool:
        jobs = [
            (size, seed, publications, entries)
            for size in sorted(sizes, reverse=True)
            for seed in range(seeds)
        ]
        found = list(pool.imap_unordered(fleet, jobs))
    for size in sizes:
        mine = [one for one in found if one["size"] == size]
        well = [value for one in mine for value in one["well"]]

        def middle(name: str, of: list[dict[str, Any]] = mine) -> float:
            values = [one[name] for one in of]
            return float(statistics.median(sum(values, []) if isinstance(values[0], list) else values))

        rest = [statistics.median(one["rest"][place] for one in mine) for place in (0, 1)]
        print(
            f"| {size:,} | {len(well)} | {statistics.median(well) / S:.2f} | {part_of(well, 0.99):.2f} | "
            f"{middle('silent') / S:.2f} | {middle('large') / S:.2f} | {middle('fetched') / 1e6:.1f} | "
            f"{rest[0]:.0f} | {middle('calls'):.0f} | {rest[1] / 1e3:.0f} | {middle('bytes') / 1e3:.0f} |"
        )
        alone, back = ([value for one in mine for value in one[name]] for name in ("alone", "back"))
        cuts.append(
            f"| {size:,} | {len(alone)} | {statistics.median(alone) / S:.2f} | "
            f"{part_of(alone, 0.99):.2f} | {max(alone) / S:.2f} | "
            f"{statistics.median(back) / S:.2f} | {part_of(back, 0.99):.2f} | "
            f"{sum(one['doubt'] for one in mine)} |"
        )
    print(
        "\nA third of the readers cut off, a version published meanwhile:\n\n"
        "| readers | cut off | until alone, median s | 99th s | most s | after the cut until with contact, "
        "median s | 99th s | instants at which two contradict |"
    )
    print("| --- | --- | --- | --- | --- | --- | --- | --- |")
    print("\n".join(cuts))
    return 0


def ramped(job: tuple[int, int, int]) -> list[Any]:
    from standins.fleet.emulated_ramp import Fleet, span

    run = Fleet(*job)
    for _ in run.run(span()):
        pass
    return run.rungs


def ramp(sizes: list[int], callers: int, seeds: int, workers: int) -> int:
    """What is away: turned away, or with the successor since. Points: hundredths of the tries."""
    from standins.fleet.emulated_ramp import SHARES

    print(
        f"EMULATED, {callers:,} callers of unlike rates, each try at another backend; a refresh each 2 s, "
        f"one of 50 lost, backends cut off for 5 to 30 s; {seeds} seeds\n\n"
        "| backends | step | decided after its date, s | a backend acts by it after, median s | 99th s | "
        "away, % of tries | error, points, median | most | of which not yet warned | let through though "
        "drawn, until all act by it, % of the tries drawn |\n"
        "| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |"
    )
    with multiprocessing.get_context("spawn").Pool(workers, maxtasksperchild=1) as pool:
        found = list(pool.imap(ramped, [(size, callers, seed) for size in sizes for seed in range(seeds)]))
    for place, size in enumerate(sizes):
        runs = found[place * seeds : (place + 1) * seeds]
        for step, share in enumerate(SHARES):
            ones = [run[step] for run in runs if run[step].decided and run[step].tries]
            if not ones:
                print(f"| {size} | {share:.0%} | not reached | | | | | | | |")
                continue
            late = statistics.median(one.decided - one.due for one in ones) / 1e9
            lags = [lag for one in ones for lag in one.lags]
            away = [100 * one.away / one.tries for one in ones]
            errors = [abs(one - 100 * share) for one in away]
            short = statistics.median(100 * one.unready / one.tries for one in ones)
            split = statistics.median(100 * one.split / max(one.split + one.away, 1) for one in ones)
            print(
                f"| {size} | {share:.0%} | {late:.0f} | {statistics.median(lags) / 1e9:.1f} | "
                f"{part_of(lags, 0.99):.1f} | {statistics.median(away):.1f} | "
                f"{statistics.median(errors):.1f} | {max(errors):.1f} | {short:.1f} | {split:.2f} |",
                flush=True,
            )
    return 0


def main() -> int:
    raw = argparse.RawDescriptionHelpFormatter
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=raw)
    parser.add_argument(
        "what", choices=["model", "scale", "look", "book", "lookup", "amounts", "ramp", "refresh", "rows"]
    )
    parser.add_argument("--depth", type=int, default=7)
    parser.add_argument("--readers", type=int, nargs="+", default=[10, 100, 1000])
    parser.add_argument("--seeds", type=int, default=4)
    parser.add_argument("--publications", type=int, default=25)
    parser.add_argument("--entries", type=int, default=10_000)
    parser.add_argument("--workers", type=int, default=4)
    parser.add_argument("--short", action="store_true")
    told = parser.parse_args()
    if told.what == "model":
        return model(4 if told.short else told.depth, told.workers)
    if told.what == "scale":
        short = ([10], 2, 2, 500, 2)
        full = (told.readers, told.seeds, told.publications, told.entries, told.workers)
        return scale(*(short if told.short else full))
    if told.what == "look":
        return look([10] if told.short else told.readers, 5 if told.short else 50)
    if told.what == "ramp":
        return ramp([5], 300, 2, 2) if told.short else ramp([10, 50], 1_000, told.seeds, told.workers)
    if told.what == "refresh":
        return refresh([0, 100] if told.short else [0, 1_024, 16_384], 5 if told.short else 51)
    if told.what == "rows":
        return looks([10], 3, 100) if told.short else looks(told.readers, 15, 16_384)
    if told.what == "book":
        return book(400 if told.short else told.entries, 3 if told.short else 11)
    if told.what == "amounts":
        return amounts(*(([10, 100], 200, 2) if told.short else ([10, 1_000, 10_000], 5_000, 7)))
    sizes, count = ([10, 1_000], 1_000) if told.short else ([10, 1_000, 10_000, 100_000], 20_000)
    return lookup(sizes, count)


if __name__ == "__main__":
    sys.exit(main())
