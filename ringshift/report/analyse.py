"""From an incident store to its findings. Digests are kept in the store, so that a second look is quick."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass
from zlib import crc32

import msgspec

from ringshift.findings.cause import Cause, find
from ringshift.findings.course import Course, lay_out
from ringshift.findings.digest import Digest, Digester
from ringshift.findings.judge import Judge, Verdict
from ringshift.store.incident import Incident

MAKING = 2  # of digests: raised whenever the same records would give another digest
Steps = Callable[[Iterable[tuple[str, str, int]]], Iterable[tuple[str, str, int]]]


@dataclass(slots=True)
class Analysis:
    course: Course
    verdict: Verdict
    cause: Cause


def digest_run(store: Incident, server: str, run: str) -> Digest:
    digester = Digester(server, run)
    for record in store.records(server, run):
        digester.hear(record)
    return digester.finish()


def packed(digest: Digest) -> bytes:
    data = msgspec.msgpack.encode(digest)
    return crc32(data).to_bytes(4, "big") + data


def unpacked(data: bytes) -> Digest | None:
    """None where the store was changed since: it is made again."""
    if crc32(data[4:]).to_bytes(4, "big") != data[:4]:
        return None
    try:
        return msgspec.msgpack.decode(data[4:], type=Digest)
    except msgspec.DecodeError:
        return None


def digests(store: Incident, steps: Steps = lambda things: things) -> list[Digest]:
    """One for each run, as it stands in the store or made anew."""
    told = []
    for server, run, count in steps([(server, run, count) for server, run, _, count in store.runs()]):
        key = f"{MAKING}/{count}"
        data = store.kept_digest(server, run, key)
        if data is not None:
            kept = unpacked(data)
            if kept is not None:
                told.append(kept)
                continue
        digest = digest_run(store, server, run)
        store.keep_digest(server, run, key, packed(digest))
        told.append(digest)
    return told


def analyse(found: list[Digest], reference: str = "", clocks_within: int | None = None) -> Analysis:
    course = lay_out(found, reference, clocks_within)
    verdict = Judge(course).verdict()
    return Analysis(course, verdict, find(verdict, course))
