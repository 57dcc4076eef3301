"""One server's records on its disk: a store bounded in bytes, the oldest dropped first, the loss told in it.

SQLite in WAL mode: weighed against lmdb and duckdb in docs/records.md. All of it is done by the carrier's
thread; what goes wrong is a text for the server to say, never an exception, and the server serves on.
"""

from __future__ import annotations

import contextlib
import os
import re
import sqlite3
from pathlib import Path

import orjson

from ringshift.records.schema import VERSION, Dropped
from ringshift.store.carriers import MOST_WAITING, Item, Queued

TABLE = """CREATE TABLE IF NOT EXISTS records (
    id INTEGER PRIMARY KEY, run TEXT NOT NULL, seq INTEGER NOT NULL, at INTEGER NOT NULL,
    data BLOB NOT NULL)"""
CUT = 8  # an eighth of the records goes at once: making room costs as much as writing, so not for each one
AT_ONCE = 200  # records in one transaction: what the store may be over its bound
APPLICATION = 0x72736864  # "rshd", by which a file tells that it is ours


def file_name(server: str) -> str:
    """Of any server's name, and never out of the folder."""
    safe = re.sub(r"[^A-Za-z0-9._-]", "_", server)[:100].lstrip(".") or "_"
    return safe if safe == server else f"{safe}-{server.encode().hex()[:16]}"


class Ring(Queued):
    def __init__(self, folder: str, server: str, most: int, queue: int = MOST_WAITING) -> None:
        self.path, self.bytes, self.server = Path(folder, file_name(server) + ".db"), most, server
        self.db: sqlite3.Connection | None = None
        self.kept_back: list[Item] = []  # what the last write did not take
        self.missing = 0
        super().__init__("records-store", queue)

    def open(self) -> sqlite3.Connection:
        self.path.parent.mkdir(parents=True, exist_ok=True)
        if self.path.is_symlink():
            raise OSError(f"{self.path} is a link")
        db = sqlite3.connect(self.path, timeout=1.0, isolation_level=None, check_same_thread=False)
        try:
            os.chmod(self.path, 0o600)
            db.execute("PRAGMA journal_mode=WAL")
            # A power cut may cost the last second, never the file; each record fsynced would cost the disk.
            db.execute("PRAGMA synchronous=NORMAL")
            db.execute("PRAGMA journal_size_limit=1048576")
            db.execute(f"PRAGMA application_id={APPLICATION}")
            db.execute(f"PRAGMA user_version={VERSION}")
            db.execute(TABLE)
        except BaseException:
            db.close()
            raise
        return db

    def write(self, batch: list[Item]) -> None:
        """What can't be written is kept under the queue's bound and tried with the next batch."""
        self.kept_back += batch
        over = len(self.kept_back) - self.most
        if over > 0:
            run, last, at, data = self.kept_back[over]
            oldest = orjson.loads(self.kept_back[0][3])
            first = oldest["body"]["first"] if oldest["kind"] == "dropped" else oldest["seq"]
            gap = orjson.loads(data) | {"kind": "dropped"}
            gap["body"] = Dropped(last - first + 1, first, "not written")
            self.kept_back[: over + 1] = [(run, last, at, orjson.dumps(gap))]
            self.lost += over + 1
        try:
            self.db = self.db or self.open()
            while self.kept_back:
                self.insert(self.db, self.kept_back[:AT_ONCE])
                del self.kept_back[:AT_ONCE]
                self.make_room(self.db)
        except sqlite3.DatabaseError as wrong:
            self.trouble = f"records can't be kept in {self.path}: {wrong}"
            self.close_db()
            if (
                type(wrong) is sqlite3.DatabaseError
            ):  # the file's content itself; the others are its subclasses
                self.set_aside()
        except OSError as wrong:
            self.trouble = f"records can't be kept in {self.path}: {wrong.strerror or wrong}"
            self.close_db()

    @staticmethod
    def insert(db: sqlite3.Connection, items: list[Item]) -> None:
        db.execute("BEGIN IMMEDIATE")
        try:
            db.executemany("INSERT INTO records (run, seq, at, data) VALUES (?, ?, ?, ?)", items)
            db.execute("COMMIT")
        except BaseException:
            if db.in_transaction:
                db.execute("ROLLBACK")
            raise

    def used(self, db: sqlite3.Connection) -> int:
        pages, free, size = (
            int(db.execute(f"PRAGMA {word}").fetchone()[0])
            for word in ("page_count", "freelist_count", "page_size")
        )
        return (pages - free) * size

    def make_room(self, db: sqlite3.Connection) -> None:
        """Of each run that loses records one `dropped` stays in the place of its last lost one."""
        while self.used(db) > self.bytes:
            (count,) = db.execute("SELECT count(*) FROM records").fetchone()
            if count < 2 * CUT:
                return
            sql = "SELECT id FROM records ORDER BY id LIMIT 1 OFFSET ?"
            (upto,) = db.execute(sql, (count // CUT,)).fetchone()
            sql = "SELECT min(id), max(id), count(*) FROM records WHERE id <= ? GROUP BY run"
            lost = db.execute(sql, (upto,)).fetchall()
            db.execute("BEGIN IMMEDIATE")
            if len(lost) > count // CUT:
                # Runs that ended long ago, of which nothing but that is left: theirs go without a word.
                db.execute("DELETE FROM records WHERE id < ?", (upto,))
                lost = []
            for first_id, last_id, some in lost:
                if some > 1:
                    self.fold(db, first_id, last_id)
            db.execute("COMMIT")

    @staticmethod
    def fold(db: sqlite3.Connection, first_id: int, last_id: int) -> None:
        """All of one run from one id to another become one record that tells of them."""
        sql = "SELECT data FROM records WHERE id = ?"
        oldest, newest = (orjson.loads(db.execute(sql, (one,)).fetchone()[0]) for one in (first_id, last_id))
        first = oldest["body"]["first"] if oldest["kind"] == "dropped" else oldest["seq"]
        last = newest["seq"]
        newest |= {"kind": "dropped", "body": Dropped(last - first + 1, first, "store full")}
        db.execute("DELETE FROM records WHERE run = ? AND id < ?", (newest["run"], last_id))
        db.execute("UPDATE records SET data = ? WHERE id = ?", (orjson.dumps(newest), last_id))

    def set_aside(self) -> None:
        """A file that is no store of ours any more is kept beside, the last such one, and a new one begun."""
        for end in ("", "-wal", "-shm"):
            old = Path(f"{self.path}{end}")
            try:
                os.replace(old, f"{self.path}.broken{end}")
            except OSError:
                continue

    def close_db(self) -> None:
        if self.db is not None:
            with contextlib.suppress(sqlite3.Error):
                self.db.close()
            self.db = None

    def finish(self) -> None:
        self.close_db()
