"""The fleet's rulebook at the keeper: what ringshift/rulebook/version.py decides, as etcd v3 calls.

Under `/ringshift/rules/` lie `head` (which version is in force, which is proposed; each write of a publisher
is a transaction that compares the revision at which it was read), `versions/EPOCH.NUMBER` (the books),
`kept` (their stamps, written with the head), `readers/NAME` (a reader's last confirmation), `absent/NAME`
(the same of a reader whose lease surely ended), and `joins`, written by each reader that comes new: so that
putting a version in force compares one key and not the set of all readers.

A confirmation is one transaction, answered with the head alone; a version's book is fetched once, by stamp
and digest. Blocking calls, for threads.
"""

from __future__ import annotations

import base64
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from typing import Any

import msgspec
import orjson

from ringshift.rulebook.version import KEPT, NOTHING, Effect, Row, Stamp, Told, Version
from ringshift.wire.keeper import KeeperLink, b64
from ringshift.wire.rulewords import Head, check_name, decoded, read_row
from ringshift.wire.rulewords import read_version as read_version
from ringshift.wire.rulewords import reader_name as reader_name
from ringshift.wire.rulewords import write_row as write_row
from ringshift.wire.rulewords import write_version as write_version

PREFIX = "/ringshift/rules/"
MOST_ABSENT = 4096  # readers kept of whom nobody said that they are no more
MOST_MOVED = 30  # readers in one transaction: three operations each, etcd takes 128
BOOKS = 4  # versions remembered here: the two in play, and those just before


class OddBook(ValueError):
    """What the keeper holds in force can't be acted by here, and why: no time is given by it."""


def key(place: str) -> str:
    return b64((PREFIX + place).encode())


def under(place: str) -> dict[str, str]:
    """A range of all keys whose names begin with `place`."""
    whole = PREFIX + place
    return {"key": b64(whole.encode()), "range_end": b64((whole[:-1] + chr(ord(whole[-1]) + 1)).encode())}


def version_key(stamp: Stamp) -> str:
    return f"versions/{stamp[0]:08d}.{stamp[1]:012d}"


@dataclass(frozen=True)
class Held:
    """All that the keeper has, read at one revision. `rows`: of readers and of the absent ones; `revisions`:
    at which each row of a reader (not of an absent one) was last written; 0 where a key isn't there."""

    told: Told | None
    rows: dict[str, Row] = field(default_factory=dict)
    absent: frozenset[str] = frozenset()
    highest: Stamp = NOTHING
    undoes: Stamp | None = None
    by_all: bool = False
    head: bytes = b""
    head_revision: int = 0
    joins_revision: int = 0
    revisions: dict[str, int] = field(default_factory=dict)
    kept: tuple[Stamp, ...] = ()
    """The versions that the keeper has, ascending; the one proposed among them."""
    keeper: str = ""
    """The cluster that answered, and beside it the one that the head names."""
    named: str = ""

    @property
    def moved(self) -> bool:
        """Whether another cluster answers than the one at which the head's epoch began: etcd makes one of a
        snapshot that is restored, so what was written after the snapshot is lost, whoever saw it."""
        return self.named not in ("", self.keeper)


def at_revision(place: str, revision: int) -> dict[str, Any]:
    return {"key": key(place), "result": "EQUAL", "target": "MOD", "mod_revision": str(revision)}


def at_value(place: str, value: bytes) -> dict[str, Any]:
    return {"key": key(place), "result": "EQUAL", "target": "VALUE", "value": b64(value)}


def put(place: str, value: bytes) -> dict[str, Any]:
    return {"request_put": {"key": key(place), "value": b64(value)}}


def delete(place: str) -> dict[str, Any]:
    return {"request_delete_range": {"key": key(place)}}


def got(answer: dict[str, Any], place: int) -> list[dict[str, Any]]:
    found: list[dict[str, Any]] = answer["responses"][place]["response_range"].get("kvs", [])
    return found


def value(kv: dict[str, Any]) -> bytes:
    return base64.b64decode(kv.get("value", ""))


