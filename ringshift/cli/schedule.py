"""`ringshift schedule`: routing changes checked, planned and withdrawn; which stand, and when they begin."""

from __future__ import annotations

import json
import time
import tomllib
from pathlib import Path
from typing import TYPE_CHECKING, Any

import click

from ringshift.cli.keeping import AUTHOR, DIE_AT, FILE, JSON, SETTINGS, WITHIN, answered, listed, reading
from ringshift.machine import Malformed

if TYPE_CHECKING:
    from ringshift.lifecycle.planning import Planned as Ended
    from ringshift.rulebook.document import Rulebook
    from ringshift.schedule.plan import Against, Terms
    from ringshift.schedule.planner import Wish

AHEAD = click.option(
    "--days",
    default=180.0,
    show_default=True,
    type=click.FloatRange(0.01, 3660.0),
    help="How far ahead recurring changes are expanded.",
)
NAMED = [AUTHOR, click.option("--reason", default="", help="Why; left out, what is planned or withdrawn.")]


def by_whom(command: Any) -> Any:
    for option in reversed(NAMED):
        command = option(command)
    return command


@click.group()
def schedule() -> None:
    """Plan routing changes ahead, so that no two contradict each other in time.

    Example: ringshift schedule plan night.toml --author anna --reason "rewired" --settings fleet.toml
    """


def wish_of(file: str) -> Wish:
    """A plan's TOML: [[changes]], and [world] where it is to be stated anew. Raises Malformed."""
    import msgspec

    from ringshift.rulebook.document import named
    from ringshift.schedule.planner import Document
    from ringshift.settings.operators import where

    try:
        text = Path(file).read_text(encoding="utf-8")
        return msgspec.convert(tomllib.loads(text), Document).wish()
    except OSError as wrong:
        raise Malformed(f"{file}: {wrong.strerror}") from None
    except UnicodeDecodeError:
        raise Malformed(f"{file}: not UTF-8") from None
    except tomllib.TOMLDecodeError as wrong:
        raise Malformed(f"{file}: {wrong}") from None
    except msgspec.ValidationError as wrong:
        raise Malformed(f"{file}: {where(text, named(str(wrong)))}") from None


def why_of(wish: Wish, reason: str) -> str:
    """The reason that a version carries: as told, else what is done."""
    if reason.strip():
        return reason.strip()
    if wish.withdrawn:
        return f"withdraws {listed(wish.withdrawn)}"
    names = [*(one.name for one in wish.rows), *(one.name for one in wish.timelines)]
    return f"planned {listed(names)}" if names else "states the world anew"


def terms_of(reading: Any, days: float) -> Terms:
    from ringshift.schedule.plan import DAY, Terms

    return Terms.of(reading, round(days * DAY))


def contradiction(broken: Against) -> dict[str, Any]:
    from ringshift.schedule.change import All
    from ringshift.schedule.planned import moment

    part = {
        name: "all" if isinstance(names, All) else sorted(names)
        for name, names in zip(("operations", "customers", "places"), broken.part.parts, strict=True)
    }
    return {
        "rule": broken.rule.name,
        "beneath": getattr(broken, "beneath", broken.rule).name,
        "part": part,
        "changes": [broken.first, broken.second],
        "first_ns": broken.instant,
        "first": moment(broken.instant).isoformat(),
    }


@schedule.command()
@click.argument("file", type=FILE)
@click.option("--settings", "path", type=FILE, help="Judge it with what is in force there, and by its terms.")
@AHEAD
@JSON
def check(file: str, path: str | None, days: float, as_json: bool) -> int:
    """Tell whether the changes in FILE contradict each other; with --settings, those in force as well.
    Exit status 1 where they do, naming rule, both changes and the first instant.

    Example: ringshift schedule check night.toml --settings fleet.toml
    """
    from ringshift.rulebook.bound import ReadingTerms
    from ringshift.rulebook.document import Rulebook, Rules
    from ringshift.schedule.planner import News, Planner, State

    base, terms = Rulebook(alone=Rules()), terms_of(ReadingTerms(), days)
    if path is not None:
        link, agreed = reading(path)
        stands, terms = answered(link.read).told, terms_of(agreed, days)
        base = base if stands is None else stands.in_force.book
    planner = Planner(wish_of(file), terms)
    planner.hear(News.FREE, time.time_ns(), base)
    right = planner.state in (State.PROPOSING, State.LANDED)
    told = {
        "file": file,
        "right": right,
        "why": planner.why,
        "late_ms": terms.late / 1e6,
        "contradiction": contradiction(planner.broken) if planner.broken else None,
    }
    if as_json:
        click.echo(json.dumps(told))
    else:
        click.echo(f"{file}: right" if right else said(planner.broken, planner.why))
    return 0 if right else 1


def said(broken: Against | None, why: str) -> str:
    if broken is None:
        return why
    from ringshift.schedule.planned import moment

    return f"{why}; first at {moment(broken.instant).isoformat()}"


