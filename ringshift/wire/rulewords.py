"""The words of the rulebook at the keeper as bytes: a version, a reader's row, the head. Each is bounded.

The digest of a version is that of the very bytes of its book. So a program that can't read a book, an older
one, still knows that it has the right one, and says why it refuses it; and a row that can't be read is a
reader that acknowledged nothing, never no reader.
"""

from __future__ import annotations

import hashlib
import re
from typing import TypeVar

import msgspec
import orjson

from ringshift.rulebook.document import Rulebook, Rules, canonical
from ringshift.rulebook.version import Mark, Row, Stamp, Version

READER = re.compile(r"[A-Za-z0-9._-]{1,200}")
MOST_BOOK = 1 << 20  # bytes of a version; etcd takes requests up to 1.5 MiB
MOST_ROW = 1024  # bytes of a reader's confirmation
MOST_WHY = 200  # characters of a refusal's reason
MOST_TEXT = 1000  # characters of an author or a reason

Kind = TypeVar("Kind")


class Stored(msgspec.Struct, frozen=True):
    """A version as the keeper has it; `book` is the canonical bytes of which `digest` is."""

    digest: str
    book: msgspec.Raw
    author: str = ""
    reason: str = ""


class Head(msgspec.Struct, frozen=True, omit_defaults=False):
    in_force: tuple[int, int, str]
    proposed: tuple[int, int, str] | None
    undoes: tuple[int, int] | None
    highest: tuple[int, int]
    """Counts withdrawn numbers too: none is used twice."""
    by_all: bool
    keeper: str = ""
    """The cluster (etcd's `cluster_id`) at which this epoch began. etcd gives a restored snapshot another."""


def reader_name(name: str) -> str:
    """The nearest to `name` that a reader may have; short enough for a process's own mark behind it."""
    return re.sub(r"[^A-Za-z0-9._-]", "_", name)[:120] or "_"


def check_name(name: str) -> None:
    if not READER.fullmatch(name):
        raise ValueError(f"reader: {name[:40]!r} is not 1 to 200 letters, digits, '.', '-' or '_'")


def write_row(row: Row) -> bytes:
    why = row.why[:MOST_WHY]
    data = orjson.dumps([row.n, row.acked, row.refused, why, row.seen, row.high, row.floor])
    if len(data) > MOST_ROW:  # a reason of many bytes a character
        data = orjson.dumps([row.n, row.acked, row.refused, "", row.seen, row.high, row.floor])
    return data


class Known(msgspec.Struct, frozen=True, array_like=True):
    """A row's JSON array; a newer program's may be longer."""

    n: int
    acked: Mark
    refused: Mark
    why: str
    seen: tuple[int, int]
    high: Mark
    floor: Stamp


def read_row(data: bytes, revision: int) -> Row:
    """What can't be read is a reader that acknowledged nothing, and lives while its key is written."""
    try:
        if len(data) > MOST_ROW:
            raise ValueError("too long")
        row = msgspec.json.decode(data, type=Known)
        return Row(row.n, row.acked, row.refused, row.why, row.seen, row.high, row.floor, revision)
    except (ValueError, msgspec.MsgspecError):
        return Row(revision, put=revision)


def write_version(version: Version) -> bytes:
    """Raises ValueError, naming the field, for what the keeper couldn't take."""
    for name, text in (("author", version.author), ("reason", version.reason)):
        if len(text) > MOST_TEXT:
            raise ValueError(f"{name}: {len(text)} characters, more than {MOST_TEXT}")
    book = canonical(version.book)
    if hashlib.sha256(book).hexdigest() != version.digest:
        raise ValueError(f"digest: {version.digest[:16]} is not that of the book")
    data = msgspec.json.encode(Stored(version.digest, msgspec.Raw(book), version.author, version.reason))
    if len(data) > MOST_BOOK:
        raise ValueError(f"book: {len(data)} bytes, more than {MOST_BOOK} that the keeper takes")
    return data


def read_version(stamp: Stamp, data: bytes) -> Version:
    """`odd` tells why where this program can't read the book. Raises ValueError for what is no version or
    has another digest than it says."""
    stored = decoded(f"version {stamp}", data[: MOST_BOOK + 1], Stored)
    if hashlib.sha256(bytes(stored.book)).hexdigest() != stored.digest:
        raise ValueError(f"version {stamp}: its bytes have another digest than it says")
    odd, book = "", Rulebook(alone=Rules())
    try:
        book = msgspec.json.decode(stored.book, type=Rulebook)
    except msgspec.DecodeError as wrong:
        odd = f"this program can't read it: {wrong}"[:MOST_WHY]
    return Version(stamp, book, stored.digest, stored.author, stored.reason, odd)


def decoded(name: str, data: bytes, kind: type[Kind]) -> Kind:
    """Raises ValueError: what can't be read is never taken for nothing."""
    try:
        return msgspec.json.decode(data, type=kind)
    except msgspec.MsgspecError as wrong:
        raise ValueError(f"{name}: {wrong}") from None
