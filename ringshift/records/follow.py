"""New records as they come: tails of line files and of servers' stores. Polled; a poll never waits."""

from __future__ import annotations

import sqlite3
from pathlib import Path

from ringshift.records.gather import SQLITE, sources
from ringshift.records.schema import MOST_BYTES, Record
from ringshift.records.text import TextLog
from ringshift.store.reader import read

AT_ONCE = 4 * 1024 * 1024  # bytes of one file in one poll, so that a large one does not hold up the others
ROWS_AT_ONCE = 5000


class Tail:
    """A file of lines that is written on, replaced or cut short."""

    def __init__(self, path: Path) -> None:
        self.path, self.offset, self.rest, self.log = path, 0, b"", TextLog()

    def poll(self) -> list[Record]:
        try:
            size = self.path.stat().st_size
            if size < self.offset:
                self.offset, self.rest, self.log = 0, b"", TextLog()
            if size == self.offset:
                return []
            with self.path.open("rb") as file:
                file.seek(self.offset)
                data = file.read(AT_ONCE)
        except OSError:
            return []
        self.offset += len(data)
        *lines, self.rest = (self.rest + data).split(b"\n")
        self.rest = self.rest[-MOST_BYTES:]
        found: list[Record] = []
        for line in lines:
            start = line.find(b'{"ringshift"')
            if start >= 0:
                one = read(line[start:])
                found += [one] if isinstance(one, Record) else []
            else:
                found += self.log.read(line.decode("utf-8", "replace").rstrip("\r")) or []
        return found


class Rows:
    """A server's store, read while it is written."""

    def __init__(self, path: Path) -> None:
        self.path, self.last = path, 0

    def poll(self) -> list[Record]:
        found: list[Record] = []
        try:
            db = sqlite3.connect(f"file:{self.path}?mode=ro", uri=True, timeout=0.05)
            try:
                sql = "SELECT id, data FROM records WHERE id > ? ORDER BY id LIMIT ?"
                for last, data in db.execute(sql, (self.last, ROWS_AT_ONCE)):
                    self.last = last
                    one = read(data)
                    found += [one] if isinstance(one, Record) else []
            finally:
                db.close()
        except sqlite3.Error:
            pass  # it is being made, or made anew: the next poll sees it
        return found


class Follower:
    """Files and folders; what appears in a folder later is followed as well."""

    def __init__(self, paths: list[str]) -> None:
        self.paths = paths
        self.followed: dict[Path, Tail | Rows] = {}

    def poll(self) -> list[Record]:
        for path in sources(self.paths):
            if path not in self.followed and path.is_file():
                with path.open("rb") as file:
                    store = file.read(len(SQLITE)) == SQLITE
                self.followed[path] = Rows(path) if store else Tail(path)
        return [record for one in self.followed.values() for record in one.poll()]
