"""`python -m benchmarks.same --base REV [--text REV]`: does a text of the decisions (this one, or another
revision's) take the same actions as REV's?

REV's `ringshift` is taken out of this repository into a temporary folder (`git archive`), beside what plays
it (benchmarks/played_steps.py, tests/simulation.py) as it was at REV. Both texts play the same seeds' random
steps in a process of their own and write down every action. These are compared one by one, after the names
and texts of REV were replaced by the table in benchmarks/renames.toml (`[names]`, `[texts]`: old = "new"),
where this text has others for them. From the first step that differs on the inputs differ too, so a seed
counts as differing once, with both texts' actions of that step. Exits with 1 if any does.

`--short` asks for no history: it holds this text against a copy of itself, and against a copy with a
constant changed, which must be found.
"""

from __future__ import annotations

import argparse
import re
import shutil
import subprocess
import sys
import tempfile
import tomllib
from collections.abc import Mapping
from dataclasses import dataclass
from itertools import zip_longest
from pathlib import Path
from typing import NamedTuple

ROOT = Path(__file__).parent.parent
PLANTED = ("ringshift/control/door.py", "GAIN = 0.1 ", "GAIN = 0.2 ")  # the door opens twice as fast
RENAMES = ROOT / "benchmarks" / "renames.toml"
PLAYED = ("tests/__init__.py", "tests/simulation.py", "benchmarks/__init__.py", "benchmarks/played_steps.py")
"""What plays a text, by the names that it has."""
WORDS = re.compile(r"""'(?:[^'\\]|\\.)*'|"(?:[^"\\]|\\.)*"|[A-Za-z_]\w*""")


class Draws(NamedTuple):
    first: int
    seeds: int
    steps: int
    shares: bool


def played(folder: Path, out: Path, draws: Draws) -> subprocess.Popen[bytes]:
    with out.open("wb") as told:
        return subprocess.Popen(
            [sys.executable, "-m", "benchmarks.played_steps", *(str(int(one)) for one in draws)],
            cwd=folder,
            stdout=told,
        )


def prepared(folder: Path, base: str, plant: bool = False) -> Path:
    """REV's text, or where none is named a copy of this one, with what plays it beside it.

    A revision of before benchmarks/played_steps.py has the names of this text and is played by its files.
    """
    folder.mkdir()
    own = bool(base) and all(exists(base, name) for name in PLAYED)
    if base:
        names = ["ringshift", *PLAYED] if own else ["ringshift"]
        found = subprocess.run(["git", "-C", str(ROOT), "archive", base, *names], capture_output=True)
        if found.returncode:
            raise SystemExit(f"{base}: {found.stderr.decode().strip()} (is the clone shallow?)")
        subprocess.run(["tar", "-x", "-C", str(folder)], input=found.stdout, check=True)
    else:
        shutil.copytree(ROOT / "ringshift", folder / "ringshift")
    for name in () if own else PLAYED:
        (folder / name).parent.mkdir(exist_ok=True)
        shutil.copy(ROOT / name, folder / name)
    if plant:
        place, old, new = PLANTED
        text = (folder / place).read_text()
        assert text.count(old) == 1, place
        (folder / place).write_text(text.replace(old, new))
    return folder


def exists(revision: str, path: str) -> bool:
    command = ["git", "-C", str(ROOT), "cat-file", "-e", f"{revision}:{path}"]
    return subprocess.run(command, capture_output=True).returncode == 0


@dataclass(frozen=True)
class Renames:
    """Names of classes, fields and members that the newer text has others for, and reworded texts.

    No two names become one, or two different actions would be taken for the same.
    """

    names: Mapping[str, str]
    texts: Mapping[str, str]

    def __post_init__(self) -> None:
        for table in (self.names, self.texts):
            if len(set(table.values())) != len(table):
                raise ValueError("two names became one")

    def __call__(self, action: str) -> str:
        """An action of the older text as the newer one would show it. Raises ValueError."""
        return WORDS.sub(self.renamed, action)

    def renamed(self, found: re.Match[str]) -> str:
        word = found[0]
        table = self.texts if word[0] in "'\"" else self.names
        if word not in table and word in table.values():
            raise ValueError(f"{word}: a new name that the older text has for something else")
        return table.get(word, word)


def read_renames(path: Path) -> Renames:
    """The table, empty where there is no file. Texts are compared as Python shows them."""
    told = tomllib.loads(path.read_text()) if path.exists() else {}
    texts = {repr(old): repr(new) for old, new in told.get("texts", {}).items()}
    return Renames(told.get("names", {}), texts)


def compared(base: Path, text: Path, draws: Draws, renames: Renames) -> tuple[int, int, list[str]]:
    """Steps and actions of the text, and for each seed that differs where, and what both say there."""
    outs = {one: base.parent / f"{name}.out" for one, name in ((base, "base"), (text, "now"))}
    running = [played(one, out, draws) for one, out in outs.items()]
    if any([one.wait() for one in running]):
        raise SystemExit("one of the texts could not be played")
    count, actions, differing = 0, 0, dict[str, str]()
    old, new = ([line.rstrip("\n").split("\t") for line in out.open()] for out in outs.values())
    of_base = {(line[0], line[1]): [renames(action) for action in line[2:]] for line in old}
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
            planted = compared(prepared(folder / "planted", "", True), ROOT, draws, Renames({}, {}))[2]
            print(
                f"a constant changed: {len(planted)} of {draws.seeds} seeds differ; "
                f"{planted[0] if planted else 'NOT FOUND'}"
            )
            if not planted:
                return 1
        base = prepared(folder / "base", told.base)
        text = prepared(folder / "text", told.text) if told.text else ROOT
        renames = read_renames(RENAMES) if told.base and not told.text else Renames({}, {})
        count, actions, differing = compared(base, text, draws, renames)
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
