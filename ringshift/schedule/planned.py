"""Rows of a rulebook's `changes`, `world` and `horizon`: typed TOML words, and the changes that they state.

Decisions only. A recurring row is expanded over the book's **horizon**, [`at` less what may go on yet, `to`),
both written into the version by whoever planned it: so every backend expands the same windows, none of which
was left unvalidated, and nobody's clock is asked for it. A row is never altered, only marked `withdrawn`, and
goes from the book once nothing of it can be in force anywhere (`over`).
"""

from __future__ import annotations

from collections.abc import Mapping
from datetime import UTC, datetime, timedelta
from typing import Annotated

import msgspec

from ringshift.schedule.change import (
    ALL,
    WHOLE,
    Change,
    ChangeError,
    Does,
    Drain,
    Freeze,
    Move,
    Names,
    Quota,
    Scope,
    World,
)
from ringshift.schedule.recur import EPOCH, RecurError, Recurrence
from ringshift.schedule.recur import nanoseconds as nanoseconds

MS = 1_000_000
MOST_ROWS = 5_000  # of one book: a version must fit into one value of the keeper
MOST_WINDOWS = 20_000  # of one book, with the recurring ones expanded
FINE = 1e-9  # a share is whole millionths but for what a float of the document loses

Instant = Annotated[datetime, msgspec.Meta(tz=True)]
WallClock = Annotated[datetime, msgspec.Meta(tz=False)]


class Moved(msgspec.Struct, frozen=True, forbid_unknown_fields=True, tag="move", tag_field="kind"):
    share: float
    """From above 0 to 1, in whole millionths."""
    source: str
    target: str

    def does(self) -> Does:
        millionths = round(self.share * WHOLE)
        if abs(self.share * WHOLE - millionths) > FINE * WHOLE:
            raise ChangeError(f"share: {self.share}; finer than a millionth")
        return Move(millionths, self.source, self.target)

    def words(self) -> str:
        return f"moves {self.share:g} of {self.source} to {self.target}"


class Drained(msgspec.Struct, frozen=True, forbid_unknown_fields=True, tag="drain", tag_field="kind"):
    place: str

    def does(self) -> Does:
        return Drain(self.place)

    def words(self) -> str:
        return f"drains {self.place}"


class HeldDown(msgspec.Struct, frozen=True, forbid_unknown_fields=True, tag="quota", tag_field="kind"):
    rate: int
    """Invocations a second over the fleet."""

    def does(self) -> Does:
        return Quota(self.rate)

    def words(self) -> str:
        return f"holds down to {self.rate} a second"


class Frozen(msgspec.Struct, frozen=True, forbid_unknown_fields=True, tag="freeze", tag_field="kind"):
    def does(self) -> Does:
        return Freeze()

    def words(self) -> str:
        return "freezes"


