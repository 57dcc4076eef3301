"""The records' one schema. Written by orjson from these dataclasses, checked by msgspec (`reader.py`).

A record is one JSON object: `ringshift` the schema's version, `server` and `run` who wrote it (a run is one
process from start to exit), `seq` from 1 without a hole, `at` Unix nanoseconds by that server's wall clock,
`up` nanoseconds since the run began by its monotonic clock, `kind`, and `body`, one of the types below. Two
clocks, since only their difference shows a wall clock that stepped, and `up` a process that stood still.
Dataclasses and not msgspec's own structures: the backend writes records without importing more than it did.
"""

from __future__ import annotations

from dataclasses import dataclass

VERSION = 1
MOST_BYTES = 64 * 1024  # of one record: a longer one is no record of ours
MOST_STAMPS = 8


@dataclass(frozen=True, slots=True)
class Started:
    version: str
    listen: str
    operations: tuple[str, ...]
    cores: int
    stop_ms: float
    role: str = "server"
    """`server`, or `observer` for who watches servers, as an announce service does."""


@dataclass(frozen=True, slots=True)
class Phase:
    old: str
    new: str
    why: str


@dataclass(frozen=True, slots=True)
class Greeted:
    cold: bool
    took_ms: float


@dataclass(frozen=True, slots=True)
class Ready:
    good: bool


@dataclass(frozen=True, slots=True)
class Counts:
    """One operation in one span; `ran_ms` is the sum over `ran` runs, `held` and `level` are at its end."""

    operation: str
    arrived: int = 0
    succeeded: int = 0
    throttled: int = 0
    errored: int = 0
    gone: int = 0
    launched: int = 0
    ran: int = 0
    ran_ms: float = 0.0
    failed_runs: int = 0
    held: int = 0
    level: float = 0.0
    ruled: int = 0
    """Turned away by the fleet's rulebook, by name, lot, move, drain or quota: no sign of overload, not in
    `throttled`."""


@dataclass(frozen=True, slots=True)
class Stamp:
    caller: int
    least_ms: float
    """The least difference over the span of the own wall clock and the caller's, told as it sent."""
    count: int


@dataclass(frozen=True, slots=True)
class Second:
    """The heartbeat: what was done since the one before, and what the module believes at its end."""

    span_ms: float
    counts: tuple[Counts, ...]
    running: int = 0
    limit: float = 0.0
    door: float = 1.0
    pressure: float = 0.0
    slowness: float = 1.0
    memory_kb: float = 0.0
    again: int = 0
    """Arrivals that repeat what the same caller sent in the seconds before."""
    callers: int = 0
    unread_ms: float = 0.0
    """The mean time that arrivals lay unread."""
    asked: int = 0
    sampled: int = 0
    """Gauges asked of the agent and answered."""
    wanting: float = -1.0
    lag_ms: float = 0.0
    """The most that a beat came late: so long this process was kept from the core."""
    stamps: tuple[Stamp, ...] = ()


@dataclass(frozen=True, slots=True)
class Shedding:
    operation: str
    on: bool


@dataclass(frozen=True, slots=True)
class Said:
    """A log line; kinds that traffic can repeat are counted before they get here."""

    level: str
    text: str


@dataclass(frozen=True, slots=True)
class Mark:
    """Something that others see as well, under the same token, true times at most `spread_ms` apart."""

    token: str
    spread_ms: float


@dataclass(frozen=True, slots=True)
class Saw:
    """An observer's word on a server: `announced` (with what it told), `listed`, `lapsed`."""

    server: str
    what: str
    detail: str = ""


@dataclass(frozen=True, slots=True)
class Dropped:
    """The carrier was full, or the store made room: that many records from `first` on are not there."""

    count: int
    first: int
    why: str


@dataclass(frozen=True, slots=True)
class Ended:
    status: int
    owed: int


@dataclass(frozen=True, slots=True)
class LeaseChange:
    """A fleet task's lease at this holder went from one state to another (ringshift/fleet/lease.py)."""

    task: str
    holder: str
    old: str
    new: str
    why: str
    token: int = 0
    left_ms: float = 0.0
    """What is left until the holder's own deadline."""


@dataclass(frozen=True, slots=True)
class ShareChange:
    """This server's share of a fleet-wide budget changed (ringshift/fleet/share.py)."""

    budget: str
    old: float
    new: float
    why: str
    round: int = 0
    left_ms: float = 0.0
    """Until the grant ends here, 0 for the safe share."""


@dataclass(frozen=True, slots=True)
class RampStep:
    """The holder of a retirement's ramp (ringshift/retirement/ramp.py) decided, and by what: the figures are
    those of fresh backends alone."""

    timeline: str
    holder: str
    old: str
    new: str
    why: str
    edition: int = 0
    rung: int = 0
    share: int = 0
    """Millionths of the callers, turned away from then on."""
    token: int = 0
    known: int = 0
    fresh: int = 0
    answers: tuple[int, int, int] = (0, 0, 0)
    """Of the old operation, of its successor, errors among the latter."""
    moved: int = 0
    """Of the callers turned away until then, those that the successor served."""
    ready: int = 0
    """Callers turned away from then on: drawn, and warned to the floor."""


@dataclass(frozen=True, slots=True)
class RulesChange:
    """What this server acts by in the fleet's rulebook changed (ringshift/rulebook/reader.py)."""

    state: str
    acted_by: tuple[tuple[int, int], ...]
    """(epoch, number) of each version, one or two; without contact those whose `alone` counts."""
    left_ms: float = 0.0
    """Until that ends unless the keeper confirms it, 0 without contact."""
    why: str = ""


@dataclass(frozen=True, slots=True)
class ChangeStep:
    """A scheduled change went from one state to another at this server (ringshift/schedule/service.py). One
    look may pass several states, as after a long stop: then `old` is that before it and `new` that after.
    From PLANNED on, in which it is taken up a minute before its start; one withdrawn before leaves none."""

    change: str
    """A recurring one's window is NAME@START."""
    old: str
    new: str
    """PLANNED again where the wall clock was set back so far that all is begun anew."""
    part: int = 0
    """Millionths of its effect in force from then on."""
    left_ms: float = 0.0
    """Until its planned end, by the wall clock; 0 past it."""
    withdrawn: bool = False
    confirmed: bool = False
    """Whether this server acted by a confirmed version at that moment."""


Body = (
    Started
    | Phase
    | Greeted
    | Ready
    | Second
    | Shedding
    | Said
    | Mark
    | Saw
    | Dropped
    | Ended
    | LeaseChange
    | ShareChange
    | RampStep
    | RulesChange
    | ChangeStep
)
KINDS: dict[str, type] = {
    "started": Started,
    "phase": Phase,
    "greeted": Greeted,
    "ready": Ready,
    "second": Second,
    "shedding": Shedding,
    "said": Said,
    "mark": Mark,
    "saw": Saw,
    "dropped": Dropped,
    "ended": Ended,
    "lease": LeaseChange,
    "share": ShareChange,
    "ramp": RampStep,
    "rules": RulesChange,
    "change": ChangeStep,
}
NAMES: dict[type, str] = {kind: name for name, kind in KINDS.items()}


@dataclass(frozen=True, slots=True)
class Record:
    server: str
    run: str
    seq: int
    at: int
    up: int
    body: Body

    @property
    def kind(self) -> str:
        return NAMES[type(self.body)]

    @property
    def ref(self) -> str:
        return f"{self.server}/{self.run}/{self.seq}"
