"""`python -m benchmarks.soak`: resident memory of backends serving for half an hour, records off and on.

Two backends side by side, each as `run` starts it, one without records and one with records as lines, are
served by the same kind of traffic: callers of many names that come and go with new connections, both
operations, bodies of any size, job ids never seen before, some callers gone before their answer, work of the
agent that takes from nothing to a second. Every ten seconds resident memory and descriptors of each are read
from /proc; the slope is fitted by least squares over the second half, after warm-up. At the end each backend
writes what its largest structures hold (`standins/process_audit`). `--short` serves one minute.
"""

from __future__ import annotations

import argparse
import json
import os
import signal
import statistics
import sys
import tempfile
import time
from pathlib import Path
from random import Random

import gevent

from standins.agent import Agent
from standins.caller import Link
from standins.host import ROOT, SETTINGS, Host
from standins.process_audit import SITE

WAYS = {"off": {}, "lines": {"RINGSHIFT_RECORDS": "lines"}}
EVERY = 10.0  # seconds between two readings
SENDERS = 100  # callers told to each backend, each of which sends from time to time
BODIES = [50, 500, 2048]  # bytes; the protocol allows a body up to 2 KiB and a larger one is answered 400


def resident(pid: int) -> tuple[float, int]:
    """MB resident and descriptors open, now."""
    status = Path(f"/proc/{pid}/status").read_text().splitlines()
    rss = next(int(line.split()[1]) for line in status if line.startswith("VmRSS"))
    return rss / 1024, len(os.listdir(f"/proc/{pid}/fd"))


class Quiet(Host):
    """Keeps the lines of phases and few others: a half hour of records would fill the measurer instead."""

    def read(self) -> None:
        assert self.process.stderr is not None
        self.records = 0
        for line in self.process.stderr:
            if line.startswith(b"{"):
                self.records += 1
                if b"listening on" not in line and b" -> " not in line:
                    continue
            self.lines = [*self.lines[-200:], line.decode().rstrip()]
            self.logged.set()


def callers(
    address: tuple[str, int], random: Random, rate: float, until: float, tally: dict[str, int]
) -> None:
    """An open loop of `rate` calls a second; every few dozen calls a caller leaves and a new one links."""
    link, made = Link(address), 0
    while time.monotonic() < until:
        gevent.sleep(random.expovariate(rate))
        made += 1
        if made % random.choice([20, 50, 200]) == 0 or link.broken:
            link.sock.close()
            link = Link(address)
        allow = random.choice([300, 1500, 3000])
        fields = {"HTTP_X_SENDER": str(random.randrange(SENDERS)), "HTTP_X_ALLOW_MS": str(allow)}
        patience = 0.05 if random.random() < 0.02 else 4.0  # a few callers are gone before the answer
        gevent.spawn(ask, link, random, patience, fields, tally)


def ask(link: Link, random: Random, patience: float, fields: dict[str, str], tally: dict[str, int]) -> None:
    """Tallies each call by its end: a status, or why there was none: `unsent` (no free request id on the
    link, or it was broken already), `left` (the caller closed its link with the call in flight: gone, and
    owed nothing), `gone` (a caller of 50 ms' patience gave up first), `late` (a patient caller, 4 s and
    half a second, heard nothing: the one that would be a loss)."""
    unsent = not link.free or link.broken
    answer = link.ask(
        random.choice(["look", "order"]),
        random.randbytes(random.choice(BODIES)),
        random.getrandbits(64),
        patience,
        **fields,
    )
    if answer is not None:
        key = str(answer.status)
    else:
        key = "unsent" if unsent else "left" if link.broken else "gone" if patience < 1 else "late"
    tally[key] = tally.get(key, 0) + 1


def work(random: Random) -> Agent:
    return Agent(lambda job, kind, body: (random.choice([0.0, 0.01, 0.1, 1.0]), "good", body[:100]))


