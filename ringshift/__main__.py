"""`python -m ringshift`: one real backend, configured by its environment."""

from __future__ import annotations

import sys

from loguru import logger

from ringshift.lifecycle import logs
from ringshift.lifecycle.configuration import read_backend
from ringshift.lifecycle.program import Program
from ringshift.machine import Malformed


def run() -> int:
    logs.set_up("-")
    try:
        backend = read_backend()
    except Malformed as wrong:
        logger.error("{}", wrong)
        return 2
    logs.set_up(backend.name)
    return Program(backend).run()


if __name__ == "__main__":
    sys.exit(run())
