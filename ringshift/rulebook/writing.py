"""A rulebook as the TOML document that reads back as the same; for operators to look at, edit and publish."""

from __future__ import annotations

from datetime import date, time

import msgspec
import tomlkit
from msgspec.structs import fields
from tomlkit.items import Array, Item, Trivia, Whitespace

from ringshift.rulebook.document import Rulebook

SHORT = 5  # entries that are written in one line


def write(book: Rulebook, heading: tuple[str, ...] = ()) -> str:
    """`heading`: lines of comment above it. What has its default is left out."""
    out = tomlkit.document()
    for line in heading:
        out.add(tomlkit.comment(" ".join(line.split())))
    for name, told in table(book).items():
        out.add(name, tomlkit.item(told))
    return tomlkit.dumps(out)


def lines(told: list[object]) -> Array:
    """One entry a line. Made whole: an array that is added to entry by entry took 5.9 s for 10,000."""
    out = list[Item]()
    for one in told:
        out += [Whitespace("\n    "), tomlkit.item(one), Whitespace(",")]
    return Array([*out, Whitespace("\n")], Trivia(), multiline=True)


def table(value: msgspec.Struct) -> dict[str, object]:
    """What of a struct differs from its defaults, and its tag where it has one."""
    tag = value.__struct_config__.tag
    out: dict[str, object] = {} if tag is None else {str(value.__struct_config__.tag_field): tag}
    for one in fields(value):
        default = one.default if one.default_factory is msgspec.NODEFAULT else one.default_factory()
        told = getattr(value, one.name)
        if told != default and told is not None:
            out[one.encode_name] = words(told)
    return out


def words(value: object) -> object:
    """What TOML has words for."""
    if isinstance(value, msgspec.Struct):
        return table(value)
    if isinstance(value, dict):
        return {str(key): words(one) for key, one in value.items() if one is not None}
    if isinstance(value, (list, tuple, set, frozenset)):
        told = [words(one) for one in value]
        return lines(told) if len(told) > SHORT and not isinstance(told[0], dict) else told
    if isinstance(value, (date, time)):  # a datetime is a date
        return value
    return msgspec.to_builtins(value)
