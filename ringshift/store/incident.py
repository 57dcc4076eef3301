"""An incident's store: the records of many servers in one SQLite file, with what was refused and why."""

from __future__ import annotations

import sqlite3
from collections.abc import Iterable, Iterator
from contextlib import suppress
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from ringshift.machine import Malformed
from ringshift.records.schema import Record
from ringshift.store.reader import Refusal, read

APPLICATION, VERSION = 0x72736869, 1  # "rshi"
TABLES = """
CREATE TABLE IF NOT EXISTS records (
    server TEXT NOT NULL, run TEXT NOT NULL, seq INTEGER NOT NULL, at INTEGER NOT NULL, data BLOB NOT NULL,
    PRIMARY KEY (server, run, seq)) WITHOUT ROWID;
CREATE TABLE IF NOT EXISTS sources (
    path TEXT PRIMARY KEY, taken INTEGER NOT NULL, again INTEGER NOT NULL, refused INTEGER NOT NULL);
CREATE TABLE IF NOT EXISTS refusals (
    path TEXT NOT NULL, place INTEGER NOT NULL, kind TEXT NOT NULL, why TEXT NOT NULL);
CREATE TABLE IF NOT EXISTS digests (
    server TEXT NOT NULL, run TEXT NOT NULL, making TEXT NOT NULL, data BLOB NOT NULL,
    PRIMARY KEY (server, run));
"""
MOST_REFUSALS = 200  # told one by one for each source; beyond that they are counted only


@dataclass(frozen=True, slots=True)
class Source:
    path: str
    taken: int
    again: int
    """Duplicates of records that were there."""
    refused: int


def is_incident(path: Path) -> bool:
    """Told by the number that SQLite files carry at byte 68 for whose they are."""
    try:
        with path.open("rb") as file:
            head = file.read(72)
    except OSError:
        return False
    return head.startswith(b"SQLite format 3") and head[68:72] == APPLICATION.to_bytes(4, "big")


