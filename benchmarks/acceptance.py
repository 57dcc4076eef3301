"""Table of recorded runs of the acceptance bench, read from the journal.

`python -m benchmarks.acceptance [--days] [--since ID] [ENTRY.json ...]` prints one Markdown row a run, or
with `--days` one a day: site, panel, seed, verdict, what was served against what was wanted, broken rules,
journal entry. The row of a run names the day with the least margin between the two.
"""

from __future__ import annotations

import argparse
from collections.abc import Iterator, Sequence
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import msgspec

JOURNAL = Path(__file__).parent.parent / "journal"
COMMAND = "real-score"
FULL_SIZE = "mass"


class Day(msgspec.Struct, frozen=True):
    """One played day, as far as the table needs it."""

    name: str = ""
    served: float | None = None
    served_least: float | None = None
    rules: dict[str, int] = {}
    fault: Any = None
    gate: Any = None

    @property
    def margin(self) -> float:
        """Share served beyond the share wanted; a day without figures is the worst of all."""
        if self.served is None or self.served_least is None:
            return float("-inf")
        return self.served - self.served_least

    @property
    def broken(self) -> str:
        """The rules broken, each with its count, and the fault that ended the day."""
        parts = [f"{rule} {count}" for rule, count in self.rules.items() if count]
        parts += [str(one) for one in (self.fault, self.gate) if one]
        return ", ".join(parts) or "none"

    @property
    def figures(self) -> str:
        """Served against wanted."""
        if self.served is None or self.served_least is None:
            return "not played"
        return f"{self.served:.3f} of {self.served_least:.3f}"


class Entry(msgspec.Struct, frozen=True):
    """One entry of the journal."""

    id: str
    at: list[str]
    cmd: str
    argv: list[str]
    why: str | None = None
    site: str | None = None
    panel: str | None = None
    figures: dict[str, Any] = {}
    days: list[Day] | None = None
    error: Any = None

    @property
    def is_acceptance(self) -> bool:
        return self.cmd == COMMAND and FULL_SIZE in (self.panel or "")

    def option(self, name: str) -> str:
        """The value of an option that takes one, empty where it was not given."""
        return self.argv[self.argv.index(name) + 1] if name in self.argv else ""

    @property
    def seed(self) -> str:
        return self.option("--seed") or "1"

    @property
    def kind(self) -> str:
        """Which set of days was played."""
        parts = [self.option("--panel") or "full size"]
        parts += ["quick"] * ("--quick" in self.argv)
        parts += [f"day {day}"] if (day := self.option("--day")) else []
        return ", ".join(parts)

    @property
    def verdict(self) -> str:
        gate = self.figures.get("gate")
        if gate is None:
            return "no verdict"
        return "passed" if gate == 1 else "FAILED"


@dataclass(frozen=True, slots=True)
class Row:
    """One line of the table."""

    entry: Entry
    day: Day | None
    days_played: int

    def __str__(self) -> str:
        entry, day = self.entry, self.day
        name = day.name if day else "-"
        figures = day.figures if day else "not played"
        broken = day.broken if day else str(entry.error)
        run = (entry.site, entry.kind, entry.seed, self.days_played, entry.verdict)
        cells = (*run, name, figures, broken, entry.id)
        return "| " + " | ".join(str(cell) for cell in cells) + " |"


HEADER = """\
| site | days | seed | played | gate | day | served of wanted | rules broken | journal |
| --- | --- | --- | --- | --- | --- | --- | --- | --- |"""


def read_entry(path: Path) -> Entry:
    """Raises msgspec.ValidationError where the file is no journal entry."""
    return msgspec.json.decode(path.read_bytes(), type=Entry)


def rows_of(entry: Entry, each_day: bool) -> Iterator[Row]:
    """The rows of one run: every day, or the one with the least margin and all broken rules."""
    days = entry.days or []
    if not days:
        yield Row(entry, None, 0)
    elif each_day:
        yield from (Row(entry, day, len(days)) for day in days)
    else:
        failed = [day for day in days if day.broken != "none"]
        shown = failed or [min(days, key=lambda day: day.margin)]
        yield from (Row(entry, day, len(days)) for day in shown)


def select(paths: Sequence[Path], since: str) -> list[Entry]:
    """The acceptance runs among these entries, oldest first, from the entry `since` on."""
    entries = [entry for path in sorted(paths) if (entry := read_entry(path)).is_acceptance]
    starts = [place for place, entry in enumerate(entries) if entry.id == since]
    return entries[starts[0] :] if starts else entries


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--days", action="store_true", help="a row for each day")
    parser.add_argument("--since", default="", metavar="ID", help="the first entry to show")
    parser.add_argument("entries", nargs="*", type=Path, help="journal entries; all without any")
    options = parser.parse_args()
    print(HEADER)
    for entry in select(options.entries or list(JOURNAL.glob("*.json")), options.since):
        for row in rows_of(entry, options.days):
            print(row)


if __name__ == "__main__":
    main()
