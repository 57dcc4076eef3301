"""A portion of one source at a time, for a gathering that goes on where another left
(ringshift/fleet/gathering.py).

`look` tells what a source is and holds, `portion` reads one piece of it. Lines without their end yet are left
for a later look. Raises OSError where a source can't be read.
"""

from __future__ import annotations

import io
import sqlite3
from contextlib import closing
from hashlib import blake2b
from pathlib import Path

from ringshift.fleet.gathering import Kind, Portion, Seen
from ringshift.records.gather import SQLITE, read_lines
from ringshift.records.schema import MOST_BYTES
from ringshift.store.reader import Read, Refusal, read

HEAD = 256  # bytes at a file's start by which a replaced one is known
SNIFFED = 4096  # bytes in which every line is a record for a file to be read by portions
MOST_TEXT = 16 * 1024 * 1024  # bytes of a text log: it is read whole, and a step must stay short
MARK = b'{"ringshift"'


def rows(path: str) -> sqlite3.Connection:
    return sqlite3.connect(f"file:{path}?mode=ro", uri=True, timeout=0.2)


def look(path: Path) -> Seen:
    name = str(path)
    try:
        with path.open("rb") as file:
            start = file.read(SNIFFED)
        size = path.stat().st_size
        if start.startswith(SQLITE):
            with closing(rows(name)) as db:
                (last,) = db.execute("SELECT coalesce(max(id), 0) FROM records").fetchone()
            return Seen(name, Kind.ROWS, last)
    except (OSError, sqlite3.Error) as wrong:
        return Seen(name, trouble=str(wrong))
    whole = start.split(b"\n")[: -1 if size > len(start) or not start.endswith(b"\n") else None]
    kind = Kind.LINES if all(MARK in line for line in whole if line) else Kind.TEXT
    if kind is Kind.TEXT and size > MOST_TEXT:
        told = f"a text log over {MOST_TEXT} bytes: `ringshift records gather` takes it"
        return Seen(name, kind, trouble=told)
    head = blake2b(start[:HEAD], digest_size=8).hexdigest() if len(start) >= HEAD else ""
    return Seen(name, kind, size, head)


def portion(wanted: Portion) -> Read:
    if wanted.kind is Kind.ROWS:
        return of_store(wanted)
    with open(wanted.path, "rb") as file:
        file.seek(wanted.place)
        data = file.read(wanted.most)
    if wanted.kind is Kind.TEXT:
        return Read(len(data), list(read_lines(io.BytesIO(data))))
    whole = data[: data.rfind(b"\n") + 1]
    if not whole and len(data) > MOST_BYTES:
        # Longer than any record of ours: passed over, a piece at a time.
        refusal = Refusal("too long", f"over {MOST_BYTES} bytes")
        return Read(wanted.place + len(data), [(wanted.place, b"", refusal)])
    told = Read(wanted.place + len(whole))
    at = wanted.place
    for line in whole.splitlines(keepends=True):
        bare = line.rstrip(b"\r\n")
        start = bare.find(MARK)
        if start >= 0:
            told.found.append((at, bare[start:], read(bare[start:])))
        elif bare:
            text = bare[:60].decode("utf-8", "replace")
            told.found.append((at, b"", Refusal("not a record", f"among records: {text!r}")))
        at += len(line)
    return told


def of_store(wanted: Portion) -> Read:
    told = Read(wanted.place)
    try:
        with closing(rows(wanted.path)) as db:
            sql = "SELECT id, data FROM records WHERE id > ? ORDER BY id LIMIT ?"
            for place, data in db.execute(sql, (wanted.place, wanted.most)):
                line = data if isinstance(data, bytes) else b""
                told.found.append((place, line, read(line)))
                told.reached = place
    except sqlite3.Error as wrong:
        raise OSError(f"{wanted.path}: {wrong}") from None
    return told