def slope(readings: list[tuple[float, float]]) -> float:
    """MB an hour over the second half, by least squares."""
    half = readings[len(readings) // 2 :]
    if len(half) < 2:
        return 0.0
    return float(statistics.linear_regression([t for t, _ in half], [m for _, m in half]).slope) * 3600


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--minutes", type=float, default=30.0)
    parser.add_argument("--rate", type=float, default=150.0, help="calls a second to each backend")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--short", action="store_true")
    told = parser.parse_args()
    minutes = 1.0 if told.short else told.minutes
    random = Random(told.seed)
    folder = Path(tempfile.mkdtemp())
    hosts: dict[str, Quiet] = {}
    readings: dict[str, list[tuple[float, float]]] = {way: [] for way in WAYS}
    tallies: dict[str, dict[str, int]] = {way: {} for way in WAYS}
    run = f"exec {sys.executable} -m ringshift"
    for way, environ in WAYS.items():
        audit = {
            "PYTHONPATH": os.pathsep.join([str(SITE), str(ROOT)]),
            "RINGSHIFT_CENSUS": str(folder / way),
        }
        settings = {**SETTINGS, "extra": {**SETTINGS["extra"], "upstreams": SENDERS}}
        hosts[way] = Quiet(
            work(Random(random.getrandbits(32))), shell=run, settings=settings, environ={**environ, **audit}
        )
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(1))  # so that the backends end with it, below
    try:
        return measure(hosts, readings, tallies, folder, minutes, told, random)
    finally:
        for host in hosts.values():
            host.__exit__()  # kills a backend still running; a second call after a clean end does nothing


def measure(
    hosts: dict[str, Quiet],
    readings: dict[str, list[tuple[float, float]]],
    tallies: dict[str, dict[str, int]],
    folder: Path,
    minutes: float,
    told: argparse.Namespace,
    random: Random,
) -> int:
    start = time.monotonic()
    until = start + minutes * 60
    for way, host in hosts.items():
        host.serving()
        for _ in range(4):
            gevent.spawn(
                callers, host.address(), Random(random.getrandbits(32)), told.rate / 4, until, tallies[way]
            )
    while time.monotonic() < until:
        gevent.sleep(EVERY)
        at = time.monotonic() - start
        line = []
        for way, host in hosts.items():
            mb, fds = resident(host.process.pid)
            readings[way].append((at, mb))
            line.append(f"{way} {mb:.1f} MB {fds} fds {sum(tallies[way].values())} answered")
        print(f"{at / 60:5.1f} min: " + ", ".join(line), flush=True)
    print(f"\n{minutes:.0f} minutes, {told.rate:.0f} calls a second to each, seed {told.seed}\n")
    print(
        "| records | MB at 1 min | MB at the end | peak | slope over the second half, MB an hour | answers |"
    )
    print("| --- | --- | --- | --- | --- | --- |")
    for way in hosts:
        seen = readings[way]
        first = next((m for t, m in seen if t >= 60), seen[0][1])
        ends = ", ".join(f"{k} {v}" for k, v in sorted(tallies[way].items()))
        print(
            f"| {way} | {first:.1f} | {seen[-1][1]:.1f} | {max(m for _, m in seen):.1f} | "
            f"{slope(seen):+.2f} | {ends} |"
        )
    for way, host in hosts.items():
        host.process.send_signal(signal.SIGUSR2)
        path = folder / way
        host.line("audit written", 60)
        held = json.loads(path.read_text())
        if "error" in held:
            print(f"\n{way}: the audit failed: {held['error']}")
        else:
            print(f"\n{way}: {held['rss_kb'] / 1024:.1f} MB, {held['objects']} objects; held at the end:")
            print("| held by | holders | entries in all | most in one |\n| --- | --- | --- | --- |")
            for entry in held["largest"]:
                print(f"| `{entry['held_by']}` | {entry['holders']} | {entry['length']} | {entry['most']} |")
        host.process.send_signal(signal.SIGTERM)
        host.ended(30)
    return 0


if __name__ == "__main__":
    sys.exit(main())
