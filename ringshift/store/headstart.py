"""The rulebook's last version in force, kept on a lasting disk: a head start for the next process, no more.

One file, replaced whole: written beside it, synced, renamed over it, the folder synced; a crash at any point
leaves the old file or the new one. Bytes: `RSRB`, the format's number (2, big-endian), the length of the
rest without the digest (8, big-endian), the version as JSON `{epoch, number, digest, author, reason, book}`,
SHA-256 of all before (32). The digest within is that under which the keeper has the version; the book is as
this program read it, and another program may write it in other bytes. Whoever reads it is told why where it
is no such file, or is damaged: then there is no head start, and nothing breaks.
"""

from __future__ import annotations

import hashlib
import os
import struct
from pathlib import Path

import msgspec

from ringshift.rulebook.document import Rulebook, canonical
from ringshift.rulebook.version import Version

MAGIC, FORMAT = b"RSRB", 1
HEAD = struct.Struct(">4sHQ")
DIGEST = 32
MOST = 4 << 20  # bytes of a file: beyond it it is none of ours


class Kept(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    epoch: int
    number: int
    digest: str
    book: msgspec.Raw
    author: str = ""
    reason: str = ""


def keep(path: Path, version: Version) -> None:
    """Raises OSError; the file is then the one before."""
    body = msgspec.json.encode(
        Kept(
            *version.stamp,
            version.digest,
            msgspec.Raw(canonical(version.book)),
            version.author,
            version.reason,
        )
    )
    data = HEAD.pack(MAGIC, FORMAT, len(body)) + body
    part = path.with_name(f"{path.name}.part")
    with part.open("wb") as out:
        out.write(data + hashlib.sha256(data).digest())
        out.flush()
        os.fsync(out.fileno())
    part.replace(path)
    folder = os.open(path.parent, os.O_RDONLY)  # the rename itself must last, too
    try:
        os.fsync(folder)
    finally:
        os.close(folder)


def kept(path: Path) -> tuple[Version | None, str]:
    """The version and an empty text, or None and why there is none. Never raises for what the file holds."""
    try:
        with path.open("rb") as file:
            data = file.read(MOST + 1)
    except FileNotFoundError:
        return None, f"{path}: none yet"
    except OSError as wrong:
        return None, f"{path}: {wrong.strerror}"
    try:
        return read(data), ""
    except (ValueError, msgspec.MsgspecError) as wrong:
        return None, f"{path}: {wrong}"


def read(data: bytes) -> Version:
    """Raises ValueError, or msgspec's own, with what is wrong."""
    if len(data) > MOST:
        raise ValueError(f"more than {MOST} bytes")
    if data[: len(MAGIC)] != MAGIC or len(data) < HEAD.size + DIGEST:
        raise ValueError("cut off" if MAGIC.startswith(data[: len(MAGIC)]) else "no head start's file")
    _, number, length = HEAD.unpack_from(data)
    if number != FORMAT:
        raise ValueError(f"format {number}, not {FORMAT}: of another program")
    if len(data) != HEAD.size + length + DIGEST:
        raise ValueError(f"{len(data)} bytes, not {HEAD.size + length + DIGEST}: cut off or grown")
    whole, digest = data[:-DIGEST], data[-DIGEST:]
    if hashlib.sha256(whole).digest() != digest:
        raise ValueError("damaged: its checksum is another")
    told = msgspec.json.decode(whole[HEAD.size :], type=Kept)
    book = msgspec.json.decode(told.book, type=Rulebook)
    return Version((told.epoch, told.number), book, told.digest, told.author, told.reason)
