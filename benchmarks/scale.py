"""`python -m benchmarks.scale`: the report of a day of 300 servers, its time, memory and size.

Server days are made second by second by `standins.scripted` and read by the true digester, in processes side
by side; a few of them stand for all, under other names and clocks, as making 26 million heartbeats takes an
hour. Told beside it: how fast lines are gathered, by which a day's gathering can be reckoned. `--short` is 20
minutes of 12 servers.
"""

from __future__ import annotations

import argparse
import resource
import sys
import tempfile
import time
from concurrent.futures import ProcessPoolExecutor
from dataclasses import replace
from pathlib import Path
from random import Random

import msgspec

from ringshift.console.board import LiveBoard
from ringshift.findings.digest import Digest, Digester
from ringshift.records.gather import read_source
from ringshift.report.analyse import analyse, digests
from ringshift.report.page import render
from ringshift.store.incident import Incident
from ringshift.store.reader import write
from standins.scripted import S, Script, Trouble


def script(seed: int, seconds: float) -> Script:
    """A day with a rush in it: shedding for an hour, some slow, some gone and back."""
    random = Random(seed)
    rush = seconds * 0.4
    troubles = [Trouble("shed", "n1", rush + random.uniform(0, 20), rush + seconds / 24)]
    kind = random.choice(["slow", "hung", "pause", "vanish", "drain", "gap", "cold"])
    at = random.uniform(60, seconds - 60)
    troubles.append(Trouble(kind, "n1", at, at + random.uniform(10, 30)))
    return Script(seed, servers=1, seconds=seconds, rate=60.0, troubles=troubles, observer=False).skewed()


def day(seed: int, seconds: float) -> list[bytes]:
    by_run: dict[str, Digester] = {}
    for record in script(seed, seconds).records("n1"):
        by_run.setdefault(record.run, Digester("n1", record.run)).hear(record)
    return [msgspec.msgpack.encode(one.finish()) for one in by_run.values()]


def renamed(digest: Digest, server: str, ahead: int) -> Digest:
    return replace(
        digest,
        server=server,
        wall=digest.wall + ahead,
        wall_end=digest.wall_end + ahead,
        stamps=[(c, w, v + ahead, up) for c, w, v, up in digest.stamps],
    )


def gather_rate(folder: Path) -> tuple[float, float]:
    """Records a second taken from lines, and read into digests."""
    path = folder / "n1.log"
    with path.open("wb") as file:
        for record in Script(1, servers=1, seconds=20_000, observer=False).everything():
            file.write(write(record) + b"\n")
    store = Incident(folder / "rate.db", create=True)
    began = time.perf_counter()
    source = store.take(str(path), read_source(path))
    taken = source.taken / (time.perf_counter() - began)
    began = time.perf_counter()
    digests(store)
    return taken, source.taken / (time.perf_counter() - began)


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--servers", type=int, default=300)
    parser.add_argument("--hours", type=float, default=24.0)
    parser.add_argument("--made", type=int, default=24, help="how many server days are made")
    parser.add_argument("--short", action="store_true")
    told = parser.parse_args()
    servers, seconds, made = told.servers, told.hours * 3600, told.made
    if told.short:
        servers, seconds, made = 12, 1200.0, 2
    began = time.perf_counter()
    with ProcessPoolExecutor() as pool:
        days = list(pool.map(day, range(made), [seconds] * made))
    print(f"{made} server days made and digested in {time.perf_counter() - began:.0f} s", flush=True)
    with tempfile.TemporaryDirectory() as name:
        folder, random = Path(name), Random(7)
        store = Incident(folder / "day.db", create=True)
        for index in range(servers):
            ahead = round(random.uniform(-3, 3) * S)
            for data in days[index % made]:
                digest = renamed(msgspec.msgpack.decode(data, type=Digest), f"n{index:03}", ahead)
                store.keep_digest(digest.server, digest.run, "made", msgspec.msgpack.encode(digest))
        del days
        began = time.perf_counter()
        rows = store.db.execute("SELECT data FROM digests")
        found = [msgspec.msgpack.decode(data, type=Digest) for (data,) in rows]
        analysis = analyse(found)
        analysed = time.perf_counter() - began
        page = render(analysis, "day", store.sources(), store.refusals())
        whole = time.perf_counter() - began
        peak = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024
        findings = len(analysis.verdict.findings)
        print(f"{servers} servers, {seconds / 3600:.1f} h: analysed in {analysed:.1f} s, page {whole:.1f} s")
        print(f"{len(page) / 1e6:.2f} MB, {findings} findings, peak memory {peak:.0f} MB")
        taken, read = gather_rate(folder)
        beats = servers * seconds
        print(f"gathering takes {taken:.0f} records a second, digesting {read:.0f}; all of these servers ")
        print(f"hold {beats / 1e6:.1f} million heartbeats, {beats * (1 / taken + 1 / read) / 60:.0f} min")
    live(servers, 30.0 if told.short else 120.0)
    return 0


def live(servers: int, seconds: float) -> None:
    """What following such a fleet costs the console."""
    script = Script(4, servers=servers, seconds=seconds, callers=1)
    records = sorted(script.everything(), key=lambda one: getattr(one, "up_true", 0))
    board, marks = LiveBoard(), [time.perf_counter()]
    board.hear(records, 0)
    marks.append(time.perf_counter())
    board.rows(S)
    marks.append(time.perf_counter())
    taken = board.snapshot()
    marks.append(time.perf_counter())
    board.judge(taken)
    marks.append(time.perf_counter())
    heard, rows, copied, judged = (1000 * (b - a) for a, b in zip(marks, marks[1:], strict=False))
    print(
        f"live: {len(records)} records, {1000 * heard / len(records):.0f} us each; all rows {rows:.0f} ms, "
    )
    print(f"a copy {copied:.0f} ms, findings {judged:.0f} ms")


if __name__ == "__main__":
    sys.exit(main())
