"""`python -m benchmarks.keepers`: the ways to keep a lease, weighed by what each costs on this machine.

clients  etcd3gw (JSON over HTTP) against etcd3 (gRPC), each before a stand-in of one member over the same
store:
         keep-alives a second from one client, CPU of a call. etcd3 0.12.0 carries code made for protobuf 3:
         where the installed protobuf refuses it, it is measured with protobuf's pure Python parsing.
raft     pysyncobj's replicated lock on three processes: time to take and give back, time to another's lock
after
         the process that leads and holds is killed.
row      a lease row in a shared SQLite store: takes and renewals a second, from four processes at once.

Needs `pip install etcd3 pysyncobj` for the first two; what is not there is said. Loopback only, bounded.
"""

from __future__ import annotations

import argparse
import multiprocessing
import os
import socket
import sqlite3
import statistics
import subprocess
import sys
import tempfile
import time
from concurrent import futures
from pathlib import Path
from typing import Any

ROOT = Path(__file__).parent.parent


def report(what: str, done: int, took: float, cpu: float) -> None:
    print(f"| {what} | {done / took:.0f} | {cpu / done * 1e6:.0f} |", flush=True)


def gateway(seconds: float) -> None:
    from ringshift.wire.keeper import KeeperLink

    folder = tempfile.mkdtemp()
    keeper = subprocess.Popen(
        [sys.executable, "-m", "standins.keeper", folder], cwd=ROOT, text=True, stdout=subprocess.PIPE
    )
    try:
        assert keeper.stdout is not None
        link = KeeperLink([keeper.stdout.readline().split()[-1]], time.monotonic_ns, 5.0)
        lease = link.call("/lease/grant", {"TTL": 600})["ID"]
        began, cpu, done = time.monotonic(), time.process_time(), 0
        while time.monotonic() - began < seconds:
            link.call("/lease/keepalive", {"ID": lease})
            done += 1
        report("etcd3gw, JSON over HTTP", done, time.monotonic() - began, time.process_time() - cpu)
    finally:
        keeper.terminate()
        keeper.wait()


def grpc_server(ready: Any) -> None:
    """A member's lease service over gRPC, made of etcd3's own stubs and the stand-in's store."""
    import grpc  # type: ignore[import-untyped, import-not-found, unused-ignore]
    from etcd3 import etcdrpc  # type: ignore[import-untyped, import-not-found, unused-ignore]

    from standins.keeper.store import Store

    store = Store()

    class Lease(etcdrpc.LeaseServicer):  # type: ignore[misc, unused-ignore]
        def LeaseGrant(self, request: Any, context: Any) -> Any:  # noqa: N802
            lease, ttl = store.grant(time.monotonic_ns(), request.TTL, request.ID)
            return etcdrpc.LeaseGrantResponse(ID=lease, TTL=ttl)

        def LeaseKeepAlive(self, requests: Any, context: Any) -> Any:  # noqa: N802
            for request in requests:
                ttl = store.keep_alive(time.monotonic_ns(), request.ID)
                yield etcdrpc.LeaseKeepAliveResponse(ID=request.ID, TTL=ttl)

    server = grpc.server(futures.ThreadPoolExecutor(4))
    etcdrpc.add_LeaseServicer_to_server(Lease(), server)
    port = server.add_insecure_port("127.0.0.1:0")
    server.start()
    ready.send(port)
    ready.recv()
    server.stop(0)


def grpc_client(seconds: float) -> None:
    import etcd3

    near, far = multiprocessing.Pipe()
    server = multiprocessing.get_context("spawn").Process(target=grpc_server, args=(far,))
    server.start()
    client = etcd3.client(host="127.0.0.1", port=near.recv())
    lease = client.lease(600)
    began, cpu, done = time.monotonic(), time.process_time(), 0
    while time.monotonic() - began < seconds:
        lease.refresh()
        done += 1
    told = "etcd3, gRPC, pure Python protobuf" if PURE in os.environ else "etcd3, gRPC"
    report(told, done, time.monotonic() - began, time.process_time() - cpu)
    near.send(0)
    server.join()


PURE = "PROTOCOL_BUFFERS_PYTHON_IMPLEMENTATION"


def clients(seconds: float) -> None:
    print("| client | keep-alives a second, one client | CPU us a call |\n| --- | --- | --- |", flush=True)
    gateway(seconds)
    code = f"from benchmarks.keepers import grpc_client; grpc_client({seconds})"
    for more in ({}, {PURE: "python"}):
        argv = [sys.executable, "-c", "import multiprocessing\nif __name__ == '__main__':\n    " + code]
        ran = subprocess.run(
            argv, cwd=ROOT, env=os.environ | more, capture_output=True, text=True, timeout=120
        )
        if ran.returncode == 0:
            print(ran.stdout, end="", flush=True)
            return
        why = next((line for line in ran.stderr.splitlines() if "rror" in line), "failed")
        print(f"| etcd3, gRPC | does not load: {why[:90]} | |", flush=True)


