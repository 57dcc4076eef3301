"""A timeline: which operation is retired, what follows it, and when each of its steps may come earliest.

Decisions only. In the document dates are RFC 3339 with an offset (TOML's own or as text), in the decisions
whole nanoseconds since the epoch (`ns`). Dates are the *earliest*: the ramp (ramp.py) may be later than them,
as long as its conditions don't hold, and never before them.
"""

from __future__ import annotations

import re
from datetime import UTC, datetime
from enum import IntEnum
from typing import Annotated

import msgspec

from ringshift.retirement.conditions import WHOLE, Conditions, Floor, S, fraction, millionths

EPOCH = datetime(1970, 1, 1, tzinfo=UTC)
NAME = re.compile(r"[A-Za-z0-9_-]{1,64}")
MOST_STEPS = 100
MOST_BROWNOUTS = 100
MOST_EXEMPTIONS = 10_000
LONGEST_BROWNOUT_S = 24 * 3_600  # short and stated: what lasts longer is a step

When = Annotated[datetime, msgspec.Meta(tz=True)]

Phase = IntEnum(
    "Phase", "PLANNED ANNOUNCED WARNING BROWNOUT SHEDDING HOLDING PAUSED STEPPING_BACK ENDED WITHDRAWN"
)
"""PLANNED: before its announcement; SHEDDING: a step was decided, not all that are heard confirmed it yet;
HOLDING: they did, its hold runs; STEPPING_BACK: a step was taken back, not yet confirmed; ENDED: all but the
exempt and those short of the floor are turned away; WITHDRAWN: the timeline is no more in the rulebook."""


def ns(when: datetime) -> int:
    """Nanoseconds since the epoch, exact."""
    since = when - EPOCH
    return (since.days * 86_400 + since.seconds) * S + since.microseconds * 1_000


