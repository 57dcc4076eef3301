"""How a publisher knows that the keeper lost data: what it holds now is not what was seen of it.

Decisions only. A keeper restored from an older copy answers as if nothing had been: the place in its history,
what is in force, what is proposed, the highest number ever used, all of before. One restored as its
documentation has it names itself another keeper, which is found at the first look. One whose disk was put
back does not; but readers keep what they saw and say so with each confirmation, so a loss is whatever a row
knows that can't be under a keeper that kept everything. One reader's word is enough, as none of these can be
so by delay: a row is written at the keeper itself, so it never says more than the keeper had held by then.
"""

from __future__ import annotations

from collections.abc import Mapping

from ringshift.rulebook.words import NOTHING, UNMARKED, Row, Stamp, Told

# What a row (or the publisher itself) knows | why a keeper that kept everything can't hold what it holds
SPECIFICATION = """
place  | its history is shorter than one that was seen
keeper | another keeper answers, made of a copy of the one that was written to
floor  | what is in force is below what was in force
number | a number above all that it ever used is known
book   | one number names another book here: it was given twice
"""
SIGNS = tuple(row.split("|")[0].strip() for row in SPECIFICATION.strip().splitlines())


def highest(rows: Mapping[str, Row]) -> Stamp:
    """Of all versions that the readers name."""
    return max((max(row.floor, *(mark[:2] for mark in row.named)) for row in rows.values()), default=NOTHING)


def lost_epoch(
    told: Told, rows: Mapping[str, Row], place: tuple[int, int], used: Stamp, moved: bool = False
) -> int | None:
    """The epoch above which all must be published from now on; None where nothing was lost. `place`: the
    highest in the keeper's history that the publisher saw or heard of; `used`: the highest number that the
    keeper says was ever used; `moved`: another keeper answers than the one that the epoch began at. What the
    publisher itself is about to propose is no sign: another may have been first with the same number, and be
    acknowledged."""
    found = (
        place_of(told, place),
        told.place[0] if moved else None,
        floor_of(told, rows),
        number_of(told, rows, used),
        book_of(told, rows),
    )
    return max((epoch for epoch in found if epoch is not None), default=None)


def signs(told: Told, row: Row, used: Stamp) -> list[str]:
    """Which of `SIGNS` this one row shows, in their order; for the operators."""
    rows = {"": row}
    found = (
        place_of(told, row.seen),
        None,
        floor_of(told, rows),
        number_of(told, rows, used),
        book_of(told, rows),
    )
    return [sign for sign, epoch in zip(SIGNS, found, strict=True) if epoch is not None]


def place_of(told: Told, place: tuple[int, int]) -> int | None:
    return place[0] if place > told.place else None


def floor_of(told: Told, rows: Mapping[str, Row]) -> int | None:
    floor = max((row.floor for row in rows.values()), default=NOTHING)
    return floor[0] if floor > told.in_force.stamp else None


def number_of(told: Told, rows: Mapping[str, Row], used: Stamp) -> int | None:
    known = highest(rows)
    held = [one.stamp for one in (told.in_force, told.proposed) if one is not None]
    return known[0] if known > max(used, *held) else None


def book_of(told: Told, rows: Mapping[str, Row]) -> int | None:
    books = {one.stamp: one.mark for one in (told.in_force, told.proposed) if one is not None}
    wrong = [
        mark[0]
        for row in rows.values()
        for mark in row.named
        if mark != UNMARKED and books.get(mark[:2], mark) != mark
    ]
    return max(wrong, default=None)
