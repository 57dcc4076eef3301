"""`ringshift rules`: the rulebook checked, published, shown, compared, withdrawn; who acts by what."""

from __future__ import annotations

import json
import sys
import time
from functools import partial
from pathlib import Path
from typing import TYPE_CHECKING

import click

from ringshift.cli.keeping import (
    AUTHOR,
    DIE_AT,
    FILE,
    JSON,
    SETTINGS,
    WITHIN,
    answered,
    book_of,
    listed,
    reading,
    refusing,
    said,
    version_of,
)
from ringshift.cli.progress import steps
from ringshift.cli.rulecheck import MOST_LINES, STRICT, check, planned, warned
from ringshift.cli.rulewords import Progress, brief, described, difference, ended, leading, show_differences

if TYPE_CHECKING:
    from ringshift.wire.rules import Held


@click.group()
def rules() -> None:
    """Check, publish, show and compare the fleet's rulebook, and tell who acts by which version.

    Example: ringshift rules publish rulebook.toml --author anna --reason "hostels back" --settings fleet.toml
    """


rules.add_command(check)


@rules.command()
@click.argument("file", type=FILE)
@click.option("--author", required=True, callback=said, help="Who publishes it.")
@click.option("--reason", required=True, callback=said, help="Why.")
@STRICT
@click.option("--in-steps", is_flag=True, help="Where `alone` changes: publish each step in turn.")
@WITHIN
@SETTINGS
@JSON
@DIE_AT
def publish(
    file: str,
    author: str,
    reason: str,
    strict: bool,
    in_steps: bool,
    within: float,
    path: str,
    as_json: bool,
    die_at: str,
) -> int:
    """Publish FILE as the next version and lead it into force. Exit status 0 only once it is in force. Warns
    where its `alone` admits what its rules refuse, and where a whole can't be as low as it says.

    Example: ringshift rules publish rulebook.toml --author anna --reason "hostels back" --settings fleet.toml
    """
    from ringshift.rulebook.document import digest
    from ringshift.rulebook.steps import plan

    book = book_of(file)
    link, terms = reading(path)
    warned(file, book, path, strict)
    progress = Progress(as_json)
    publishing = leading(link, terms, progress, die_at)
    held: Held = answered(link.read)
    time_left = round(within * 1e9)
    book = planned(file, book, None if held.told is None else held.told.in_force.book, terms)
    if held.told is None:
        first = refusing(file, lambda: publishing.publish(book, author, reason, within=time_left))
        return ended(first, progress)
    now = held.told.in_force
    if now.digest == digest(book):
        told = brief(now)
        click.echo(
            json.dumps({"state": "IN_FORCE", "why": "it is in force already", "version": told})
            if as_json
            else f"in force already: {described(told)}"
        )
        return 0
    needed = refusing(file, lambda: plan(now.book, book))
    if len(needed) > 1 and not in_steps:
        lines = "; ".join(f"{place}: {step.what}" for place, step in enumerate(needed, 1))
        raise click.ClickException(
            f"{file}: not in one publication: `alone` would change with it. With "
            f"--in-steps it is published in {len(needed)}: {lines}"
        )
    outcome, base = None, now.stamp
    for place, step in enumerate(needed, 1):
        why = reason if len(needed) == 1 else f"{reason} ({place} of {len(needed)}: {step.what})"
        lead = partial(publishing.publish, step.book, author, why, within=time_left, base=base)
        outcome = refusing(file, lead)
        if not outcome.in_force or outcome.version is None:
            break
        base = outcome.version.stamp
    assert outcome is not None
    return ended(outcome, progress)


@rules.command()
@click.argument("word", metavar="[VERSION]", default="in-force")
@SETTINGS
@JSON
def show(word: str, path: str, as_json: bool) -> None:
    """Print VERSION (EPOCH.NUMBER, in-force or proposed) as TOML that can be published again.

    Example: ringshift rules show 0.12 --settings fleet.toml > before.toml
    """
    import msgspec

    one = version_of(word, reading(path)[0])
    if one.odd:
        raise click.ClickException(f"{word}: {one.odd}")
    if as_json:
        click.echo(json.dumps(brief(one) | {"book": msgspec.to_builtins(one.book, str_keys=True)}))
        return
    from ringshift.rulebook.writing import write

    told = brief(one)
    heading = (
        f"version {told['number']}, digest {one.digest[:16]}",
        f"author: {one.author}",
        f"reason: {one.reason}",
    )
    click.echo(write(one.book, heading), nl=False)


