"""Reads a played script's histories and names every step that broke the lease's promise.

In the manner of published history checkers (Jepsen's, for one): the run is judged after the fact, from
what each party wrote, on the machine's one monotonic clock. The keeper wrote when each key was created, at
which revision (the token); the resource wrote each step it accepted; each holder wrote each step it sent,
with its own clock's time and deadline. A step is wrong when:

- **overlap**: it was sent when a key with a higher token had been created already: its holder acted while
  another held, the very thing a lease is for;
- **stale token**: the resource accepted it after it had accepted a higher token;
- **past deadline**: its holder sent it at or after its own deadline;
- **twice**: the resource accepted the same step twice.

What safety costs is told too: the longest time between two accepted steps, and what followed each fault.
"""

from __future__ import annotations

from bisect import bisect_right
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import orjson


@dataclass
class Verdict:
    wrong: list[str] = field(default_factory=list)
    accepted: int = 0
    refused: int = 0
    holders_seen: int = 0  # distinct tokens that had a step accepted
    longest_gap_ns: int = 0

    @property
    def right(self) -> bool:
        return not self.wrong


def lines(path: Path) -> list[dict[str, Any]]:
    if not path.exists():
        return []
    found = []
    for line in path.read_bytes().splitlines():
        try:
            found.append(orjson.loads(line))
        except orjson.JSONDecodeError:
            continue  # the last line of a process killed while writing it
    return found


def check(folder: Path, most: int = 20) -> Verdict:
    verdict = Verdict()
    created = sorted((line["t"], line["token"]) for line in lines(folder / "keeper.jsonl")
                     if line["ev"] == "created")  # fmt: skip
    sent: dict[tuple[str, int, int], dict[str, Any]] = {}
    for path in sorted(folder.glob("h*.jsonl")):
        for line in lines(path):
            if line["ev"] == "step":
                sent.setdefault((line["holder"], line["token"], line["step"]), line)
                if line["own_sent"] >= line["deadline"]:
                    verdict.wrong.append(
                        f"past deadline: {line['holder']} sent step {line['step']} with token "
                        f"{line['token']} at {line['own_sent']} ns, its deadline {line['deadline']}")
    highest, steps, last_t = 0, set[int](), None
    tokens = set[int]()
    times = [t for t, _ in created]
    for line in lines(folder / "resource.jsonl"):
        if not line["accepted"]:
            verdict.refused += 1
            continue
        verdict.accepted += 1
        token, step, t = line["token"], line["step"], line["t"]
        tokens.add(token)
        if last_t is not None:
            verdict.longest_gap_ns = max(verdict.longest_gap_ns, t - last_t)
        last_t = t
        if token < highest:
            verdict.wrong.append(f"stale token: step {step} with token {token} accepted after {highest}")
        highest = max(highest, token)
        if step in steps:
            verdict.wrong.append(f"twice: step {step} accepted again, token {token}")
        steps.add(step)
        mine = sent.get((line["holder"], token, step))
        at = mine["t"] if mine is not None else t  # not written: its arrival, later than its sending
        newer = [later for _, later in created[: bisect_right(times, at)] if later > token]
        if newer:
            verdict.wrong.append(f"overlap: {line['holder']} sent step {step} with token {token} after the "
                                 f"key was created anew at token {min(newer)}")
    verdict.holders_seen = len(tokens)
    verdict.wrong = verdict.wrong[:most]
    return verdict
