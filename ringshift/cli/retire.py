"""`ringshift retire`: timelines of retired operations planned, paused, withdrawn; how far they are."""

from __future__ import annotations

import base64
import json
import time
from dataclasses import asdict
from functools import partial
from typing import TYPE_CHECKING, Any

import click

from ringshift.cli.keeping import AUTHOR, DIE_AT, FILE, JSON, SETTINGS, WITHIN, answered, reading
from ringshift.cli.schedule import by_whom, terms_of, told_end, why_of, wish_of

if TYPE_CHECKING:
    from ringshift.retirement.timeline import Timeline
    from ringshift.schedule.planner import Wish
    from ringshift.wire.retiring import Held, RetireLink

DAYS = 180.0  # how far ahead recurring routing changes are expanded, as `ringshift schedule plan` does
MOST_BACKENDS = 20  # told one by one to people


@click.group()
def retire() -> None:
    """Retire an operation step by step: plan its timeline, see how far it is, pause it, withdraw it.

    Example: ringshift retire status order-book --settings fleet.toml
    """


@retire.command("plan")
@click.argument("file", type=FILE)
@by_whom
@WITHIN
@SETTINGS
@JSON
@DIE_AT
def planned(file: str, author: str, reason: str, within: float, path: str, as_json: bool, die_at: str) -> int:
    """Land the [[timelines]] of FILE in the next version of the rulebook; one takes the place of another of
    its name. Exit status 0 once it is in force, 1 where it contradicts a routing change or another timeline.

    Example: ringshift retire plan order-book.toml --author anna --reason "successor" --settings fleet.toml
    """
    from ringshift.retirement.lane import told

    wish = wish_of(file)
    if not wish.timelines:
        raise click.UsageError(f"{file}: no [[timelines]]")
    for one in () if as_json else wish.timelines:
        click.echo(f"{one.name}: {one.operation} is followed by {one.successor}; each date is the earliest")
        for line in told(one):
            click.echo(f"  {line}")
    return carried(wish, author, reason, within, path, as_json, die_at)


def carried(
    wish: Wish, author: str, reason: str, within: float, path: str, as_json: bool, die_at: str
) -> int:
    from ringshift.cli.rulewords import Progress, leading
    from ringshift.lifecycle.planning import Planning

    link, terms = reading(path)
    planning = Planning(leading(link, terms, Progress(as_json), die_at), terms_of(terms, DAYS))
    return told_end(planning.carry(wish, author, why_of(wish, reason), round(within * 1e9)), as_json)


@retire.command()
@click.argument("name")
@by_whom
@WITHIN
@SETTINGS
@JSON
@DIE_AT
def withdraw(
    name: str, author: str, reason: str, within: float, path: str, as_json: bool, die_at: str
) -> int:
    """Take the timeline NAME out of the rulebook: nobody is turned away by it once that is in force.

    Example: ringshift retire withdraw order-book --author anna --reason "kept a year" --settings fleet.toml
    """
    from ringshift.retirement.withdrawal import Withdrawal

    wish = Withdrawal(withdrawn=frozenset((name,)))
    return carried(wish, author, reason, within, path, as_json, die_at)


def timelines(path: str) -> tuple[RetireLink, list[Timeline]]:
    """Those in force. Raises Malformed, ClickException."""
    from ringshift.settings.operators import read_operators
    from ringshift.wire.retiring import RetireLink

    rules, _ = reading(path)
    found = answered(rules.read).told
    if found is None:
        raise click.ClickException("nothing was ever published")
    leases = read_operators(path).leases
    assert leases is not None
    link = RetireLink(leases.keepers, time.monotonic_ns, leases.answer_within_ms / 1000)
    return link, found.in_force.book.timelines


def one_of(name: str, found: list[Timeline]) -> Timeline:
    for one in found:
        if one.name == name:
            return one
    names = ", ".join(one.name for one in found) or "none"
    raise click.UsageError(f"no timeline {name!r} in force; there are: {names}")


@retire.command()
@click.argument("name", required=False)
@SETTINGS
@JSON
def status(name: str | None, path: str, as_json: bool) -> None:
    """How far each timeline (or NAME) is, why it stands there, who decides it, and what backends tell.

    Example: ringshift retire status order-book --settings fleet.toml --json
    """
    link, found = timelines(path)
    chosen = found if name is None else [one_of(name, found)]
    told = [answered(partial(look, link, one)) for one in chosen]
    if as_json:
        click.echo(json.dumps(told))
        return
    if not told:
        click.echo("no timeline is in force")
    for one in told:
        show(one)


