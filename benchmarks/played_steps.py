"""`python -m benchmarks.played_steps FIRST SEEDS STEPS SHARES`: the actions of the decisions at random steps.

Run by benchmarks/same.py in the folder of each revision, with that revision's own copy of this file, so
that each is played by the names it has. Prints a line for each step: its seed, its number and its actions,
without fields at their defaults, as an older revision may not have them. SHARES is 1 where shares of budgets
come and go among the inputs, else 0.
"""

from __future__ import annotations

import sys
from collections.abc import Iterator
from dataclasses import fields
from pathlib import Path
from random import Random

import ringshift
from ringshift import interface
from tests.simulation import MS, SimulatedServer, any_machine

STEP = 20 * MS
SHARE_PROBABILITY = 0.2


def shown(action: interface.Action) -> str:
    values = ((field, getattr(action, field.name)) for field in fields(action))
    told = ", ".join(f"{field.name}={value!r}" for field, value in values if value != field.default)
    return f"{type(action).__name__}({told})"


def drawn_share(random: Random, now: int) -> interface.Granted:
    unit = random.choice(list(interface.Unit))
    amount = random.choice([0.0, 1.0, 3.0, 50.0])
    until = now + random.randint(-500, 3000) * MS
    safe = random.choice([0.0, 1.0])
    return interface.Granted(unit, amount, until, safe, 0 if unit is interface.Unit.RATE else -1)


def played(seed: int, steps: int, shares: bool) -> Iterator[tuple[int, list[str]]]:
    """The number and the actions of each step, until the steps or the simulated server end."""
    chance, draws = Random(seed), Random(-1 - seed)
    server = SimulatedServer(any_machine(chance), chance)
    actions = server.first
    for step in range(steps + 1):
        yield step, [shown(action) for action in actions]
        server.now += STEP
        if server.kill and server.now >= server.kill:
            return
        inputs = server.any_news()
        if shares and draws.random() < SHARE_PROBABILITY:
            inputs.append(drawn_share(draws, server.now))
        actions = server.step(inputs)


def main() -> int:
    if Path(ringshift.__file__).parent.parent != Path.cwd():
        raise SystemExit(f"not the revision of this folder: {ringshift.__file__}")
    first, seeds, steps, shares = map(int, sys.argv[1:])
    for seed in range(first, first + seeds):
        try:
            for step, actions in played(seed, steps, bool(shares)):
                print(seed, step, *actions, sep="\t")
        except AssertionError as broken:
            print(seed, -1, f"broke a rule: {broken}", sep="\t")
    return 0


if __name__ == "__main__":
    sys.exit(main())
