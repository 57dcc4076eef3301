"""The keeper's client: a lease's effects as etcd v3 calls through etcd3gw, their answers as facts.

Blocking calls with a timeout, for a process of its own or a thread of its own: never on the backend's hub
(etcd3gw speaks HTTP through requests, whose sockets are not gevent's). Each answer is stamped with the time
its request was sent on the holder's own clock, as the lease's rule needs (ringshift/fleet/lease.py).
Which of several members is asked is ringshift/fleet/members.py's to say. A call that fails or times out is
UNANSWERED, never LOST: only
the keeper's own word (keep-alive TTL 0, the key gone or at another create revision) is LOST.
"""

from __future__ import annotations

import base64
import json
import threading
from collections.abc import Callable, Iterable
from queue import SimpleQueue
from random import Random
from typing import Any

from etcd3gw.exceptions import (
    ConnectionFailedError,
    ConnectionTimeoutError,
    Etcd3Exception,
    InternalServerError,
)

from ringshift.fleet.lease import Heard, News
from ringshift.fleet.members import Members

UNFIT = (ConnectionFailedError, ConnectionTimeoutError, InternalServerError)
MOST_LINE = 1 << 20  # bytes of one line of a watch; more is not from a keeper


def b64(data: bytes) -> str:
    return base64.b64encode(data).decode()


class KeeperLink:
    """`addresses`: HOST:PORT of etcd members; `clock`: the holder's own, in ns; `timeout_s`: of one call."""

    def __init__(self, addresses: list[str], clock: Callable[[], int], timeout_s: float) -> None:
        from etcd3gw.client import Etcd3Client  # the fleet extra: only where instances may talk

        if not addresses:
            raise ValueError("keepers: no address")
        self.clock, self.timeout_s = clock, timeout_s
        self.random = Random()
        self.members = Members(len(addresses), self.random.randrange(len(addresses)))
        self.clients = []
        for address in addresses:
            host, _, port = address.rpartition(":")
            self.clients.append(Etcd3Client(host=host, port=int(port), api_path="/v3/", timeout=timeout_s))

    def call(self, path: str, body: dict[str, Any]) -> dict[str, Any]:
        """One call to the member that is to be asked. Raises whatever the client raises on failure."""
        began = self.clock()
        place = self.members.choose(began)
        client, good = self.clients[place], False
        try:
            answer = client.post(client.get_url(path), json=body)
            if not isinstance(answer, dict):
                raise ValueError(f"keeper at {path}: {answer!r}")
            good = True
        except Etcd3Exception as wrong:
            # A refusal is an answer, unless the member says that it can't serve (no leader, a full disk).
            good = not isinstance(wrong, UNFIT)
            raise
        finally:
            now = self.clock()
            self.members.heard(place, good, max(now - began, 0), now, self.random.random())
        return answer

    def seek(self, key: bytes, value: bytes, ttl_s: int) -> Heard:
        """A lease, then the key created under it only if its create revision is 0."""
        sent = self.clock()
        try:
            lease = int(self.call("/lease/grant", {"TTL": ttl_s})["ID"])
            answer = self.call(
                "/kv/txn",
                {
                    "compare": [
                        {"key": b64(key), "result": "EQUAL", "target": "CREATE", "create_revision": "0"}
                    ],
                    "success": [{"request_put": {"key": b64(key), "value": b64(value), "lease": str(lease)}}],
                    "failure": [{"request_range": {"key": b64(key)}}],
                },
            )
        except Exception:
            return Heard(News.UNANSWERED, self.clock(), sent)
        revision = int(answer["header"]["revision"])
        if answer.get("succeeded"):
            return Heard(News.GRANTED, self.clock(), sent, lease=lease, token=revision)
        self.quietly("/kv/lease/revoke", {"ID": str(lease)})  # not needed: let it go now, not at its end
        found = answer["responses"][0]["response_range"].get("kvs", [{}])[0]
        if found and base64.b64decode(found.get("value", "")) == value:
            # An earlier seek of ours was carried out after we gave it up: the key is ours under a lease whose
            # grant time we do not know. STALE: take it as doubtful, and act only after a renewal is answered.
            return Heard(
                News.STALE,
                self.clock(),
                sent,
                lease=int(found.get("lease", 0)),
                token=int(found["create_revision"]),
            )
        return Heard(News.TAKEN, self.clock(), sent, revision=revision)

    def renew(self, lease: int, key: bytes, token: int) -> Heard:
        """Keep-alive, then a read of the key: RENEWED only if the lease lives and the key is ours still."""
        sent = self.clock()
        try:
            kept = self.call("/lease/keepalive", {"ID": str(lease)})
            ttl = int(kept.get("result", kept).get("TTL", 0))
            found = self.call("/kv/range", {"key": b64(key)}).get("kvs", [])
        except Exception:
            return Heard(News.UNANSWERED, self.clock(), sent)
        kept_ours = ttl > 0 and self.ours(found, lease, token)
        return Heard(News.RENEWED if kept_ours else News.LOST, self.clock(), sent, lease, token)

    def check(self, lease: int, key: bytes, token: int) -> Heard:
        """A read of the key: STANDING if it is ours still; nothing is kept alive by it."""
        sent = self.clock()
        try:
            found = self.call("/kv/range", {"key": b64(key)}).get("kvs", [])
        except Exception:
            return Heard(News.UNANSWERED, self.clock(), sent)
        news = News.STANDING if self.ours(found, lease, token) else News.LOST
        return Heard(news, self.clock(), sent, lease, token)

    @staticmethod
    def ours(found: list[dict[str, Any]], lease: int, token: int) -> bool:
        if not found:
            return False
        return (int(found[0]["create_revision"]), int(found[0].get("lease", 0))) == (token, lease)

    def revoke(self, lease: int) -> bool:
        return self.quietly("/kv/lease/revoke", {"ID": str(lease)})

    def quietly(self, path: str, body: dict[str, Any]) -> bool:
        try:
            self.call(path, body)
            return True
        except Exception:
            return False

    def watch(self, key: bytes, revision: int, heard: SimpleQueue[Heard], quiet_s: float) -> threading.Thread:
        """A thread that puts FREED in `heard` once the key is deleted at or after `revision`, then ends.

        It ends as well when the stream does, or says nothing for `quiet_s`, and the holder begins another at
        its next look. Read here from the client's session and not by its `watch`, whose iterator waits for
        ever on a stream that has ended: seen in the harness, a successor then found the key only by looking.
        """
        client = self.clients[self.members.last]

        def follow() -> None:
            try:
                request = {"create_request": {"key": b64(key), "start_revision": str(revision)}}
                with client.session.post(
                    client.get_url("/watch"), json=request, stream=True, timeout=(self.timeout_s, quiet_s)
                ) as stream:
                    deleted = self.deletion(stream.iter_content(chunk_size=None))
                if deleted:
                    heard.put(Heard(News.FREED, self.clock(), revision=deleted))
            except Exception:
                return  # the holder looks again after its wait; a watch is a shortcut, not a promise

        thread = threading.Thread(target=follow, name="keeper-watch", daemon=True)
        thread.start()
        return thread

    @staticmethod
    def deletion(chunks: Iterable[bytes]) -> int:
        """The revision of the first deletion that a watch's stream tells, 0 if it ends before."""
        pending = b""
        for chunk in chunks:
            *lines, pending = (pending + chunk).split(b"\n")
            if len(pending) > MOST_LINE:
                return 0
            for line in filter(None, lines):
                for event in json.loads(line)["result"].get("events", []):
                    if event.get("type") == "DELETE":
                        return int(event["kv"]["mod_revision"])
        return 0
