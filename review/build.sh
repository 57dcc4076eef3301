#!/bin/sh
# The stand-ins of the cases are plain Python on the standard library: nothing is compiled or installed. This
# only makes sure that they can be read by the interpreter of the deploy file's build.
cd "$(dirname "$0")/.." || exit 1
PYTHONDONTWRITEBYTECODE=1 .venv/bin/python -c '
import ast, pathlib
for path in sorted(pathlib.Path("review").rglob("*.py")):
    ast.parse(path.read_text(encoding="utf-8"), str(path))
'
