"""`python -m standins.keeper`: one etcd v3 member on loopback, spoken to through etcd's JSON gateway.

Paths and shapes are those of etcd's gRPC gateway (`/v3/kv/range`, `/v3/kv/put`, `/v3/kv/deleterange`,
`/v3/kv/txn`, `/v3/lease/grant`, `/v3/lease/keepalive`, `/v3/lease/revoke`, `/v3/lease/timetolive`,
`/v3/lease/leases`, the older `/v3/kv/lease/...` of the last three, `/v3/watch`, `/v3/maintenance/status`,
`/version`): keys and values in base64, 64-bit numbers as strings, streams as one JSON object a line with
the message under `result`, errors as `{"error", "code", "message"}` with gRPC's codes. A change is on disk
(written whole, renamed) before it is answered; killed and started again on the same folder, the
member has every key and lease, and every live lease its full time to live again. Faults for tests:
`--disk-bytes` (an image larger than that is refused as etcd refuses past its quota) and `--rate` (its clock
runs this much faster than real time). It prints `keeper listening on HOST:PORT` when it serves.
"""

from __future__ import annotations

import argparse
import base64
import os
import socket
import sys
import time
from collections.abc import Callable, Iterator
from pathlib import Path
from typing import IO, Any

import gevent
import orjson
from gevent.event import Event
from gevent.pywsgi import WSGIServer

from standins.keeper.store import RESOURCE_EXHAUSTED, KeeperError, KeyValue, Store

MEMBER = "10276657743932975437"
BYTES = ("key", "value", "range_end")
INTS = (
    "lease",
    "create_revision",
    "mod_revision",
    "version",
    "ID",
    "TTL",
    "start_revision",
    "min_mod_revision",
)
STREAM_EVERY = 0.5  # seconds between a watch's looks at the store when nothing woke it; a bound, not a pace


class Clock:
    """The keeper's own clock, in ns, from its start; `rate` above 1 runs fast, for skew."""

    def __init__(self, rate: float = 1.0) -> None:
        self.rate, self.start = rate, time.monotonic_ns()

    def now(self) -> int:
        return int((time.monotonic_ns() - self.start) * self.rate)


def decoded(body: Any) -> Any:
    """The gateway's JSON into the store's words: base64 to bytes, numbers given as strings to int."""
    if isinstance(body, list):
        return [decoded(item) for item in body]
    if not isinstance(body, dict):
        return body
    out: dict[str, Any] = {}
    for name, value in body.items():
        if name in BYTES and isinstance(value, str):
            out[name] = base64.b64decode(value)
        elif name in INTS and isinstance(value, str):
            out[name] = int(value)
        else:
            out[name] = decoded(value)
    return out


def encoded(body: Any) -> Any:
    """The store's words into the gateway's JSON: bytes to base64, integers to strings."""
    if isinstance(body, bytes):
        return base64.b64encode(body).decode()
    if isinstance(body, list):
        return [encoded(item) for item in body]
    if isinstance(body, KeyValue):
        return encoded(body.told())
    if not isinstance(body, dict):
        return body
    out: dict[str, Any] = {}
    for name, value in body.items():
        if isinstance(value, bool):
            out[name] = value
        elif isinstance(value, int):
            out[name] = str(value)
        else:
            out[name] = encoded(value)
    return out


