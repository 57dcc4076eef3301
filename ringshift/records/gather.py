"""From a server's carriers to records: JSON lines, text logs, stores, in any mixture and state."""

from __future__ import annotations

import shutil
import sqlite3
import tempfile
from collections.abc import Iterable, Iterator
from pathlib import Path
from typing import BinaryIO

from ringshift.records.schema import MOST_BYTES
from ringshift.records.text import TextLog
from ringshift.store.reader import Found, Refusal, read, write

SQLITE = b"SQLite format 3\0"
ENDS = {".log", ".jsonl", ".json", ".txt", ".err", ".db", ""}


def sources(paths: Iterable[str]) -> list[Path]:
    """Files as they are, folders by what lies in them; a store's own companions are left out."""
    found: list[Path] = []
    for path in map(Path, paths):
        if path.is_dir():
            found += sorted(one for one in path.rglob("*") if one.is_file() and one.suffix in ENDS)
        else:
            found.append(path)
    return found


def lines(file: BinaryIO) -> Iterator[tuple[int, bytes, bool]]:
    """Number, bytes without their end, whether the end was there. What is longer than any record is cut."""
    number = 0
    while True:
        line = file.readline(MOST_BYTES + 2)
        if not line:
            return
        number += 1
        whole = line.endswith(b"\n")
        while not whole and len(line) > MOST_BYTES:
            rest = file.readline(MOST_BYTES)
            if not rest or rest.endswith(b"\n"):
                whole = bool(rest)
                break
        yield number, line.rstrip(b"\r\n"), whole


def read_lines(file: BinaryIO) -> Iterator[Found]:
    log = TextLog()
    for number, line, whole in lines(file):
        if not line:
            continue
        start = line.find(b'{"ringshift"')
        if line[:1] == b"{" or start >= 0:
            # A platform may put words of its own before each line that it keeps.
            line = line[max(start, 0) :]
            one = read(line)
            if isinstance(one, Refusal) and not whole:
                one = Refusal("cut short", f"the last line has no end: {one.why}")
            yield number, line, one
            continue
        text = line.decode("utf-8", "replace")
        told = log.read(text)
        if told is None:
            yield number, b"", Refusal("not a record", f"no line of ours: {text[:60]!r}")
            continue
        for record in told:
            yield number, write(record), record


def read_store(path: Path) -> Iterator[Found]:
    """Of a copy, as a store that was in use has its newest rows in the file beside it. Of a broken one as
    much as can be read."""
    with tempfile.TemporaryDirectory() as folder:
        copy = Path(folder, "store.db")
        shutil.copyfile(path, copy)
        wal = Path(f"{path}-wal")
        if wal.is_file():
            shutil.copyfile(wal, f"{copy}-wal")
        db = sqlite3.connect(copy)
        db.text_factory = bytes
        place = 0
        try:
            for (data,) in db.execute("SELECT data FROM records ORDER BY id"):
                place += 1
                line = data if isinstance(data, bytes) else b""
                yield place, line, read(line)
        except sqlite3.Error as wrong:
            yield place + 1, b"", Refusal("broken store", f"after {place} records: {wrong}")
        finally:
            db.close()


def read_source(path: Path) -> Iterator[Found]:
    """Raises nothing: a source that can't be read is one refusal."""
    try:
        with path.open("rb") as file:
            store = file.read(len(SQLITE)) == SQLITE
            if not store:
                file.seek(0)
                yield from read_lines(file)
                return
        yield from read_store(path)
    except OSError as wrong:
        yield 0, b"", Refusal("unreadable", wrong.strerror or str(wrong))
