"""A script of the rulebook harness (standins/fleet/rules.py), and how one is drawn from a seed."""

from __future__ import annotations

from dataclasses import dataclass, field
from random import Random

from standins.fleet.harness import Fault, Script
from standins.fleet.scripts import FAULTS_OF_EACH_HARNESS

KINDS = [*FAULTS_OF_EACH_HARNESS, "join", "leave", "partition", "partition", "stop", "kill", "roll"]
LOSSES = ("keeper_restore", "keeper_rollback")  # how a keeper loses data
ORDERS = ["publish"] * 6 + ["announce", "alone", "withdraw", "text", "slow", "die_proposed", "stop_proposed"]


@dataclass
class RulesScript(Script):
    """`holders`: publishers and backends that start at once. `orders`: "AT_MS PUBLISHER WORD SEED", in the
    order of their times; see standins/fleet/publisher.py for the words. `refuse`: by backend, a word that it
    refuses a version for, as an older program refuses what it can't check."""

    margin_ms: int = 200
    answer_within_ms: int = 600
    life_ms: int = 2500
    refresh_ms: int = 300
    publishers: int = 1
    most: int = 8
    disk: bool = False  # the version in force is kept as a head start
    forgets: bool = True  # the operators forget a reader whose process is no more
    limit_ms: int = 4000  # a publisher's time for one order
    retires: bool = False  # a retired operation is served
    ramp_pause: str = "0:0"  # RUNG:MS, of each holder of the ramp, after its last look before that rung
    floor_answers: int = 14  # of the timelines that publishers draw (standins/fleet/drawn.py)
    floor_over_s: int = 1
    until_edition: int = 0  # the end waits until every backend acts by this decision of the ramp
    orders: list[str] = field(default_factory=list)
    refuse: list[str] = field(default_factory=list)
    wall_ms: list[int] = field(default_factory=list)  # a backend's wall clock apart from the machine's
    slow_answers_ms: list[int] = field(default_factory=list)  # by backend, from the keeper to it
    lose_acks_ms: list[int] = field(default_factory=list)
    """By backend: from its first acknowledgement on, all that it sends is lost for so long, once."""


def draw(seed: int, seconds: float = 5.0) -> RulesScript:
    """A script from one seed: 3 to 5 backends, 1 or 2 publishers, skews within the bound, 1 to 6 faults."""
    random = Random(seed)
    publishers = random.choice([1, 1, 2])
    backends = random.randint(3, 5)
    script = RulesScript(seed, publishers + backends, seconds, publishers=publishers)
    script.most = script.holders + 3
    script.skew_ppm = [random.choice([0, 0, 9_900, -9_900]) for _ in range(script.most)]
    script.disk = random.random() < 0.3
    script.forgets = random.random() < 0.7
    if random.random() < 0.15:
        script.refuse = [random.choice(["", "new"]) for _ in range(script.most)]
    if random.random() < 0.15:
        script.lose_acks_ms = [random.choice([0, 0, 800, 3000]) for _ in range(script.most)]
    if seed % 4 == 3:  # routing changes
        script.seconds, script.life_ms = 8.0, 1500
        for _ in range(random.randint(3, 6)):
            word = random.choice(["plan", "plan", "plan", "plan_slow", "unplan"])
            at, by = random.randrange(3500), random.randrange(publishers)
            script.orders.append(f"{at} {by} {word} {random.randrange(1_000_000)}")
        offsets = [0, 0, 600, -600]
        script.wall_ms = [random.choice(offsets) for _ in range(script.most)]
    if seed % 8 == 5:
        script.seconds, script.retires = 8.0, True
        script.orders.append(f"{random.randrange(500)} 0 retire 0")
    words = ORDERS + ["new"] * 3 * bool(script.refuse)
    for _ in range(random.randint(3, 8)):
        at, by = random.randrange(int(seconds * 900)), random.randrange(publishers)
        script.orders.append(f"{at} {by} {random.choice(words)} {random.randrange(1_000_000)}")
    script.orders.sort(key=lambda order: int(order.split()[0]))
    for _ in range(random.randint(1, 6)):
        kind = random.choice(KINDS)
        target = -1 if kind.startswith("keeper") else random.randrange(script.holders)
        lasting = random.choice([200, 800, 2000, 3500])  # some outlast a lease's life
        script.faults.append(Fault(random.randrange(int(seconds * 850)), kind, target, lasting))
    if random.random() < 0.1:
        copied = random.randrange(int(seconds * 300))
        restored = random.randrange(int(seconds * 500), int(seconds * 800))
        kind = random.choice(LOSSES)
        script.faults += [Fault(copied, "keeper_copy", -1, 0), Fault(restored, kind, -1, 100)]
    script.faults.sort(key=lambda fault: fault.at_ms)
    return script