class Keeper:
    def __init__(
        self, folder: Path, clock: Clock, disk_bytes: int | None = None, history: IO[bytes] | None = None
    ) -> None:
        self.folder, self.clock, self.disk_bytes, self.history = folder, clock, disk_bytes, history
        self.image = folder / "member.json"
        self.changed = Event()
        if self.image.exists():
            self.store = Store.from_image(orjson.loads(self.image.read_bytes()), clock.now())
        else:
            self.store = Store()
            self.write()

    def header(self) -> dict[str, Any]:
        revision, cluster = str(self.store.revision), str(self.store.cluster)
        return {"cluster_id": cluster, "member_id": MEMBER, "revision": revision, "raft_term": "2"}

    def write(self) -> None:
        """The whole image, then renamed over the old: a kill leaves one or the other, never half. Not synced:
        the faults played here kill processes, not the machine, and a sync a write made a loaded machine's
        keeper answer after the holders' time for an answer (seen: every seek of a script given up)."""
        data = orjson.dumps(self.store.image())
        if self.disk_bytes is not None and len(data) > self.disk_bytes:
            raise KeeperError(RESOURCE_EXHAUSTED, "etcdserver: mvcc: database space exceeded")
        part = self.folder / "member.json.part"
        with open(part, "wb") as out:
            out.write(data)
        os.replace(part, self.image)

    def change(self, step: Callable[[], Any]) -> Any:
        """A step that may write: on disk before it is answered, and undone if the disk refuses it."""
        before = orjson.dumps(self.store.image()) if self.disk_bytes is not None else b""
        revision, changes = self.store.revision, self.store.changes
        answer = step()
        if self.store.changes != changes:
            try:
                self.write()
            except KeeperError:
                # The times of the live leases are not in an image: a refused write must not renew them.
                ends = {lease: grant.ends for lease, grant in self.store.leases.items()}
                self.store = Store.from_image(orjson.loads(before), self.clock.now())
                for lease, grant in self.store.leases.items():
                    grant.ends = ends.get(lease, grant.ends)
                raise
            self.changed.set()
            self.changed.clear()
            self.tell(revision)
        return answer

    def tell(self, after: int) -> None:
        """Keys created and deleted since revision `after`, at the true time, for the harness's checker."""
        if self.history is None:
            return
        for revision, event in self.store.history:
            if revision > after:
                created = event.kv.create_revision if event.kind == "PUT" else event.created
                if event.kind == "PUT" and event.kv.version != 1:
                    continue
                line = {
                    "t": time.monotonic_ns(),
                    "ev": "created" if event.kind == "PUT" else "deleted",
                    "key": event.kv.key.decode(errors="replace"),
                    "token": created,
                    "revision": revision,
                }
                self.history.write(orjson.dumps(line) + b"\n")
        self.history.flush()

    # The gateway's calls: each takes the decoded body and gives the answer before encoding.

    def range(self, body: dict[str, Any]) -> dict[str, Any]:
        told: dict[str, Any] = self.change(lambda: self.store.ranged(self.clock.now(), body))
        return {name: value for name, value in told.items() if value}  # the gateway leaves out what is empty

    def put(self, body: dict[str, Any]) -> dict[str, Any]:
        now = self.clock.now()
        self.change(lambda: self.store.put(now, body["key"], body.get("value", b""), body.get("lease", 0)))
        return {}

    def deleterange(self, body: dict[str, Any]) -> dict[str, Any]:
        now = self.clock.now()
        end = body.get("range_end", b"")
        return {"deleted": self.change(lambda: self.store.delete(now, body["key"], end))}

    def txn(self, body: dict[str, Any]) -> dict[str, Any]:
        now = self.clock.now()
        sides = body.get("compare", []), body.get("success", []), body.get("failure", [])
        held, answers = self.change(lambda: self.store.txn(now, *sides))
        return {"succeeded": held, "responses": answers}

    def grant(self, body: dict[str, Any]) -> dict[str, Any]:
        now, ttl, wanted = self.clock.now(), body.get("TTL", 0), body.get("ID", 0)
        lease, ttl = self.change(lambda: self.store.grant(now, ttl, wanted))
        return {"ID": lease, "TTL": ttl}

    def keepalive(self, body: dict[str, Any]) -> dict[str, Any]:
        ttl = self.change(lambda: self.store.keep_alive(self.clock.now(), body["ID"]))
        return {"ID": body["ID"], "TTL": ttl}

    def revoke(self, body: dict[str, Any]) -> dict[str, Any]:
        self.change(lambda: self.store.revoke(self.clock.now(), body["ID"]))
        return {}

    def timetolive(self, body: dict[str, Any]) -> dict[str, Any]:
        left, granted, keys = self.change(lambda: self.store.time_to_live(self.clock.now(), body["ID"]))
        answer: dict[str, Any] = {"ID": body["ID"], "TTL": left, "grantedTTL": granted}
        return answer | ({"keys": keys} if body.get("keys") else {})

    def leases(self, body: dict[str, Any]) -> dict[str, Any]:
        self.change(lambda: self.store.expire(self.clock.now()))
        return {"leases": [{"ID": lease} for lease in sorted(self.store.leases)]}

    def status(self, body: dict[str, Any]) -> dict[str, Any]:
        return {
            "version": "3.5.0",
            "dbSize": self.image.stat().st_size,
            "leader": MEMBER,
            "raftIndex": self.store.revision,
            "raftTerm": 2,
        }

    def watch(self, body: dict[str, Any]) -> Iterator[bytes]:
        """The stream of one watch: created, then each revision's events in order, until the client goes."""
        create = body["create_request"]
        key, end = create["key"], create.get("range_end", b"")
        start = create.get("start_revision", 0) or self.store.revision + 1
        self.store.events(key, end, start)  # raises if compacted, before the stream begins
        yield self.line({"created": True, "watch_id": "0"})
        while True:
            found = self.store.events(key, end, start)
            if found:
                start = found[-1][0] + 1
                events = [{"type": event.kind, "kv": event.kv.told()} for _, event in found]
                yield self.line({"watch_id": "0", "events": events})
            self.changed.wait(STREAM_EVERY)
            self.change(lambda: self.store.expire(self.clock.now()))

    def line(self, result: dict[str, Any]) -> bytes:
        return orjson.dumps({"result": encoded({"header": self.header()} | result)}) + b"\n"


