"""An incident store as a fleet task's guarded resource: records, the task's progress and its token in one
step.

A portion's records, how far its source is taken, the step's number and the token go into one transaction, so
a holder killed at any moment leaves all of them or none, and a successor reads where to go on. The fence
(ringshift/fleet/fence.py) is asked inside the transaction, under the store's write lock, and the holder's
last look at its clock (`may`) comes right before the commit.
"""

from __future__ import annotations

import sqlite3
from collections.abc import Callable
from dataclasses import dataclass

from ringshift.fleet.fence import Fence
from ringshift.fleet.gathering import Portion
from ringshift.records.schema import Record
from ringshift.store.incident import MOST_REFUSALS, Incident
from ringshift.store.reader import Read, Refusal

TABLES = """
CREATE TABLE IF NOT EXISTS fences (task TEXT PRIMARY KEY, token INTEGER NOT NULL, step INTEGER NOT NULL);
CREATE TABLE IF NOT EXISTS places (
    task TEXT NOT NULL, path TEXT NOT NULL, place INTEGER NOT NULL, head TEXT NOT NULL,
    PRIMARY KEY (task, path));
"""
BUSY = 1.0  # seconds to wait for another holder's transaction; a step takes some milliseconds


@dataclass(frozen=True)
class Told:
    accepted: bool
    step: int
    """The last step that the store holds."""
    token: int
    """The highest token that it has seen."""


class FencedStore:
    """Raises Malformed where the file is no incident store, OSError where it can't be written now."""

    def __init__(self, path: str) -> None:
        self.incident = Incident(path, create=True)
        self.db = self.incident.db
        self.db.execute(f"PRAGMA busy_timeout={int(BUSY * 1000)}")
        self.db.executescript(TABLES)

    def close(self) -> None:
        self.incident.close()

    def fence(self, task: str) -> Fence:
        row = self.db.execute("SELECT token, step FROM fences WHERE task = ?", (task,)).fetchone()
        return Fence(*row) if row else Fence()

    def progress(self, task: str) -> tuple[int, list[tuple[str, int, str]]]:
        """The last step accepted, and how far each source is taken: path, place, head."""
        try:
            rows = self.db.execute("SELECT path, place, head FROM places WHERE task = ?", (task,)).fetchall()
            return self.fence(task).step, rows
        except sqlite3.Error as wrong:
            raise OSError(f"{self.incident.path}: {wrong}") from None

    def take(
        self, task: str, token: int, step: int, portion: Portion, read: Read, may: Callable[[], bool]
    ) -> Told | None:
        """One step. None where `may` said no at the last look: nothing was written."""
        try:
            self.db.execute("BEGIN IMMEDIATE")
        except sqlite3.Error as wrong:
            raise OSError(f"{self.incident.path}: {wrong}") from None
        try:
            fence = self.fence(task)
            if not fence.admit(token, step):
                self.db.execute("ROLLBACK")
                return Told(False, fence.step, fence.highest)
            self.add(portion.path, read)
            self.db.execute("INSERT OR REPLACE INTO fences VALUES (?, ?, ?)", (task, token, step))
            row = (task, portion.path, read.reached, portion.head)
            self.db.execute("INSERT OR REPLACE INTO places VALUES (?, ?, ?, ?)", row)
            if not may():
                self.db.execute("ROLLBACK")
                return None
            self.db.execute("COMMIT")
            return Told(True, step, token)
        except sqlite3.Error as wrong:
            if self.db.in_transaction:
                self.db.execute("ROLLBACK")
            raise OSError(f"{self.incident.path}: {wrong}") from None

    def add(self, path: str, read: Read) -> None:
        counts = {"taken": 0, "again": 0, "refused": 0}
        known = self.db.execute("SELECT refused FROM sources WHERE path = ?", (path,)).fetchone()
        refused = known[0] if known else 0
        for place, data, one in read.found:
            told = self.incident.add(one, data) if isinstance(one, Record) else one
            if isinstance(told, Refusal):
                counts["refused"] += 1
                if refused + counts["refused"] <= MOST_REFUSALS:
                    row = path, place, told.kind, told.why[:500]
                    self.db.execute("INSERT INTO refusals VALUES (?, ?, ?, ?)", row)
            else:
                counts["taken" if told else "again"] += 1
        self.db.execute(
            "INSERT INTO sources VALUES (?, ?, ?, ?) ON CONFLICT (path) DO UPDATE SET "
            "taken = taken + excluded.taken, again = again + excluded.again, "
            "refused = refused + excluded.refused",
            (path, *counts.values()),
        )
