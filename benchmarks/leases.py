"""`python -m benchmarks.leases scripts|model|cost`: what the leases promise and what that costs, recorded.

scripts  Random fault scripts (standins/fleet/harness.py), each drawn from its own seed, over 3 to 9 holder
         processes; the checker's verdict on each and what safety costs: time without a holder after a crash,
         a stall and a cut, against the floor (time to live plus margin). Wrong scripts' folders are kept.
model    Every state of the model (standins/checkers/lease_model.py) to a depth, for several budgets of
faults. cost     Renewals a second that the stand-in keeper holds with 1,000 leases, and a holder's share of a
core.

`--short` is a small run of the same. Everything on loopback, in a folder of its own, bounded in count and
time.
"""

from __future__ import annotations

import argparse
import multiprocessing
import os
import shutil
import statistics
import subprocess
import sys
import tempfile
import time
from dataclasses import asdict
from pathlib import Path
from typing import Any

ROOT = Path(__file__).parent.parent


def played(job: tuple[list[int], str, int]) -> list[dict[str, Any]]:
    """One worker's scripts, `at_once` of them side by side."""
    import gevent
    from gevent.pool import Pool

    from standins.checkers.leases import check
    from standins.fleet.harness import Fleet, draw

    seeds, folder, at_once = job

    def one(seed: int) -> dict[str, Any]:
        place = Path(folder, str(seed))
        script = draw(seed)
        try:
            Fleet(script, place).play()
            told = asdict(check(place)) | {"seed": seed, "holders": script.holders, "failed": ""}
        except (Exception, gevent.Timeout) as wrong:
            told = {"seed": seed, "holders": script.holders, "failed": repr(wrong), "wrong": []}
        if not told["wrong"] and not told["failed"]:
            shutil.rmtree(place, ignore_errors=True)
        return told

    return list(Pool(at_once).imap_unordered(one, seeds))


def share(values: list[int], part: float) -> float:
    ordered = sorted(values)
    return ordered[min(int(len(ordered) * part), len(ordered) - 1)] / 1e9