CALLS = {
    "/v3/kv/range": "range",
    "/v3/kv/put": "put",
    "/v3/kv/deleterange": "deleterange",
    "/v3/kv/txn": "txn",
    "/v3/lease/grant": "grant",
    "/v3/lease/keepalive": "keepalive",
    "/v3/lease/revoke": "revoke",
    "/v3/lease/timetolive": "timetolive",
    "/v3/lease/leases": "leases",
    "/v3/maintenance/status": "status",
    # etcd serves its first gateway paths of leases too, and some clients use them
    "/v3/kv/lease/revoke": "revoke",
    "/v3/kv/lease/timetolive": "timetolive",
    "/v3/kv/lease/leases": "leases",
}
STREAMED = {"keepalive"}  # answered under `result`, as the gateway answers a stream of one


def application(keeper: Keeper) -> Callable[..., Iterator[bytes]]:
    def serve(environ: dict[str, Any], start: Callable[..., Any]) -> Iterator[bytes]:
        path = environ["PATH_INFO"]
        if path == "/version":
            start("200 OK", [("Content-Type", "application/json")])
            return iter([b'{"etcdserver":"3.5.0","etcdcluster":"3.5.0"}'])
        try:
            length = int(environ.get("CONTENT_LENGTH") or 0)
            body = decoded(orjson.loads(environ["wsgi.input"].read(length) or b"{}"))
            if path == "/v3/watch":
                stream = keeper.watch(body)
                first = next(stream)
                start("200 OK", [("Content-Type", "application/json")])
                return chain(first, stream)
            if path not in CALLS:
                raise KeeperError(12, f"Not Implemented: {path}")
            name = CALLS[path]
            told = getattr(keeper, name)(body)
            answer = {"header": keeper.header()} | told  # the revision after the call, as etcd answers
            data = orjson.dumps({"result": encoded(answer)} if name in STREAMED else encoded(answer))
            start("200 OK", [("Content-Type", "application/json")])
            return iter([data])
        except KeeperError as error:
            start(
                "400 Bad Request" if error.code != RESOURCE_EXHAUSTED else "500 Internal Server Error",
                [("Content-Type", "application/json")],
            )
            return iter([orjson.dumps({"error": str(error), "code": error.code, "message": str(error)})])
        except (ValueError, KeyError, TypeError, OSError) as error:  # OSError: a request cut in its middle
            start("400 Bad Request", [("Content-Type", "application/json")])
            told = f"bad request at {path}: {error!r}"
            return iter([orjson.dumps({"error": told, "code": 3, "message": told})])

    return serve


def chain(first: bytes, rest: Iterator[bytes]) -> Iterator[bytes]:
    yield first
    yield from rest


def main(argv: list[str] | None = None) -> int:
    raw = argparse.RawDescriptionHelpFormatter
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=raw)
    parser.add_argument("folder", type=Path, help="where the member keeps its image; made if missing")
    parser.add_argument("--listen", default="127.0.0.1:0")
    parser.add_argument("--disk-bytes", type=int, default=None)
    parser.add_argument("--rate", type=float, default=1.0)
    parser.add_argument("--history", type=Path, help="a line for each key created or deleted, true times")
    told = parser.parse_args(argv)
    told.folder.mkdir(parents=True, exist_ok=True)
    host, port = told.listen.rsplit(":", 1)
    history = told.history.open("ab") if told.history else None
    keeper = Keeper(told.folder, Clock(told.rate), told.disk_bytes, history)
    server = WSGIServer((host, int(port)), application(keeper), log=None, error_log=None)
    server.init_socket()
    # Inherited by what it accepts: an answer's head and body are two writes, and Nagle's rule with the
    # client's delayed acknowledgement made each call last 40 ms (44 ms a renewal, 92 a second from four
    # clients).
    server.socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    server.start()
    print(f"keeper listening on {host}:{server.server_port}", flush=True)
    gevent.signal_handler(15, server.stop)
    server.serve_forever()
    return 0


if __name__ == "__main__":
    sys.exit(main())
