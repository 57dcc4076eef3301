"""Cases that start fleets of processes, a few side by side.

Their faults are timed in seconds, and each starts some seven processes. All at once these take the cores for
longer than a script lasts: an order is then given up before it is carried out, and nobody takes a lease over
in the time that the script leaves for it.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from functools import partial
from pathlib import Path
from typing import TypeVar

import gevent
from gevent.pool import Pool

Name = TypeVar("Name")
Result = TypeVar("Result")
Script = TypeVar("Script")

FLEETS_AT_ONCE = 5
"""Some forty processes, of which a few start at any moment."""


def play_all(
    cases: Mapping[Name, Callable[[], Result]], at_once: int = FLEETS_AT_ONCE
) -> dict[Name, gevent.Greenlet[..., Result]]:
    """Plays every case to its end, in their order, `at_once` side by side. Each keeps its own failure."""
    pool = Pool(at_once)
    jobs = {name: pool.spawn(case) for name, case in cases.items()}
    pool.join()
    return jobs


def results_of(
    cases: Mapping[Name, Callable[[], Result]], at_once: int = FLEETS_AT_ONCE
) -> dict[Name, Result]:
    """What each case returns; the first failure of one is raised."""
    return {name: job.get() for name, job in play_all(cases, at_once).items()}


def results_in_folders(
    play: Callable[[Script, Path], Result],
    scripts: Mapping[Name, Script],
    folder: Path,
    at_once: int = FLEETS_AT_ONCE,
) -> dict[Name, tuple[Result, Path]]:
    """What `play` returns of each script, played in a numbered folder of its own, and that folder."""
    folders = {name: folder / str(number) for number, name in enumerate(scripts)}
    cases = {name: partial(play, script, folders[name]) for name, script in scripts.items()}
    return {name: (result, folders[name]) for name, result in results_of(cases, at_once).items()}
