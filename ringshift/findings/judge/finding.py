"""What a finding is: what happened, to whom, when, and on which records that rests."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum

from ringshift.findings.course import Placed


class What(Enum):
    """What a finding tells of."""

    VANISHED = "vanished"
    CRASHED = "crashed"
    DRAINED = "drained"
    DRAIN_CUT = "killed in its drain"
    RETURNED = "came back"
    COLD = "cold start"
    SLOW = "slow"
    ALL_SLOW = "everything slower"
    HUNG = "agent hung"
    PAUSED = "paused"
    JUMP = "traffic jump"
    STORM = "retry storm"
    ERRORS = "runs err"
    SHEDDING = "shedding"
    NOT_READY = "not ready"
    LINK_LOST = "agent lost"
    ANNOUNCE_LOST = "announce service lost"
    GAP = "gap in records"
    RECORDS_MISSING = "records missing"
    CLOCK = "clock off"
    STEP = "clock stepped"
    SAME_NAME = "two under one name"
    RESTARTS = "only ever restarted"
    UNTIED = "clock tied to nothing"


@dataclass(slots=True)
class Part:
    """One server's, and where it has one, one operation's share of a finding."""

    server: str
    operation: str
    start: int
    end: int | None


@dataclass(slots=True)
class Finding:
    """Times are nanoseconds on the course's time; the start lies from `low` to `high`."""

    what: What
    parts: list[Part]
    start: int
    end: int | None
    low: int
    high: int
    evidence: list[str]
    """server/run/seq of the records it rests on."""
    figures: dict[str, float] = field(default_factory=dict)
    detail: str = ""
    group: int = 0

    @property
    def servers(self) -> list[str]:
        return list(dict.fromkeys(part.server for part in self.parts))

    @property
    def operations(self) -> list[str]:
        return [name for name in dict.fromkeys(part.operation for part in self.parts) if name]


@dataclass(frozen=True, slots=True)
class Loss:
    """Service of one operation over the whole course."""

    operation: str
    arrived: int
    succeeded: int
    throttled: int
    errored: int
    gone: int
    worst_at: int
    """The begin of the bucket with the least share succeeded, of those with a hundredth of its work."""
    worst_share: float

    @property
    def answered(self) -> int:
        return self.succeeded + self.throttled + self.errored + self.gone

    @property
    def lost_share(self) -> float:
        return 1 - self.succeeded / self.answered if self.answered else 0.0


@dataclass(slots=True)
class Verdict:
    findings: list[Finding]
    """In the order of their starts."""
    losses: list[Loss]
    echoes: list[Placed]
    """Spells that another trouble explains; told beside what was ruled out."""
    moved: list[Finding]
    """Traffic jumps that were the load of servers that had gone."""
