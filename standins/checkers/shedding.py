"""Retirements over a played script: who was turned away, whether they had been warned, who moved the ramp.

Apart from the program: it counts the answers that were sent with a warning, over all backends and with the
machine's one clock. Wrong is:

- **shed early**: a caller turned away before the floor: fewer warned answers, or over less time;
- **shed and let through**: by one decision of one timeline, a caller turned away at one backend or try and
  let through at another; or turned away at a share, and let through by a later one of at least that share;
- **stale step**: a step of the ramp that landed, sent after another holder's key was created.
"""

from __future__ import annotations

from bisect import bisect_right
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from standins.checkers.leases import S, lines
from standins.fleet.rulescript import LOSSES


@dataclass
class Found:
    wrong: list[str] = field(default_factory=list)
    warned: int = 0
    shed: int = 0
    through: int = 0
    editions: int = 0
    """Decisions of the ramp that callers were judged by."""
    steps: int = 0
    refused: int = 0
    """Writes of a ramp that the keeper refused."""
    late: int = 0
    """Steps sent after another holder's key was created, whatever came of them."""
    both: int = 0
    """Callers turned away at two backends or more."""


def check(folder: Path, answers: int, over_s: int) -> Found:
    found, sent = Found(), dict[int, list[int]]()
    histories = {path.stem: lines(path) for path in sorted(folder.glob("h*.jsonl"))}
    told = (line | {"slot": slot} for slot, history in histories.items() for line in history)
    everything = sorted(
        (line for line in told if line["ev"] in ("warned", "shed", "through")), key=lambda line: line["t"]
    )
    for line in everything:
        if line["ev"] == "warned":
            sent.setdefault(line["caller"], []).append(line["t"])
    found.warned = sum(map(len, sent.values()))
    floor(everything, sent, answers, over_s, found)
    alike([line for line in everything if line["ev"] != "warned"], found)
    restored = [line["t"] for line in lines(folder / "faults.jsonl") if line["kind"] in LOSSES]
    steps(histories, lines(folder / "keeper.jsonl"), restored, found)
    return found


def floor(
    everything: list[dict[str, Any]], sent: dict[int, list[int]], answers: int, over_s: int, found: Found
) -> None:
    for line in everything:
        if line["ev"] != "shed":
            continue
        found.shed += 1
        times = sent.get(line["caller"], [])
        before = times[: bisect_right(times, line["t"])]
        over = before[-1] - before[0] if before else 0
        # A millisecond for the clocks: the wall clock counts the span, the machine's monotonic one judges.
        if len(before) < answers or over < over_s * S - 1_000_000:
            found.wrong.append(
                f"shed early: caller {line['caller']} at {line['slot']}, warned {len(before)} "
                f"times over {over / S:.2f} s, by edition {line['edition']}"
            )


def alike(judged: list[dict[str, Any]], found: Found) -> None:
    verdicts = dict[tuple[str, int, int], dict[str, set[str]]]()
    lowest = dict[tuple[str, int], tuple[int, int]]()  # of a caller turned away: the first edition, the share
    shed_at = dict[int, set[str]]()
    for line in judged:
        place = verdicts.setdefault((line["key"], line["edition"], line["caller"]), {})
        place.setdefault(line["ev"], set()).add(line["slot"])
        if line["ev"] == "shed":
            shed_at.setdefault(line["caller"], set()).add(line["slot"])
            had = lowest.get((line["key"], line["caller"]), (line["edition"], line["share"]))
            lowest[line["key"], line["caller"]] = min(had, (line["edition"], line["share"]))
        else:
            found.through += 1
    for (_, edition, caller), told in verdicts.items():
        if len(told) > 1:
            found.wrong.append(
                f"shed and let through: caller {caller} by edition {edition}, shed at "
                f"{sorted(told['shed'])}, through at {sorted(told['through'])}"
            )
    for line in judged:
        first = lowest.get((line["key"], line["caller"]))
        if line["ev"] == "through" and first and line["edition"] > first[0] and line["share"] >= first[1]:
            found.wrong.append(
                f"shed and let through: caller {line['caller']} shed at {first[1]} by edition "
                f"{first[0]}, through at {line['share']} by {line['edition']}"
            )
    found.editions = len({(key, edition) for key, edition, _ in verdicts})
    found.both = sum(len(slots) > 1 for slots in shed_at.values())


def steps(
    histories: dict[str, list[dict[str, Any]]],
    keeper: list[dict[str, Any]],
    restored: list[int],
    found: Found,
) -> None:
    created = [
        (line["t"], line["token"])
        for line in keeper
        if line["ev"] == "created" and line["key"].startswith("/ringshift/tasks/retire-")
    ]

    def another(token: int, sent: int) -> bool:
        """Whether the key was created anew since the holder's own creation. A keeper restored from a copy
        goes on with what the copy held, and its tokens from there on: only what came after it counts."""
        own = max((t for t, one in created if one == token and t < sent), default=0)
        since = max([own, *(t for t in restored if t < sent)])
        return any(since < t < sent for t, one in created if one != token)

    for slot, history in histories.items():
        under_way = dict[tuple[int, int], int]()
        for line in history:
            if line["ev"] == "step sent":
                under_way[line["pid"], line["token"]] = line["t"]
                found.late += another(line["token"], line["t"])
            elif line["ev"] == "step answered":
                sent = under_way.pop((line["pid"], line["token"]))
                found.steps += line["landed"]
                found.refused += not line["landed"]
                if line["landed"] and another(line["token"], sent):
                    found.wrong.append(
                        f"stale step: of {slot} with token {line['token']}, sent at {sent}, "
                        "after the key was created anew"
                    )