class Brownout(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Stated hours in which callers are turned away ahead of time: whoever did not read hears of it so."""

    start: When = msgspec.field(name="from")
    end: When = msgspec.field(name="to")
    share: float = 1.0

    def __post_init__(self) -> None:
        long = ns(self.end) - ns(self.start)
        if not 0 < long <= LONGEST_BROWNOUT_S * S:
            raise ValueError(f"to: {long / S:g} s after from; above 0 and at most {LONGEST_BROWNOUT_S}")
        fraction("share", self.share)
        if millionths(self.share) == 0:
            raise ValueError(f"share: {self.share} turns nobody away")


class Step(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """From `at` on, at the earliest, `share` of the callers are turned away, and no more for `hold_s`."""

    at: When
    share: float
    hold_s: int = 0

    def __post_init__(self) -> None:
        fraction("share", self.share)
        if millionths(self.share) == 0:
            raise ValueError(f"share: {self.share} turns nobody away")
        if self.hold_s < 0:
            raise ValueError(f"hold_s: {self.hold_s}; not below 0")


class Exemption(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A caller that is not turned away before `until`, which may lie after the timeline's end."""

    caller: int
    until: When
    text: str = ""

    def __post_init__(self) -> None:
        if not 0 <= self.caller < 1 << 63:
            raise ValueError(f"caller: {self.caller}; a caller's number, from 0")


class Onto(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Where what was served at one place goes: only needed where the successor isn't served there as well."""

    source: str = msgspec.field(name="from")
    target: str = msgspec.field(name="to")

    def __post_init__(self) -> None:
        if not self.source or not self.target or self.source == self.target:
            raise ValueError(f"to: from {self.source!r} to {self.target!r}; two names that differ")


class Timeline(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    name: str
    operation: str
    successor: str
    announced: When
    warned_from: When
    steps: list[Step]
    end: When
    version: str = ""
    """Of the operation: part of the key by which callers are drawn, and told to people."""
    brownouts: list[Brownout] = []
    floor: Floor = Floor()
    exemptions: list[Exemption] = []
    conditions: Conditions = Conditions()
    onto: list[Onto] = []
    link: str = ""
    """URI of the successor, for the Link field; none is sent where it is empty."""
    about: str = ""
    """URI of what people should read (Link with rel="deprecation" and rel="sunset")."""
    text: str = ""

    def __post_init__(self) -> None:
        if not NAME.fullmatch(self.name):
            raise ValueError(f"name: {self.name!r} is not 1 to 64 letters, digits, - or _")
        for field in ("operation", "successor"):
            if not getattr(self, field):
                raise ValueError(f"{field}: empty")
        if self.operation == self.successor:
            raise ValueError(f"successor: {self.successor!r} is the operation itself")
        for field in ("link", "about"):
            uri = getattr(self, field)
            if len(uri) > 2_000 or not uri.isascii() or re.search(r'[\s<>"\x00-\x1f\x7f]', uri):
                raise ValueError(f"{field}: {uri[:40]!r} can't stand in a header field")
        if ns(self.warned_from) < ns(self.announced):
            raise ValueError("warned_from: before announced")
        # The keeper holds a book's lists ordered by their text, which is not that of instants.
        steps = sorted(self.steps, key=lambda one: (ns(one.at), one.share))
        msgspec.structs.force_setattr(self, "steps", steps)
        brownouts = sorted(self.brownouts, key=lambda one: ns(one.start))
        msgspec.structs.force_setattr(self, "brownouts", brownouts)
        self.check_brownouts()
        self.check_steps()
        self.check_callers()

    def check_brownouts(self) -> None:
        if len(self.brownouts) > MOST_BROWNOUTS:
            raise ValueError(f"brownouts: {len(self.brownouts)}, more than {MOST_BROWNOUTS}")
        before = self.first_shed
        for number, one in enumerate(self.brownouts):
            if ns(one.start) < before:
                what = "the one before has ended" if number else "warned_from and the floor's over_s"
                raise ValueError(f"brownouts: number {number} begins before {what}")
            before = ns(one.end)

    def check_steps(self) -> None:
        if not 0 < len(self.steps) <= MOST_STEPS:
            raise ValueError(f"steps: {len(self.steps)}; from 1 to {MOST_STEPS}")
        share, before, what = 0, self.first_shed, "warned_from and the floor's over_s"
        if self.brownouts:
            before, what = ns(self.brownouts[-1].end), "the last brownout has ended"
        for number, one in enumerate(self.steps):
            if ns(one.at) < before:
                raise ValueError(f"steps: number {number} begins before {what}")
            if millionths(one.share) <= share:
                raise ValueError(f"steps: number {number} has share {one.share}, not above the one before")
            share, what = millionths(one.share), "the hold before is over"
            before = ns(one.at) + one.hold_s * S
        if ns(self.end) < before:
            raise ValueError("end: before the last step's hold is over")

    def check_callers(self) -> None:
        if len(self.exemptions) > MOST_EXEMPTIONS:
            raise ValueError(f"exemptions: {len(self.exemptions)}, more than {MOST_EXEMPTIONS}")
        for field, names in (
            ("exemptions", [str(one.caller) for one in self.exemptions]),
            ("onto", [one.source for one in self.onto]),
        ):
            if len(set(names)) < len(names):
                twice = next(name for name in names if names.count(name) > 1)
                raise ValueError(f"{field}: two of {twice}")

    @property
    def first_shed(self) -> int:
        """Before it nobody can have reached the floor, ns."""
        return ns(self.warned_from) + self.floor.span

    @property
    def rungs(self) -> tuple[tuple[int, int, int], ...]:
        """The ramp's rungs, lowest first: (earliest ns, millionths, hold ns); the last is the end."""
        steps = [(ns(one.at), millionths(one.share), one.hold_s * S) for one in self.steps]
        return *steps, (ns(self.end), WHOLE, 0)

    def dark(self, now: int) -> Brownout | None:
        """The brownout whose hours these are."""
        return next((one for one in self.brownouts if ns(one.start) <= now < ns(one.end)), None)


def planned(timeline: Timeline, now: int) -> tuple[Phase, int]:
    """What the dates alone say of an instant: the phase, and the rung that may have come by then, 0: none."""
    rung = sum(at <= now for at, _, _ in timeline.rungs)
    if rung:
        at, _, hold = timeline.rungs[rung - 1]
        if rung == len(timeline.rungs):
            return Phase.ENDED, rung
        return Phase.HOLDING if now < at + hold else Phase.SHEDDING, rung
    if timeline.dark(now):
        return Phase.BROWNOUT, 0
    if now >= ns(timeline.warned_from):
        return Phase.WARNING, 0
    return Phase.ANNOUNCED if now >= ns(timeline.announced) else Phase.PLANNED, 0


def phase(timeline: Timeline, now: int, rung: int) -> Phase:
    """The phase of a backend that acts by `rung`: its step says whom it turns away, not the dates."""
    if rung >= len(timeline.rungs):
        return Phase.ENDED
    if rung:
        return Phase.SHEDDING
    by_date = planned(timeline, now)[0]
    return by_date if by_date <= Phase.BROWNOUT else Phase.WARNING
