"""Records from lines of bytes: taken whole or refused by name, never an exception."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any

import msgspec

from ringshift.records.schema import KINDS, MOST_BYTES, VERSION, Record

MOST_NAME = 200  # characters of a server's or a run's name


class Envelope(msgspec.Struct):
    ringshift: int
    server: str
    run: str
    seq: int
    at: int
    up: int
    kind: str
    body: msgspec.Raw


@dataclass(frozen=True, slots=True)
class Refusal:
    """Why something is no record; `kind` is one of a few words, so that refusals can be counted."""

    kind: str
    why: str


Found = tuple[int, bytes, Record | Refusal]  # the place in its source, the bytes, what they were read as


@dataclass
class Read:
    """A portion of one source: how far it reaches, and what was found in it."""

    reached: int
    found: list[Found] = field(default_factory=list)


ENVELOPE = msgspec.json.Decoder(Envelope)
BODIES: dict[str, msgspec.json.Decoder[Any]] = {
    name: msgspec.json.Decoder(kind) for name, kind in KINDS.items()
}


def read(line: bytes) -> Record | Refusal:
    """One JSON line without its end."""
    if len(line) > MOST_BYTES:
        return Refusal("too long", f"over {MOST_BYTES} bytes")
    try:
        told = ENVELOPE.decode(line)
    except msgspec.ValidationError as wrong:
        return Refusal("not a record", str(wrong))
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as wrong:
        return Refusal("not JSON", str(wrong))
    if told.ringshift != VERSION:
        return Refusal("other version", f"schema {told.ringshift}, this program reads {VERSION}")
    if told.kind not in BODIES:
        return Refusal("unknown kind", repr(told.kind[:MOST_NAME]))
    for name, value in (("server", told.server), ("run", told.run)):
        if not 0 < len(value) <= MOST_NAME or not value.isprintable():
            return Refusal("not a record", f"{name}: not a name of 1 to {MOST_NAME} printable characters")
    # A clock that was never set is a fact about a server, so any time since 1970 is taken.
    if not (0 < told.seq < 2**63 and 0 <= told.at < 2**63 and 0 <= told.up < 2**63):
        return Refusal("not a record", "seq, at or up out of range")
    try:
        body = BODIES[told.kind].decode(told.body)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as wrong:
        return Refusal("not a record", f"{told.kind}: {wrong}")
    return Record(told.server, told.run, told.seq, told.at, told.up, body)


def write(record: Record) -> bytes:
    return msgspec.json.encode(
        {
            "ringshift": VERSION,
            "server": record.server,
            "run": record.run,
            "seq": record.seq,
            "at": record.at,
            "up": record.up,
            "kind": record.kind,
            "body": record.body,
        }
    )
