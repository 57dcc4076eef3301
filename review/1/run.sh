#!/bin/sh
# Does a backend stay under its memory limit while bad clients tell a figure out of any range? See claim.txt.
cd "$(dirname "$0")/../.." || exit 2
test -x .venv/bin/python || exit 2
PYTHONDONTWRITEBYTECODE=1 exec .venv/bin/python review/1/case.py
