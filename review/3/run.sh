#!/bin/sh
# Does a backend stay under its memory limit while messages that never end come in small records? See claim.txt.
cd "$(dirname "$0")/../.." || exit 2
test -x .venv/bin/python || exit 2
PYTHONDONTWRITEBYTECODE=1 exec .venv/bin/python review/3/case.py
