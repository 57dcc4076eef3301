"""`python -m benchmarks.recording`: what records cost a backend, off and on interleaved in one run.

In each round three backends serve the same calls one after the other, in an order drawn anew: without
records, with lines, with lines and a store. Told: CPU an invocation by the kernel's account, resident memory
at its peak, and modules loaded. `--short` is one round of 2,000 calls.
"""

from __future__ import annotations

import argparse
import os
import statistics
import subprocess
import sys
import tempfile
from pathlib import Path
from random import Random

import gevent

from standins.agent import Agent
from standins.caller import Link
from standins.host import Host

BEFORE = "b6d3f15"  # the last commit without records
WAYS = ("off", "lines", "store")
TICK = os.sysconf("SC_CLK_TCK")


def cpu(pid: int) -> float:
    """Seconds of user and system time of a process, its threads included."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / TICK


def resident(pid: int) -> float:
    line = next(x for x in Path(f"/proc/{pid}/status").read_text().splitlines() if x.startswith("VmHWM"))
    return int(line.split()[1]) / 1024


def serve(way: str, calls: int, seed: int, folder: Path) -> tuple[float, float]:
    """Microseconds of CPU an invocation and MB at the peak, of one backend over that many calls."""
    environ = {}
    if way != "off":
        told = folder / f"{way}.toml"
        keep = f'folder = "{folder}/ring"\n' if way == "store" else ""
        told.write_text(f"[records]\nlines = true\n{keep}")
        environ["RINGSHIFT_SETTINGS"] = str(told)
    return served(environ, calls, seed)


def served(environ: dict[str, str], calls: int, seed: int, ready: str = "serving") -> tuple[float, float]:
    """The same of a backend with that environment, from its log line that holds `ready` on."""
    with Host(Agent(lambda job, kind, body: (0.0, "good", body)), environ=environ) as host:
        host.line(ready)
        random, pid = Random(seed), host.process.pid
        links = [Link(host.address()) for _ in range(4)]
        warm = [gevent.spawn(ask, links[i % 4], 300, random.getrandbits(32)) for i in range(8)]
        gevent.joinall(warm, raise_error=True)
        before = cpu(pid)
        jobs = [gevent.spawn(ask, links[i % 4], calls // 8, random.getrandbits(32)) for i in range(8)]
        gevent.joinall(jobs, raise_error=True)
        return (cpu(pid) - before) / (calls // 8 * 8) * 1e6, resident(pid)


def ask(link: Link, calls: int, seed: int) -> None:
    random = Random(seed)
    for _ in range(calls):
        answer = link.ask("look", random.randbytes(200), random.getrandbits(64), 5.0)
        assert answer is not None and answer.status == 200, answer


def imports() -> dict[str, tuple[int, float]]:
    """Modules loaded and MB at the peak once a backend is imported: before there were records, and now."""
    code = (
        "import sys, resource, {}; print(len(sys.modules), "
        "resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024)"
    )
    told = {}
    root = Path(__file__).parent.parent
    with tempfile.TemporaryDirectory() as folder:
        subprocess.run(
            ["git", "-C", str(root), "worktree", "add", "-q", "--detach", folder + "/old", "b6d3f15"],
            check=True,
        )
        try:
            for name, where, module in (
                ("before", folder + "/old", "ringshift.__main__"),
                ("now", str(root), "ringshift.lifecycle.entry"),
            ):
                out = subprocess.check_output(
                    [sys.executable, "-c", code.format(module)], cwd=where, text=True
                )
                modules, peak = out.split()
                told[name] = int(modules), float(peak)
        finally:
            subprocess.run(
                ["git", "-C", str(root), "worktree", "remove", "--force", folder + "/old"], check=True
            )
    return told


Seen = dict[str, list[tuple[float, float]]]
"""Way -> of each round what `served` gives; the first way is what the others are held against."""


def last(seen: Seen) -> str:
    return ", ".join(f"{way} {costs[-1][0]:.0f} us {costs[-1][1]:.1f} MB" for way, costs in seen.items())


def table(what: str, seen: Seen) -> None:
    print(f"\n| {what} | CPU an invocation, us | against off | peak memory, MB |\n| --- | --- | --- | --- |")
    first = next(iter(seen.values()))
    base = statistics.median(cost for cost, _ in first)
    for way, costs in seen.items():
        cost = statistics.median(cost for cost, _ in costs)
        pairs = [on / off - 1 for (on, _), (off, _) in zip(costs, first, strict=True)]
        print(
            f"| {way} | {cost:.0f} | {cost / base - 1:+.1%} (pairs {min(pairs):+.1%} to {max(pairs):+.1%}) | "
            f"{statistics.median(memory for _, memory in costs):.1f} |"
        )


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--rounds", type=int, default=8)
    parser.add_argument("--calls", type=int, default=16_000)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--short", action="store_true")
    told = parser.parse_args()
    rounds, calls = (1, 2000) if told.short else (told.rounds, told.calls)
    random = Random(told.seed)
    seen: dict[str, list[tuple[float, float]]] = {way: [] for way in WAYS}
    for index in range(rounds):
        order = random.sample(WAYS, len(WAYS))
        seed = random.getrandbits(32)
        for way in order:
            with tempfile.TemporaryDirectory() as folder:
                seen[way].append(serve(way, calls, seed, Path(folder)))
        print(f"round {index + 1} of {rounds}: {last(seen)}", flush=True)
    table("records", seen)
    if not told.short:
        for name, (modules, peak) in imports().items():
            print(f"{name}: {modules} modules loaded, {peak:.1f} MB at the peak once imported")
    return 0


if __name__ == "__main__":
    sys.exit(main())
