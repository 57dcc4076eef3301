"""The backend as `run` starts it does only what the full-size bench allows: one process, IPv4, threads wait.

The guard in `standins/guard` fails and names each refused call; the checks of the guard itself come first, so
that a guard that sees nothing can't pass for a backend that does nothing wrong.
"""

from __future__ import annotations

import os
import signal
import subprocess
import sys
import time
import tomllib

import pytest

from standins import guard
from standins.agent import Agent
from standins.host import ROOT, SETTINGS, Host

PLANTED = {
    "fork": "import os; os.fork()",
    "program": "import subprocess; subprocess.run(['true'])",
    "spawn": "import os; os.posix_spawn('/bin/true', ['true'], {})",
    "exec": "import os; os.execv('/bin/true', ['true'])",
    "unix socket": "import socket; socket.socket(socket.AF_UNIX)",
    "socket pair": "import socket; socket.socketpair()",
    "ipv6 socket": "import socket; socket.socket(socket.AF_INET6)",
    "raw socket": "import socket; socket.socket(socket.AF_INET, socket.SOCK_RAW)",
}


def guarded() -> dict[str, str]:
    return {**os.environ, "PYTHONPATH": os.pathsep.join([str(guard.SITE), str(ROOT)])}


@pytest.mark.parametrize("planted", PLANTED)
def test_the_guard_refuses_and_names_each_planted_call(planted: str) -> None:
    done = subprocess.run(
        [sys.executable, "-c", PLANTED[planted]], env=guarded(), capture_output=True, timeout=60, cwd=ROOT
    )
    assert b"guard: refused" in done.stderr
    assert done.returncode != 0


def test_the_guard_lets_ipv4_sockets_and_threads_be() -> None:
    plain = "import socket, threading\nsocket.socket().close()\n"
    plain += "socket.socket(type=socket.SOCK_DGRAM).close()\n"
    plain += "t = threading.Thread(target=print); t.start(); t.join()"
    done = subprocess.run([sys.executable, "-c", plain], env=guarded(), capture_output=True, timeout=60)
    assert (done.returncode, done.stderr) == (0, b"")


def test_a_thread_that_does_not_wait_is_seen() -> None:
    spin = "import threading, sys\nthreading.Thread(target=lambda: [0 for _ in iter(int, 1)]).start()\n"
    spin += "sys.stdout.write('spinning\\n'); sys.stdout.flush()\nsys.stdin.read()"
    pipes = {"stdin": subprocess.PIPE, "stdout": subprocess.PIPE}
    with subprocess.Popen([sys.executable, "-c", spin], **pipes) as child:  # type: ignore[call-overload]
        try:
            assert child.stdout is not None and child.stdout.readline() == b"spinning\n"
            before, start = guard.threads(child.pid), time.monotonic()
            while not guard.busy(before, guard.threads(child.pid), time.monotonic() - start):
                # Each reading is a wait on the spinning thread itself, which makes the stretch grow.
                assert time.monotonic() - start < 30
        finally:
            child.kill()


def run_line() -> str:
    """`run` of the deploy file, with this test's interpreter in place of the one that `build` makes."""
    line = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
    assert ".venv/bin/python" in line
    return str(line).replace(".venv/bin/python", sys.executable)


def test_the_backend_as_run_starts_it_needs_nothing_that_the_bench_refuses() -> None:
    # The stand-ins' settings ask for real deep checks, so that the check below exercises the agent too.
    assert SETTINGS["extra"]["real_checks"] is True
    with Host(
        Agent(lambda job, kind, body: (0.0, "good", b"made")), shell=run_line(), environ=guarded()
    ) as host:
        try:
            serve_and_leave(host)
        finally:
            # First, as a refused call may have ended the program before anything else could be seen.
            assert [line for line in host.lines if "guard:" in line] == []


def serve_and_leave(host: Host) -> None:
    sidecar = host.serving()
    pid = host.process.pid
    assert os.path.basename(guard.program(pid)).startswith("python"), "run did not end by exec"
    for request in range(1, 31):
        sidecar.send(sidecar.call(request, ("look", "order")[request % 2], b"%d" % request))
    checks = host.sidecar()  # a health check ends its connection after the answer
    checks.send(checks.check(1, deep=True))
    ends = [sidecar.answer(request).status for request in range(1, 31)]
    assert set(ends) <= {200, 429} and ends.count(200) >= 10  # the module may throttle a burst
    assert checks.answer(1).status == 200
    host.replace()  # a SIGHUP in service reads the configuration anew
    host.line("configuration read")
    before, start = guard.threads(pid), time.monotonic()
    seen = len(host.announce.reports)
    host.wait(host.announce.reported, lambda: len(host.announce.reports) >= seen + 2)
    assert not guard.busy(before, guard.threads(pid), time.monotonic() - start)
    assert guard.children(pid) == []
    host.process.send_signal(signal.SIGTERM)
    assert host.ended() == 0


def test_the_trace_reader_tells_threads_from_processes_and_names_refused_sockets() -> None:
    from standins.guard.trace import read

    seen = read(
        [
            '7 execve("/usr/bin/python", ["python"], 0x7ffd /* 9 vars */) = 0',
            "7 clone3({flags=CLONE_VM|CLONE_FS|CLONE_FILES|CLONE_SIGHAND|CLONE_THREAD, ...}, 88) = 8",
            "7 clone(child_stack=NULL, flags=CLONE_CHILD_CLEARTID|CLONE_CHILD_SETTID|SIGCHLD, ...) = 9",
            "7 socket(AF_INET, SOCK_STREAM|SOCK_CLOEXEC, IPPROTO_IP) = 3",
            "7 socket(AF_UNIX, SOCK_STREAM|SOCK_CLOEXEC|SOCK_NONBLOCK, 0) = 4",
            '9 execve("/bin/true", ["true"], 0x7ffd /* 9 vars */) = 0',
            '7 openat(AT_FDCWD, "/proc/7/status", O_RDONLY) = 5',
            "8 <... futex resumed>) = 0",
        ]
    )
    assert (seen.threads, seen.processes, seen.pids) == (1, 1, {7, 8, 9})
    assert seen.families == {"AF_INET SOCK_STREAM": 1, "AF_UNIX SOCK_STREAM": 1}
    assert [line.split()[1].split("(")[0] for line in seen.refused] == ["clone", "socket", "execve"]
    assert seen.opened == {"/proc/N/status": 1}
