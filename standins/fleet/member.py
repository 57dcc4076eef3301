"""`python -m standins.fleet.member`: a process with a share of a budget that makes calls at the dependency.

The share, the asking and the divider are the program's own (ringshift/lifecycle/sharing.py); only the load is
made up: a demand of calls at once that changes with time, drawn from the seed, each call lasting as the seed
says, within the budget's `longest`. Before each call it looks at what it is allowed, in the one thread that
makes calls and tells what is in use. `--lie` multiplies what it says that it wants. SIGTERM is the notice to
leave: it hands its share back and ends. `--plant BUG` puts a bug of standins/fleet/planted.py in.
"""

from __future__ import annotations

import argparse
import os
import selectors
import signal
import socket
import sys
import time
from pathlib import Path
from random import Random
from typing import Any

import orjson
from loguru import logger

from ringshift.fleet.lease import MS
from ringshift.lifecycle.holder import OwnClock
from ringshift.lifecycle.sharing import Dividers, Sharer, identity
from ringshift.settings.operators import read_operators

EVERY = 0.01  # seconds between two looks
LEVELS = (0, 1, 3, 8, 20, 1000)  # calls at once that a demand may be


class Member:
    def __init__(self, told: argparse.Namespace) -> None:
        operators = read_operators(told.settings)
        assert operators.leases is not None
        self.budget = operators.budgets[0].budget()
        self.random, self.told = Random(told.seed), told
        self.clock = OwnClock(time.monotonic_ns(), told.skew_ppm)
        self.history = Path(told.history).open("ab")  # noqa: SIM115  (for the life of the process)
        terms, keepers = operators.leases.terms(), operators.leases.keepers
        self.sharer = Sharer(
            self.budget, identity(told.name, self.random), keepers, self.clock.now, terms.answer_within
        )
        logger.info(f"{told.name}: seeking as {self.sharer.share.backend}")
        self.dividers = Dividers(
            [self.budget], told.name, terms, keepers, self.clock, told.seed, history=self.history
        )
        self.leaving, self.demand, self.change_at = False, 0, 0.0
        self.calls: dict[int, float] = {}  # under way: number -> when it has surely ended
        self.number, self.pending, self.written = 0, b"", 0.0
        host, _, port = told.dependency.rpartition(":")
        self.sock = socket.create_connection((host, int(port)), 5)
        self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.sock.setblocking(False)

    def run(self) -> int:
        def leave(*_: object) -> None:
            self.leaving = True

        signal.signal(signal.SIGTERM, leave)
        with selectors.DefaultSelector() as ready:
            ready.register(self.sock, selectors.EVENT_READ)
            while not self.leaving:
                if ready.select(EVERY):
                    self.hear()
                self.turn()
        self.sharer.leave(len(self.calls), 0.5)
        self.write("left")
        self.dividers.leave()
        return 0

    def turn(self) -> None:
        now = time.monotonic()
        if now >= self.change_at:
            self.demand = self.told.demand if self.told.demand >= 0 else self.random.choice(LEVELS)
            self.change_at = now + self.random.uniform(0.8, 3.0)
        for number in [number for number, end in self.calls.items() if end <= now]:
            del self.calls[number]  # its answer was lost, but it can't be under way any more
        wanted = min(self.demand, self.budget.whole)
        waiting = max(wanted - len(self.calls), 0) + wanted * (self.told.lie - 1)
        changed = self.sharer.poll(len(self.calls), waiting)
        if changed or now - self.written > 0.2:
            self.written = now
            self.write(
                "share",
                demand=wanted,
                use=len(self.calls),
                share=self.sharer.allowed(),
                state=self.sharer.share.state.name,
                round=self.sharer.share.round,
            )
        while len(self.calls) < wanted and self.begin():
            pass

    def begin(self) -> bool:
        looked = time.monotonic_ns()  # before the last look: at this true moment the look was yet to come
        if len(self.calls) + 1 > self.sharer.allowed():
            return False
        longest = self.budget.longest // MS
        lasts = self.random.randint(min(30, longest), max(longest - 50, 1))
        self.number += 1
        self.calls[self.number] = time.monotonic() + longest / 1000 + 1.0
        self.sock.sendall(f"CALL {self.number} {lasts} {looked} {self.told.name}\n".encode())
        return True

    def hear(self) -> None:
        try:
            part = self.sock.recv(65536)
        except BlockingIOError:
            return
        if not part:
            self.leaving = True  # the dependency is gone: the script is over
            return
        *lines, self.pending = (self.pending + part).split(b"\n")
        for line in lines:
            self.calls.pop(int(line.split()[1]), None)

    def write(self, kind: str, **more: Any) -> None:
        line = {"t": time.monotonic_ns(), "ev": kind, "holder": self.told.name, "pid": os.getpid(), **more}
        self.history.write(orjson.dumps(line) + b"\n")
        self.history.flush()


def main() -> int:
    raw = argparse.RawDescriptionHelpFormatter
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=raw)
    for name in ("settings", "name", "dependency", "history"):
        parser.add_argument(f"--{name}", required=True)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--demand", type=int, default=-1, help="calls at once; below 0: drawn, changing")
    parser.add_argument("--lie", type=float, default=1.0)
    parser.add_argument("--skew-ppm", type=int, default=0)
    parser.add_argument("--plant", default="")
    told = parser.parse_args()
    if told.plant:
        from standins.fleet.planted import BUGS

        BUGS[told.plant]()
    return Member(told).run()


if __name__ == "__main__":
    sys.exit(main())
