"""`ringshift report`: an incident's course as one page, or as findings for programs."""

from __future__ import annotations

import json
import os
from collections.abc import Iterable
from pathlib import Path

import click

from ringshift.cli.progress import steps
from ringshift.machine import Malformed


@click.command()
@click.argument("store")
@click.option("-o", "--output", help="The page; - for standard output.")
@click.option("--json", "as_json", is_flag=True, help="The findings, for programs.")
@click.option("--reference", default="", help="The server whose clock is held to be right.")
@click.option(
    "--clocks-within", type=click.FloatRange(min=0), help="Seconds within which all clocks are kept."
)
def report(
    store: str, output: str | None, as_json: bool, reference: str, clocks_within: float | None
) -> None:
    """Tell what happened, from an incident store.

    Example: ringshift report incident.db -o incident.html
    """
    from ringshift.findings.fleet import tell
    from ringshift.findings.telling import as_plain, headline
    from ringshift.report.analyse import analyse, digests
    from ringshift.store.incident import Incident

    incident = Incident(store)

    def shown(things: Iterable[tuple[str, str, int]]) -> Iterable[tuple[str, str, int]]:
        return steps(list(things), "reading")

    found = digests(incident, shown)
    if not found:
        raise Malformed(f"{store}: holds no record")
    if reference and reference not in {digest.server for digest in found}:
        names = ", ".join(sorted({digest.server for digest in found})[:8])
        raise Malformed(f"--reference: no server {reference!r} in {store}; there are {names}")
    within = None if clocks_within is None else round(clocks_within * 1e9)
    analysis = analyse(found, reference, within)
    if as_json:
        plain = as_plain(analysis.verdict, analysis.cause, analysis.course)
        between = [
            {
                "what": one.what.value,
                "subject": one.subject,
                "start": one.start,
                "end": one.end,
                "servers": one.servers,
                "text": one.text,
            }
            for one in tell(analysis.course).told
        ]
        print(json.dumps(plain | {"between": between}))
        return
    if output is None:
        for line in headline(analysis.verdict, analysis.cause, analysis.course):
            print(line)
        print(f"next: ringshift report {store} -o {Path(store).with_suffix('.html')}")
        return
    from ringshift.report.page import render

    page = render(analysis, Path(store).stem, incident.sources(), incident.refusals())
    if output == "-":
        print(page)
        return
    part = Path(f"{output}.part")
    try:
        part.write_text(page, encoding="utf-8")
        os.replace(part, output)
    except OSError as wrong:
        raise Malformed(f"{output}: {wrong.strerror}") from None
    print(f"{output}: {len(analysis.verdict.findings)} findings, {len(page) / 1e6:.1f} MB")
