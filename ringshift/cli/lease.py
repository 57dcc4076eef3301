"""`ringshift lease`: hold a fleet task's lease, tell who holds it, release it."""

from __future__ import annotations

import base64
import json
import time
from collections.abc import Callable
from pathlib import Path
from typing import TYPE_CHECKING, Any

import click

from ringshift.machine import Malformed

if TYPE_CHECKING:
    from ringshift.lifecycle.holder import Work
    from ringshift.settings.operators import Leases
    from ringshift.wire.keeper import KeeperLink

SETTINGS = click.option(
    "--settings",
    "path",
    required=True,
    type=click.Path(dir_okay=False, exists=True),
    help="The operators' TOML with a [leases] table.",
)


def terms_of(path: str) -> Leases:
    from ringshift.settings.operators import read_operators

    leases = read_operators(path).leases
    if leases is None or not leases.keepers:
        raise Malformed(f"{path}: no [leases] table with keepers: leases are off")
    return leases


@click.group()
def lease() -> None:
    """Hold a fleet task's lease, tell who holds it, release it.

    Example: ringshift lease status gather --settings deploy/installation.toml
    """


def holding(command: Callable[..., Any]) -> Callable[..., Any]:
    """The options of every command that seeks a lease; the hidden ones are the fault tests'."""
    options = [
        click.argument("task"),
        SETTINGS,
        click.option("--name", required=True, help="This holder's name, as the keeper will show it."),
        click.option(
            "--history", type=click.Path(dir_okay=False, path_type=Path), help="A line for each change."
        ),
        click.option("--seed", default=1, help="For the waits drawn by chance."),
        click.option("--skew-ppm", default=0, hidden=True, help="Fault tests: this clock runs so much fast."),
        click.option("--step-ms", default=0, hidden=True, help="Fault tests: clock steps by so much ..."),
        click.option("--step-at-ms", default=0, hidden=True, help="... so long after the start."),
        click.option("--die-at-step", default=0, hidden=True, help="Fault tests: killed by its answer."),
    ]
    for option in reversed(options):
        command = option(command)
    return command


def run(
    task: str,
    path: str,
    name: str,
    history: Path | None,
    seed: int,
    skew_ppm: int,
    step_ms: int,
    step_at_ms: int,
    work: Work,
) -> int:
    from ringshift.lifecycle.holder import OwnClock
    from ringshift.lifecycle.holder import hold as held
    from ringshift.settings.operators import read_operators

    leases, records = terms_of(path), read_operators(path).records
    clock = OwnClock(time.monotonic_ns(), skew_ppm, step_at_ms * 1_000_000, step_ms * 1_000_000)
    if not (records.lines or records.folder):
        return held(name, task, leases.terms(), leases.keepers, work, seed, history, clock)
    from ringshift.records.recorder import start

    recorder = start(name, records.lines, records.folder, round(records.most_mb * 1024 * 1024))
    status = held(name, task, leases.terms(), leases.keepers, work, seed, history, clock, recorder.write)
    recorder.end(status, 0)
    return status


@lease.command()
@holding
@click.option("--resource", required=True, help="HOST:PORT of the guarded resource that takes the steps.")
@click.option("--steps", "most", default=0, help="Steps in the whole task; 0 for one that never ends.")
@click.option("--pause-at-step", default=0, hidden=True, help="Fault tests: before sending this step ...")
@click.option("--pause-ms", default=0, hidden=True, help="... pause so long, after the last look.")
def hold(
    task: str,
    path: str,
    name: str,
    resource: str,
    most: int,
    pause_at_step: int,
    pause_ms: int,
    die_at_step: int,
    **more: Any,
) -> int:
    """Seek TASK's lease, step the task while it is held, revoke it at SIGTERM or SIGINT."""
    from ringshift.lifecycle.works import Steps

    work = Steps(task, name, resource, terms_of(path).answer_within_ms / 1000, most)
    work.pause = (pause_at_step, pause_ms * 1_000_000) if pause_at_step else None
    work.die = die_at_step
    return run(task, path, name, work=work, **more)


