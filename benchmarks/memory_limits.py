"""`python -m benchmarks.memory_limits`: peak memory of a backend under floods of bad clients, at each limit.

For each limit one backend, an agent that refuses ids it does not know, one sound sidecar and 240 bad
clients of one kind, or of all (`standins/bad_clients.py`). Memory is the process's own, anonymous and shared,
read twenty times a second. Prints a row for each; the exit status is 1 if one went over its limit, or a sound
request got no answer in its time or was taken for a bad one. `--short` plays all kinds together at three
limits, with `--clients` there are more or fewer of them.
"""

from __future__ import annotations

import argparse
import sys
import time
from collections import Counter
from dataclasses import dataclass, field
from pathlib import Path
from random import Random
from typing import Any

import gevent
from gevent import pool, subprocess

from standins.agent import Agent
from standins.bad_clients import KINDS
from standins.host import ROOT, SETTINGS, Host
from standins.sidecar import Sidecar

LIMITS_MB = (32, 48, 64, 96, 192)
SHORT_LIMITS_MB = (32, 64, 192)
SECONDS, SHORT_SECONDS = 20.0, 15.0
READ_EVERY = 0.05
CALL_EVERY = 0.05
RUN_SECONDS = 0.02
SOCKETS = 512
CLIENTS = 240
ANSWER_SECONDS = 9.0
TAKEN = {200, 429, 500}
"""How a sound request may end: served, refused unrun, or late under a flood that takes the processor."""
PATIENT_AIM_MS = 3000.0
PATIENT = {
    **SETTINGS,
    "classes": [{**row, "aim": PATIENT_AIM_MS, "hard_limit": 8000.0} for row in SETTINGS["classes"]],
    "extra": {**SETTINGS["extra"], "fresh": 1000.0},
}


class RefusingAgent(Agent):
    """Runs what the sound sidecar sent, refuses all else."""

    def __init__(self) -> None:
        super().__init__(lambda job, kind, body: (RUN_SECONDS, "good", b"done"))
        self.known: set[str] = set()

    def on_launch(self, fields: dict[str, Any]) -> None:
        """A launch, refused where its id is not known."""
        if fields["job"] in self.known:
            super().on_launch(fields)
        else:
            self.say({"type": "refusal", "state": "launch", "job": fields["job"]})
        self.commands.clear()


@dataclass
class Flood:
    """One flood at one limit, and what was seen."""

    memory_mb: int
    kinds: list[str]
    seed: int
    seconds: float
    clients: int
    slowest: float = 0.0
    """Seconds that the slowest answer to a sound request took."""
    peak_mb: float = 0.0
    ended: bool = False
    """The backend ended by itself."""
    answers: Counter[int] = field(default_factory=Counter)
    unanswered: int = 0

    @property
    def held(self) -> bool:
        """Whether it stayed within its limit, and sound requests lost nothing."""
        inside = 0 < self.peak_mb <= self.memory_mb and not self.ended
        in_time = not self.unanswered and self.slowest <= PATIENT_AIM_MS / 1000
        return inside and in_time and set(self.answers) <= TAKEN and self.answers[200] > 0

    def __str__(self) -> str:
        kind = self.kinds[0] if len(self.kinds) == 1 else "all kinds"
        ends = ", ".join(f"{status}: {count}" for status, count in sorted(self.answers.items()))
        verdict = "held" if self.held else "BROKEN"
        return (
            f"{self.memory_mb:4d} MB  {kind:14s} peak {self.peak_mb:6.1f} MB  sound {ends}, "
            f"slowest {self.slowest:.2f} s, unanswered {self.unanswered}  {verdict}"
        )


def memory_mb(process: int) -> float:
    """Anonymous and shared memory of a process, 0 once it is gone."""
    try:
        lines = Path(f"/proc/{process}/status").read_text(encoding="ascii").splitlines()
    except OSError:
        return 0.0
    held = {name: value for name, _, value in (line.partition(":") for line in lines)}
    return sum(int(held.get(name, "0").split()[0]) for name in ("RssAnon", "RssShmem")) / 1024


def sound_calls(address: tuple[str, int], agent: RefusingAgent, flood: Flood, until: float) -> None:
    """One request after another, each followed to its end; one that crosses the end of its connection is sent
    again, once, on a new one."""
    random, sidecar, number = Random(flood.seed), Sidecar(address), 0
    while time.monotonic() < until:
        number += 1
        job, began = f"{random.getrandbits(64):016x}", time.monotonic()
        agent.known.add(job)
        for again in (False, True):
            try:
                sidecar.send(
                    sidecar.call(number, HTTP_X_JOB_ID=job, HTTP_X_ALLOW_MS="8000", HTTP_X_RAM_KB="1")
                )
                flood.answers[sidecar.answer(number, ANSWER_SECONDS).status] += 1
                break
            except (OSError, AssertionError, gevent.Timeout) as wrong:
                flood.unanswered += again or isinstance(wrong, gevent.Timeout)
                sidecar = Sidecar(address)
        flood.slowest = max(flood.slowest, time.monotonic() - began)
        agent.known.discard(job)
        gevent.sleep(CALL_EVERY)


def play(flood: Flood) -> Flood:
    """Plays one flood; returns it with what was seen."""
    agent = RefusingAgent()
    limits = {"cores": 1.0, "memory_mb": flood.memory_mb, "sockets": SOCKETS}
    with Host(agent, settings=PATIENT, limits=limits) as host:
        host.serving().sock.close()
        until = time.monotonic() + flood.seconds
        words = [*map(str, host.address()), str(flood.seed), str(flood.seconds), str(flood.clients)]
        words += flood.kinds
        bad = subprocess.Popen([sys.executable, "-m", "standins.bad_clients", *words], cwd=ROOT)
        sound = gevent.spawn(sound_calls, host.address(), agent, flood, until)
        try:
            while time.monotonic() < until:
                flood.peak_mb = max(flood.peak_mb, memory_mb(host.process.pid))
                gevent.sleep(READ_EVERY)
            sound.join()
            flood.ended = host.process.poll() is not None
        finally:
            bad.kill()
            bad.wait()
    return flood


def play_side_by_side(floods: list[Flood], together: int) -> list[Flood]:
    """Some at a time; prints each as it ends."""

    def told(flood: Flood) -> Flood:
        print(play(flood), flush=True)
        return flood

    return list(pool.Pool(together).imap(told, floods))


def main() -> int:
    """The exit status."""
    raw = argparse.RawDescriptionHelpFormatter
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=raw)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=SECONDS)
    parser.add_argument("--limits", type=int, nargs="+", default=LIMITS_MB)
    parser.add_argument("--kinds", nargs="+", choices=KINDS, default=None)
    parser.add_argument("--clients", type=int, default=CLIENTS)
    parser.add_argument("--together", type=int, default=2)
    parser.add_argument("--short", action="store_true")
    told = parser.parse_args()
    if told.short:
        floods = [
            Flood(limit, list(KINDS), told.seed, SHORT_SECONDS, told.clients) for limit in SHORT_LIMITS_MB
        ]
        told.together = len(floods)
    else:
        kinds = [[kind] for kind in told.kinds or KINDS] + ([] if told.kinds else [list(KINDS)])
        floods = [
            Flood(limit, kind, told.seed, told.seconds, told.clients)
            for kind in kinds
            for limit in told.limits
        ]
    return int(not all(flood.held for flood in play_side_by_side(floods, told.together)))


if __name__ == "__main__":
    sys.exit(main())
