#!/bin/sh
# Builds the stand-ins of the cases 6 to 10, after the build of the deploy file. They are Python of the standard
# library, run by the environment of the deploy file, so there is nothing to compile: this checks that they load.
cd "$(dirname "$0")" || exit 1
exec ../.venv/bin/python -B -c 'import common_2'
