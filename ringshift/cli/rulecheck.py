"""`ringshift rules check`: a rulebook judged before it is published; and what `publish` warns of as well."""

from __future__ import annotations

import json
import re
import time
from collections.abc import Callable, Iterator, Sequence
from pathlib import Path
from typing import TYPE_CHECKING, Any

import click

from ringshift.cli.keeping import FILE, JSON, answered, book_of, reading, refusing
from ringshift.cli.rulewords import brief, difference, finite, limit, show_differences
from ringshift.machine import Malformed

if TYPE_CHECKING:
    from ringshift.rulebook.bound import ReadingTerms
    from ringshift.rulebook.caution import Lax
    from ringshift.rulebook.document import Rulebook
    from ringshift.rulebook.kinds import Difference
    from ringshift.rulebook.version import Version
    from ringshift.schedule.plan import Against

MOST_LINES = 40  # entries one by one, for people
STRICTLY = "`alone` is laxer than the rules, and --strict is given"
STRICT = click.option("--strict", is_flag=True, help="Refuse it where `alone` is laxer than its rules.")


@click.command()
@click.argument("file", type=click.Path(dir_okay=False))
@click.option("--settings", "path", type=FILE, help="Also compare it with the version in force there.")
@STRICT
@JSON
def check(file: str, path: str | None, strict: bool, as_json: bool) -> int:
    """Tell whether FILE is a rulebook, its scheduled changes and timelines fit each other, and its `alone` is
    as cautious as its rules; with --settings, also beside what is in force: how it differs, in which steps it
    can be published, and B. Exit status 2 where it is no rulebook, 1 where it can't be published.

    Example: ringshift rules check rulebook.toml --settings fleet.toml
    """
    from ringshift.rulebook.caution import lax
    from ringshift.rulebook.document import digest

    try:
        book = book_of(file)
    except Malformed as wrong:
        if not as_json:
            raise
        click.echo(json.dumps({"file": file, "right": False, "why": str(wrong)}))
        return 2
    parts = {
        "lists": len(book.lists),
        "entries": sum(len(one.entries) for one in book.lists),
        "quotas": len(book.quotas),
        "shares": len(book.shares),
        "wholes": len(book.wholes),
        "changes": len(book.changes),
        "timelines": len(book.timelines),
    }
    loose = lax(book)
    beside, found = by_itself(file, book) if path is None else against(file, book, path)
    refused = beside["refused"] or (STRICTLY if strict and loose else "")
    told: dict[str, Any] = {"file": file, "right": not refused, "digest": digest(book)}
    told |= parts | beside | {"lax": list(map(laxity, loose)), "refused": refused}
    if as_json:
        click.echo(json.dumps(told))
        return 1 if refused else 0
    click.echo(
        f"{file}: {'may not be published' if refused else 'right'}, "
        f"{', '.join(f'{n} {name}' for name, n in parts.items())}; digest {told['digest'][:16]}"
    )
    if refused:
        click.echo(f"  {refused}")
    if path is not None:
        show_beside(told, found)
    for line in lines(loose):
        click.echo(line)
    return 1 if refused else 0


def by_itself(file: str, book: Rulebook) -> tuple[dict[str, Any], list[Difference]]:
    """Refused where its changes and timelines contradict each other; and where a row begins too soon, as
    nothing is known to be in force that it might be."""
    from ringshift.rulebook.bound import ReadingTerms
    from ringshift.schedule.plan import Terms, itself

    try:
        fitting(file, lambda: itself(book, time.time_ns(), Terms.of(ReadingTerms())))
    except click.ClickException as wrong:
        return {"refused": wrong.message}, []
    return {"refused": ""}, []


def against(file: str, book: Rulebook, path: str) -> tuple[dict[str, Any], list[Difference]]:
    """What --settings adds, beside the version in force there; and the differences from that."""
    from ringshift.rulebook.bound import bound
    from ringshift.rulebook.kinds import differences
    from ringshift.rulebook.steps import Step, plan

    link, terms = reading(path)
    held = answered(link.read)
    now: Version | None = None if held.told is None else held.told.in_force
    refused, steps = "", list[Step]()
    found = [] if now is None else differences(now.book, book)
    try:
        book = planned(file, book, None if now is None else now.book, terms)
        if now is not None:
            in_force = now.book
            found = differences(in_force, book)
            steps = refusing(file, lambda: plan(in_force, book))
    except click.ClickException as wrong:
        refused = wrong.message
    return {
        "in_force": None if now is None else brief(now),
        "differences": list(map(difference, found)),
        "steps": [{"what": one.what, "by_all": one.by_all} for one in steps],
        "refused": refused,
        "raised": raised_of(path, book),
        "silent_s": terms.surely_ended / 1e9,
        "b_s": bound(terms.life, terms.margin, terms.drift_ppm) / 1e9,
    }, found


