"""What goes into the decisions and what comes out of them. Nothing here decides.

Times are whole nanoseconds on one clock that only advances; spans are whole nanoseconds too. Invocations,
operations, customers and callers are small indices that whoever embeds the library hands out at its door.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field
from enum import Enum


class Effect(Enum):
    """What running an invocation of an operation twice would do."""

    IDEMPOTENT = "idempotent"
    TOKENED = "tokened"
    NON_IDEMPOTENT = "non-idempotent"


class Outcome(Enum):
    """How a run or a call ended; REJECTED, UNREACHABLE and MOOT prove that nothing ran."""

    SUCCEEDED = "succeeded"
    ERRORED = "errored"
    REJECTED = "rejected"
    TIMED_OUT = "timed out"
    UNREACHABLE = "unreachable"
    BROKEN = "broken"
    STOPPED = "stopped"
    MOOT = "moot"


class Halt(Enum):
    """What stopping a run does to its work."""

    NONE = "none"
    DROP = "drop"
    PAUSE = "pause"


class Advert(Enum):
    """How callers read the free value."""

    NONE = "none"
    LEVEL = "level"
    CREDIT = "credit"
    WEIGHT = "weight"


class Below(Enum):
    """What invocations call while they run."""

    NONE = "none"
    SHARED = "shared"
    NEXT_TIER = "next tier"


class Unit(Enum):
    """What a fleet-wide budget counts (ringshift/fleet/budget.py)."""

    CALLS = "calls"
    RATE = "rate"
    RETRIES = "retries"


# Read at start.


@dataclass(frozen=True, slots=True)
class Operation:
    name: str
    effect: Effect
    objective: int
    objective_stretch: float
    client_timeout: int
    billed_value: float
    late_share: float
    window: int
    calls: bool
    degraded_share: float


@dataclass(frozen=True, slots=True)
class Customer:
    name: str
    quota_per_s: float


@dataclass(frozen=True, slots=True)
class Dependency:
    kind: Below
    share: float
    window: int
    linger: int


@dataclass(frozen=True, slots=True)
class Machine:
    cores: int
    memory_kb: float
    run_factor: float
    entry_kb: float
    cold: bool
    cold_speed: float
    ramp: int
    fall_multiple: float
    grace: int
    tick: int
    fleet: int
    callers: int
    halt: Halt
    advert: Advert
    heeded: int
    fresh: int
    longest_pause: int
    over_quota_share: float
    operations: tuple[Operation, ...]
    customers: tuple[Customer, ...]
    dependency: Dependency
    gauges: tuple[str, ...]
    in_hand: int = 2**31
    """How many invocations the program around the module can hold, whatever they book."""

    def __post_init__(self) -> None:
        """Reject what contradicts itself, naming the setting: guessing in silence would hide it for years."""
        positive = ("cores", "memory_kb", "run_factor", "ramp", "fall_multiple", "tick", "fleet")
        for name in positive:
            if getattr(self, name) <= 0:
                raise ValueError(f"{name} must be above 0, not {getattr(self, name)}")
        if self.fall_multiple < 1:
            raise ValueError(f"fall_multiple must be at least 1, not {self.fall_multiple}")
        if not 0 < self.cold_speed <= 1:
            raise ValueError(f"cold_speed must be above 0 and at most 1, not {self.cold_speed}")
        for name in ("over_quota_share",):
            if not 0 <= getattr(self, name) <= 1:
                raise ValueError(f"{name} must lie from 0 to 1, not {getattr(self, name)}")
        for name in ("entry_kb", "grace", "heeded", "fresh", "longest_pause"):
            if getattr(self, name) < 0:
                raise ValueError(f"{name} must not be negative, not {getattr(self, name)}")
        if not self.operations:
            raise ValueError("operations must not be empty")
        for op in self.operations:
            if not 0 < op.objective <= op.client_timeout:
                raise ValueError(f"operations: {op.name}: objective must be above 0, within client_timeout")
            if op.billed_value < 0:
                raise ValueError(f"operations: {op.name}: billed_value must not be negative")
            if not (0 <= op.late_share <= 1 and 0 <= op.degraded_share <= 1):
                raise ValueError(f"operations: {op.name}: late_share and degraded_share must lie from 0 to 1")
            if op.effect is Effect.TOKENED and op.window <= 0:
                raise ValueError(f"operations: {op.name}: window must be above 0 for a tokened operation")
        for customer in self.customers:
            if customer.quota_per_s < 0:
                raise ValueError(f"customers: {customer.name}: quota_per_s must not be negative")
        below = self.dependency
        if below.kind is Below.SHARED and (below.share <= 0 or below.window <= 0):
            raise ValueError("dependency: share and window must be above 0 where it is shared")


# Inputs.


@dataclass(frozen=True, slots=True)
class Arrived:
    inv: int
    operation: int
    customer: int
    """-1 where there are no customers."""
    patience: int | None
    """How long the caller still waits for this try; None where it is not told."""
    cost: float
    """Hint of the work, 0 where none is told."""
    kb: float
    rank: float
    keyed_read: bool
    """Names a subject and is no write."""
    caller: int
    unread: int
    """How long it lay at the machine before it was read."""
    repeats: int | None
    """The remembered invocation of which this is a repeat."""
    lot: int = -1
    """The caller's place in this operation's retirement, from 0 to 999,999; -1 where nothing sheds it."""


@dataclass(frozen=True, slots=True)
class Finished:
    inv: int
    outcome: Outcome
    latency: int


@dataclass(frozen=True, slots=True)
class CallerGone:
    inv: int


@dataclass(frozen=True, slots=True)
class CallWanted:
    inv: int


@dataclass(frozen=True, slots=True)
class CallEnded:
    inv: int
    outcome: Outcome
    latency: int


@dataclass(frozen=True, slots=True)
class Leaving:
    """The notice to drain. Nanoseconds."""

    left: int
    """Until the kill."""
    since: int = 0
    """How long ago it came at the earliest, where this process was paused meanwhile."""


@dataclass(frozen=True, slots=True)
class TimerFired:
    name: int
    gauges: Sequence[float | None]


@dataclass(frozen=True, slots=True)
class Granted:
    """This server's share of a fleet-wide budget (ringshift/fleet/share.py): `amount` for what begins before
    `until`, `safe` from then on. `operation`: a rate's, -1 for the others."""

    unit: Unit
    amount: float
    until: int
    safe: float
    operation: int = -1


