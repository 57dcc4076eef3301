"""`python -m benchmarks.earlier_words [FOLDER]`: how often the words of the earlier style stand in the code.

Counts them in names (split at underscores and capitals) and in comments and docstrings, of each package
below FOLDER, by default this repository. A word that the field uses too is counted wherever it stands, so a
count need not fall to zero: the table shows where to look, and what a rewording changed.
"""

from __future__ import annotations

import argparse
import ast
import io
import re
import tokenize
from collections import Counter
from collections.abc import Iterator
from pathlib import Path

ROOT = Path(__file__).parent.parent
ROOTS = ("ringshift", "standins", "benchmarks", "tests")
EARLIER_WORDS = frozenset(
    word
    for line in (
        "keeper door lot beat look hush errand wish news picture sight course docket stint judge telling",
        "house floor inv happening tokened rations works census heard told face some",
    )
    for word in line.split()
)
PART = re.compile(r"[A-Z]?[a-z]+|[A-Z]+(?![a-z])")
DOCUMENTED = ast.Module | ast.ClassDef | ast.FunctionDef | ast.AsyncFunctionDef


def words(text: str) -> Iterator[str]:
    """The earlier words among those of a text, in the singular."""
    for part in PART.findall(text):
        word = part.lower()
        if word in EARLIER_WORDS:
            yield word
        elif word.removesuffix("s") in EARLIER_WORDS:
            yield word.removesuffix("s")


def comments(source: str) -> Iterator[str]:
    for token in tokenize.generate_tokens(io.StringIO(source).readline):
        if token.type == tokenize.COMMENT:
            yield token.string
    for node in ast.walk(ast.parse(source)):
        if isinstance(node, DOCUMENTED) and (text := ast.get_docstring(node)):
            yield text


def names(source: str) -> Iterator[str]:
    for token in tokenize.generate_tokens(io.StringIO(source).readline):
        if token.type == tokenize.NAME:
            yield token.string


def package(path: Path) -> str:
    """`ringshift/wire` for a module in it, `ringshift` for one beside the packages."""
    folders = path.parts[:-1]
    return "/".join(folders[:2])


def counted(root: Path) -> dict[str, tuple[Counter[str], Counter[str]]]:
    """Package to its counts in names and in comments."""
    found = dict[str, tuple[Counter[str], Counter[str]]]()
    for path in sorted(path for top in ROOTS for path in (root / top).rglob("*.py")):
        source = path.read_text(encoding="utf-8")
        in_names, in_comments = found.setdefault(package(path.relative_to(root)), (Counter(), Counter()))
        in_names.update(word for name in names(source) for word in words(name))
        in_comments.update(word for text in comments(source) for word in words(text))
    return found


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("folder", nargs="?", type=Path, default=ROOT)
    found = counted(parser.parse_args().folder)
    print("| package | in names | in comments | most frequent |\n| --- | --- | --- | --- |")
    for name, (in_names, in_comments) in found.items():
        frequent = ", ".join(f"{word} {count}" for word, count in (in_names + in_comments).most_common(5))
        print(f"| {name} | {in_names.total()} | {in_comments.total()} | {frequent} |")
    totals = [sum((pair[place] for pair in found.values()), Counter[str]()).total() for place in range(2)]
    print(f"| all | {totals[0]} | {totals[1]} | |")


if __name__ == "__main__":
    main()
