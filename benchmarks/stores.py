"""`python -m benchmarks.stores`: embedded stores for a server's records, by what a heartbeat a second costs.

Each store takes the same records, a few in one transaction as in service, each transaction durable against a
crash of the process. Told: time of a transaction, size on disk, time to read all back, and what is left whole
after the writer is killed. Needs the extra `bench`.
"""

from __future__ import annotations

import argparse
import os
import signal
import sqlite3
import statistics
import subprocess
import sys
import tempfile
import time
from collections.abc import Callable, Iterable
from pathlib import Path
from typing import Any

from ringshift.store.reader import write
from standins.scripted import Script

STORES = ("sqlite3", "lmdb", "duckdb")
Put = Callable[[list[tuple[int, bytes]]], None]


def opened(kind: str, folder: Path) -> tuple[Put, Callable[[], int]]:
    """A writer of one transaction, and a reader of all that counts what is there."""
    if kind == "sqlite3":
        db = sqlite3.connect(folder / "store", isolation_level=None)
        db.execute("PRAGMA journal_mode=WAL")
        db.execute("PRAGMA synchronous=NORMAL")
        db.execute("CREATE TABLE IF NOT EXISTS records (id INTEGER PRIMARY KEY, data BLOB NOT NULL)")

        def put(rows: list[tuple[int, bytes]]) -> None:
            db.execute("BEGIN")
            db.executemany("INSERT INTO records VALUES (?, ?)", rows)
            db.execute("COMMIT")

        return put, lambda: len(db.execute("SELECT data FROM records ORDER BY id").fetchall())
    if kind == "lmdb":
        import lmdb  # type: ignore[import-not-found, unused-ignore]

        env: Any = lmdb.open(str(folder), map_size=2**30, sync=False)

        def put_pairs(rows: list[tuple[int, bytes]]) -> None:
            with env.begin(write=True) as txn:
                for key, data in rows:
                    txn.put(key.to_bytes(8, "big"), data)

        def count() -> int:
            with env.begin() as txn:
                return sum(1 for _ in txn.cursor())

        return put_pairs, count
    import duckdb  # type: ignore[import-not-found, unused-ignore]

    con: Any = duckdb.connect(str(folder / "store"))
    con.execute("CREATE TABLE IF NOT EXISTS records (id BIGINT, data BLOB)")

    def insert(rows: list[tuple[int, bytes]]) -> None:
        con.execute("BEGIN")
        con.executemany("INSERT INTO records VALUES (?, ?)", rows)
        con.execute("COMMIT")

    return insert, lambda: len(con.execute("SELECT data FROM records ORDER BY id").fetchall())


def rows(count: int) -> list[bytes]:
    some = [write(record) for record in Script(1, servers=1, seconds=120, observer=False).everything()]
    return [some[index % len(some)] for index in range(count)]


def batches(data: list[bytes], size: int) -> Iterable[list[tuple[int, bytes]]]:
    for start in range(0, len(data), size):
        yield list(enumerate(data[start : start + size], start))


def killed(kind: str, folder: Path) -> str:
    """A writer killed at some moment: whether what it had finished is whole and there."""
    code = (
        f"from benchmarks.stores import opened, batches, rows; from pathlib import Path; import sys\n"
        f"put, _ = opened({kind!r}, Path({str(folder)!r}))\n"
        "for batch in batches(rows(100000), 2):\n"
        "    put(batch); sys.stdout.write(str(batch[-1][0]) + '\\n'); sys.stdout.flush()\n"
    )
    writer = subprocess.Popen([sys.executable, "-c", code], stdout=subprocess.PIPE, text=True)
    assert writer.stdout is not None
    last = -1
    for line in writer.stdout:
        last = int(line)
        if last > 400:
            break
    os.kill(writer.pid, signal.SIGKILL)
    last = max([last, *(int(line) for line in writer.stdout.read().split())])
    writer.wait()
    there = opened(kind, folder)[1]()
    return "whole" if there > last else f"{last + 1 - there} lost"


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--records", type=int, default=20_000)
    parser.add_argument("--short", action="store_true")
    told = parser.parse_args()
    data = rows(1000 if told.short else told.records)
    print("| store | a transaction of 2, us: median, 99% | bytes a record | read all, ms | after a kill |")
    print("| --- | --- | --- | --- | --- |")
    for kind in STORES:
        with tempfile.TemporaryDirectory() as name:
            folder = Path(name)
            try:
                put, count = opened(kind, folder)
            except ImportError:
                print(f"| {kind} | not installed | | | |")
                continue
            took = []
            for batch in batches(data, 2):
                began = time.perf_counter()
                put(batch)
                took.append((time.perf_counter() - began) * 1e6)
            size = sum(one.stat().st_blocks * 512 for one in folder.iterdir())
            began = time.perf_counter()
            assert count() == len(data)
            read = (time.perf_counter() - began) * 1000
            after = folder / "killed"
            after.mkdir()
            took.sort()
            print(
                f"| {kind} | {statistics.median(took):.0f}, {took[len(took) * 99 // 100]:.0f} | "
                f"{size / len(data):.0f} | {read:.0f} | {killed(kind, after)} |",
                flush=True,
            )
    return 0


if __name__ == "__main__":
    sys.exit(main())
