"""`python -m benchmarks.rules scripts`: what the rulebook promises and what it costs on processes, recorded.

Random fault scripts (standins/fleet/rulescript.py), each from its own seed: stops, kills, cuts both ways
and one, delays, joins, leaves, partitions, skew, publishers killed and stopped between their steps, two at
once, the keeper killed, stopped, restored from an older copy. The checker's word on each kind of wrong, and
what it cost. Each played script is a line of `--out`; a run begun again with the same file plays only the
seeds that are missing. Wrong scripts' folders are kept. `--short` is a small run of the same. Loopback
only, bounded.
"""

from __future__ import annotations

import argparse
import multiprocessing
import shutil
import statistics
import sys
import tempfile
import time
from collections import Counter
from dataclasses import asdict
from pathlib import Path
from typing import Any

import orjson

from benchmarks.leases import share as part_of

KINDS = (
    "contradiction",
    "past deadline",
    "number used twice",
    "falling",
    "judged otherwise",
    "overlap",
    "outside its window",
    "begun without contact",
    "shed early",
    "shed and let through",
    "stale step",
    "crashed",
)
PARTS = (
    ("changes", "landed", "sets of routing changes landed"),
    ("changes", "against", "refused, contradicting what was in force"),
    ("changes", "begun", "changes in force, one a backend"),
    ("changes", "together", "instants judged with two or more in force"),
    ("shedding", "warned", "answers sent with a warning"),
    ("shedding", "shed", "invocations shed by a retirement"),
    ("shedding", "through", "let through beside a share in force"),
    ("shedding", "both", "callers shed at two backends or more"),
    ("shedding", "editions", "decisions of a ramp that callers were judged by"),
    ("shedding", "steps", "writes of ramps that landed"),
    ("shedding", "late", "writes of ramps sent after the lease was another's"),
)


def played(job: tuple[list[int], str, int]) -> list[dict[str, Any]]:
    """One worker's scripts, `at_once` of them side by side."""
    import gevent
    from gevent.pool import Pool

    from standins.checkers.rules import check
    from standins.fleet.rules import RulesFleet
    from standins.fleet.rulescript import draw

    seeds, folder, at_once = job

    def one(seed: int) -> dict[str, Any]:
        place, script = Path(folder, str(seed)), draw(seed)
        told: dict[str, Any] = {"seed": seed, "failed": "", "wrong": [], "settled": False}
        try:
            RulesFleet(script, place).play()
            told |= asdict(check(place))
        except (Exception, gevent.Timeout) as wrong:
            told["failed"] = repr(wrong)
        if told["settled"] and not told["wrong"] and not told["failed"]:
            shutil.rmtree(place, ignore_errors=True)
        else:
            told["folder"] = str(place)
        return told

    return list(Pool(at_once).imap_unordered(one, seeds))


def recorded(path: Path | None) -> dict[int, dict[str, Any]]:
    if path is None or not path.exists():
        return {}
    rows = [orjson.loads(line) for line in path.read_bytes().splitlines()]
    return {row["seed"]: row for row in rows if not row["failed"]}


def scripts(count: int, first: int, workers: int, at_once: int, out: Path | None) -> int:
    found = recorded(out)
    seeds = [seed for seed in range(first, first + count) if seed not in found]
    folder, began = tempfile.mkdtemp(prefix="rules-"), time.monotonic()
    size = min(max(len(seeds) // workers, 1), at_once * 2)
    jobs = [(seeds[at : at + size], folder, at_once) for at in range(0, len(seeds), size)]
    with multiprocessing.get_context("spawn").Pool(workers, maxtasksperchild=1) as pool:
        for part in pool.imap_unordered(played, jobs):
            found |= {row["seed"]: row for row in part}
            if out is not None:
                with out.open("ab") as lines:
                    lines.writelines(orjson.dumps(row) + b"\n" for row in part)
            took = time.monotonic() - began
            print(f"{len(found)} of {count} after {took:.0f} s", file=sys.stderr, flush=True)
    rows = [found[seed] for seed in range(first, first + count)]
    print(f"{count} scripts from seed {first}, {time.monotonic() - began:.0f} s")
    return table(rows)


def spread(values: list[int]) -> str:
    if not values:
        return "0 | | |"
    return (
        f"{len(values)} | {statistics.median(values) / 1e9:.2f} | {part_of(values, 0.99):.2f} | "
        f"{max(values) / 1e9:.2f} |"
    )


def table(rows: list[dict[str, Any]]) -> int:
    failed = [row for row in rows if row["failed"]]
    good = [row for row in rows if not row["failed"]]
    kinds = Counter[str](told.partition(":")[0] for row in good for told in row["wrong"])
    unsettled = [row["seed"] for row in good if not row["settled"]]

    def total(name: str) -> int:
        return sum(row[name] for row in good)

    print("\n| | |\n| --- | --- |")
    print(f"| scripts played | {len(good)} |\n| backends (each process one) | {total('backends')} |")
    print(f"| versions put in force | {total('in_force')} |\n| refused | {total('refused')} |")
    print(f"| withdrawn | {total('withdrawn')} |\n| switches of a backend | {total('switches')} |")
    print(f"| falls to `alone` | {total('alone')} |\n| looks judged | {total('looks')} |")
    print(f"| looks stopped for longer than the margin | {total('stalled')} |")
    print(f"| scripts that ended without one version everywhere | {len(unsettled)} |")
    print(f"| numbers given again after a loss of the keeper's data | {total('again')} |")
    longest = max((row["longest"] for row in good), default=0) / 1e9
    print(
        f"| stretches of two backends on contradicting rules (allowed up to B after a keeper's loss) | "
        f"{total('contradictions')}, most {longest:.3f} s |"
    )
    for part, name, text in PARTS:
        print(f"| {text} | {sum(row[part][name] for row in good)} |")
    for kind in dict.fromkeys((*KINDS, *kinds)):
        print(f"| wrong: {kind} | {kinds[kind]} |")
    print("\n| s | count | median | 99th | most |\n| --- | --- | --- | --- | --- |")
    doubt = [one for row in good for one in row["doubt"]]
    print("| acted unconfirmed before it fell to `alone` |", spread(doubt))
    for many in sorted({row["backends"] for row in good}):
        spans = [one for row in good if row["backends"] == many for one in row["publications"]]
        print(f"| proposed to in force, {many} backends |", spread(spans))
    for row in [row for row in good if row["wrong"]][:10]:
        print(f"seed {row['seed']}: {row['wrong'][:2]} (kept in {row['folder']})")
    for row in failed[:5]:
        print(f"seed {row['seed']}: not played: {row['failed']}")
    if unsettled:
        print(f"not settled: seeds {unsettled[:20]}")
    return 1 if kinds or failed or unsettled else 0


def main() -> int:
    raw = argparse.RawDescriptionHelpFormatter
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=raw)
    parser.add_argument("what", choices=["scripts"])
    parser.add_argument("--count", type=int, default=1000)
    parser.add_argument("--first", type=int, default=1000)
    parser.add_argument("--workers", type=int, default=7)
    parser.add_argument("--at-once", type=int, default=4)
    parser.add_argument("--out", type=Path, help="a line a script; seeds that it has are not played again")
    parser.add_argument("--short", action="store_true")
    told = parser.parse_args()
    count, workers = (4, 2) if told.short else (told.count, told.workers)
    return scripts(count, told.first, workers, told.at_once, told.out)


if __name__ == "__main__":
    sys.exit(main())