def look(link: RetireLink, timeline: Timeline) -> dict[str, Any]:
    from ringshift.retirement import warn
    from ringshift.retirement.lane import standing
    from ringshift.retirement.position import Position
    from ringshift.retirement.shed import key
    from ringshift.wire.keeper import b64

    held = link.read(timeline.name)
    holder = link.call("/kv/range", {"key": b64(f"/ringshift/tasks/retire-{timeline.name}".encode())})
    holding = holder.get("kvs", [{}])[0].get("value", "")
    counts = warn.fold(held.counts, [row.warned for row in held.rows.values()], key(timeline))
    now, paused = time.time_ns(), held.word.paused
    one = standing(timeline, held.position or Position(), counts, now, paused)
    return asdict(one) | {
        "operation": timeline.operation,
        "successor": timeline.successor,
        "reason": held.word.reason,
        "author": held.word.author,
        "decides": base64.b64decode(holding).decode(errors="replace") or None,
        "backends": backends(held),
    }


def backends(held: Held) -> list[dict[str, Any]]:
    return [
        {
            "backend": name,
            "edition": row.figures.edition,
            "old": row.figures.old,
            "new": row.figures.new,
            "errors": row.figures.errors,
            "shed": row.figures.shed,
            "leaving": row.leaving,
        }
        for name, row in sorted(held.rows.items())
    ]


def show(one: dict[str, Any]) -> None:
    behind = f", {one['late'] / 3.6e12:.1f} h behind its dates" if one["late"] else ""
    phase = one["phase"].lower().replace("_", " ")
    click.echo(
        f"{one['name']}: {phase}, {one['share'] / 10_000:g}% of the callers of {one['operation']} "
        f"turned away (edition {one['edition']}){behind}"
    )
    if one["stopped"]:
        click.echo(f"  paused by operators: {one['reason']}")
    if one["why"]:
        click.echo(f"  last decision: {one['why']}")
    click.echo(
        f"  {one['counted']} callers warned, {one['short']} of them not yet to the floor; "
        f"{one['shed']} turned away; decided by {one['decides'] or 'nobody at present'}"
    )
    for row in one["backends"][:MOST_BACKENDS]:
        late = f", by edition {row['edition']}" if row["edition"] != one["edition"] else ""
        click.echo(
            f"  {row['backend']}: {row['old']} of the old, {row['new']} of the successor, "
            f"{row['errors']} errors, {row['shed']} turned away{late}"
        )
    if len(one["backends"]) > MOST_BACKENDS:
        click.echo(f"  and {len(one['backends']) - MOST_BACKENDS} more backends")


@retire.command()
@click.argument("name")
@click.option("--reason", required=True, help="Why, told by status.")
@AUTHOR
@SETTINGS
@JSON
def pause(name: str, reason: str, author: str, path: str, as_json: bool) -> None:
    """No step of NAME is moved on from now; steps are still taken back, exemptions still end.

    Example: ringshift retire pause order-book --reason "fair in town" --settings fleet.toml
    """
    said(name, True, reason, author, path, as_json)


@retire.command()
@click.argument("name")
@click.option("--reason", default="", help="Why.")
@AUTHOR
@SETTINGS
@JSON
def resume(name: str, reason: str, author: str, path: str, as_json: bool) -> None:
    """NAME goes on once its conditions have held for their time.

    Example: ringshift retire resume order-book --settings fleet.toml
    """
    said(name, False, reason, author, path, as_json)


def said(name: str, paused: bool, reason: str, author: str, path: str, as_json: bool) -> None:
    """What is told is read after the word was written: the ramp moves on no further than that."""
    from ringshift.wire.retiring import Word

    link, found = timelines(path)
    one = one_of(name, found)
    answered(lambda: link.say(name, Word(paused, reason, author)))
    told = answered(lambda: look(link, one))
    if as_json:
        click.echo(json.dumps(told))
        return
    share = f"{told['share'] / 10_000:g}% turned away, edition {told['edition']}"
    click.echo(f"{name}: paused at {share}" if paused else f"{name}: may go on from {share}")