def free_port() -> int:
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return int(sock.getsockname()[1])


def raft_node(me: str, others: list[str], orders: Any) -> None:
    from pysyncobj import SyncObj, SyncObjConf  # type: ignore[import-untyped, import-not-found, unused-ignore]
    from pysyncobj.batteries import (  # type: ignore[import-untyped, import-not-found, unused-ignore]
        ReplLockManager,
    )

    locks = ReplLockManager(autoUnlockTime=3)
    node = SyncObj(me, others, conf=SyncObjConf(), consumers=[locks])
    while not node.isReady():
        time.sleep(0.01)
    orders.send("ready")
    while True:
        what = orders.recv()
        if what == "leads":
            orders.send(str(node._getLeader()) == me)
        elif what == "take":
            orders.send(locks.tryAcquire("task", sync=True, timeout=5.0))
        elif what == "give":
            locks.release("task", sync=True, timeout=5.0)
            orders.send(True)
        elif what == "wait":
            while True:
                try:
                    if locks.tryAcquire("task", sync=True, timeout=1.0):
                        break
                except Exception:  # no leader for the moment
                    pass
                time.sleep(0.02)
            orders.send(time.monotonic())


def raft(rounds: int) -> None:
    try:
        import pysyncobj  # noqa: F401
    except ImportError:
        print("pysyncobj: not installed")
        return
    context = multiprocessing.get_context("spawn")
    takes, overs = [], []
    for _ in range(rounds):
        names = [f"127.0.0.1:{free_port()}" for _ in range(3)]
        pipes, nodes = [], []
        for name in names:
            near, far = context.Pipe()
            others = [other for other in names if other != name]
            node = context.Process(target=raft_node, args=(name, others, far), daemon=True)
            node.start()
            pipes.append(near)
            nodes.append(node)
        for pipe in pipes:
            pipe.recv()
        for pipe in pipes:
            pipe.send("leads")
        leads = [pipe.recv() for pipe in pipes].index(True)
        for _ in range(20):
            began = time.monotonic()
            pipes[leads].send("take")
            pipes[leads].recv()
            takes.append(time.monotonic() - began)
            pipes[leads].send("give")
            pipes[leads].recv()
        pipes[leads].send("take")
        pipes[leads].recv()
        began = time.monotonic()
        nodes[leads].kill()
        other = pipes[(leads + 1) % 3]
        other.send("wait")
        overs.append(other.recv() - began)
        for node in nodes:
            node.kill()
            node.join()
    print(
        f"pysyncobj, three processes, locks that end after 3 s: a lock taken in "
        f"{statistics.median(takes) * 1e3:.0f} ms (median of {len(takes)}); another's after the leader "
        f"that held it was killed: median {statistics.median(overs):.2f} s, most {max(overs):.2f} s of "
        f"{len(overs)}",
        flush=True,
    )


def row_worker(job: tuple[str, str, float]) -> int:
    path, name, seconds = job
    db = sqlite3.connect(path, isolation_level=None, timeout=5.0)
    began, done = time.monotonic(), 0
    while time.monotonic() - began < seconds:
        now = time.time()
        db.execute("BEGIN IMMEDIATE")
        held = db.execute("SELECT holder, ends, token FROM lease").fetchone()
        if held is None or held[0] == name or held[1] < now:
            token = (held[2] if held else 0) + (held is None or held[0] != name)
            db.execute("INSERT OR REPLACE INTO lease VALUES (1, ?, ?, ?)", (name, now + 3, token))
            done += 1
        db.execute("COMMIT")
    return done


def row(seconds: float) -> None:
    path = str(Path(tempfile.mkdtemp(), "shared.db"))
    db = sqlite3.connect(path)
    db.execute("PRAGMA journal_mode=WAL")
    db.execute("CREATE TABLE lease (id INTEGER PRIMARY KEY, holder TEXT, ends REAL, token INTEGER)")
    db.close()
    with multiprocessing.get_context("spawn").Pool(4) as pool:
        told = pool.map(row_worker, [(path, f"h{n}", seconds) for n in range(4)])
    print(
        f"a lease row in a shared SQLite store: {sum(told) / seconds:.0f} renewals a second from four "
        "processes; its times are the holders' own wall clocks, nobody ends it but the next who looks, "
        "and it lives on one machine's disk",
        flush=True,
    )


def main() -> int:
    raw = argparse.RawDescriptionHelpFormatter
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=raw)
    parser.add_argument("--short", action="store_true")
    short = parser.parse_args().short
    clients(1.0 if short else 8.0)
    raft(1 if short else 8)
    row(0.5 if short else 5.0)
    return 0


if __name__ == "__main__":
    sys.exit(main())