@schedule.command("plan")
@click.argument("file", type=FILE)
@by_whom
@click.option(
    "--tries",
    default=20,
    show_default=True,
    type=click.IntRange(1, 1000),
    help="How often it may lose to another publisher and plan anew.",
)
@AHEAD
@WITHIN
@SETTINGS
@JSON
@DIE_AT
def planned(
    file: str,
    author: str,
    reason: str,
    tries: int,
    days: float,
    within: float,
    path: str,
    as_json: bool,
    die_at: str,
) -> int:
    """Land the [[changes]] of FILE in the next version of the rulebook. Exit status 0 once it is in force, 1
    where they contradict what is in force by then, naming rule, both changes and the first instant.

    Example: ringshift schedule plan night.toml --author anna --reason "rewired" --settings fleet.toml
    """
    wish = wish_of(file)
    if not (wish.rows or wish.timelines) and wish.world is None:
        raise click.UsageError(f"{file}: no [[changes]], [[timelines]] or [world]")
    return carried(wish, author, reason, tries, days, within, path, as_json, die_at)


@schedule.command()
@click.argument("names", nargs=-1, required=True)
@by_whom
@WITHIN
@SETTINGS
@JSON
@DIE_AT
def withdraw(
    names: tuple[str, ...], author: str, reason: str, within: float, path: str, as_json: bool, die_at: str
) -> int:
    """Withdraw changes: begun nowhere from then on, walked back by their ramps where under way. Their places
    are held until their planned ends, where they may have begun.

    Example: ringshift schedule withdraw north-night --author anna --reason "put off" --settings fleet.toml
    """
    from ringshift.schedule.planner import Wish

    return carried(Wish(withdrawn=frozenset(names)), author, reason, 20, 180.0, within, path, as_json, die_at)


def carried(
    wish: Wish,
    author: str,
    reason: str,
    tries: int,
    days: float,
    within: float,
    path: str,
    as_json: bool,
    die_at: str,
) -> int:
    from ringshift.cli.rulewords import Progress, leading
    from ringshift.lifecycle.planning import Planning

    link, terms = reading(path)
    publishing = leading(link, terms, Progress(as_json), die_at)
    planning = Planning(publishing, terms_of(terms, days))
    told = why_of(wish, reason)
    return told_end(planning.carry(wish, author, told, round(within * 1e9), tries), as_json)


def told_end(ended: Ended, as_json: bool) -> int:
    from ringshift.cli.rulewords import brief

    planner = ended.planner
    version = None if ended.version is None else brief(ended.version)
    if as_json:
        against = None if planner.broken is None else contradiction(planner.broken)
        click.echo(
            json.dumps(
                {
                    "state": planner.state.name,
                    "why": planner.why,
                    "lost": planner.lost,
                    "version": version,
                    "contradiction": against,
                }
            )
        )
    elif version is not None:
        click.echo(f"in force by version {version['number']}")
    else:
        broken = planner.broken if planner.state.name == "CONTRADICTS" else None
        click.echo(f"{planner.state.name.lower()}: {said(broken, planner.why)}")
    return 0 if ended.landed else 1


@schedule.command()
@SETTINGS
@JSON
def status(path: str, as_json: bool) -> None:
    """Every change in the version in force: when it begins and ends next, and whether it is withdrawn.

    Example: ringshift schedule status --settings fleet.toml
    """
    from ringshift.rulebook.errand import numbered

    link, _ = reading(path)
    told = answered(link.read).told
    if told is None:
        raise click.ClickException("nothing was ever published")
    rows = standing(told.in_force.book, time.time_ns())
    number = numbered(told.in_force.stamp)
    proposed = None if told.proposed is None else numbered(told.proposed.stamp)
    if as_json:
        click.echo(json.dumps({"version": number, "proposed": proposed, "changes": rows}))
        return
    beside = f"; {proposed} proposed" if proposed else ""
    click.echo(f"version {number} in force, {len(rows)} changes{beside}")
    for one in rows:
        when = f"{one['from']} to {one['to']}" if one["from"] else "no window to come"
        click.echo(f"  {one['name']}: {one['state']}, {one['does']}, {when}")


def standing(book: Rulebook, now: int) -> list[dict[str, Any]]:
    """By this machine's wall clock, of the book: the keeper holds no states of changes. What a backend has in
    force is in its records, of kind `change`."""
    from ringshift.schedule.planned import moment, windows

    rows = []
    for row in book.changes:
        left = [one for one in windows(row, book.horizon) if one[1] > now]
        start, end = min(left, default=(0, 0))
        state = (
            "withdrawn"
            if row.withdrawn
            else "ended"
            if not left
            else ("in its window" if start <= now else "planned")
        )
        rows.append(
            {
                "name": row.name,
                "state": state,
                "does": row.does.words(),
                "windows": len(left),
                "from": moment(start).isoformat() if left else None,
                "to": moment(end).isoformat() if left else None,
                "withdrawn": row.withdrawn.isoformat() if row.withdrawn else None,
                "text": row.text,
            }
        )
    return rows
