"""Switches records on where the environment says so; without a word of it nothing more is imported.

`RINGSHIFT_RECORDS=lines` writes them as JSON lines on standard error, which a platform without a disk keeps.
`RINGSHIFT_SETTINGS` names the operators' TOML file, whose table `records` may name a folder as well.
"""

from __future__ import annotations

import os
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import TYPE_CHECKING

from ringshift.lifecycle.configuration import Backend
from ringshift.machine import Malformed
from ringshift.records.watch import Unwatched, Watch

if TYPE_CHECKING:
    from ringshift.records.schema import Body


@dataclass(frozen=True, slots=True)
class Recording:
    watch: Watch
    tell: Callable[[Body], None] | None
    """Writes a record, where there are records."""
    end: Callable[[int, int], None]
    """Told the exit status and how many answers are still owed."""


def nothing(status: int, owed: int) -> None:
    pass


def begin(backend: Backend, environ: Mapping[str, str] = os.environ) -> Recording:
    word, path = environ.get("RINGSHIFT_RECORDS", ""), environ.get("RINGSHIFT_SETTINGS", "")
    if word not in ("", "off", "lines"):
        raise Malformed(f"RINGSHIFT_RECORDS: expected off or lines, not {word!r}")
    lines, folder, most_mb = word == "lines", "", 64.0
    if path:
        from ringshift.settings.operators import read_operators

        told = read_operators(path).records
        lines, folder, most_mb = told.lines or lines, told.folder, told.most_mb
    if not (lines or folder):
        return Recording(Unwatched(), None, nothing)
    from ringshift.records.recorder import start

    recorder = start(backend.name, lines, folder, round(most_mb * 1024 * 1024))
    machine = backend.machine
    recorder.started(
        listen="{}:{}".format(*backend.listen),
        operations=tuple(op.name for op in machine.operations),
        cores=machine.cores,
        stop_ms=backend.stop / 1e6,
    )
    return Recording(recorder, recorder.write, recorder.end)
