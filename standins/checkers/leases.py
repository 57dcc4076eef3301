"""Reads a played script's histories and names every step that broke the lease's promise.

In the manner of published history checkers (Jepsen's, for one): the run is judged after the fact, from
what each party wrote, on the machine's one monotonic clock. The keeper wrote when each key was created, at
which revision (the token); the resource wrote each step it accepted; each holder wrote each step it sent,
with its own clock's time and deadline. A step is wrong when:

- **overlap**: at its last look a key with a higher token had been created already: its holder acted while
  another held, the very thing a lease is for, whether or not the resource took the step;
- **stale token**: the resource accepted it after it had accepted a higher token;
- **past deadline**: its holder sent it at or after its own deadline;
- **deadline too late**: that deadline lies beyond what its last answered renewal's sending gives;
- **twice**: the resource accepted the same step twice; **skipped**: it accepted one beyond the next.

What safety costs is told too: the time without an accepted step from a holder's last to its successor's
first, by the fault that hit the holder (`faults.jsonl`), where no fault of the keeper came in between.
"""

from __future__ import annotations

import tomllib
from bisect import bisect_right
from collections import Counter
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import orjson

S = 1_000_000_000
KINDS = {
    "kill": "crash",
    "kill_all": "crash",
    "stop": "stall",
    "blackhole": "cut",
    "blackhole_up": "cut",
    "blackhole_down": "cut",
    "refuse": "cut",
}


@dataclass
class Verdict:
    wrong: list[str] = field(default_factory=list)
    accepted: int = 0
    refused: int = 0
    holders_seen: int = 0  # distinct tokens that had a step accepted
    longest_gap_ns: int = 0
    gaps: dict[str, list[int]] = field(default_factory=dict)  # crash, stall, cut: ns without a holder
    kept: int = 0  # stalls and cuts after which the same hold went on

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
    created = sorted(
        (line["t"], line["token"]) for line in lines(folder / "keeper.jsonl") if line["ev"] == "created"
    )
    acting = acting_time(folder / "script.toml")
    for path in sorted(folder.glob("h*.jsonl")):
        sent(lines(path), created, acting, verdict)
    accepted = [line for line in lines(folder / "resource.jsonl") if line["accepted"]]
    verdict.refused = len(lines(folder / "resource.jsonl")) - len(accepted)
    taken(accepted, verdict)
    costs(accepted, lines(folder / "faults.jsonl"), verdict)
    kinds = Counter[str]()
    told, verdict.wrong = verdict.wrong, []
    for one in told:  # the first of each kind: one that repeats must not hide another
        kinds[kind := one.partition(":")[0]] += 1
        if kinds[kind] <= most:
            verdict.wrong.append(one)
    return verdict


def acting_time(path: Path) -> int:
    """Nanoseconds after a renewal's sending, by the terms that the script gave: not by the program's word."""
    told = tomllib.loads(path.read_text())
    ttl = told["ttl_s"] * S
    return int(ttl - ttl * told["drift_ppm"] // 1_000_000 - told["margin_ms"] * 1_000_000)


def sent(
    history: list[dict[str, Any]], created: list[tuple[int, int]], acting: int, verdict: Verdict
) -> None:
    """A holder's own steps against its deadline and the keys that the keeper created."""
    times = [t for t, _ in created]
    renewed: dict[tuple[int, int], int] = {}  # pid, token -> when its last answered renewal was sent
    for line in history:
        if line["ev"] in ("granted", "renewed"):
            key = line["pid"], line["token"]
            renewed[key] = max(line["sent"], renewed.get(key, 0))
        if line["ev"] != "step":
            continue
        what = f"{line['holder']} sent step {line['step']} with token {line['token']}"
        if line["own_looked"] >= line["deadline"]:
            verdict.wrong.append(
                f"past deadline: {what} at {line['own_looked']} ns, its deadline {line['deadline']}"
            )
        if line["deadline"] > renewed.get((line["pid"], line["token"]), 0) + acting:
            verdict.wrong.append(f"deadline too late: {what}, its deadline {line['deadline']}")
        newer = [
            later for _, later in created[: bisect_right(times, line["looked"])] if later > line["token"]
        ]
        if newer:
            verdict.wrong.append(f"overlap: {what} after the key was created anew at token {min(newer)}")


def taken(accepted: list[dict[str, Any]], verdict: Verdict) -> None:
    """The resource's own view of tokens and steps."""
    highest, last, last_t = 0, 0, None
    steps = set[int]()
    for line in accepted:
        token, step, t = line["token"], line["step"], line["t"]
        if last_t is not None:
            verdict.longest_gap_ns = max(verdict.longest_gap_ns, t - last_t)
        if token < highest:
            verdict.wrong.append(f"stale token: step {step} with token {token} accepted after {highest}")
        if step in steps:
            verdict.wrong.append(f"twice: step {step} accepted again, token {token}")
        elif step > last + 1:
            verdict.wrong.append(f"skipped: step {step} accepted after {last}, token {token}")
        steps.add(step)
        highest, last, last_t = max(highest, token), max(last, step), t
    verdict.accepted = len(accepted)
    verdict.holders_seen = len({line["token"] for line in accepted})


def costs(accepted: list[dict[str, Any]], faults: list[dict[str, Any]], verdict: Verdict) -> None:
    keeper = [fault["t"] for fault in faults if fault["kind"].startswith("keeper")]
    for fault in faults:
        what, hit, soon = KINDS.get(fault["kind"]), fault["token"], fault["t"] + S // 10
        before = [line["t"] for line in accepted if line["token"] == hit and line["t"] <= soon]
        if what is None or not hit or not before:
            continue
        after = [line for line in accepted if line["t"] > before[-1]]
        if not after:
            continue
        if after[0]["token"] == hit:
            verdict.kept += what != "crash"
        elif not any(before[-1] - 4 * S < t < after[0]["t"] for t in keeper):
            verdict.gaps.setdefault(what, []).append(after[0]["t"] - before[-1])
