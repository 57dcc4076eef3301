"""`ringshift records`: gather, check and show."""

from __future__ import annotations

import json
import sys
from collections import Counter
from pathlib import Path

import click

from ringshift.cli.progress import steps
from ringshift.machine import Malformed


@click.group()
def records() -> None:
    """Gather, check and show what servers recorded.

    Example: ringshift records gather logs/ -o incident.db
    """


def named(paths: tuple[str, ...]) -> list[Path]:
    from ringshift.records.gather import sources

    found = sources(paths)
    for path in found:
        if not path.exists():
            raise Malformed(f"{path}: no such file or folder")
    return found


@records.command()
@click.argument("paths", nargs=-1, required=True)
@click.option(
    "-o", "--output", required=True, type=click.Path(dir_okay=False), help="The incident store; added to."
)
@click.option("--json", "as_json", is_flag=True, help="For programs.")
def gather(paths: tuple[str, ...], output: str, as_json: bool) -> None:
    """Take logs, stores and folders of them into one incident store.

    What is no record is refused by name and told; the rest is taken. Gathering twice adds nothing.

    Example: ringshift records gather n1.log n2.log /var/lib/ringshift/records -o incident.db
    """
    from ringshift.records.gather import read_source
    from ringshift.report.analyse import digests
    from ringshift.store.incident import Incident

    found = named(paths)
    store = Incident(output, create=True)
    told = [store.take(str(path), read_source(path)) for path in steps(found, "gathering")]
    # Here and not at the first report: a person who opens a report waits for it, who gathers has time.
    digests(store, lambda things: steps(list(things), "reading"))
    kinds = Counter(kind for _, _, kind, _ in store.refusals())
    if as_json:
        rows = [{"path": s.path, "taken": s.taken, "again": s.again, "refused": s.refused} for s in told]
        print(json.dumps({"store": output, "sources": rows, "refusals": kinds}))
    else:
        taken, again, refused = (
            sum(getattr(s, name) for s in told) for name in ("taken", "again", "refused")
        )
        runs = store.runs()
        servers = len({server for server, *_ in runs})
        print(
            f"{output}: {taken} records taken, {again} were there, {refused} refused; "
            f"{len(runs)} runs of {servers} servers"
        )
        for kind, count in sorted(kinds.items()):
            print(f"  refused: {kind}: {count}")
        if sys.stdout.isatty():
            print(f"next: ringshift report {output} -o {Path(output).with_suffix('.html')}")
    store.close()


@records.command()
@click.argument("paths", nargs=-1, required=True)
@click.option("--json", "as_json", is_flag=True, help="For programs.")
def check(paths: tuple[str, ...], as_json: bool) -> None:
    """Tell what of these files can't be taken, by file and line; exit status 1 where there is any.

    Example: ringshift records check n1.log
    """
    from ringshift.records.gather import read_source
    from ringshift.store.reader import Refusal

    wrong = 0
    for path in named(paths):
        for place, _, one in read_source(path):
            if isinstance(one, Refusal):
                wrong += 1
                told = {"path": str(path), "line": place, "kind": one.kind, "why": one.why}
                print(json.dumps(told) if as_json else f"{path}:{place}: {one.kind}: {one.why}")
    if wrong:
        raise click.exceptions.Exit(1)


@records.command()
@click.argument("store")
@click.option("--server", help="Of this server only.")
@click.option("--kind", help="Of this kind only.")
@click.option("--json", "as_json", is_flag=True, help="As they were written, a line each.")
def show(store: str, server: str | None, kind: str | None, as_json: bool) -> None:
    """Print a store's records, run by run.

    Example: ringshift records show incident.db --server n3 --kind phase
    """
    from datetime import UTC, datetime

    from ringshift.store.incident import Incident
    from ringshift.store.reader import write

    incident = Incident(store)
    for name, run, _, _ in incident.runs():
        if server not in (None, name):
            continue
        for record in incident.records(name, run):
            if kind not in (None, record.kind):
                continue
            if as_json:
                print(write(record).decode())
            else:
                moment = datetime.fromtimestamp(record.at / 1e9, UTC).isoformat(timespec="milliseconds")
                print(f"{moment} {record.ref} {record.kind} {record.body}")
