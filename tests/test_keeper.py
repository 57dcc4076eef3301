"""The keeper stand-in keeps etcd's promises, spoken to through the client library that the program uses."""

from __future__ import annotations

import base64
import itertools
import signal
import subprocess
import sys
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import pytest
from etcd3gw.client import Etcd3Client
from etcd3gw.exceptions import Etcd3Exception

from standins.host import ROOT
from standins.keeper.store import KeeperError, S, Store


class Member:
    """A keeper process on a port the kernel picks; `restart` kills it by SIGKILL, starts it on its disk."""

    def __init__(self, folder: Path, *extra: str) -> None:
        self.folder, self.extra = folder, extra
        self.start()

    def start(self) -> None:
        argv = [
            sys.executable,
            "-m",
            "standins.keeper",
            str(self.folder),
            "--listen",
            "127.0.0.1:0",
            *self.extra,
        ]
        self.process = subprocess.Popen(argv, cwd=ROOT, stdout=subprocess.PIPE, text=True)
        assert self.process.stdout is not None
        line = self.process.stdout.readline()  # the member says where it listens once it does
        assert line.startswith("keeper listening on "), line
        self.port = int(line.rsplit(":", 1)[1])
        self.client = Etcd3Client(host="127.0.0.1", port=self.port, api_path="/v3/", timeout=10)

    def restart(self) -> None:
        self.process.send_signal(signal.SIGKILL)
        self.process.wait(10)
        self.start()

    def stop(self) -> None:
        self.process.kill()
        self.process.wait(10)


@pytest.fixture
def member(tmp_path: Path) -> Iterator[Member]:
    started = Member(tmp_path / "member")
    yield started
    started.stop()


def b64(text: str) -> str:
    return base64.b64encode(text.encode()).decode()


def create_if_absent(client: Etcd3Client, key: str, value: str, lease: int) -> tuple[bool, int]:
    """The lease's own transaction: put only if the key's create revision is 0; the token it holds at."""
    answer = client.transaction(
        {
            "compare": [{"key": b64(key), "result": "EQUAL", "target": "CREATE", "create_revision": "0"}],
            "success": [{"request_put": {"key": b64(key), "value": b64(value), "lease": str(lease)}}],
            "failure": [{"request_range": {"key": b64(key)}}],
        }
    )
    if answer["succeeded"]:
        return True, int(answer["header"]["revision"])
    return False, int(answer["responses"][0]["response_range"]["kvs"][0]["create_revision"])


def test_one_of_two_holders_creates_the_key_and_its_create_revision_is_the_token(member: Member) -> None:
    first, second = member.client.lease(5), member.client.lease(5)
    won, token = create_if_absent(member.client, "/tasks/gather", "a", first.id)
    lost, seen = create_if_absent(member.client, "/tasks/gather", "b", second.id)
    assert (won, lost) == (True, False) and seen == token
    ((value, meta),) = member.client.get("/tasks/gather", metadata=True)
    assert value == b"a" and int(meta["lease"]) == first.id and int(meta["create_revision"]) == token
    first.revoke()
    again, later = create_if_absent(member.client, "/tasks/gather", "b", second.id)
    assert again and later > token  # a successor's token is always higher


def test_a_lease_that_is_not_kept_alive_ends_on_the_keepers_clock_and_takes_its_key(member: Member) -> None:
    lease = member.client.lease(1)
    won, token = create_if_absent(member.client, "/tasks/short", "a", lease.id)
    events, cancel = member.client.watch("/tasks/short", start_revision=token + 1)
    try:
        (gone,) = itertools.islice(events, 1)  # the keeper ends it after its ttl, with nobody asking
    finally:
        cancel()
    assert gone["type"] == "DELETE" and gone["kv"]["key"] == b"/tasks/short"
    assert lease.refresh() == 0 and member.client.get("/tasks/short") == []


def test_watches_deliver_every_change_from_a_revision_in_order(member: Member) -> None:
    start = int(member.client.status()["header"]["revision"]) + 1
    for number in range(5):
        member.client.put("/progress", str(number))
    member.client.delete("/progress")
    events, cancel = member.client.watch("/progress", start_revision=start)
    try:
        seen = list(itertools.islice(events, 6))
    finally:
        cancel()
    assert [(e["type"], e["kv"].get("value")) for e in seen] == [
        *(("PUT", str(n).encode()) for n in range(5)),
        ("DELETE", b""),
    ]
    revisions = [int(e["kv"]["mod_revision"]) for e in seen]
    assert revisions == sorted(revisions) and len(set(revisions)) == 6


def test_killed_and_started_on_its_disk_every_live_lease_gets_its_full_time_to_live(tmp_path: Path) -> None:
    member = Member(tmp_path / "member")
    try:
        lease = member.client.lease(30)
        won, token = create_if_absent(member.client, "/tasks/gather", "a", lease.id)
        revision = int(member.client.status()["header"]["revision"])
        member.restart()
        assert int(member.client.status()["header"]["revision"]) == revision  # never lower after a restart
        told = member.client.post(member.client.get_url("/kv/lease/timetolive"), json={"ID": lease.id})
        assert int(told["grantedTTL"]) == 30 and int(told["TTL"]) >= 29  # the holder is not told expired
        lost, seen = create_if_absent(member.client, "/tasks/gather", "b", member.client.lease(30).id)
        assert not lost and seen == token  # and no newcomer starts early
    finally:
        member.stop()


