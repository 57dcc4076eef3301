"""`ringshift rules`: the rulebook checked, published, shown, compared, withdrawn; who acts by what."""

from __future__ import annotations

import json
import sys
import time
from functools import partial
from pathlib import Path
from typing import TYPE_CHECKING, Any

import click

from ringshift.cli.keeping import (
    DIE_AT,
    FILE,
    JSON,
    SETTINGS,
    WITHIN,
    answered,
    book_of,
    reading,
    refusing,
    version_of,
)
from ringshift.cli.rulewords import Progress, brief, described, difference, ended, leading, show_differences
from ringshift.machine import Malformed

if TYPE_CHECKING:
    from ringshift.rulebook.bound import ReadingTerms
    from ringshift.rulebook.document import Rulebook
    from ringshift.wire.rules import Held


@click.group()
def rules() -> None:
    """Check, publish, show and compare the fleet's rulebook, and tell who acts by which version.

    Example: ringshift rules publish rulebook.toml --author anna --reason "hostels back" --settings fleet.toml
    """


@rules.command()
@click.argument("file", type=click.Path(dir_okay=False))
@click.option("--settings", "path", type=FILE, help="Also compare it with the version in force there.")
@JSON
def check(file: str, path: str | None, as_json: bool) -> int:
    """Tell whether FILE is a rulebook; with --settings, how it differs from the one in force, and in which
    steps it can be published. Exit status 2 where it is not, with line and field.

    Example: ringshift rules check rulebook.toml --settings fleet.toml
    """
    from ringshift.rulebook.document import digest
    from ringshift.rulebook.kinds import differences
    from ringshift.rulebook.steps import plan
    from ringshift.rulebook.version import PublicationError

    try:
        book = book_of(file)
    except Malformed as wrong:
        if not as_json:
            raise
        click.echo(json.dumps({"file": file, "right": False, "why": str(wrong)}))
        return 2
    told: dict[str, Any] = {"file": file, "right": True, "digest": digest(book)}
    parts = {"lists": len(book.lists), "entries": sum(len(one.entries) for one in book.lists),
             "quotas": len(book.quotas), "shares": len(book.shares), "wholes": len(book.wholes)}  # fmt: skip
    told |= parts
    found, steps, refused = None, [], ""
    if path is not None:
        link, terms = reading(path)
        now = version_of("in-force", link)
        found = differences(now.book, book)
        try:
            book = planned(file, book, now.book, terms)
            found = differences(now.book, book)
            steps = plan(now.book, book)
        except (PublicationError, click.ClickException) as wrong:
            refused = str(wrong)
        told |= {"in_force": brief(now), "differences": list(map(difference, found)), "refused": refused,
                 "steps": [{"what": one.what, "by_all": one.by_all} for one in steps]}  # fmt: skip
    if as_json:
        click.echo(json.dumps(told))
        return 0
    click.echo(f"{file}: right, {', '.join(f'{n} {name}' for name, n in parts.items())}; "
               f"digest {told['digest'][:16]}")  # fmt: skip
    if found is not None:
        click.echo(f"in force is {told['in_force']['number']}, {len(found)} differences")
        show_differences(found)
        for place, step in enumerate(steps, 1) if len(steps) > 1 else ():
            click.echo(f"  step {place} of {len(steps)}: {step.what}"
                       + (" (every reader must acknowledge it)" if step.by_all else ""))  # fmt: skip
        if refused:
            click.echo(f"  may not be published: {refused}")
    return 0


def planned(file: str, book: Rulebook, now: Rulebook | None, terms: ReadingTerms) -> Rulebook:
    """The document as it can follow `now`, with its scheduled changes and timelines validated: rows that it
    has no more are withdrawn. It is `now` itself where only the time of planning would differ."""
    import msgspec

    from ringshift.rulebook.document import Rulebook, digest
    from ringshift.schedule.plan import Terms, whole

    base = Rulebook(alone=book.alone) if now is None else now
    found = refusing(file, lambda: whole(base, book, time.time_ns(), Terms.of(terms)))
    if not isinstance(found, Rulebook):
        raise click.ClickException(f"{file}: {found}")
    same = now is not None and digest(msgspec.structs.replace(found, horizon=now.horizon)) == digest(now)
    return base if same else found


@rules.command()
@click.argument("file", type=FILE)
@click.option("--author", required=True, help="Who publishes it.")
@click.option("--reason", required=True, help="Why.")
@click.option("--in-steps", is_flag=True, help="Where `alone` changes: publish each step in turn.")
@WITHIN
@SETTINGS
@JSON
@DIE_AT
def publish(file: str, author: str, reason: str, in_steps: bool, within: float, path: str, as_json: bool,
            die_at: str) -> int:  # fmt: skip
    """Publish FILE as the next version and lead it into force. Exit status 0 only once it is in force.

    Example: ringshift rules publish rulebook.toml --author anna --reason "hostels back" --settings fleet.toml
    """
    from ringshift.rulebook.document import digest
    from ringshift.rulebook.steps import plan

    book = book_of(file)
    link, terms = reading(path)
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
        click.echo(json.dumps({"state": "IN_FORCE", "why": "it is in force already", "version": told})
                   if as_json else f"in force already: {described(told)}")  # fmt: skip
        return 0
    steps = refusing(file, lambda: plan(now.book, book))
    if len(steps) > 1 and not in_steps:
        lines = "; ".join(f"{place}: {step.what}" for place, step in enumerate(steps, 1))
        raise click.ClickException(f"{file}: not in one publication: `alone` would change with it. With "
                                   f"--in-steps it is published in {len(steps)}: {lines}")  # fmt: skip
    outcome, base = None, now.stamp
    for place, step in enumerate(steps, 1):
        why = reason if len(steps) == 1 else f"{reason} ({place} of {len(steps)}: {step.what})"
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
    heading = (f"version {told['number']}, digest {one.digest[:16]}", f"author: {one.author}",
               f"reason: {one.reason}")  # fmt: skip
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
@click.option("--author", default="", help="Who withdraws it.")
@click.option("--reason", default="", help="Why.")
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
        raise click.ClickException(f"{wrong}. `ringshift rules show VERSION` and `publish` bring any kept "
                                   "version back") from None  # fmt: skip
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
@click.argument("name")
@SETTINGS
@JSON
def forget(name: str, path: str, as_json: bool) -> None:
    """Take reader NAME from the keeper: a process that is surely no more, and that would be waited for. One
    that lives joins anew with its next confirmation.

    Example: ringshift rules forget n3.711.8f0e12ab3c4d --settings fleet.toml
    """
    link, _ = reading(path)
    held: Held = answered(link.read)
    if name not in held.rows:
        raise click.ClickException(f"{name}: no such reader; `ringshift rules status` names them")
    answered(lambda: link.gone(name))
    click.echo(json.dumps({"reader": name, "forgotten": True}) if as_json else f"{name}: forgotten")
