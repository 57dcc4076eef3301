"""`python -m benchmarks.same --base REV [--text REV]`: does a text of the decisions (this one, or another
revision's) take the same actions as REV's?

REV's `ringshift` is taken out of this repository into a temporary folder (`git archive`), beside a copy of
this text's tests/simulation.py. Both texts play the same seeds' random steps in a process of their own and
write down every action, without fields at their defaults, as an older text may not have them; these are
compared one by one. From the first step that differs on the inputs differ too, so a seed counts as differing
once, with both texts' actions of that step. Exits with 1 if any does.

`--short` asks for no history: it holds this text against a copy of itself, and against a copy with a
constant changed, which must be found.
"""

from __future__ import annotations

import argparse
import shutil
import subprocess
import sys
import tempfile
from itertools import zip_longest
from pathlib import Path
from typing import NamedTuple

ROOT = Path(__file__).parent.parent
PLANTED = ("ringshift/control/door.py", "GAIN = 0.1 ", "GAIN = 0.2 ")  # the door opens twice as fast
# Run in a text's folder, which so comes before whatever is installed. A line for each step: its seed, its
# number and its actions.
PLAY = """
import sys
from dataclasses import fields
from pathlib import Path
from random import Random
import ringshift
from ringshift import interface as face
from tests.simulation import MS, SimulatedServer, any_machine
def shown(one):
    told = ((field, getattr(one, field.name)) for field in fields(one))
    return f"{type(one).__name__}({', '.join(f'{f.name}={v!r}' for f, v in told if v != f.default)})"
assert Path(ringshift.__file__).parent.parent == Path.cwd(), ringshift.__file__
first, seeds, steps, shares = map(int, sys.argv[1:])
for seed in range(first, first + seeds):
    chance, draws = Random(seed), Random(-1 - seed)
    try:
        server = SimulatedServer(any_machine(chance), chance)
        said = server.first
        for step in range(steps + 1):
            print(seed, step, *map(shown, said), sep="\\t")
            server.now += 20 * MS
            if server.kill and server.now >= server.kill:
                break  # the machine is gone
            news = server.any_news()
            if shares and draws.random() < 0.2:
                unit = draws.choice(list(face.Unit))
                amount = draws.choice([0.0, 1.0, 3.0, 50.0])
                until = server.now + draws.randint(-500, 3000) * MS
                news.append(face.Granted(unit, amount, until, draws.choice([0.0, 1.0]),
                                         0 if unit is face.Unit.RATE else -1))
            said = server.step(news)
    except AssertionError as wrong:
        print(seed, -1, f"broke a rule: {wrong}", sep="\\t")
"""


class Draws(NamedTuple):
    first: int
    seeds: int
    steps: int
    shares: bool


def played(folder: Path, out: Path, draws: Draws) -> subprocess.Popen[bytes]:
    with out.open("wb") as told:
        return subprocess.Popen(
            [sys.executable, "-c", PLAY, *(str(int(one)) for one in draws)], cwd=folder, stdout=told
        )


def prepared(folder: Path, base: str, plant: bool = False) -> Path:
    """REV's text, or where none is named a copy of this one, with the steps beside it."""
    folder.mkdir()
    if base:
        found = subprocess.run(["git", "-C", str(ROOT), "archive", base, "ringshift"], capture_output=True)
        if found.returncode:
            raise SystemExit(f"{base}: {found.stderr.decode().strip()} (is the clone shallow?)")
        subprocess.run(["tar", "-x", "-C", str(folder)], input=found.stdout, check=True)
    else:
        shutil.copytree(ROOT / "ringshift", folder / "ringshift")
    (folder / "tests").mkdir()
    for name in ("__init__.py", "simulation.py"):
        shutil.copy(ROOT / "tests" / name, folder / "tests" / name)
    if plant:
        place, old, new = PLANTED
        text = (folder / place).read_text()
        assert text.count(old) == 1, place
        (folder / place).write_text(text.replace(old, new))
    return folder


def compared(base: Path, text: Path, draws: Draws) -> tuple[int, int, list[str]]:
    """Steps and actions of the text, and for each seed that differs where, and what both say there."""
    outs = {one: base.parent / f"{name}.out" for one, name in ((base, "base"), (text, "now"))}
    running = [played(one, out, draws) for one, out in outs.items()]
    if any([one.wait() for one in running]):
        raise SystemExit("one of the texts could not be played")
    count, actions, differing = 0, 0, dict[str, str]()
    old, new = ([line.rstrip("\n").split("\t") for line in out.open()] for out in outs.values())
    of_base = {(line[0], line[1]): line[2:] for line in old}
    of_now = {(line[0], line[1]): line[2:] for line in new}
    for key in dict.fromkeys([*of_base, *of_now]):
        before, now = of_base.get(key, ["no such step"]), of_now.get(key, ["no such step"])
        count, actions = count + 1, actions + len(now)
        if before != now and key[0] not in differing:
            pair = next((b, n) for b, n in zip_longest(before, now, fillvalue="nothing") if b != n)
            differing[key[0]] = f"seed {key[0]}, step {key[1]}: {pair[0]} before, {pair[1]} now"
    return count, actions, list(differing.values())


def main() -> int:
    raw = argparse.RawDescriptionHelpFormatter
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=raw)
    parser.add_argument("--base", default="", help="A revision of this repository.")
    parser.add_argument("--text", default="", help="Another; the files as they lie here without.")
    parser.add_argument("--first", type=int, default=0)
    parser.add_argument("--seeds", type=int, default=400)
    parser.add_argument("--steps", type=int, default=120)
    parser.add_argument("--shares", action="store_true", help="Shares of budgets come and go among the news.")
    parser.add_argument("--short", action="store_true")
    told = parser.parse_args()
    if not (told.base or told.short):
        parser.error("--base REV, or --short")
    with tempfile.TemporaryDirectory() as place:
        folder, draws = Path(place).resolve(), Draws(told.first, told.seeds, told.steps, told.shares)
        if told.short:
            draws = draws._replace(seeds=6, steps=40)
            planted = compared(prepared(folder / "planted", "", True), ROOT, draws)[2]
            print(
                f"a constant changed: {len(planted)} of {draws.seeds} seeds differ; "
                f"{planted[0] if planted else 'NOT FOUND'}"
            )
            if not planted:
                return 1
        base = prepared(folder / "base", told.base)
        text = prepared(folder / "text", told.text) if told.text else ROOT
        count, actions, differing = compared(base, text, draws)
    against = told.base or "a copy of itself"
    print(
        f"{draws.seeds} seeds of up to {draws.steps} steps ({count} played), against {against}: "
        f"{actions} actions, " + (f"{len(differing)} seeds differ" if differing else "all the same")
    )
    for one in differing[:5]:
        print(one)
    return 1 if differing else 0


if __name__ == "__main__":
    sys.exit(main())
