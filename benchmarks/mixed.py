"""`python -m benchmarks.mixed --base REV [--text REV]`: do two revisions of the program work together?

Both are copied into a temporary folder (without `--text`, the second one is the working tree).

records     Each revision runs a backend and, unless `--short`, a staged incident. The records of both are
            checked, gathered and shown by both: what the two show must be alike, and nothing is refused.
processes   Fleets of six processes, three of each revision, at one coordination store: holders of a lease,
            members of a budget and its dividers, publishers and readers of a rulebook, backends of a retired
            operation. One process is killed and one loses its connections; a slot that is started again runs
            the other revision, so that it goes on from what the first one left at the store and on its disk.
            The checkers of standins/checkers judge the histories.

Results of keyed invocations are kept in memory only; there is no stored form to compare. `--short` compares
the working tree with a copy of itself, and with a copy in which the name of one recorded field was changed,
which must be found. Exits with 1 if anything is wrong.
"""

from __future__ import annotations

import argparse
import os
import shutil
import signal
import subprocess
import sys
import tempfile
import threading
from collections import Counter
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from pathlib import Path
from typing import Any, Protocol, Self

from gevent.pool import Pool

from standins.checkers import budgets as budget_checker
from standins.checkers import leases as lease_checker
from standins.checkers import rules as rules_checker
from standins.checkers.leases import lines
from standins.fleet.budgets import BudgetFleet, BudgetScript
from standins.fleet.harness import Fault, Fleet, Script
from standins.fleet.rules import RulesFleet
from standins.fleet.rulescript import RulesScript

ROOT = Path(__file__).parent.parent
COPIED = ("ringshift", "standins")
RENAMED_FIELD = (
    "ringshift/records/schema.py",
    "    cold: bool\n    took_ms: float\n",
    "    cold: bool\n    lasted_ms: float\n",
)
FLEETS_AT_ONCE = 2
BACKEND_TIMEOUT_SECONDS = 60
COMMAND_TIMEOUT_SECONDS = 120
STAGE = ("--kinds", "hung+kill", "--seed", "7")


@dataclass(frozen=True)
class Revision:
    """A copy of the program. `name` is `base` or `text`."""

    name: str
    root: Path

    def run(self, *arguments: str) -> subprocess.CompletedProcess[str]:
        """Runs a module of this copy to its end."""
        argv = [sys.executable, "-m", *arguments]
        return subprocess.run(
            argv, cwd=self.root, capture_output=True, text=True, timeout=COMMAND_TIMEOUT_SECONDS
        )


def copied(root: Path, revision: str) -> Path:
    """The packages of a revision, or of the working tree where it is empty. Raises SystemExit."""
    root.mkdir()
    if not revision:
        for package in COPIED:
            shutil.copytree(ROOT / package, root / package)
        return root
    archive = subprocess.run(["git", "-C", str(ROOT), "archive", revision, *COPIED], capture_output=True)
    if archive.returncode:
        raise SystemExit(f"{revision}: {archive.stderr.decode().strip()} (is the clone shallow?)")
    subprocess.run(["tar", "-x", "-C", str(root)], input=archive.stdout, check=True)
    return root


def with_renamed_field(root: Path) -> Path:
    """A copy of the working tree that writes one field of its records under another name."""
    copied(root, "")
    file, old, new = RENAMED_FIELD
    text = (root / file).read_text()
    if text.count(old) != 1:
        raise SystemExit(f"{file}: {old.strip()} is not there once")
    (root / file).write_text(text.replace(old, new))
    return root


# Records.


def backend_log(revision: Revision, folder: Path) -> None:
    """Runs one backend until it has answered a call and written the figures of a second."""
    environ = os.environ | {"RINGSHIFT_RECORDS": "lines"}
    argv = [sys.executable, "-m", "standins"]
    process = subprocess.Popen(
        argv, cwd=revision.root, env=environ, stdout=subprocess.PIPE, stderr=subprocess.STDOUT, text=True
    )
    assert process.stdout is not None
    written = list[str]()
    limit = threading.Timer(BACKEND_TIMEOUT_SECONDS, process.kill)
    limit.start()
    for line in process.stdout:
        written.append(line)
        if '"kind":"second"' in line and any(line.startswith("FastCGI on") for line in written):
            process.send_signal(signal.SIGINT)
    limit.cancel()
    if process.wait():
        raise SystemExit(f"{revision.name}: the backend ended with an error: {''.join(written[-5:])}")
    (folder / "backend.log").write_text("".join(line for line in written if line.startswith("{")))


