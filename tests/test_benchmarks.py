"""The recorded runs' commands, each in its short form, all at once."""

from __future__ import annotations

import subprocess
import sys
from pathlib import Path

ROOT = Path(__file__).parent.parent
RUNS = {
    "leases model": "nothing",
    "leases cost": "renewals a second",
    "leases scripts": "overlap 0, stale",
    "budgets model": "nothing",
    "budgets scale": "| 100 |",
    "budgets scripts": "over the whole 0",
    "rulebook model": "nothing",
    "rulebook scale": "| 10 | 4 |",
    "rulebook look": "| 10 |",
    "rulebook book": "| digest |",
    "rulebook lookup": "| 1,000 |",
    "rulebook ramp": "| 5 | 100% |",
    "schedule": "| 1,000 |",
    "schedule --dense": "| 300 |",
    "schedule --timetable": "| 1,000 | 10 |",
    "rulebook refresh": "| 100 |",
    "rulebook rows": "| 10 |",
    "ruling": "| full |",
    "keepers": "etcd3gw",
    "rules scripts": "wrong: contradiction | 0",
    "same": "actions, all the same",
    "mixed": "nothing wrong",
    "restarts": "| warming |",
}


def test_each_recorded_run_goes_through_in_short() -> None:
    started = {
        name: subprocess.Popen(
            [sys.executable, "-m", *f"benchmarks.{name} --short".split()],
            cwd=ROOT,
            stdout=subprocess.PIPE,
            stderr=subprocess.PIPE,
            text=True,
        )
        for name in RUNS
    }
    for name, process in started.items():
        out, err = process.communicate(timeout=180)
        assert process.returncode == 0, (name, out[-2000:], err[-2000:])
        assert RUNS[name] in out, (name, out)
