"""What the commands that speak to the keeper of rules share: options, the link, documents and versions."""

from __future__ import annotations

import getpass
import os
import re
import time
from collections.abc import Callable, Iterable
from pathlib import Path
from typing import TYPE_CHECKING, TypeVar

import click

from ringshift.machine import Malformed

if TYPE_CHECKING:
    from ringshift.rulebook.bound import ReadingTerms
    from ringshift.rulebook.document import Rulebook
    from ringshift.rulebook.version import Version
    from ringshift.wire.rules import RulesLink

FILE = click.Path(dir_okay=False, exists=True)
NUMBER = re.compile(r"(\d{1,8})\.(\d{1,12})")
JSON = click.option("--json", "as_json", is_flag=True, help="For programs.")
SETTINGS = click.option(
    "--settings", "path", required=True, type=FILE, help="The operators' TOML with [leases] and [rules]."
)
WITHIN = click.option(
    "--within",
    default=30.0,
    show_default=True,
    type=click.FloatRange(0.0, 86400.0),
    help="Seconds to lead it; what is proposed by then stands.",
)
T = TypeVar("T")
MOST_WORDS = 8  # names in a reason
DIE_AT = click.option("--die-at", default="", hidden=True, help="Fault tests: killed at this place.")


def user() -> str:
    """Who runs this, by the system's name for them: an author where none is told."""
    try:
        return getpass.getuser()
    except (KeyError, OSError):  # a user id without a name
        return f"user {os.getuid()}"


AUTHOR = click.option(
    "--author",
    default="",
    callback=lambda ctx, param, told: told.strip() or user(),
    help="Who does it; left out, your name on this system.",
)


def said(ctx: click.Context, param: click.Parameter, told: str) -> str:
    """Of a version's author and reason: there for whoever asks later."""
    if not told.strip():
        raise click.BadParameter("empty")
    return told.strip()


def listed(names: Iterable[str]) -> str:
    told = sorted(names)
    more = f" and {len(told) - MOST_WORDS} more" if len(told) > MOST_WORDS else ""
    return ", ".join(told[:MOST_WORDS]) + more


def reading(path: str) -> tuple[RulesLink, ReadingTerms]:
    from ringshift.settings.operators import read_operators
    from ringshift.wire.rules import RulesLink

    operators = read_operators(path)
    if operators.leases is None or operators.rules is None:
        raise Malformed(f"{path}: no [rules] with [leases]: rulebooks are off")
    link = RulesLink(operators.leases.keepers, time.monotonic_ns, operators.rules.answer_within_ms / 1000)
    return link, operators.rules.terms()


def answered(call: Callable[[], T]) -> T:
    try:
        return call()
    except ValueError as wrong:
        raise click.ClickException(f"the keeper's answer: {wrong}") from None
    except Exception as wrong:  # whatever a client raises
        raise click.ClickException(f"the keeper did not answer: {wrong}") from None


def book_of(file: str) -> Rulebook:
    from ringshift.rulebook.document import read

    try:
        return read(Path(file).read_text(encoding="utf-8"), file)
    except OSError as wrong:
        raise Malformed(f"{file}: {wrong.strerror}") from None
    except UnicodeDecodeError:
        raise Malformed(f"{file}: not UTF-8") from None


def version_of(word: str, link: RulesLink) -> Version:
    """`in-force`, `proposed` or EPOCH.NUMBER, at the keeper."""
    from ringshift.rulebook.wish import numbered

    found: Version | None
    if word in ("in-force", "proposed"):
        told = answered(link.read).told
        found = None if told is None else told.in_force if word == "in-force" else told.proposed
        if found is None:
            raise click.ClickException("nothing was ever published" if told is None else "none is proposed")
        return found
    number = NUMBER.fullmatch(word)
    if number is None:
        raise click.UsageError(f"{word!r} is no version (EPOCH.NUMBER, in-force or proposed)")
    stamp = int(number[1]), int(number[2])
    found = answered(lambda: link.version(stamp))
    if found is None:
        held = answered(link.read)
        kept = ", ".join(numbered(one) for one in held.kept) or "none"
        raise click.ClickException(f"{word}: the keeper has no such version; it has {kept}")
    return found


def refusing(file: str, call: Callable[[], T]) -> T:
    """What may not be published, or can't be kept by the keeper, in one line."""
    try:
        return call()
    except ValueError as wrong:  # PublicationError among them
        raise click.ClickException(f"{file}: {wrong}") from None