Some = frozenset[int] | None
"""Some of a kind by index; None for every one."""


@dataclass(frozen=True, slots=True)
class Clause:
    """Of what it concerns, at most `rate` invocations a second begin here, and `away` millionths are to be
    served elsewhere. Of several rates for the same scope the lowest holds."""

    operations: Some = None
    customers: Some = None
    callers: Some = None
    rate: float = float("inf")
    away: int = 0

    def concerns(self, who: tuple[int, int, int]) -> bool:
        """`who`: an invocation's operation, customer and caller."""
        return all(some is None or one in some for one, some in zip(who, self.scope, strict=True))

    @property
    def scope(self) -> tuple[Some, Some, Some]:
        return self.operations, self.customers, self.callers


Found = Mapping[tuple[int, int], Sequence[Clause]]
"""Clauses by kind (0 operations, 1 customers, 2 callers) and index: whatever concerns an invocation is found
under one of its three, or under (3, 0). Made by ringshift/rulebook/indices.py."""


@dataclass(frozen=True, slots=True)
class Ruled:
    """What the fleet's rulebook (ringshift/rulebook) asks of this server from now on, in place of what it
    asked before. Both lists are of operations, customers and callers, in this order; `shed`: operation ->
    millionths, callers whose lot is below are turned away for good."""

    held_back: tuple[frozenset[int], frozenset[int], frozenset[int]] = (frozenset(), frozenset(), frozenset())
    let_through: tuple[Some, Some, Some] = (None, None, None)
    clauses: tuple[Found, ...] = ()
    shed: Mapping[int, int] = field(default_factory=dict)


Input = Arrived | Finished | CallerGone | CallWanted | CallEnded | Leaving | TimerFired | Granted | Ruled


# Effects.


@dataclass(frozen=True, slots=True)
class Start:
    inv: int


@dataclass(frozen=True, slots=True)
class Halted:
    inv: int


@dataclass(frozen=True, slots=True)
class Throttle:
    inv: int
    pause: int
    give_up: bool
    ruled: bool = False
    """By the fleet's rulebook, not for want of room: it is no sign of overload."""
    final: bool = False
    """By it and for good; otherwise elsewhere or later it may be served."""


@dataclass(frozen=True, slots=True)
class Fail:
    inv: int


@dataclass(frozen=True, slots=True)
class PlaceCall:
    inv: int
    expires_at: int


@dataclass(frozen=True, slots=True)
class SkipCall:
    inv: int


@dataclass(frozen=True, slots=True)
class Remember:
    inv: int
    ttl: int


@dataclass(frozen=True, slots=True)
class Forget:
    inv: int


@dataclass(frozen=True, slots=True)
class Reuse:
    inv: int


@dataclass(frozen=True, slots=True)
class Readiness:
    good: bool
    stored: bool


@dataclass(frozen=True, slots=True)
class Advertise:
    amount: float


@dataclass(frozen=True, slots=True)
class CloseIdle:
    after: int


@dataclass(frozen=True, slots=True)
class Wake:
    name: int
    after: int


@dataclass(frozen=True, slots=True)
class Log:
    text: str


Action = (
    Start
    | Halted
    | Throttle
    | Fail
    | PlaceCall
    | SkipCall
    | Remember
    | Forget
    | Reuse
    | Readiness
    | Advertise
    | CloseIdle
    | Wake
    | Log
)