def scripts(count: int, first: int, workers: int, at_once: int) -> int:
    folder = tempfile.mkdtemp(prefix="leases-")
    seeds = list(range(first, first + count))
    size = min(max(count // workers, 1), at_once * 4)
    jobs = [(seeds[at : at + size], folder, at_once) for at in range(0, count, size)]
    began = time.monotonic()
    found: list[dict[str, Any]] = []
    with multiprocessing.get_context("spawn").Pool(workers, maxtasksperchild=1) as pool:
        for part in pool.imap_unordered(played, jobs):
            found += part
            took = time.monotonic() - began
            print(f"{len(found)} of {count} after {took:.0f} s", file=sys.stderr, flush=True)
    failed = [one for one in found if one["failed"]]
    good = [one for one in found if not one["failed"]]
    wrong = {one["seed"]: one["wrong"] for one in good if one["wrong"]}
    names = ("overlap", "stale token", "past deadline", "twice", "skipped")
    counts = {name: sum(told.startswith(name) for all_ in wrong.values() for told in all_) for name in names}
    print(
        f"{len(good)} scripts from seed {first}, 3 to 9 holders, in {time.monotonic() - began:.0f} s; "
        f"{len(failed)} could not be played"
    )
    print(
        f"steps accepted {sum(one['accepted'] for one in good)}, refused by the fence "
        f"{sum(one['refused'] for one in good)}; holds that acted "
        f"{sum(one['holders_seen'] for one in good)}; scripts with no step "
        f"{sum(not one['accepted'] for one in good)}; "
        f"same hold kept through a stall or cut {sum(one['kept'] for one in good)}"
    )
    print(", ".join(f"{name} {counts[name]}" for name in names))
    print("\n| time without a holder | count | median s | 99th s | most s | floor s (ttl + margin) |")
    print("| --- | --- | --- | --- | --- | --- |")
    for what in ("crash", "stall", "cut"):
        gaps = [gap for one in good for gap in one["gaps"].get(what, [])]
        if gaps:
            print(
                f"| after a {what} | {len(gaps)} | {statistics.median(gaps) / 1e9:.2f} | "
                f"{share(gaps, 0.99):.2f} | {max(gaps) / 1e9:.2f} | 3.30 |"
            )
    for seed, told in list(wrong.items())[:10]:
        print(f"seed {seed}: {told[:3]} (kept in {folder}/{seed})")
    for one in failed[:5]:
        print(f"seed {one['seed']}: not played: {one['failed']}")
    if not wrong and not failed:
        shutil.rmtree(folder, ignore_errors=True)
    return 1 if wrong or failed else 0


def explored(job: tuple[tuple[int, int, int, int], int]) -> str:
    from standins.checkers.explore import explore
    from standins.checkers.lease_model import Model

    faults, depth = job
    model, began = Model("", faults), time.monotonic()
    told = explore(model.held(), model.after, model.wrong, depth, 3_000_000)
    depth_told = f"{told.depth}{' (whole)' if told.whole else ''}"
    return (
        f"| {', '.join(map(str, faults))} | {depth_told} | {told.states} | {told.moves} | "
        f"{told.wrong or 'nothing'} | {time.monotonic() - began:.0f} |"
    )


def model(depth: int) -> int:
    jobs = [
        ((0, 0, 0, 0), depth + 3),
        ((1, 0, 0, 0), depth + 2),
        ((0, 1, 0, 0), depth + 2),
        ((0, 0, 1, 0), depth + 2),
        ((0, 0, 0, 1), depth + 2),
        ((1, 1, 1, 1), depth),
    ]
    print("| faults: stalls, crashes, leaves, restarts | depth | states | moves | wrong | s |")
    print("| --- | --- | --- | --- | --- | --- |")
    with multiprocessing.get_context("spawn").Pool(3, maxtasksperchild=1) as pool:
        for line in pool.imap(explored, jobs):
            print(line, flush=True)
    return 0


def renewing(job: tuple[str, int, float]) -> tuple[int, float]:
    """One client process: `count` leases, renewed in turn for `seconds`; renewals, and CPU seconds used."""
    from ringshift.wire.keeper import KeeperLink

    address, count, seconds = job
    link = KeeperLink([address], time.monotonic_ns, 5.0)
    leases = [int(link.call("/lease/grant", {"TTL": 600})["ID"]) for _ in range(count)]
    began, cpu, done = time.monotonic(), time.process_time(), 0
    while time.monotonic() - began < seconds:
        link.call("/lease/keepalive", {"ID": str(leases[done % count])})
        done += 1
    return done, time.process_time() - cpu


def cpu(pid: int) -> float:
    """CPU seconds of a process so far, by /proc."""
    words = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(words[11]) + int(words[12])) / os.sysconf("SC_CLK_TCK")


def resident(pid: int) -> float:
    return int(Path(f"/proc/{pid}/statm").read_text().split()[1]) * os.sysconf("SC_PAGE_SIZE") / 2**20


def cost(leases: int, seconds: float) -> int:
    folder = tempfile.mkdtemp(prefix="leases-cost-")
    keeper = subprocess.Popen(
        [sys.executable, "-m", "standins.keeper", f"{folder}/keeper"],
        cwd=ROOT,
        stdout=subprocess.PIPE,
        text=True,
    )
    try:
        assert keeper.stdout is not None
        address = keeper.stdout.readline().split()[-1]
        clients = 4
        with multiprocessing.get_context("spawn").Pool(clients) as pool:
            began, used = time.monotonic(), cpu(keeper.pid)
            told = pool.map(renewing, [(address, leases // clients, seconds)] * clients)
            took, keeping = time.monotonic() - began, cpu(keeper.pid) - used
        done = sum(count for count, _ in told)
        print(
            f"renewals a second with {leases} leases at the stand-in, {clients} clients at full speed: "
            f"{done / seconds:.0f}; keeper {keeping / took:.2f} of a core; a renewal costs a client "
            f"{sum(cpu for _, cpu in told) / done * 1e6:.0f} us of CPU"
        )
        print(
            f"1,000 holders of 10 s need 300 renewals a second (a keep-alive and a read each): "
            f"{600 / (done / seconds):.2f} of what it holds"
        )
        for ttl in (3, 10):
            settings = Path(folder, f"{ttl}.toml")
            settings.write_text(
                f'[leases]\nkeepers = ["{address}"]\nttl_s = {ttl}\nmargin_ms = 300\nanswer_within_ms = 900\n'
            )
            argv = [
                sys.executable,
                "-m",
                "ringshift",
                "lease",
                "hold",
                f"cost{ttl}",
                "--settings",
                str(settings),
                "--name",
                "h",
                "--resource",
                "127.0.0.1:1",
            ]
            holder = subprocess.Popen(argv, cwd=ROOT, stderr=subprocess.DEVNULL)
            time.sleep(3.0)  # its start is not its running cost
            used = cpu(holder.pid)
            time.sleep(seconds)
            share_of = (cpu(holder.pid) - used) / seconds
            print(
                f"a holder at a ttl of {ttl} s, looking 50 times a second: {share_of:.4f} of a core, "
                f"{resident(holder.pid):.0f} MB"
            )
            holder.terminate()
            holder.wait()
    finally:
        keeper.terminate()
        keeper.wait()
        shutil.rmtree(folder, ignore_errors=True)
    return 0


def main() -> int:
    raw = argparse.RawDescriptionHelpFormatter
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=raw)
    parser.add_argument("what", choices=["scripts", "model", "cost"])
    parser.add_argument("--count", type=int, default=1000)
    parser.add_argument("--first", type=int, default=1000)
    parser.add_argument("--workers", type=int, default=6)
    parser.add_argument("--at-once", type=int, default=5)
    parser.add_argument("--depth", type=int, default=10)
    parser.add_argument("--seconds", type=float, default=20.0)
    parser.add_argument("--short", action="store_true")
    told = parser.parse_args()
    if told.what == "scripts":
        count, workers = (6, 2) if told.short else (told.count, told.workers)
        return scripts(count, told.first, workers, told.at_once)
    if told.what == "model":
        return model(5 if told.short else told.depth)
    return cost(100 if told.short else 1000, 2.0 if told.short else told.seconds)


if __name__ == "__main__":
    sys.exit(main())
