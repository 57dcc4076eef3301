"""What one etcd v3 member keeps, as its published API describes it: keys under revisions, leases, a history.

No I/O and no clock: the server passes `now` in whole nanoseconds of its own clock. The promises kept, each
tested in tests/standins/test_keeper.py: the revision rises by one with each change that writes and never
falls; a transaction's compares and its writes are one step; a lease ends at its grant or last keep-alive plus
its time to live, and its keys are deleted with it in one revision; a restart from disk gives every live lease
its full time to live again, as a new leader does in etcd; watches get events in revision order, from any
revision still in the history. Source: etcd's API reference (etcdserverpb rpc.proto, the KV, Lease and Watch
services), and its documentation of leases ("a lease's TTL is reset on leader election").
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any

S = 1_000_000_000
CLUSTER = 14841639068965178418  # as etcd names a cluster: a number of 64 bits, made with it
HISTORY = 10_000  # events kept for watches from a revision; older ones are compacted, as etcd compacts


class KeeperError(Exception):
    """An answer of etcd's kind: `code` as gRPC names it, `message` as etcd words it."""

    def __init__(self, code: int, message: str) -> None:
        super().__init__(message)
        self.code = code


NOT_FOUND, OUT_OF_RANGE, FAILED_PRECONDITION, RESOURCE_EXHAUSTED = 5, 11, 9, 8


@dataclass
class KeyValue:
    key: bytes
    value: bytes
    create_revision: int
    mod_revision: int
    version: int
    lease: int = 0

    def told(self) -> dict[str, Any]:
        return {
            "key": self.key,
            "value": self.value,
            "create_revision": self.create_revision,
            "mod_revision": self.mod_revision,
            "version": self.version,
            "lease": self.lease,
        }


@dataclass
class Grant:
    ttl: int  # seconds, as granted
    ends: int  # ns on the keeper's clock
    keys: set[bytes] = field(default_factory=set)


@dataclass
class Event:
    kind: str  # PUT or DELETE
    kv: KeyValue
    created: int = 0  # of a DELETE: the create revision of the key that went, as etcd's prev_kv tells