class Recurring(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """As in ringshift/schedule/recur.py: an RRULE on the wall clock of `zone`."""

    rule: str
    first: WallClock
    zone: str
    seconds: int


class Planned(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True, omit_defaults=True):
    """One row of `changes`. Names left out (`operations`, `customers`, `places`) are all there are."""

    name: str
    does: Moved | Drained | HeldDown | Frozen
    operations: list[str] | None = None
    customers: list[str] | None = None
    places: list[str] | None = None
    """Where the invocations arrive."""
    start: Instant | None = msgspec.field(default=None, name="from")
    end: Instant | None = msgspec.field(default=None, name="to")
    recurring: Recurring | None = None
    ramp_in_ms: int = 0
    ramp_out_ms: int = 0
    after: list[str] = []
    left: dict[str, int] = {}
    withdrawn: Instant | None = None
    """When it was: never begun since, walked back where it was under way; its place is held until its end."""
    settled: Instant | None = None
    """A window that begins from here on was begun nowhere: the withdrawal was in force before."""
    text: str = ""

    def __post_init__(self) -> None:
        if not 0 < len(self.name) <= 128 or not self.name.isprintable() or "@" in self.name:
            raise ChangeError(f"name: {self.name[:40]!r} is not 1 to 128 printable characters without @")
        for field in ("operations", "customers", "places", "after"):  # one order: rows are compared
            if (names := getattr(self, field)) is not None:
                msgspec.structs.force_setattr(self, field, sorted(set(names)))
        for field in ("start", "end", "withdrawn", "settled"):
            if (at := getattr(self, field)) is not None:
                msgspec.structs.force_setattr(self, field, at.astimezone(UTC))
        if (self.recurring is None) != (self.start is not None and self.end is not None):
            raise ChangeError("from: an absolute change has from and to, a recurring one neither")
        if self.recurring is not None:
            if self.start is not None or self.end is not None:
                raise ChangeError("recurring: beside from or to; one of them")
            self.recurrence()
        if self.settled is not None and self.withdrawn is None:
            raise ChangeError("settled: of one that is not withdrawn")
        self.change(self.name, *(self.edges() or (0, self.length())))  # refused here, by field

    def recurrence(self) -> Recurrence:
        assert self.recurring is not None
        told = self.recurring
        return Recurrence(told.rule, told.first, told.zone, told.seconds)

    def edges(self) -> tuple[int, int] | None:
        if self.start is None or self.end is None:
            return None
        return nanoseconds(self.start), nanoseconds(self.end)

    def length(self) -> int:
        """Nanoseconds of one window."""
        if self.recurring is not None:
            return self.recurring.seconds * 1_000 * MS
        edges = self.edges()
        assert edges is not None
        return edges[1] - edges[0]

    def change(self, name: str, start: int, end: int) -> Change:
        def some(names: list[str] | None) -> Names:
            return ALL if names is None else frozenset(names)

        scope = Scope(some(self.operations), some(self.customers), some(self.places))
        return Change(
            name,
            scope,
            self.does.does(),
            start,
            end,
            self.ramp_in_ms * MS,
            self.ramp_out_ms * MS,
            frozenset(self.after),
            dict(self.left),
        )

    def plan(self) -> Planned:
        """What may not be altered: the row without its marks and its text."""
        return msgspec.structs.replace(self, withdrawn=None, settled=None, text="")


class Serving(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    operation: str
    places: list[str]


class Taking(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    place: str
    most: Annotated[int, msgspec.Meta(ge=0)]
    """Invocations a second."""


class Loaded(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    operation: str
    customer: str
    place: str
    rate: Annotated[int, msgspec.Meta(ge=0)]


class Stated(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The table `world`: what a plan is validated against beside the changes. Nothing is judged by it in
    service."""

    serves: list[Serving] = []
    capacity: list[Taking] = []
    load: list[Loaded] = []

    def __post_init__(self) -> None:
        for field, keys in (
            ("serves", [one.operation for one in self.serves]),
            ("capacity", [one.place for one in self.capacity]),
            ("load", [(one.operation, one.customer, one.place) for one in self.load]),
        ):
            if len(set(keys)) != len(keys):
                raise ValueError(f"{field}: two rows of the same")

    def world(self) -> World:
        return World(
            {one.operation: frozenset(one.places) for one in self.serves},
            {one.place: one.most for one in self.capacity},
            {(one.operation, one.customer, one.place): one.rate for one in self.load},
        )


class Horizon(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Written by whoever plans, never by hand."""

    at: Instant
    """When it was planned, by the planner's clock."""
    to: Instant
    """Recurring windows that begin before it are in the plan; later ones are not begun."""
    late_ms: int
    """By how much two backends may be apart, as it was validated."""

    @property
    def late(self) -> int:
        return self.late_ms * MS

    @property
    def now(self) -> int:
        return nanoseconds(self.at)


def moment(ns: int) -> datetime:
    """Of an instant in ns: rounded down to the microsecond, which is what a document can hold."""
    return EPOCH + timedelta(microseconds=ns // 1_000)


def windows(row: Planned, horizon: Horizon | None) -> list[tuple[int, int]]:
    """(start, end) in ns of those of a row that may be in force somewhere. Raises ChangeError, RecurError."""
    edges = row.edges()
    if edges is not None:
        found = [edges]
    elif horizon is None:
        raise ChangeError(f"horizon: none, beside the recurring {row.name!r}")
    else:
        since = horizon.now - horizon.late - row.length()  # whatever began before has ended everywhere
        found = list(row.recurrence().windows(since, nanoseconds(horizon.to)))
    settled = None if row.settled is None else nanoseconds(row.settled)
    return [one for one in found if settled is None or one[0] < settled]


def name_of(row: Planned, start: int) -> str:
    return row.name if row.recurring is None else f"{row.name}@{moment(start):%Y-%m-%dT%H:%M:%SZ}"


def expanded(rows: list[Planned], horizon: Horizon | None) -> dict[str, tuple[Change, bool]]:
    """Every change of the rows by name, and whether it is withdrawn. Raises ChangeError, RecurError."""
    out: dict[str, tuple[Change, bool]] = {}
    for row in rows:
        try:
            told = windows(row, horizon)
        except RecurError as wrong:
            raise ChangeError(f"{row.name}: {wrong}") from None
        for start, end in told:
            name = name_of(row, start)
            out[name] = row.change(name, start, end), row.withdrawn is not None
        if len(out) > MOST_WINDOWS:
            raise ChangeError(f"changes: more than {MOST_WINDOWS} windows within the horizon")
    return out


def settle(row: Planned, horizon: Horizon) -> Planned:
    """A row whose withdrawal is in force already when `horizon` is planned on it: from `late` after it no
    window of it can have begun."""
    if row.withdrawn is None or row.settled is not None:
        return row
    return msgspec.structs.replace(row, settled=moment(horizon.now + horizon.late))


def over(row: Planned, horizon: Horizon) -> bool:
    """Whether nothing of a row can be in force anywhere from `horizon.at` on, nor ever again."""
    if row.recurring is not None and row.withdrawn is None:
        return False
    try:
        return all(end + horizon.late <= horizon.now for _, end in windows(settle(row, horizon), horizon))
    except ValueError:
        return False  # one that can't be expanded is not known to be over


def by_name(rows: list[Planned]) -> Mapping[str, Planned]:
    return {row.name: row for row in rows}
