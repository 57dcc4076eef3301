"""The backend's way in: signals first, then its configuration, its records if any, and the program."""

from __future__ import annotations

import signal

import gevent
from gevent.event import Event
from loguru import logger

from ringshift.lifecycle.configuration import read_backend
from ringshift.lifecycle.program import Program
from ringshift.lifecycle.recording import begin
from ringshift.machine import Malformed
from ringshift.runtime import logs


def run() -> int:
    logs.set_up("-")
    # Before the file is read, as what replaces it after that is told by this alone; unheeded it would end us.
    replaced = Event()
    gevent.signal_handler(signal.SIGHUP, replaced.set)
    try:
        backend = read_backend()
        logs.set_up(backend.name)
        recording = begin(backend)
    except Malformed as wrong:
        logger.error("{}", wrong)
        return 2
    program = Program(backend, replaced, recording.watch)
    status = 1
    try:
        status = program.run()
    finally:
        recording.end(status, program.owner.invocations.owed)
    return status