def test_a_full_disk_refuses_the_write_and_keeps_what_was_there(tmp_path: Path) -> None:
    member = Member(tmp_path / "member", "--disk-bytes", "400")
    try:
        member.client.put("/small", "x")
        with pytest.raises(Etcd3Exception) as refused:
            member.client.put("/large", "y" * 400)
        assert "database space exceeded" in str(refused.value.detail_text)
        assert member.client.get("/small") == [b"x"] and member.client.get("/large") == []
        member.restart()
        assert member.client.get("/small") == [b"x"]
    finally:
        member.stop()


def test_a_transaction_is_one_step_at_one_revision() -> None:
    store = Store()
    store.put(0, b"a", b"1")
    writes = [{"request_put": {"key": b"b", "value": b"2"}}, {"request_delete_range": {"key": b"a"}}]
    held, _ = store.txn(0, [{"key": b"a", "target": "VALUE", "value": b"1"}], writes, [])
    assert held and store.revision == 3 and set(store.kvs) == {b"b"}
    assert [revision for revision, _ in store.events(b"a", b"\0", 1)] == [2, 3, 3]
    with pytest.raises(KeeperError, match="lease not found"):
        store.txn(0, [], [{"request_put": {"key": b"c", "lease": 99}}], [])
    assert store.revision == 3  # a refused transaction writes nothing


def test_a_range_tells_keys_alone_or_what_changed_since_and_counts_all(member: Member) -> None:
    """Fields of etcd's RangeRequest, as published: `count` is of the range, whatever was left out of it."""
    client = member.client
    for name in "abcd":
        client.put(f"/r/{name}", name * 9)
    since = int(client.get("/r/c", metadata=True)[0][1]["mod_revision"])
    whole = {"key": b64("/r/"), "range_end": b64("/r0")}

    def told(**more: Any) -> tuple[list[tuple[str, bool]], int]:
        answer = client.post(client.get_url("/kv/range"), json={**whole, **more})
        inner = {"compare": [], "success": [{"request_range": {**whole, **more}}], "failure": []}
        within = client.transaction(inner)["responses"][0]["response_range"]
        assert answer.get("kvs", []) == within.get("kvs", [])
        kvs = [(base64.b64decode(kv["key"]).decode(), "value" in kv) for kv in answer.get("kvs", [])]
        assert all(int(kv["mod_revision"]) > 0 for kv in answer.get("kvs", []))
        return kvs, int(answer["count"])

    assert told() == ([(f"/r/{name}", True) for name in "abcd"], 4)
    assert told(keys_only=True) == ([(f"/r/{name}", False) for name in "abcd"], 4)
    assert told(min_mod_revision=str(since)) == ([("/r/c", True), ("/r/d", True)], 4)
    assert told(min_mod_revision=str(since + 2)) == ([], 4)
    assert told(count_only=True) == ([], 4)
    client.delete("/r/d")
    assert told(min_mod_revision=str(since), keys_only=True) == ([("/r/c", False)], 3)


def test_a_restart_compacts_history_and_renews_leases_from_its_own_now() -> None:
    store = Store()
    lease, _ = store.grant(0, 10)
    store.put(0, b"k", b"v", lease)
    again = Store.from_image(store.image(), now=9 * S)
    assert again.time_to_live(18 * S, lease)[0] == 1  # ten seconds from the restart at 9 s
    with pytest.raises(KeeperError, match="compacted"):
        again.events(b"k", b"", 1)
    assert again.events(b"k", b"", again.revision + 1) == []


def test_the_backend_as_run_starts_it_opens_no_connection_to_a_keeper(tmp_path: Path) -> None:
    """Leases stay off on the platform: even an operators' file that names a keeper brings no connection."""
    import tomllib

    import gevent
    import gevent.event
    import gevent.socket

    from standins.agent import Agent
    from standins.fleet.proxy import Proxy
    from standins.host import Host

    member = Member(tmp_path / "member")
    proxy = Proxy(("127.0.0.1", member.port))
    address = proxy.start()
    seen: list[object] = []
    serve = proxy.serve

    linked = gevent.event.Event()

    def counted(sock: Any, peer: object) -> None:
        seen.append(peer)
        linked.set()
        serve(sock, peer)

    proxy.server.set_handle(counted)
    settings = tmp_path / "operators.toml"
    settings.write_text(f'[leases]\nkeepers = ["{address}"]\nttl_s = 10\n')
    line = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
    try:
        with Host(
            Agent(lambda job, kind, body: (0.0, "good", b"made")),
            shell=line.replace(".venv/bin/python", sys.executable),
            environ={"RINGSHIFT_SETTINGS": str(settings)},
        ) as host:
            sidecar = host.serving()
            for request in range(1, 6):
                sidecar.send(sidecar.call(request, "look", b"%d" % request))
            assert [sidecar.answer(request).status for request in range(1, 6)].count(200) >= 1
            host.process.send_signal(signal.SIGTERM)
            assert host.ended() == 0
        assert seen == []
        # And the count is not blind: a connection of our own is seen (gevent's: the proxy is in this hub).
        probe = gevent.socket.create_connection(("127.0.0.1", int(address.rsplit(":", 1)[1])))
        assert linked.wait(10)
        probe.close()
        assert len(seen) == 1
    finally:
        proxy.stop()
        member.stop()