def show_beside(told: dict[str, Any], found: list[Difference]) -> None:
    now, steps = told["in_force"], told["steps"]
    if now is None:
        click.echo("nothing was ever published: the first is in force at once")
    else:
        click.echo(f"in force is {now['number']}, {len(found)} differences")
    show_differences(found)
    for place, step in enumerate(steps, 1) if len(steps) > 1 else ():
        click.echo(
            f"  step {place} of {len(steps)}: {step['what']}"
            + (" (every reader must acknowledge it)" if step["by_all"] else "")
        )
    click.echo(
        f"by [rules] there B is {told['b_s']:.3f} s, and a publication waits {told['silent_s']:.3f} s "
        "for a silent backend"
    )
    for line in told["raised"]:
        click.echo(f"warning: {line}")


def planned(file: str, book: Rulebook, now: Rulebook | None, terms: ReadingTerms) -> Rulebook:
    """The document as it can follow `now`, with its scheduled changes and timelines validated: rows that it
    has no more are withdrawn. It is `now` itself where only the time of planning would differ. Raises
    ClickException."""
    import msgspec

    from ringshift.rulebook.document import Rulebook, digest
    from ringshift.schedule.plan import Terms, whole

    base = Rulebook(alone=book.alone) if now is None else now
    found = fitting(file, lambda: whole(base, book, time.time_ns(), Terms.of(terms)))
    same = now is not None and digest(msgspec.structs.replace(found, horizon=now.horizon)) == digest(now)
    return base if same else found


def fitting(file: str, judge: Callable[[], Rulebook | Against]) -> Rulebook:
    """What `judge` makes of the document. Raises ClickException with the line of the row that it names."""
    from ringshift.rulebook.document import Rulebook
    from ringshift.schedule.planned import moment

    try:
        found = judge()
    except ValueError as wrong:
        told = str(wrong)
        raise click.ClickException(f"{file}: {line_of(file, told.split(': ')[0])}{told}") from None
    if isinstance(found, Rulebook):
        return found
    line = line_of(file, found.first) or line_of(file, found.second)
    raise click.ClickException(f"{file}: {line}{found}; first at {moment(found.instant).isoformat()}")


def line_of(file: str, name: str) -> str:
    """Of the row of this name, as "line 7: "; empty where no row is called so. A recurring change's window is
    named NAME@START, a timeline's part retire:NAME:START."""
    names = {name, name.partition("@")[0], name.removeprefix("retire:").partition(":")[0]}
    for number, line in enumerate(Path(file).read_text(encoding="utf-8").splitlines(), 1):
        found = re.search(r"""\bname\s*=\s*["']([^"']*)""", line)
        if found is not None and found[1] in names:
            return f"line {number}: "
    return ""


def laxity(one: Lax) -> dict[str, Any]:
    return {
        "kind": one.kind,
        "what": one.what,
        "alone": finite(one.alone),
        "rules": finite(one.rules),
        "reason": one.reason,
    }


def lines(found: Sequence[Lax]) -> Iterator[str]:
    """For people, by kind and entry."""
    if not found:
        return
    yield (
        f"warning: `alone` admits what the rules refuse, {len(found)} times: a backend without contact "
        "contradicts the others for as long as it has none"
    )
    for one in found[:MOST_LINES]:
        told = ""
        if one.alone is not None and one.rules is not None:
            told = f" {limit(one.alone)}, not {limit(one.rules)}"
        yield f"  {one.kind}: {one.what}{told}; {one.reason}"
    if len(found) > MOST_LINES:
        yield f"  and {len(found) - MOST_LINES} more; `ringshift rules check --json` names all"


def raised_of(path: str, book: Rulebook) -> list[str]:
    """Budgets of the settings whose whole can't be as low as the rulebook states, in its rules or `alone`."""
    from ringshift.fleet.whole import raised
    from ringshift.settings.operators import read_operators

    budgets = [one.budget() for one in read_operators(path).budgets]
    found = [
        raised(budget, {one.budget: one.whole for one in rules.wholes})
        for rules in (book, book.alone)
        for budget in budgets
    ]
    return list(dict.fromkeys(filter(None, found)))


def warned(file: str, book: Rulebook, path: str, strict: bool) -> None:
    """Before a publication, on standard error. Raises ClickException where `strict` refuses it."""
    from ringshift.rulebook.caution import lax

    found = lax(book)
    for line in (*lines(found), *(f"warning: {one}" for one in raised_of(path, book))):
        click.echo(line, err=True)
    if strict and found:
        raise click.ClickException(f"{file}: not published: {STRICTLY}")
