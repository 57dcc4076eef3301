"""What a run's digest holds, and how a bucket of its figures is laid out."""

from __future__ import annotations

from dataclasses import dataclass, field

from ringshift.findings.signs import Spell

MS, S = 10**6, 10**9

# A bucket of a run's series: these figures of the server, then `COUNTS` of them for each of its operations.
SECONDS, LIMIT, PRESSURE, RUNNING, AGAIN, LAG = range(6)
SERVER_FIGURES = 6
ARRIVED, SUCCEEDED, THROTTLED, ERRORED, GONE, RAN, RAN_MS = range(7)
COUNTS = 7
WIDTHS = (1 * S, 5 * S, 15 * S, 60 * S, 300 * S, 3600 * S, 24 * 3600 * S)
MOST_BUCKETS = 1500  # a day of minutes; a longer run's buckets are put together to the next width


@dataclass(slots=True)
class Digest:
    server: str
    run: str
    role: str = "server"
    version: str = ""
    operations: tuple[str, ...] = ()
    text: bool = False
    """From a text log, whose `up` is made of its wall clock."""
    records: int = 0
    wall: int = 0
    """The wall clock at `up` 0, as the first records tell it."""
    wall_end: int = 0
    """The same, as the last record tells it: apart from `wall` by drift and steps."""
    first_up: int = 0
    last_up: int = 0
    last_beat: int = -1
    """The `up` of its last heartbeat, -1 where there was none."""
    last_seq: int = 0
    first_seq: int = 0
    rate: float = 0.0
    """Fresh arrivals a second, as they last were."""
    phases: list[tuple[int, str, int]] = field(default_factory=list)
    spells: list[Spell] = field(default_factory=list)
    width: int = WIDTHS[0]
    buckets: dict[int, list[float]] = field(default_factory=dict)
    """`up` over the width -> figures, as laid out above."""
    marks: list[tuple[str, int, int]] = field(default_factory=list)
    """token, spread in nanoseconds, up"""
    words: list[tuple[bool, int, int]] = field(default_factory=list)
    """Readiness as told: good, up, seq."""
    saw: list[tuple[str, str, str, int, int]] = field(default_factory=list)
    """server, what, detail, up, seq"""
    stamps: list[tuple[int, int, int, int]] = field(default_factory=list)
    """caller, window, how far `up` 0 lies past the caller's clock's 0 at least, up"""
    shares: list[tuple[str, float, str, int]] = field(default_factory=list)
    """Of fleet-wide budgets: budget, what may be used from then on, why, up"""
    holds: list[tuple[str, str, int]] = field(default_factory=list)
    """Of fleet tasks' leases: task, the state gone to, up"""
    ramps: list[tuple[str, str, str, str, int, int, int]] = field(default_factory=list)
    """Of retirements: timeline, the state left, the state gone to, why, millionths shed, edition, up"""
    acting: list[tuple[str, tuple[str, ...], int]] = field(default_factory=list)
    """In the fleet's rulebook: state, the versions acted by or whose `alone` is, up"""
    changes: list[tuple[str, str, int, int]] = field(default_factory=list)
    """Scheduled ones: name, the state gone to, millionths in force, up"""
    ended: tuple[int, int, int, int] | None = None
    """status, owed, up, seq"""
    errors: list[tuple[int, str, int]] = field(default_factory=list)