@lease.command()
@holding
@click.argument("paths", nargs=-1, required=True)
@click.option("-o", "--output", required=True, type=click.Path(dir_okay=False), help="The incident store.")
@click.option("--follow", is_flag=True, help="Go on with what the servers write later.")
def gather(
    task: str,
    path: str,
    name: str,
    paths: tuple[str, ...],
    output: str,
    follow: bool,
    die_at_step: int,
    **more: Any,
) -> int:
    """Gather the records in PATHS into one store, under TASK's lease: one holder at a time, the others wait.

    Whoever takes over goes on where the last one's accepted portion ended. Ends once all is taken, unless
    --follow.

    Example: ringshift lease gather records --settings fleet.toml --name n1 /var/lib/ringshift -o incident.db
    """
    from ringshift.lifecycle.works import Gather

    work = Gather(task, list(paths), output, follow)
    work.die = die_at_step
    status = run(task, path, name, work=work, **more)
    if not follow and work.done:
        for source in work.plan.sources.values():
            if source.why and source.place < source.size:
                click.echo(f"{source.path}: given up: {source.why}", err=True)
    return status


@lease.command()
@click.argument("task")
@SETTINGS
@click.option("--json", "as_json", is_flag=True, help="For programs.")
def status(task: str, path: str, as_json: bool) -> None:
    """Who holds TASK's lease now, at which token, and for how long yet."""
    told = look(task, path)
    if as_json:
        click.echo(json.dumps(told))
    elif told["holder"] is None:
        click.echo(f"{task}: held by nobody (keeper at revision {told['revision']})")
    else:
        click.echo(
            f"{task}: held by {told['holder']}, token {told['token']}, lease {told['lease']}, "
            f"{told['ttl_s']} s left of {told['granted_s']}"
        )


@lease.command()
@click.argument("task")
@SETTINGS
@click.option("--json", "as_json", is_flag=True, help="For programs.")
def release(task: str, path: str, as_json: bool) -> None:
    """Revoke the lease that holds TASK now, whoever holds it: its holder halts at its next renewal."""
    told = look(task, path)
    held = told["holder"] is not None
    if held and not keeper(path).revoke(int(told["lease"])):
        raise click.ClickException(f"{task}: the keeper did not answer; the lease may still be held")
    if as_json:
        click.echo(json.dumps(told | {"released": held}))
    elif held:
        click.echo(f"{task}: released the lease of {told['holder']} (token {told['token']})")
    else:
        click.echo(f"{task}: held by nobody; nothing to release")


def keeper(path: str) -> KeeperLink:
    from ringshift.wire.keeper import KeeperLink

    leases = terms_of(path)
    return KeeperLink(leases.keepers, time.monotonic_ns, leases.answer_within_ms / 1000)


def look(task: str, path: str) -> dict[str, Any]:
    from ringshift.wire.keeper import b64

    link = keeper(path)
    key = f"/ringshift/tasks/{task}".encode()
    try:
        found = link.call("/kv/range", {"key": b64(key)})
    except Exception as wrong:
        raise click.ClickException(f"the keeper did not answer: {wrong}") from None
    revision = int(found["header"]["revision"])
    if not found.get("kvs"):
        return {"task": task, "holder": None, "revision": revision}
    kv = found["kvs"][0]
    lease = int(kv.get("lease", 0))
    live = link.call("/kv/lease/timetolive", {"ID": str(lease)})
    return {
        "task": task,
        "holder": base64.b64decode(kv.get("value", "")).decode(errors="replace"),
        "token": int(kv["create_revision"]),
        "lease": lease,
        "ttl_s": int(live.get("TTL", -1)),
        "granted_s": int(live.get("grantedTTL", 0)),
        "revision": revision,
    }