class Incident:
    """Raises Malformed where the file is none, in one line that names it."""

    def __init__(self, path: str | Path, create: bool = False) -> None:
        self.path = Path(path)
        if not create and not self.path.is_file():
            raise Malformed(f"{self.path}: no such file")
        try:
            self.db = sqlite3.connect(self.path, isolation_level=None)
            words = ("application_id", "user_version")
            found = [self.db.execute(f"PRAGMA {word}").fetchone()[0] for word in words]
            empty = not self.db.execute("SELECT count(*) FROM sqlite_master").fetchone()[0]
            if empty and create:
                self.db.execute(f"PRAGMA application_id={APPLICATION}")
                self.db.execute(f"PRAGMA user_version={VERSION}")
                self.db.executescript(TABLES)
            elif found[0] != APPLICATION:
                raise Malformed(f"{self.path}: no incident store; make one by `ringshift records gather`")
            elif found[1] != VERSION:
                raise Malformed(f"{self.path}: version {found[1]} of the store, this program reads {VERSION}")
            self.db.execute("PRAGMA synchronous=OFF")  # it can be gathered again
            self.db.execute("PRAGMA cache_size=-65536")
        except sqlite3.Error as wrong:
            raise Malformed(f"{self.path}: {wrong}") from None

    def close(self) -> None:
        self.db.close()

    def take(self, path: str, found: Iterable[tuple[int, bytes, Record | Refusal]]) -> Source:
        """Of one source: the place, the bytes and what they were read as."""
        counts = {"taken": 0, "again": 0, "refused": 0}
        self.db.execute("BEGIN")
        self.db.execute("DELETE FROM refusals WHERE path = ?", (path,))
        for place, data, one in found:
            told = self.add(one, data) if isinstance(one, Record) else one
            if isinstance(told, Refusal):
                counts["refused"] += 1
                if counts["refused"] <= MOST_REFUSALS:
                    row = path, place, told.kind, told.why[:500]
                    self.db.execute("INSERT INTO refusals VALUES (?, ?, ?, ?)", row)
            else:
                counts["taken" if told else "again"] += 1
        source = Source(path, **counts)
        self.db.execute(
            "INSERT OR REPLACE INTO sources VALUES (?, ?, ?, ?)",
            (path, source.taken, source.again, source.refused),
        )
        self.db.execute("COMMIT")
        return source

    def add(self, record: Record, data: bytes) -> bool | Refusal:
        """True where it is new, False where it was there, a refusal where another stands in its place."""
        key = record.server, record.run, record.seq
        try:
            self.db.execute("INSERT INTO records VALUES (?, ?, ?, ?, ?)", (*key, record.at, data))
            return True
        except sqlite3.IntegrityError:
            pass
        sql = "SELECT data FROM records WHERE server = ? AND run = ? AND seq = ?"
        (old,) = self.db.execute(sql, key).fetchone()
        if old == data:
            return False
        before = read(old)
        if isinstance(before, Record) and before == record:
            return False
        if isinstance(before, Record) and before.kind == "dropped" and record.kind != "dropped":
            # Another carrier still has what this one lost.
            self.db.execute(
                "UPDATE records SET at = ?, data = ? WHERE server = ? AND run = ? AND seq = ?",
                (record.at, data, *key),
            )
            return True
        if record.kind == "dropped":
            return False
        return Refusal("conflict", f"{record.ref} stands there with other content")

    def runs(self) -> list[tuple[str, str, int, int]]:
        """server, run, its first time by its own clock, how many records."""
        sql = (
            "SELECT server, run, min(at), count(*) FROM records GROUP BY server, run ORDER BY server, min(at)"
        )
        return [
            (server, run, at, count) for server, run, at, count in self.guarded(sql, (str, str, int, int))
        ]

    def records(self, server: str, run: str) -> Iterator[Record]:
        """Of one run, in the order they were written."""
        sql = "SELECT data FROM records WHERE server = ? AND run = ? ORDER BY seq"
        for (data,) in self.guarded(sql, (bytes,), server, run):
            one = read(data)
            if isinstance(one, Record):
                yield one

    def kept_digest(self, server: str, run: str, making: str) -> bytes | None:
        """What was made of a run's records before, unless they or the making have changed since."""
        sql = "SELECT data FROM digests WHERE server = ? AND run = ? AND making = ?"
        return next((data for (data,) in self.guarded(sql, (bytes,), server, run, making)), None)

    def keep_digest(self, server: str, run: str, making: str, data: bytes) -> None:
        """Left out where the store can't be written: it can be made again."""
        with suppress(sqlite3.Error):
            self.db.execute("INSERT OR REPLACE INTO digests VALUES (?, ?, ?, ?)", (server, run, making, data))

    def sources(self) -> list[Source]:
        return [
            Source(*row) for row in self.guarded("SELECT * FROM sources ORDER BY path", (str, int, int, int))
        ]

    def refusals(self) -> list[tuple[str, int, str, str]]:
        sql = "SELECT path, place, kind, why FROM refusals ORDER BY path, place"
        return [
            (path, place, kind, why) for path, place, kind, why in self.guarded(sql, (str, int, str, str))
        ]

    def guarded(self, sql: str, types: tuple[type, ...], *values: object) -> Iterator[tuple[Any, ...]]:
        """A store cut short or changed ends with the line that says so, not with a trace; its rows may then
        hold anything in any place."""
        try:
            for row in self.db.execute(sql, values):
                if not all(isinstance(value, kind) for value, kind in zip(row, types, strict=True)):
                    raise Malformed(f"{self.path}: a row that is none; gather it anew")
                yield row
        except (sqlite3.Error, UnicodeDecodeError, OverflowError) as wrong:
            raise Malformed(f"{self.path}: {wrong}; gather it anew") from None
