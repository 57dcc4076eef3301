"""`python -m standins.guard.trace`: every system call of the backend as `run` starts it, serving, told.

The guard of `site/` sees what Python asks for; what the libraries ask of the kernel in C (gevent's loop, its
resolver and thread pool, glibc's name service, loguru's sinks) passes beside it. This command starts the
backend by the deploy file's `run` line under strace(1) (Debian's package `strace`), serves it as the guard
test does (calls of both classes, a deep check, a new configuration by SIGHUP, reports to the announce
service, the notice to leave) and reads the whole trace: the calls made, threads and processes, sockets by
family, files opened, and each call that the full-size bench refuses. It is a look for `docs/platform.md`,
not a test: CI has no strace. Exit status 1 when a refused call was seen.
"""

from __future__ import annotations

import argparse
import os
import re
import shutil
import signal
import sys
import tempfile
import tomllib
from collections import Counter
from dataclasses import dataclass, field
from pathlib import Path

import orjson

from standins import guard
from standins.agent import Agent
from standins.host import ROOT, Host

REFUSED = {
    "fork",
    "vfork",
    "execve",
    "execveat",
    "io_uring_setup",
    "io_uring_enter",
    "splice",
    "sendfile",
    "tee",
    "vmsplice",
}
TASK = re.compile(r"^(\d+) ")
CALL = re.compile(r"^(?P<pid>\d+) +(?P<name>\w+)\((?P<args>.*)")


@dataclass
class Trace:
    """What one strace -f file says, by kind. Only calls begun are counted; their results are not read."""

    calls: Counter[str] = field(default_factory=Counter)
    pids: set[int] = field(default_factory=set)
    families: Counter[str] = field(default_factory=Counter)
    opened: Counter[str] = field(default_factory=Counter)
    threads: int = 0  # clone with CLONE_THREAD
    processes: int = 0  # clone without it
    refused: list[str] = field(default_factory=list)


def read(lines: list[str]) -> Trace:
    """Lines of `strace -f -qq`, `PID name(args) = result`; the first execve is strace's own start."""
    seen, started = Trace(), False
    for line in lines:
        task = TASK.match(line)
        if task is not None:
            seen.pids.add(int(task[1]))  # a task that shows only resumed calls is a task too
        found = CALL.match(line)
        if found is None:
            continue  # a resumed call or a signal; its start was counted
        name, args = found["name"], found["args"]
        seen.calls[name] += 1
        if name == "execve" and not started:
            started = True
            continue
        if name in ("clone", "clone3"):
            if "CLONE_THREAD" in args:
                seen.threads += 1
            else:
                seen.processes += 1
                seen.refused.append(line)
        elif name in REFUSED:
            seen.refused.append(line)
        elif name == "socket":
            family, kind = [part.strip() for part in args.split(",")[:2]]
            seen.families[f"{family} {kind.split('|')[0]}"] += 1
            if family not in ("AF_INET",):
                seen.refused.append(line)
        elif name in ("openat", "open"):
            quoted = re.search(r'"([^"]*)"', args)
            if quoted:
                seen.opened[re.sub(r"/\d+(/|$)", r"/N\1", quoted[1])] += 1
    return seen


def serve(host: Host) -> None:
    """As the guard test serves: both classes, a deep check, SIGHUP, two reports, the notice to leave."""
    sidecar = host.serving()
    for request in range(1, 31):
        sidecar.send(sidecar.call(request, ("look", "order")[request % 2], b"%d" % request))
    checks = host.sidecar()
    checks.send(checks.check(1, deep=True))
    for request in range(1, 31):
        sidecar.answer(request)
    checks.answer(1)
    # Signals go to the backend, strace's child: strace itself would end on them.
    (backend,) = guard.children(host.process.pid)
    host.path.write_bytes(orjson.dumps(host.told))
    os.kill(backend, signal.SIGHUP)
    host.line("configuration read")
    seen = len(host.announce.reports)
    host.wait(host.announce.reported, lambda: len(host.announce.reports) >= seen + 2)
    os.kill(backend, signal.SIGTERM)
    host.ended(30)


def main() -> int:
    raw = argparse.RawDescriptionHelpFormatter
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=raw)
    parser.add_argument("--keep", type=Path, help="where to keep the whole trace")
    told = parser.parse_args()
    strace = shutil.which("strace")
    if strace is None:
        print("trace: strace is not installed (Debian's package strace)", file=sys.stderr)
        return 2
    out = told.keep or Path(tempfile.mkdtemp()) / "backend.trace"
    line = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
    if "exec .venv/bin/python" not in line:
        print(f"trace: the run line has changed, and this command must follow it: {line}", file=sys.stderr)
        return 2
    line = line.replace("exec .venv/bin/python", f"exec {strace} -f -qq -s 200 -o {out} {sys.executable}")
    with Host(Agent(lambda job, kind, body: (0.0, "good", b"made")), shell=line) as host:
        serve(host)
    seen = read(out.read_text().splitlines())
    print(f"run line under strace: {line}\n")
    print(
        f"{sum(seen.calls.values())} calls of {len(seen.calls)} kinds; {len(seen.pids)} tasks; "
        f"{seen.threads} threads started, {seen.processes} processes started\n"
    )
    print("| call | times |\n| --- | --- |")
    for name, times in sorted(seen.calls.items()):
        print(f"| {name} | {times} |")
    print("\n| socket | times |\n| --- | --- |")
    for family, times in sorted(seen.families.items()):
        print(f"| {family} | {times} |")
    print("\n| file opened (numbers as N) | times |\n| --- | --- |")
    for path, times in sorted(seen.opened.items()):
        print(f"| {path} | {times} |")
    print(f"\nrefused by the full-size bench: {len(seen.refused)}")
    for refused in seen.refused[:20]:
        print(f"  {refused}")
    return 1 if seen.refused else 0


if __name__ == "__main__":
    sys.exit(main())