def recorded(revision: Revision, folder: Path, short: bool) -> Path:
    """The folder of logs that a revision wrote."""
    folder.mkdir()
    if not short:
        staged = revision.run("standins.stage", *STAGE, str(folder))
        if staged.returncode:
            raise SystemExit(f"{revision.name}: the staged incident failed: {staged.stderr[-500:]}")
    backend_log(revision, folder)
    return folder


def shown(reader: Revision, logs: Path, store: Path) -> tuple[str, list[str]]:
    """What a revision shows of these logs, record by record, and what it refuses."""
    paths = [str(path) for path in sorted(logs.glob("*.log"))]
    checked = reader.run("ringshift", "records", "check", *paths)
    gathered = reader.run("ringshift", "records", "gather", *paths, "-o", str(store))
    refused = checked.stdout.splitlines() + [gathered.stderr.strip()] * (gathered.returncode != 0)
    return reader.run("ringshift", "records", "show", "--json", str(store)).stdout, refused


def compared_records(revisions: tuple[Revision, Revision], folder: Path, short: bool) -> Iterator[str]:
    """What is wrong, a line each."""
    for writer in revisions:
        logs = recorded(writer, folder / f"logs-{writer.name}", short)
        views = list[str]()
        for reader in revisions:
            store = folder / f"{writer.name}-read-by-{reader.name}.db"
            view, refused = shown(reader, logs, store)
            yield from (f"records of {writer.name} refused by {reader.name}: {one}" for one in refused[:3])
            if not view:
                yield f"records of {writer.name}: {reader.name} shows none"
            views.append(view)
            other = next(one for one in revisions if one is not reader)
            if other.run("ringshift", "records", "show", "--json", str(store)).stdout != view:
                yield f"store of {reader.name}, records of {writer.name}: {other.name} shows it otherwise"
        if views[0] != views[1]:
            yield f"records of {writer.name}: the two revisions show them otherwise"
        print(f"records of {writer.name}: {views[0].count(chr(10))} shown by both", flush=True)


# Processes.


class Alternating(Fleet):
    """Slots run the two revisions in turn, and so do the processes of one slot that is started again."""

    revisions: tuple[Revision, Revision]
    starts: Counter[int]

    def directory(self, number: int) -> Path:
        revision = self.revisions[(number + self.starts[number]) % len(self.revisions)]
        self.starts[number] += 1
        return revision.root

    def alternate(self, revisions: tuple[Revision, Revision]) -> Self:
        """To be called before the fleet is played."""
        self.revisions, self.starts = revisions, Counter()
        return self


class MixedBudget(BudgetFleet, Alternating):
    """A budget shared by members of two revisions."""


class MixedRules(RulesFleet, Alternating):
    """A rulebook published and read by two revisions."""


class Judged(Protocol):
    """What every checker returns."""

    wrong: list[str]


@dataclass(frozen=True)
class Case:
    """A script, and how many times its checker must have seen what the script is about."""

    make: Callable[[Path], Alternating]
    check: Callable[[Path], Judged]
    happened: Callable[[Any, Path], dict[str, int]]


def lease_case(seconds: float, holders: int) -> Case:
    faults = [Fault(2000, "kill", -2, 800), Fault(int(seconds * 600), "cut", -2, 0)]
    script = Script(5, holders, seconds, first_holds=True, faults=faults)
    return Case(
        lambda folder: Alternating(script, folder),
        lease_checker.check,
        lambda verdict, _: {"steps": verdict.accepted, "holders": verdict.holders_seen - 1},
    )


def budget_case() -> Case:
    faults = [Fault(4000, "kill", -2, 1500), Fault(8000, "cut", 1, 0)]
    script = BudgetScript(
        3, 6, 14.0, faults=faults, demand=[1000], ledger=True, first_holds=True, whole=20, most=8
    )
    return Case(
        lambda folder: MixedBudget(script, folder),
        budget_checker.check,
        lambda verdict, _: {"samples": verdict.samples, "most in use": verdict.most},
    )


