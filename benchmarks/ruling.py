"""`python -m benchmarks.ruling`: what a rulebook costs a backend, without and with one, interleaved.

Backends that serve the same calls, all of them up at once: without a rulebook (`off`, and once more as `off
again`: what this machine can tell apart), with an empty one (`empty`), with one of 10,000 entries held back,
a quota, a routing change in force and a retirement that warns on every answer (`full`), and that with 10,000
quotas of callers beside it (`quotas`). They confirm at keeper stand-ins of this run. Blocks of calls go to
one after the other, in an order drawn anew in each round, so what else the machine does falls on all alike.
Told: CPU an invocation by the process's own clock (what it does of itself meanwhile included), its median
over the rounds, of each round's ratio to `off` the median and the quartiles; resident memory at its peak.
`--short` is two rounds of 160 calls.
"""

from __future__ import annotations

import argparse
import statistics
import subprocess
import sys
import tempfile
import time
from collections.abc import Iterator
from contextlib import ExitStack, contextmanager
from datetime import UTC, datetime, timedelta
from pathlib import Path
from random import Random

import gevent

from benchmarks.recording import ask, resident
from ringshift.lifecycle.publishing import Publishing
from ringshift.rulebook.bound import ReadingTerms
from ringshift.rulebook.document import read
from ringshift.wire.rules import RulesLink
from standins.agent import Agent
from standins.caller import Link
from standins.host import ROOT, Host

WAYS = ("off", "off again", "empty", "full", "quotas")
EMPTY = "[alone]\n"
ENTRIES = 10_000
QUOTA = '[[quotas]]\nof = "callers"\nentry = "{}"\nmost = 1e9\n'


def full(now: datetime, quotas: int) -> str:
    """No caller of the calls is held back: what is measured is looking, not refusing."""
    entries = ", ".join(f'"{10**6 + number}"' for number in range(ENTRIES))
    soon, late = now + timedelta(seconds=1), now + timedelta(days=2)
    days = [(now + timedelta(days=day)).isoformat() for day in (-9, -8, 300, 400)]
    return f"""
[[lists]]
of = "callers"
effect = "held_back"
entries = [{entries}]
[[quotas]]
of = "operations"
entry = "look"
most = 1e9
{"".join(QUOTA.format(number) for number in range(quotas))}
[[changes]]
name = "drill"
does = {{kind = "quota", rate = 1000000000}}
from = {soon.isoformat()}
to = {late.isoformat()}
[[timelines]]
name = "look-1"
operation = "look"
successor = "order"
announced = {days[0]}
warned_from = {days[1]}
steps = [{{at = {days[2]}, share = 0.2}}]
end = {days[3]}
[horizon]
at = {now.isoformat()}
to = {(now + timedelta(days=3)).isoformat()}
late_ms = 8000
[alone]
"""


@contextmanager
def keeper(folder: Path, way: str) -> Iterator[dict[str, str]]:
    """The environment of a backend that goes by such a rulebook."""
    if way.startswith("off"):
        yield {"RINGSHIFT_RECORDS": "lines"}  # records on in all: they cost the same
        return
    argv = [sys.executable, "-m", "standins.keeper", str(folder / "keeper")]
    process = subprocess.Popen(argv, cwd=ROOT, stdout=subprocess.PIPE, text=True)
    try:
        assert process.stdout is not None
        address = process.stdout.readline().split()[-1]
        now, quotas = datetime.now(UTC).replace(microsecond=0), ENTRIES if way == "quotas" else 0
        text = EMPTY if way == "empty" else full(now, quotas)
        outcome = Publishing(RulesLink([address], time.monotonic_ns, 5.0), ReadingTerms()).publish(read(text))
        assert outcome.in_force, outcome.why
        (folder / "installation.toml").write_text(EMPTY)
        settings = folder / "fleet.toml"
        settings.write_text(
            f'[records]\nlines = true\n[leases]\nkeepers = ["{address}"]\n'
            f'[rules]\ninstallation = "{folder}/installation.toml"\nwarn = true\n'
        )
        yield {"RINGSHIFT_SETTINGS": str(settings)}
    finally:
        process.kill()
        process.wait()


class Served:
    """A backend that is up."""

    def __init__(self, way: str, stack: ExitStack) -> None:
        folder = Path(stack.enter_context(tempfile.TemporaryDirectory()))
        environ = stack.enter_context(keeper(folder, way))
        agent = Agent(lambda job, kind, body: (0.0, "good", body))
        self.host = stack.enter_context(Host(agent, environ=environ))
        self.host.line("serving" if way.startswith("off") else '"state":"READING"')

    def cpu(self) -> float:
        """Seconds of user and system time by the kernel's clock of that process (clock_getcpuclockid)."""
        return time.clock_gettime(~self.host.process.pid << 3 | 2)

    def block(self, calls: int, seed: int) -> float:
        """Microseconds of CPU an invocation."""
        links = [Link(self.host.address()) for _ in range(4)]  # anew: a backend closes those left unused
        before, random = self.cpu(), Random(seed)
        jobs = [gevent.spawn(ask, links[i % 4], calls // 8, random.getrandbits(32)) for i in range(8)]
        gevent.joinall(jobs, raise_error=True)
        return (self.cpu() - before) / (calls // 8 * 8) * 1e6


def table(spent: dict[str, list[float]], peaks: dict[str, float]) -> None:
    print(
        "\n| rulebook | CPU an invocation, us | against off, median of the rounds | quartiles | "
        "peak memory, MB |\n| --- | --- | --- | --- | --- |"
    )
    for way, costs in spent.items():
        pairs = [on / off - 1 for on, off in zip(costs, spent["off"], strict=True)]
        low, middle, high = statistics.quantiles(pairs, n=4)
        print(
            f"| {way} | {statistics.median(costs):.0f} | {middle:+.1%} | {low:+.1%} to {high:+.1%} | "
            f"{peaks[way]:.1f} |"
        )


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--rounds", type=int, default=60)
    parser.add_argument("--calls", type=int, default=800)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--short", action="store_true")
    told = parser.parse_args()
    rounds, calls = (2, 160) if told.short else (told.rounds, told.calls)
    random, spent = Random(told.seed), dict[str, list[float]]((way, []) for way in WAYS)
    with ExitStack() as stack:
        served = {way: Served(way, stack) for way in WAYS}
        for one in served.values():
            one.block(calls, random.getrandbits(32))
        gevent.sleep(2)  # until the change is in force
        for index in range(rounds):
            seed = random.getrandbits(32)
            for way in random.sample(WAYS, len(WAYS)):
                spent[way].append(served[way].block(calls, seed))
            costs = ", ".join(f"{way} {one[-1]:.0f} us" for way, one in spent.items())
            print(f"round {index + 1} of {rounds}: {costs}", flush=True)
        table(spent, {way: resident(one.host.process.pid) for way, one in served.items()})
    return 0


if __name__ == "__main__":
    sys.exit(main())
