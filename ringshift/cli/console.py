"""`ringshift console`: live servers, or a store step by step."""

from __future__ import annotations

import sys
from pathlib import Path

import click

from ringshift.machine import Malformed


@click.command()
@click.argument("paths", nargs=-1, required=True)
@click.option("--reference", default="", help="The server whose clock is held to be right.")
@click.option(
    "--clocks-within", type=click.FloatRange(min=0), help="Seconds within which all clocks are kept."
)
def console(paths: tuple[str, ...], reference: str, clocks_within: float | None) -> None:
    """Follow logs, stores or folders of them live; or step through one incident store.

    Arrow keys move in time (shift: by twenty), n to the next finding, space plays; s sorts, / filters, enter
    opens a server.

    Example: ringshift console incident.db
    """
    for path in paths:
        if not Path(path).exists():
            raise Malformed(f"{path}: no such file or folder")
    if not sys.stdout.isatty():
        raise Malformed(
            "console: standard output is no terminal; `ringshift report STORE --json` is for programs"
        )
    from ringshift.console.app import run
    from ringshift.console.board import LiveBoard, StoreBoard
    from ringshift.records.follow import Follower
    from ringshift.report.analyse import analyse, digests
    from ringshift.store.incident import Incident, is_incident

    if len(paths) == 1 and is_incident(Path(paths[0])):
        within = None if clocks_within is None else round(clocks_within * 1e9)
        run(StoreBoard(analyse(digests(Incident(paths[0])), reference, within)))
        return
    run(LiveBoard(), Follower(list(paths)).poll)