@rules.command()
@click.argument("a")
@click.argument("b")
@click.option("--settings", "path", type=FILE, help="Where A or B is a version.")
@JSON
def diff(a: str, b: str, path: str | None, as_json: bool) -> None:
    """Tell each difference from A to B (files, or versions: EPOCH.NUMBER, in-force, proposed), whether two
    backends that act by the two contradict each other in it, and why.

    Example: ringshift rules diff in-force rulebook.toml --settings fleet.toml
    """
    from ringshift.rulebook.kinds import differences

    books = []
    for word in (a, b):
        if Path(word).exists():
            books.append(book_of(word))
            continue
        if path is None:
            raise click.UsageError(f"{word!r}: no such file; for a version, name --settings")
        one = version_of(word, reading(path)[0])
        if one.odd:
            raise click.ClickException(f"{word}: {one.odd}")
        books.append(one.book)
    found = differences(*books)
    if as_json:
        click.echo(json.dumps(list(map(difference, found))))
        return
    show_differences(found)
    if sys.stdout.isatty() and not found:
        click.echo("no difference")


@rules.command()
@click.option("--once", is_flag=True, help="One look: without telling who is silent.")
@SETTINGS
@JSON
def status(once: bool, path: str, as_json: bool) -> None:
    """Which reader acts by which version and until when, who is waited for, what can be done next. Takes two
    looks, two refreshes apart, to tell the readers that are silent.

    Example: ringshift rules status --settings fleet.toml
    """
    from ringshift.rulebook.picture import picture

    link, terms = reading(path)
    first: Held = answered(link.read)
    began = time.monotonic_ns()
    if not once and first.rows:
        time.sleep(2 * terms.refresh / 1e9)
        last: Held = answered(link.read)
    else:
        last = first
    told = picture(first, last, 0 if last is first else time.monotonic_ns() - began, terms)
    from ringshift.cli.rulewords import as_words, show_picture

    if as_json:
        click.echo(json.dumps(as_words(told)))
    else:
        show_picture(told)


@rules.command()
@AUTHOR
@click.option("--reason", default="", help="Why; left out, which version it withdraws.")
@WITHIN
@SETTINGS
@JSON
@DIE_AT
def withdraw(author: str, reason: str, within: float, path: str, as_json: bool, die_at: str) -> int:
    """Take back what is proposed; with nothing proposed, publish the version before the one in force anew,
    under a number of its own. Exit status 0 once that is so.

    Example: ringshift rules withdraw --author anna --reason "hostels turned away" --settings fleet.toml
    """
    from ringshift.rulebook.version import PublicationError

    link, terms = reading(path)
    progress = Progress(as_json)
    try:
        outcome = leading(link, terms, progress, die_at).withdraw(author, reason, round(within * 1e9))
    except PublicationError as wrong:
        raise click.ClickException(
            f"{wrong}. `ringshift rules show VERSION` and `publish` bring any kept version back"
        ) from None
    except ValueError as wrong:  # a version that the keeper couldn't take
        raise click.ClickException(str(wrong)) from None
    return ended(outcome, progress)


@rules.command()
@WITHIN
@SETTINGS
@JSON
@DIE_AT
def settle(within: float, path: str, as_json: bool, die_at: str) -> int:
    """Lead what is proposed into force, whoever proposed it; exit status 0 once it is.

    Example: ringshift rules settle --settings fleet.toml
    """
    link, terms = reading(path)
    progress = Progress(as_json)
    return ended(leading(link, terms, progress, die_at).settle(round(within * 1e9)), progress)


@rules.command()
@click.argument("names", metavar="[NAME]...", nargs=-1)
@click.option("--absent", is_flag=True, help="All that are absent, after showing them.")
@click.option("--yes", is_flag=True, help="Without asking; needed where --absent has no terminal to ask at.")
@SETTINGS
@JSON
def forget(names: tuple[str, ...], absent: bool, yes: bool, path: str, as_json: bool) -> None:
    """Take each reader NAME from the keeper: processes that are surely no more, and that would be waited for.
    One that lives joins anew with its next confirmation. --absent: all whose leases ended while a version was
    switched; one of them that lives without contact goes on by the `alone` it holds.

    Example: ringshift rules forget n3.711.8f0e12ab3c4d --settings fleet.toml
    """
    if not (names or absent):
        raise click.UsageError("name readers, or --absent")
    link, _ = reading(path)
    held: Held = answered(link.read)
    unknown = [name for name in names if name not in held.rows]
    if unknown:
        raise click.ClickException(f"{listed(unknown)}: no such reader; `ringshift rules status` names them")
    away = sorted(held.absent - set(names)) if absent else []
    gone = [*dict.fromkeys(names), *away]
    if away and not yes:
        sure(away, as_json)
    for name in steps(gone, "forgetting"):
        answered(partial(link.gone, name))
        if not as_json:
            click.echo(f"{name}: forgotten")
    if as_json:
        click.echo(json.dumps({"forgotten": gone}))
    elif not gone:
        click.echo("no reader is absent")


def sure(away: list[str], as_json: bool) -> None:
    """Raises ClickException or Abort where it is not."""
    told = f"{len(away)} absent: {listed(away)}"
    if as_json or not sys.stdin.isatty():
        raise click.ClickException(f"{told}; with --yes they are forgotten")
    for name in away[:MOST_LINES]:
        click.echo(f"  {name}")
    if len(away) > MOST_LINES:
        click.echo(f"  and {len(away) - MOST_LINES} more")
    click.confirm(f"forget {len(away)}, all surely no more?", abort=True)