def rules_case() -> Case:
    """Two publishers, one of each revision; two readers start from their disk while the store is away."""
    orders = ["1200 0 publish 11", "4500 1 publish 12", "5500 0 announce 13"]
    faults = [
        Fault(700, "cut", 4, 0),
        Fault(2400, "keeper_kill", -1, 2500),
        Fault(2500, "kill", 2, 200),
        Fault(2600, "kill", 3, 200),
    ]
    script = RulesScript(
        3, 6, 7.5, publishers=2, orders=orders, faults=faults, disk=True, limit_ms=6000, most=8
    )

    def began_by_cache(folder: Path, slot: str) -> bool:
        """Whether the slot's second process acted by the file that one of the other revision had left."""
        acts = [line for line in lines(folder / f"{slot}.jsonl") if line["ev"] == "acts"]
        later = [line for line in acts if line["pid"] != acts[0]["pid"]]
        return bool(later) and not later[0]["stamps"] and len(later[0]["parts"]) >= 2

    return Case(
        lambda folder: MixedRules(script, folder),
        rules_checker.check,
        lambda verdict, folder: {
            "settled": int(verdict.settled),
            "switches": verdict.switches,
            "in force": verdict.in_force,
            "h2 began by the other's cache": int(began_by_cache(folder, "h2")),
            "h3 began by the other's cache": int(began_by_cache(folder, "h3")),
        },
    )


def retirement_case() -> Case:
    faults = [Fault(2000, "kill", 1, 200), Fault(2100, "cut", 2, 0)]
    script = RulesScript(
        3,
        7,
        5.0,
        publishers=1,
        orders=["200 0 retire 0"],
        faults=faults,
        limit_ms=6000,
        retires=True,
        until_edition=3,
        most=9,
    )
    return Case(
        lambda folder: MixedRules(script, folder),
        rules_checker.check,
        lambda verdict, _: {
            "settled": int(verdict.settled),
            "warned": verdict.shedding.warned,
            "shed": verdict.shedding.shed,
            "decisions": verdict.shedding.editions,
        },
    )


CASES: dict[str, Case] = {
    "leases": lease_case(9.0, holders=6),
    "budget": budget_case(),
    "rulebook": rules_case(),
    "retirement": retirement_case(),
}
SHORT_CASES: dict[str, Case] = {"leases": lease_case(6.0, holders=2)}


def play(name: str, case: Case, revisions: tuple[Revision, Revision], folder: Path) -> list[str]:
    """What is wrong, a line each."""
    fleet = case.make(folder).alternate(revisions)
    fleet.play()
    verdict = case.check(folder)
    happened = case.happened(verdict, folder)
    print(f"{name}: {sum(fleet.starts.values())} processes; {happened}; wrong {verdict.wrong}", flush=True)
    missing = [what for what, times in happened.items() if times <= 0]
    return [f"{name}: {one}" for one in (*verdict.wrong, *(f"did not happen: {what}" for what in missing))]


def compared(revisions: tuple[Revision, Revision], folder: Path, short: bool) -> list[str]:
    """All that is wrong between two revisions, a line each."""
    folder.mkdir()
    wrong = list(compared_records(revisions, folder, short))
    cases = SHORT_CASES if short else CASES
    pool = Pool(FLEETS_AT_ONCE)
    jobs = [pool.spawn(play, name, case, revisions, folder / name) for name, case in cases.items()]
    return wrong + [one for job in jobs for one in job.get()]


def renamed_field_is_found(folder: Path) -> bool:
    """Whether records under another name would be noticed."""
    folder.mkdir()
    base = Revision("base", copied(folder / "base", ""))
    renamed = Revision("text", with_renamed_field(folder / "text"))
    found = list(compared_records((base, renamed), folder, short=True))
    print(f"a recorded field renamed: {found[0] if found else 'NOT FOUND'}", flush=True)
    return bool(found)


def main() -> int:
    raw = argparse.RawDescriptionHelpFormatter
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=raw)
    parser.add_argument("--base", default="", help="A revision of this repository.")
    parser.add_argument("--text", default="", help="Another; the working tree without.")
    parser.add_argument("--short", action="store_true")
    options = parser.parse_args()
    if not (options.base or options.short):
        parser.error("--base REV, or --short")
    folder = Path(tempfile.mkdtemp(prefix="mixed-")).resolve()
    if options.short and not renamed_field_is_found(folder / "renamed"):
        return 1
    base = Revision("base", copied(folder / "base", options.base))
    text = Revision("text", copied(folder / "text", options.text))
    wrong = compared((base, text), folder / "play", options.short)
    print(f"{options.base or 'a copy of itself'} with {options.text or 'the working tree'}: ", end="")
    if wrong:
        print(f"{len(wrong)} wrong, histories in {folder}", *wrong, sep="\n")
        return 1
    shutil.rmtree(folder, ignore_errors=True)
    print("nothing wrong")
    return 0


if __name__ == "__main__":
    sys.exit(main())