class RulesLink(KeeperLink):
    """Raises whatever the client raises where the keeper does not answer, ValueError where it answers
    oddly, OddBook (one of those) where what is in force can't be read here."""

    def __init__(self, addresses: list[str], clock: Callable[[], int], timeout_s: float) -> None:
        super().__init__(addresses, clock, timeout_s)
        self.books: dict[tuple[Stamp, str], Version] = {}

    cluster = ""  # that answered the last read

    def confirm(self, name: str, row: Row) -> Told | None:
        """The reader's row put, what the head says then; None where nothing was ever published."""
        check_name(name)
        put_row, head = put(f"readers/{name}", write_row(row)), {"request_range": {"key": key("head")}}
        answer = self.call(
            "/kv/txn",
            {
                "compare": [
                    {"key": key(f"readers/{name}"), "result": "GREATER", "target": "VERSION", "version": "0"}
                ],
                "success": [put_row, head],
                "failure": [put_row, put("joins", name.encode()), delete(f"absent/{name}"), head],
            },
        )
        found = got(answer, 1 if answer.get("succeeded") else 3)
        return self.told(found[0])[0] if found else None

    def read(self) -> Held:
        answer = self.call(
            "/kv/txn",
            {
                "compare": [],
                "failure": [],
                "success": [
                    {"request_range": {"key": key("head")}},
                    {"request_range": {"key": key("kept")}},
                    {"request_range": {"key": key("joins")}},
                    {"request_range": under("readers/")},
                    {"request_range": under("absent/")},
                ],
            },
        )
        head, kept, joins, readers, absent = (got(answer, place) for place in range(5))
        rows, revisions, away = dict[str, Row](), dict[str, int](), set[str]()
        for kv in absent:
            name = base64.b64decode(kv["key"]).decode().removeprefix(f"{PREFIX}absent/")
            rows[name] = read_row(value(kv), int(kv["mod_revision"]))
            away.add(name)
        for kv in readers:
            name = base64.b64decode(kv["key"]).decode().removeprefix(f"{PREFIX}readers/")
            revisions[name] = int(kv["mod_revision"])
            rows[name] = read_row(value(kv), revisions[name])
            away.discard(name)
        stamps = tuple(decoded("kept", value(kept[0]), list[Stamp])) if kept else ()
        self.cluster = str(answer.get("header", {}).get("cluster_id", ""))
        common = (frozenset(away), rows, revisions, int(joins[0]["mod_revision"]) if joins else 0, stamps)
        return self.held(head[0] if head else None, *common)

    def held(
        self,
        head: dict[str, Any] | None,
        absent: frozenset[str],
        rows: dict[str, Row],
        revisions: dict[str, int],
        joins: int,
        kept: tuple[Stamp, ...],
    ) -> Held:
        if head is None:
            return Held(
                None, rows, absent, joins_revision=joins, revisions=revisions, kept=kept, keeper=self.cluster
            )
        told, said = self.told(head)
        return Held(
            told,
            rows,
            absent,
            said.highest,
            said.undoes,
            said.by_all,
            value(head),
            int(head["mod_revision"]),
            joins,
            revisions,
            kept,
            self.cluster,
            said.keeper,
        )

    def told(self, kv: dict[str, Any]) -> tuple[Told, Head]:
        head = decoded("head", value(kv), Head)
        in_force = self.fetch(*head.in_force)
        if in_force.odd:
            raise OddBook(f"version {in_force.stamp} in force: {in_force.odd}")
        proposed = None if head.proposed is None else self.fetch(*head.proposed)
        place = head.highest[0], int(kv["mod_revision"])
        return Told(place, in_force, proposed), head

    def fetch(self, epoch: int, number: int, digest: str) -> Version:
        stamp = epoch, number
        found = self.books.get((stamp, digest))
        if found is None:
            found = self.version(stamp)
            if found is None or found.digest != digest:
                raise ValueError(f"version {stamp}: not what the head named; a newer head may stand there")
            self.books[stamp, digest] = found
            while len(self.books) > BOOKS:
                self.books.pop(next(iter(self.books)))
        return found

    def version(self, stamp: Stamp) -> Version | None:
        found = self.call("/kv/range", {"key": key(version_key(stamp))}).get("kvs", [])
        return read_version(stamp, value(found[0])) if found else None

    def versions(self) -> list[Version]:
        """Those kept, ascending: one call each, as together they may be too long for one answer."""
        kept = self.call("/kv/range", {"key": key("kept")}).get("kvs", [])
        stamps = decoded("kept", value(kept[0]), list[Stamp]) if kept else []
        return [one for one in map(self.version, sorted(stamps)) if one is not None]

    def begin(self, version: Version) -> bool:
        """The first publication of all, in force at once; only where no head is. Its stamp is `opening` of
        the rows (ringshift/rulebook/version.py): a keeper that lost all still has readers that saw more."""
        head = Head((*version.stamp, version.digest), None, None, version.stamp, False, self.cluster)
        answer = self.call(
            "/kv/txn",
            {
                "compare": [at_revision("head", 0)],
                "failure": [],
                "success": [
                    put("head", msgspec.json.encode(head)),
                    put("kept", orjson.dumps([version.stamp])),
                    put(version_key(version.stamp), write_version(version)),
                ],
            },
        )
        return bool(answer.get("succeeded"))

    def gone(self, name: str) -> None:
        check_name(name)
        self.call(
            "/kv/txn",
            {"compare": [], "failure": [], "success": [delete(f"readers/{name}"), delete(f"absent/{name}")]},
        )

    def do(self, effect: Effect, held: Held) -> bool:
        """Whether the keeper's compare held. Nothing is written where what was read rules it out already."""
        told, version = held.told, effect.version
        if told is None:
            return False
        ours = told.proposed is not None and told.proposed.stamp == version.stamp
        stays = told.in_force
        based = effect.base in (None, stays.stamp)
        if effect.kind == "propose" and told.proposed is None and version.stamp > held.highest and based:
            return self.propose(effect, held, stays)
        if effect.kind == "take_back" and ours:
            head = Head((*stays.stamp, stays.digest), None, None, held.highest, False, held.named)
            kept = tuple(one for one in held.kept if one != version.stamp)
            return self.write(held, head, kept, [], [delete(version_key(version.stamp))])
        if effect.kind == "put_in_force" and ours and told.proposed.digest == version.digest:  # type: ignore[union-attr]
            head = Head((*version.stamp, version.digest), None, None, held.highest, False, held.named)
            joins = [at_revision("joins", held.joins_revision)]
            return self.settled(effect, held) and self.write(held, head, held.kept, joins, [])
        return False

    def propose(self, effect: Effect, held: Held, stays: Version) -> bool:
        """With it the oldest versions go: at most KEPT are there beside the one in force and the proposed.
        Only with a new epoch does the head name the cluster that holds it now: until then whoever looks must
        find that data was lost."""
        version = effect.version
        fresh = not held.named or version.stamp[0] > held.highest[0]
        head = Head(
            (*stays.stamp, stays.digest),
            (*version.stamp, version.digest),
            effect.undoes,
            version.stamp,
            effect.by_all,
            held.keeper if fresh else held.named,
        )
        past = sorted(set(held.kept) - {stays.stamp})
        gone, past = past[: max(len(past) - KEPT, 0)], past[max(len(past) - KEPT, 0) :]
        writes = [
            put(version_key(version.stamp), write_version(version)),
            *(delete(version_key(one)) for one in gone[:MOST_MOVED]),
        ]
        kept = tuple(sorted({*gone[MOST_MOVED:], *past, stays.stamp, version.stamp}))
        return self.write(held, head, kept, [], writes)

    def write(
        self,
        held: Held,
        head: Head,
        kept: tuple[Stamp, ...],
        compare: list[dict[str, Any]],
        writes: list[dict[str, Any]],
    ) -> bool:
        # By its value, which never comes again, as its numbers only grow; a revision may, once data was lost.
        answer = self.call(
            "/kv/txn",
            {
                "compare": [at_value("head", held.head), *compare],
                "failure": [],
                "success": [put("head", msgspec.json.encode(head)), put("kept", orjson.dumps(kept)), *writes],
            },
        )
        return bool(answer.get("succeeded"))

    def settled(self, effect: Effect, held: Held) -> bool:
        """The readers whose leases ended moved to the absent ones; one that confirmed since breaks it. A
        moved one that confirms again joins anew, which breaks the compare of `joins`."""
        unmoved = held.revisions.keys() - effect.known
        stale = [
            name for name, n in effect.ended.items() if name not in held.revisions or held.rows[name].n != n
        ]
        if unmoved or stale:
            return False
        if len(held.absent) + len(effect.ended) > MOST_ABSENT:  # none is dropped: one may act by its `alone`
            raise ValueError(
                f"more than {MOST_ABSENT} absent readers: `ringshift rules forget` those of "
                "processes that are no more"
            )
        return all(self.move(batch, held) for batch in batches(sorted(effect.ended), MOST_MOVED))

    def move(self, names: list[str], held: Held) -> bool:
        answer = self.call(
            "/kv/txn",
            {
                "compare": [at_revision(f"readers/{name}", held.revisions[name]) for name in names],
                "success": [
                    one
                    for name in names
                    for one in (put(f"absent/{name}", write_row(held.rows[name])), delete(f"readers/{name}"))
                ],
                "failure": [],
            },
        )
        return bool(answer.get("succeeded"))


def batches(names: list[str], most: int) -> Iterable[list[str]]:
    return (names[at : at + most] for at in range(0, len(names), most))
