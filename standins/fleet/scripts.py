"""Scripts of faults for the lease harness (standins/fleet/harness.py): drawn from a seed, kept as TOML."""

from __future__ import annotations

import tomllib
from dataclasses import asdict, dataclass, field
from pathlib import Path
from random import Random
from typing import Self

import orjson

FAULTS_OF_EACH_HARNESS = [
    "stop",
    "kill",
    "delay",
    "blackhole",
    "blackhole_up",
    "blackhole_down",
    "cut",
    "cut_mid",
    "refuse",
    "keeper_kill",
    "keeper_stop",
]
"""What any fleet with a coordination store can suffer; each harness draws from these and its own."""
KINDS = [*FAULTS_OF_EACH_HARNESS, "kill_all"]


@dataclass(frozen=True)
class Fault:
    at_ms: int
    kind: str
    target: int  # the holder, -1 for the keeper, -2 for whoever holds when the fault comes
    lasting_ms: int


@dataclass
class Script:
    seed: int
    holders: int
    seconds: float
    ttl_s: int = 3
    margin_ms: int = 300
    drift_ppm: int = 10_000
    answer_within_ms: int = 1000
    keeper_rate: float = 1.0
    skew_ppm: list[int] = field(default_factory=list)  # a holder's clock, fast above 0
    step_back_ms: list[int] = field(default_factory=list)  # a holder's clock stepped back so much, mid-run
    pause: list[int] = field(default_factory=list)  # holder, step, ms: paused after its last look
    die: list[int] = field(default_factory=list)  # holder, step: killed by the resource's acceptance
    stagger_ms: int = 0  # each holder starts so long after the one before it seeks
    one_name: bool = False  # the first two holders are started with one name
    first_holds: bool = False  # the first holds before the others start: who holds is no matter of luck
    keeper_bytes: int = 0  # the keeper's disk holds no more; 0 for one without a bound
    faults: list[Fault] = field(default_factory=list)

    def write(self, path: Path) -> None:
        # JSON's words for numbers, texts, truth and lists are TOML's too.
        lines = [
            f"{name} = {orjson.dumps(value).decode()}"
            for name, value in asdict(self).items()
            if name != "faults"
        ]
        for fault in self.faults:
            row = [f"{name} = {orjson.dumps(value).decode()}" for name, value in asdict(fault).items()]
            lines += ["", "[[faults]]", *row]
        path.write_text("\n".join(lines) + "\n")

    @classmethod
    def read(cls, path: Path) -> Self:
        told = tomllib.loads(path.read_text())
        faults = [Fault(**fault) for fault in told.pop("faults", [])]
        return cls(**told, faults=faults)


def draw(seed: int, holders: int | None = None, seconds: float = 8.0, most_faults: int = 6) -> Script:
    """A script from one seed: 3 to 9 holders, skews within the drift bound, faults over the first 3/4."""
    random = Random(seed)
    count = holders or random.randint(3, 9)
    script = Script(seed, count, seconds)
    # The keeper may run at most 1% faster than a holder: 0.5% fast against 0.5% slow. A holder may run
    # faster.
    script.keeper_rate = random.choice([1.0, 1.0, 1.005, 0.995])
    script.skew_ppm = [random.choice([0, 0, 5_000, -5_000, 10_000]) for _ in range(count)]
    script.step_back_ms = [random.choice([0, 0, 0, 250]) for _ in range(count)]
    script.one_name = random.random() < 0.15
    if random.random() < 0.2:
        script.pause = [random.randrange(count), random.randint(5, 100), random.choice([500, 4000])]
    if random.random() < 0.2:
        script.die = [random.randrange(count), random.randint(5, 100)]
    if random.random() < 0.1:
        script.keeper_bytes = random.randint(250, 700)
    for _ in range(random.randint(1, most_faults)):
        kind = random.choice(KINDS)
        target = -1 if kind.startswith("keeper") else random.choice([-2, random.randrange(count)])
        lasting = random.choice([200, 800, 2500, 5000])  # some stalls outlast the ttl of 3 s
        script.faults.append(Fault(random.randrange(int(seconds * 750)), kind, target, lasting))
    script.faults.sort(key=lambda fault: fault.at_ms)
    return script


def revealing(bug: str) -> Script:
    """The script by which a planted bug shows itself: two holders, the first of them cut off while it
    holds."""
    script = Script(1, holders=2, seconds=9.0, margin_ms=0, first_holds=True)
    cut = Fault(3000, "blackhole", -2, 8000)
    script.faults = [cut]
    if bug == "answer_deadline":
        script.faults = [Fault(200, "delay", -2, 3400), cut]
    elif bug == "no_drift":
        script.keeper_rate, script.drift_ppm = 1.25, 200_000
    elif bug == "restart_expires":
        # The keeper must be back, and the other holding, well before the first one's deadline.
        script.ttl_s, script.seconds = 6, 15.0
        script.faults = [Fault(1000, "blackhole", -2, 20_000), Fault(1010, "keeper_kill", -1, 50)]
    elif bug == "no_fence":
        script = Script(7, holders=2, seconds=15.0, first_holds=True)
        script.pause = [0, 5, 7000]  # over two ttls after its last look: the other takes over
        script.faults = [Fault(0, "cut", 1, 0)]
    return script
