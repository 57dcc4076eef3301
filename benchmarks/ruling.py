"""`python -m benchmarks.ruling`: what a rulebook costs a backend, without and with one, interleaved.

In each round backends serve the same calls one after the other, in an order drawn anew: without a rulebook
(`off`), with an empty one (`empty`), and with one of 10,000 entries held back, a quota, a routing change in
force and a retirement that warns on every answer (`full`). They confirm at a keeper stand-in of this run.
Told: CPU an invocation by the kernel's account, and resident memory at its peak. `--short` is one round of
1,000 calls.
"""

from __future__ import annotations

import argparse
import subprocess
import sys
import tempfile
import time
from collections.abc import Iterator
from contextlib import contextmanager
from datetime import UTC, datetime, timedelta
from pathlib import Path
from random import Random

from benchmarks.recording import Seen, last, served, table
from ringshift.lifecycle.publishing import Publishing
from ringshift.rulebook.bound import ReadingTerms
from ringshift.rulebook.document import read
from ringshift.wire.rules import RulesLink
from standins.room import ROOT

WAYS = ("off", "empty", "full")
EMPTY = "[alone]\n"
ENTRIES = 10_000


def full(now: datetime) -> str:
    """No caller of the calls is named: what is measured is looking, not refusing."""
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
    if way == "off":
        yield {}
        return
    argv = [sys.executable, "-m", "standins.keeper", str(folder / "keeper")]
    process = subprocess.Popen(argv, cwd=ROOT, stdout=subprocess.PIPE, text=True)
    try:
        assert process.stdout is not None
        address = process.stdout.readline().split()[-1]
        text = full(datetime.now(UTC).replace(microsecond=0)) if way == "full" else EMPTY
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


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--rounds", type=int, default=6)
    parser.add_argument("--calls", type=int, default=16_000)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--short", action="store_true")
    told = parser.parse_args()
    rounds, calls = (1, 1000) if told.short else (told.rounds, told.calls)
    random = Random(told.seed)
    seen: Seen = {way: [] for way in WAYS}
    for index in range(rounds):
        seed = random.getrandbits(32)
        for way in random.sample(WAYS, len(WAYS)):
            with tempfile.TemporaryDirectory() as folder, keeper(Path(folder), way) as environ:
                environ = environ or {"RINGSHIFT_RECORDS": "lines"}  # records on in all: they cost the same
                ready = "serving" if way == "off" else '"state":"READING"'
                seen[way].append(served(environ, calls, seed, ready))
        print(f"round {index + 1} of {rounds}: {last(seen)}", flush=True)
    table("rulebook", seen)
    return 0


if __name__ == "__main__":
    sys.exit(main())
