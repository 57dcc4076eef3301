"""`python -m benchmarks.restarts`: how long a restarted process takes until it is ready, under load.

A few backends are restarted again and again, each time with a fresh, cold agent that comes up late (the
link is accepted, `greeting` held back, by up to four seconds drawn from the seed), every third time with no
announce service to hear its reports. Callers that heed what they are told send all the while as much as the
backends could do when warm. Told apart, from exec on: the interpreter, imports, configuration, listening,
the agent's greeting, and warming until the first good health check after it. `--short` makes four restarts.
"""

from __future__ import annotations

import argparse
import re
import statistics
import sys
import time
from random import Random

import gevent

from standins.agent import Agent
from standins.caller import Link
from standins.host import SETTINGS, Host
from standins.sidecar import Sidecar

RUN = (
    "import sys, time; a = time.time(); import ringshift.lifecycle.entry as entry; b = time.time()\n"
    "def read(old=entry.read_backend):\n"
    "    c = time.time(); backend = old()\n"
    "    print('stages', a, b, c, time.time(), file=sys.stderr, flush=True)\n"
    "    return backend\n"
    "entry.read_backend = read\n"
    "sys.exit(entry.run())"
)
STAGES = (
    "interpreter",
    "import",
    "configuration",
    "to listening",
    "agent",
    "warming",
    "in all",
    "less the agent",
)
CORES, WORK, CALLERS = 6, 0.3, 30  # of each backend; seconds of a mean run on a warm core; callers of each
LATE = 4.0  # seconds within which an agent comes up
SERVES = (1.0, 3.0)  # seconds that a ready one serves before it is stopped
RAMPS = (5.0, 10.0, 17.0)  # seconds to warm


class Slow(Agent):
    """Cold cores, as slow as the settings allow, that the runs share."""

    def __init__(self, chance: Random, ramp: float) -> None:
        self.chance, self.ramp, self.born = chance, ramp, time.monotonic()
        super().__init__(self.run, up=False, state="new")

    def run(self, job: str, kind: str, body: bytes) -> tuple[float, str, bytes]:
        speed = min(1.0, 0.2 + 0.8 * (time.monotonic() - self.born) / self.ramp)
        busy = max(1.0, len(self.running) / CORES)
        return WORK * self.chance.uniform(0.5, 1.5) * busy / speed, "good", b""

    def rise(self) -> None:
        self.born = time.monotonic()
        self.up.set()


def good(host: Host) -> bool:
    try:
        (sidecar := Sidecar(host.address())).send(sidecar.check())
        with gevent.Timeout(2):
            status = sidecar.answer(1).status
        sidecar.sock.close()
        return status == 200
    except (OSError, AssertionError, gevent.Timeout):
        return False


def load(host: Host, chance: Random) -> None:
    """Callers of one backend, each with what it was told: a whole number out, a fraction by chance."""
    link, told, out = Link(host.address()), [0.0] * CALLERS, [0] * CALLERS

    def ask(caller: int) -> None:
        out[caller] += 1
        answer = link.ask("look", b"body", chance.getrandbits(64), 4.0, HTTP_X_SENDER=str(caller))
        out[caller] -= 1
        if answer is not None:
            told[caller] = float(answer.fields.get("X-Advice", "0"))

    def check() -> None:
        while True:
            try:
                (sidecar := Sidecar(host.address())).send(sidecar.check())
                told[:] = [float(sidecar.answer(1).fields.get("X-Advice", "0"))] * CALLERS
                sidecar.sock.close()
            except (OSError, AssertionError):
                return  # it ends
            gevent.sleep(0.5)

    checks = gevent.spawn(check)
    try:
        while not link.broken:
            gevent.sleep(chance.expovariate(CORES / WORK))
            caller = chance.randrange(CALLERS)
            if chance.random() < told[caller] - out[caller]:
                gevent.spawn(ask, caller)
    finally:
        checks.kill()


def restart(chance: Random, number: int) -> list[float]:
    ramp = chance.choice(RAMPS)
    settings = {
        **SETTINGS,
        "extra": {**SETTINGS["extra"], "n_cores": CORES, "upstreams": CALLERS},
        "rules": {**SETTINGS["rules"], "ramp_time": ramp * 1000},
    }
    agent, started = Slow(chance, ramp), time.time()
    with Host(agent, settings=settings, command=("-c", RUN)) as host:
        if number % 3 == 0:
            host.announce.server.stop(0)
        rising = gevent.spawn_later(chance.uniform(0, LATE), agent.rise)
        host.line("listening on", 60)
        listening = time.time()
        host.line("-> serving", 60)
        greeted = time.time()
        sending = gevent.spawn(load, host, Random(chance.random()))
        while not good(host):
            gevent.sleep(0.05)
        ready = time.time()
        gevent.sleep(chance.uniform(*SERVES))
        host.process.terminate()
        host.ended(30)
        gevent.killall([sending, rising])
        a, b, c, d = map(float, re.findall(r"[0-9.]+", host.line("stages ").split("stages")[1]))
    parts = [a - started, b - a, d - c, listening - d, greeted - listening, ready - greeted, ready - started]
    return [*parts, parts[-1] - parts[4]]


def ninetieth(values: list[float]) -> float:
    return statistics.quantiles(values, n=10, method="inclusive")[-1] if len(values) > 1 else values[0]


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--restarts", type=int, default=50)
    parser.add_argument("--backends", type=int, default=4)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--short", action="store_true")
    told = parser.parse_args()
    restarts, backends = (4, 4) if told.short else (told.restarts, told.backends)
    chance, seen, left = Random(told.seed), list[list[float]](), list(range(restarts))

    def again(chance: Random) -> None:
        while left:
            number = left.pop(0)
            seen.append(restart(chance, number))
            print(f"restart {number}: ready after {seen[-1][6]:.2f} s", flush=True)

    greenlets = [gevent.spawn(again, Random(chance.random())) for _ in range(backends)]
    gevent.joinall(greenlets, raise_error=True)
    print(f"\n{len(seen)} restarts of {backends} backends, seed {told.seed}\n")
    print("| seconds | median | 90th percentile | largest |\n| --- | --- | --- | --- |")
    for name, values in zip(STAGES, map(list, zip(*seen, strict=True)), strict=True):
        print(f"| {name} | {statistics.median(values):.2f} | {ninetieth(values):.2f} | {max(values):.2f} |")
    return 0


if __name__ == "__main__":
    sys.exit(main())
