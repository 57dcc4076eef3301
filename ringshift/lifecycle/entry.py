"""The backend's way in: signals first, then its configuration, its records if any, and the program."""

from __future__ import annotations

import os
import re
import signal
from collections.abc import Callable
from pathlib import Path
from typing import TYPE_CHECKING

import gevent
from gevent.event import Event
from loguru import logger

from ringshift.lifecycle.configuration import Backend, read_backend
from ringshift.lifecycle.program import Program
from ringshift.lifecycle.recording import begin
from ringshift.machine import Malformed
from ringshift.runtime import logs

if TYPE_CHECKING:
    from ringshift.lifecycle.ruling import Rulings
    from ringshift.lifecycle.sharing import Shares
    from ringshift.records.schema import Body


def sharing(backend: Backend, clock: Callable[[], int], tell: Callable[[Body], None] | None) -> Shares | None:
    """Shares of fleet-wide budgets, where the operators' file names any; nothing more is imported without."""
    path = os.environ.get("RINGSHIFT_SETTINGS", "")
    if not path or "[[budgets]]" not in Path(path).read_text(encoding="utf-8"):
        return None
    from ringshift.lifecycle.sharing import shares

    operations = {op.name: index for index, op in enumerate(backend.machine.operations)}
    return shares(path, backend.name, backend.seed, clock, operations, tell)


def ruling(backend: Backend, clock: Callable[[], int], tell: Callable[[Body], None] | None) -> Rulings | None:
    """The fleet's rulebook, where the operators' file has a table for it; nothing is imported without."""
    path = os.environ.get("RINGSHIFT_SETTINGS", "")
    if not path or not re.search(r"^\s*\[rules\]", Path(path).read_text(encoding="utf-8"), re.MULTILINE):
        return None
    from ringshift.lifecycle.ruling import rulings

    return rulings(path, backend.name, backend.seed, clock, backend.machine, tell)


def run() -> int:
    logs.set_up("-")
    # Before the file is read, as what replaces it after that is told by this alone; unheeded it would end us,
    # and so would a notice to drain.
    told, replaced = Event(), Event()
    for number, event in ((signal.SIGTERM, told), (signal.SIGINT, told), (signal.SIGHUP, replaced)):
        gevent.signal_handler(number, event.set)
    try:
        backend = read_backend()
        logs.set_up(backend.name)
        recording = begin(backend)
    except Malformed as wrong:
        logger.error("{}", wrong)
        return 2
    program = Program(backend, told, replaced, recording.watch)
    shares = rules = None
    status = 1
    try:
        shares = sharing(backend, program.clock.now, recording.tell)
        rules = ruling(backend, program.clock.now, recording.tell)
        if shares is not None and rules is not None:
            shares.ruled(lambda: rules.wholes)
        program.owner.shared = [one for one in (shares, rules) if one is not None]
        program.owner.rulings = rules or program.owner.rulings
        status = program.run()
    except Malformed as wrong:
        logger.error("{}", wrong)
        return 2
    finally:
        for one in program.owner.shared:
            one.leave()
        recording.end(status, program.owner.invocations.owed)
    return status
