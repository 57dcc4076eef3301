"""`python -m benchmarks.flood [--count N]`: what a flood of clients that ask once and stay costs.

One backend of this text on loopback, limited to 512 descriptors, is filled; then N further clients connect,
two of three ask once, and each stays until the backend ends it. Prints the backend's processor time for each
connection and the most files that it was seen to hold open.
"""

from __future__ import annotations

import argparse
import os
import sys
from pathlib import Path
from random import Random

import gevent

from standins.agent import Agent
from standins.host import Host
from standins.sidecar import Sidecar

SOCKETS = 512
FILLING = 500
APART_SECONDS = 0.002
RUN_SECONDS = 0.005
GIVEN_UP_SECONDS = 5.0
SETTLING_SECONDS = 1.0
LOOKED_AT_EVERY = 50


def work(job: str, kind: str, body: bytes) -> tuple[float, str, bytes]:
    """A short run that ends well."""
    return RUN_SECONDS, "good", b"done"


def processor_seconds(process: int) -> float:
    """User and system time of a process so far."""
    fields = Path("/proc", str(process), "stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def open_files(process: int) -> int:
    """How many descriptors a process holds now."""
    return len(os.listdir(f"/proc/{process}/fd"))


def stay(address: tuple[str, int], number: int, random: Random) -> None:
    """One client: connects, asks or not, and leaves once the backend has ended the connection."""
    try:
        client = Sidecar(address)
        client.sock.settimeout(GIVEN_UP_SECONDS)
        if number % 3:
            client.send(client.call(1, HTTP_X_JOB_ID=f"{random.getrandbits(64):016x}"))
        while client.sock.recv(4096):
            pass
        client.sock.close()
    except OSError:
        return


def main() -> int:
    """The exit status."""
    raw = argparse.RawDescriptionHelpFormatter
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=raw)
    parser.add_argument("--count", type=int, default=3000)
    count, random = parser.parse_args().count, Random(1)
    with Host(Agent(work), sockets=SOCKETS) as host:
        host.serving().sock.close()
        process, address, most = host.process.pid, host.address(), 0
        for number in range(FILLING):
            gevent.spawn(stay, address, number, random)
            gevent.sleep(2 * APART_SECONDS)
        gevent.sleep(SETTLING_SECONDS)
        before = processor_seconds(process)
        for number in range(count):
            gevent.spawn(stay, address, number, random)
            gevent.sleep(APART_SECONDS)
            if number % LOOKED_AT_EVERY == 0:
                most = max(most, open_files(process))
        spent = processor_seconds(process) - before
    print(
        f"{spent / count * 1e6:.0f} us of processor time a connection, at most {most} of {SOCKETS} files open"
    )
    return 0


if __name__ == "__main__":
    sys.exit(main())