@dataclass
class Store:
    revision: int = 1  # etcd starts at 1 with nothing in it
    kvs: dict[bytes, KeyValue] = field(default_factory=dict)
    leases: dict[int, Grant] = field(default_factory=dict)
    history: list[tuple[int, Event]] = field(default_factory=list)
    compacted: int = 0  # events at or below this revision are no longer known
    next_lease: int = 0x1000
    cluster: int = CLUSTER
    changes: int = 0  # rises with whatever an image would show

    # Leases.

    def grant(self, now: int, ttl: int, wanted: int = 0) -> tuple[int, int]:
        """A lease of `ttl` whole seconds; its id, and the ttl granted."""
        if ttl < 1:
            raise KeeperError(OUT_OF_RANGE, "etcdserver: too small TTL")
        if wanted in self.leases:
            raise KeeperError(FAILED_PRECONDITION, "etcdserver: lease already exists")
        lease = wanted or self.next_lease
        self.next_lease = max(self.next_lease, lease) + 1
        self.leases[lease] = Grant(ttl, now + ttl * S)
        self.changes += 1
        return lease, ttl

    def keep_alive(self, now: int, lease: int) -> int:
        """The ttl the lease has again; 0 if it is gone, as etcd answers a keep-alive of an unknown lease."""
        self.expire(now)
        grant = self.leases.get(lease)
        if grant is None:
            return 0
        grant.ends = now + grant.ttl * S
        return grant.ttl

    def revoke(self, now: int, lease: int) -> None:
        self.expire(now)
        if lease not in self.leases:
            raise KeeperError(NOT_FOUND, "etcdserver: requested lease not found")
        self.end(lease)

    def time_to_live(self, now: int, lease: int) -> tuple[int, int, list[bytes]]:
        """Seconds left (-1 if gone), seconds granted, its keys."""
        self.expire(now)
        grant = self.leases.get(lease)
        if grant is None:
            return -1, 0, []
        return -(-(grant.ends - now) // S), grant.ttl, sorted(grant.keys)

    def expire(self, now: int) -> None:
        for lease in [lease for lease, grant in self.leases.items() if grant.ends <= now]:
            self.end(lease)

    def end(self, lease: int) -> None:
        grant = self.leases.pop(lease)
        self.changes += 1
        if grant.keys:
            self.revision += 1
            for key in sorted(grant.keys):
                self.delete_key(key)

    # Keys.

    def range(self, now: int, key: bytes, end: bytes = b"") -> list[KeyValue]:
        self.expire(now)
        if not end:
            return [self.kvs[key]] if key in self.kvs else []
        return [kv for name, kv in sorted(self.kvs.items()) if key <= name and (end == b"\0" or name < end)]

    def ranged(self, now: int, request: dict[str, Any]) -> dict[str, Any]:
        """The answer to a RangeRequest. As published, `count` is of all keys of the range, whatever
        `min_mod_revision` leaves out of `kvs`."""
        found = self.range(now, request["key"], request.get("range_end", b""))
        least = request.get("min_mod_revision", 0)
        kvs = [] if request.get("count_only") else [kv.told() for kv in found if kv.mod_revision >= least]
        if request.get("keys_only"):
            kvs = [{name: told for name, told in kv.items() if name != "value"} for kv in kvs]
        return {"kvs": kvs, "count": len(found)}

    def txn(
        self,
        now: int,
        compares: list[dict[str, Any]],
        success: list[dict[str, Any]],
        failure: list[dict[str, Any]],
    ) -> tuple[bool, list[dict[str, Any]]]:
        """Compares, then the writes of one side, as one step at one revision."""
        self.expire(now)
        held = all(self.holds(compare) for compare in compares)
        chosen = success if held else failure
        for request in chosen:
            lease = request.get("request_put", {}).get("lease", 0)
            if lease and lease not in self.leases:
                raise KeeperError(NOT_FOUND, "etcdserver: requested lease not found")
        writes = any("request_put" in r or "request_delete_range" in r for r in chosen)
        if writes:
            self.revision += 1
        return held, [self.apply(now, request) for request in chosen]

    def holds(self, compare: dict[str, Any]) -> bool:
        kv = self.kvs.get(compare["key"])
        target = compare.get("target", "VERSION")
        seen = {
            "VERSION": kv.version if kv else 0,
            "CREATE": kv.create_revision if kv else 0,
            "MOD": kv.mod_revision if kv else 0,
            "VALUE": kv.value if kv else b"",
            "LEASE": kv.lease if kv else 0,
        }[target]
        field_name = {
            "VERSION": "version",
            "CREATE": "create_revision",
            "MOD": "mod_revision",
            "VALUE": "value",
            "LEASE": "lease",
        }[target]
        wanted = compare.get(field_name, b"" if target == "VALUE" else 0)
        result = compare.get("result", "EQUAL")
        return bool(
            {
                "EQUAL": seen == wanted,
                "NOT_EQUAL": seen != wanted,
                "GREATER": seen > wanted,
                "LESS": seen < wanted,
            }[result]
        )

    def apply(self, now: int, request: dict[str, Any]) -> dict[str, Any]:
        if "request_put" in request:
            put = request["request_put"]
            self.put_key(put["key"], put.get("value", b""), put.get("lease", 0))
            return {"response_put": {}}
        if "request_delete_range" in request:
            gone = self.range(
                now,
                request["request_delete_range"]["key"],
                request["request_delete_range"].get("range_end", b""),
            )
            for kv in gone:
                self.delete_key(kv.key)
            return {"response_delete_range": {"deleted": len(gone)}}
        return {"response_range": self.ranged(now, request["request_range"])}

    def put(self, now: int, key: bytes, value: bytes, lease: int = 0) -> None:
        self.txn(now, [], [{"request_put": {"key": key, "value": value, "lease": lease}}], [])

    def delete(self, now: int, key: bytes, end: bytes = b"") -> int:
        _, answers = self.txn(now, [], [{"request_delete_range": {"key": key, "range_end": end}}], [])
        return int(answers[0]["response_delete_range"]["deleted"])

    def put_key(self, key: bytes, value: bytes, lease: int) -> None:
        old = self.kvs.get(key)
        if old is not None and old.lease and old.lease in self.leases:
            self.leases[old.lease].keys.discard(key)
        kv = KeyValue(
            key,
            value,
            old.create_revision if old else self.revision,
            self.revision,
            old.version + 1 if old else 1,
            lease,
        )
        self.kvs[key] = kv
        if lease:
            self.leases[lease].keys.add(key)
        self.remember(Event("PUT", kv))

    def delete_key(self, key: bytes) -> None:
        old = self.kvs.pop(key)
        if old.lease in self.leases:
            self.leases[old.lease].keys.discard(key)
        self.remember(Event("DELETE", KeyValue(key, b"", 0, self.revision, 0), old.create_revision))

    def remember(self, event: Event) -> None:
        self.changes += 1
        self.history.append((self.revision, event))
        if len(self.history) > HISTORY * 5 // 4:  # a fifth at once: gone through whole at each put it is slow
            self.compacted = self.history[len(self.history) - HISTORY - 1][0]
            self.history = [(revision, e) for revision, e in self.history if revision > self.compacted]

    def events(self, key: bytes, end: bytes, start: int) -> list[tuple[int, Event]]:
        """Events of a key or range from revision `start`, in revision order."""
        if start <= self.compacted:
            raise KeeperError(OUT_OF_RANGE, "etcdserver: mvcc: required revision has been compacted")
        return [
            (revision, event)
            for revision, event in self.history
            if revision >= start
            and (
                event.kv.key == key
                if not end
                else key <= event.kv.key and (end == b"\0" or event.kv.key < end)
            )
        ]

    # Disk.

    def image(self) -> dict[str, Any]:
        """All that a restart needs, bytes as hex; history is not kept: a restart compacts at its revision."""
        kvs = [{**kv.told(), "key": kv.key.hex(), "value": kv.value.hex()} for kv in self.kvs.values()]
        return {
            "revision": self.revision,
            "next_lease": self.next_lease,
            "kvs": kvs,
            "cluster": self.cluster,
            "leases": {str(lease): grant.ttl for lease, grant in self.leases.items()},
        }

    @classmethod
    def from_image(cls, image: dict[str, Any], now: int) -> Store:
        store = cls(
            revision=image["revision"],
            next_lease=image["next_lease"],
            compacted=image["revision"],
            cluster=image["cluster"],
        )
        for lease, ttl in image["leases"].items():
            store.leases[int(lease)] = Grant(ttl, now + ttl * S)
        for told in image["kvs"]:
            key, value = bytes.fromhex(told["key"]), bytes.fromhex(told["value"])
            kv = KeyValue(**{**told, "key": key, "value": value})
            store.kvs[kv.key] = kv
            if kv.lease in store.leases:
                store.leases[kv.lease].keys.add(kv.key)
        return store


def restored(image: dict[str, Any]) -> dict[str, Any]:
    """An image as `etcdutl snapshot restore` makes a member of it: all its keys, in a cluster of its own, so
    that no member of the old one takes it for theirs (etcd's documentation of disaster recovery)."""
    return image | {"cluster": image["cluster"] + 1}
