"""Reads a played budget script's histories: was the whole ever exceeded, and what did keeping to it cost.

The dependency wrote every instant at which one more call than the whole came (`over`). Such an instant is
wrong, unless the call that made it, or one still under way, arrived later after its caller's last look than
the budget's margin: no deadline can hold a process that is stopped between its look and its sending, and a
call that lasts can't be fenced as a step can; those are told apart, as `stalled after the look`. Every
member's own word is held against its share as well: it never had more under way than it was allowed when it
began.

Costs: the share of min(whole, sum of wants) that was in use, and how long until a joiner had its first grant,
and until the others were granted what a leaver or a crashed member had held. Their wants change meanwhile:
what ends the wait may be a want that fell.
"""

from __future__ import annotations

from bisect import bisect_left
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from standins.checkers.leases import S, lines
from standins.fleet.budgets import BudgetScript

SETTLED = 2 * S  # after the first sample, and a grant's life more where no ledger is there: the first grants
JOINED = 0.9  # of its fair part, from which a joiner counts as served


@dataclass
class Verdict:
    wrong: list[str] = field(default_factory=list)
    stalled: int = 0  # over the whole by a call that was stalled after its last look
    samples: int = 0
    most: int = 0
    used: float = 0.0  # share of min(whole, wants) in use, the mean over the samples after the start
    granted: float = 0.0  # the same of what was granted
    reached: float = 0.0  # of what can be granted at all: less the safe shares set aside for who is not there
    joins: list[int] = field(default_factory=list)  # ns from a newcomer's first want to its first grant
    leaves: list[int] = field(default_factory=list)  # ns until the others had what a leaver had held
    kills: list[int] = field(default_factory=list)  # the same of a crashed one
    never: dict[str, int] = field(default_factory=dict)  # of each kind, those not served until the end
    nothing_moved: int = 0  # who went had no grant, or the others lacked nothing

    def moved(self, kind: str, took: int | None) -> None:
        if took is None:
            self.never[kind] = self.never.get(kind, 0) + 1
        else:
            getattr(self, kind).append(took)

    @property
    def right(self) -> bool:
        return not self.wrong


def check(folder: Path, most: int = 20) -> Verdict:
    verdict, script = Verdict(), BudgetScript.read(folder / "script.toml")
    told = lines(folder / "resource.jsonl")
    for line in told:
        if line["ev"] == "over":
            late = line["t"] - line["looked"]
            if line["count"] - line["late"] <= script.whole:
                verdict.stalled += 1
                continue
            verdict.wrong.append(
                f"over the whole of {script.whole}: {line['count']} with a call of "
                f"{line['name']} {late / 1e6:.1f} ms after its look; "
                f"under way {line['by']}"
            )
    shares: dict[str, list[dict[str, Any]]] = {}
    for path in sorted(folder.glob("h*.jsonl")):
        for line in lines(path):
            if line["ev"] in ("share", "left"):
                shares.setdefault(f"{line['holder']}.{line['pid']}", []).append(line)
    samples = [line for line in told if line["ev"] == "sample"]
    verdict.samples, verdict.most = len(samples), max((line["count"] for line in samples), default=0)
    usage(samples, shares, script, verdict)
    moves(samples, shares, script, lines(folder / "faults.jsonl"), verdict)
    verdict.wrong = verdict.wrong[:most]
    return verdict


def at(history: list[dict[str, Any]], t: int) -> dict[str, Any] | None:
    """A member's last word before `t`; None before its first and after its leaving or long silence."""
    place = bisect_left([line["t"] for line in history], t) - 1
    if place < 0:
        return None
    line = history[place]
    return line if line["ev"] == "share" and t - line["t"] < S else None


def begun(samples: list[dict[str, Any]], script: BudgetScript) -> int:
    """From when what is in use is judged."""
    return int(samples[0]["t"]) + SETTLED + (0 if script.ledger else script.life_ms * 1_000_000)


def usage(
    samples: list[dict[str, Any]],
    shares: dict[str, list[dict[str, Any]]],
    script: BudgetScript,
    verdict: Verdict,
) -> None:
    used, granted, could, reachable = 0.0, 0.0, 0.0, 0.0
    for sample in samples[::5]:
        if sample["t"] < begun(samples, script):
            continue
        live = [line for history in shares.values() if (line := at(history, sample["t"]))]
        could += min(script.whole, sum(line["demand"] for line in live))
        aside = script.safe * (script.most - len(live))
        reachable += min(script.whole - aside, sum(line["demand"] for line in live))
        used += sample["count"]
        granted += sum(min(line["share"], line["demand"]) for line in live)
    if could:
        verdict.used, verdict.granted = used / could, granted / could
        verdict.reached = granted / max(reachable, 1e-9)


def moves(
    samples: list[dict[str, Any]],
    shares: dict[str, list[dict[str, Any]]],
    script: BudgetScript,
    faults: list[dict[str, Any]],
    verdict: Verdict,
) -> None:
    """By the members' own words, which they write at each change; told apart: who never had it."""
    if not samples:
        return
    start = begun(samples, script)
    for history in shares.values():
        words = [line for line in history if line["ev"] == "share"]
        if history[0]["t"] < start:
            continue  # one of those that began together
        wanted = next((line["t"] for line in words if line["demand"] > script.safe), None)
        if wanted is None:
            continue
        granted = next(
            (line["t"] for line in words if line["t"] >= wanted and line["share"] > script.safe), None
        )
        verdict.moved("joins", None if granted is None else granted - wanted)
    told = [(int(line["t"]), key, line) for key, history in shares.items() for line in history]
    told.sort(key=lambda one: one[0])
    for fault in faults:
        if fault["kind"] not in ("leave", "kill") or fault["t"] < start:
            continue
        gone = next(
            (
                key
                for key, history in shares.items()
                if key.startswith(f"h{fault['target']}.") and at(history, fault["t"])
            ),
            None,
        )
        if gone is not None:
            again(told, gone, fault, script, verdict)


def again(
    words: list[tuple[int, str, dict[str, Any]]],
    gone: str,
    fault: dict[str, Any],
    script: BudgetScript,
    verdict: Verdict,
) -> None:
    """How long until the others have what they want, or all that there is, of what one that went had; nothing
    moves where it had nothing beyond its safe share, or they lacked nothing."""
    pool, live = script.whole - script.safe * script.most, dict[str, dict[str, Any]]()

    def lacking(now: int) -> bool:
        rest = [line for key, line in live.items() if key != gone and now - line["t"] < S]
        could = min(pool, sum(max(line["demand"] - script.safe, 0) for line in rest))
        return bool(sum(line["share"] - script.safe for line in rest) < JOINED * could)

    judged = False
    for t, key, line in words:
        if t > fault["t"] and not judged:
            held, judged = live.get(gone, {}).get("share", 0) - script.safe, True
            if held <= 0 or not lacking(fault["t"]):
                verdict.nothing_moved += 1
                return
        if line["ev"] == "share":
            live[key] = line
        else:
            live.pop(key, None)
        if judged and key != gone and not lacking(t):
            verdict.moved(f"{fault['kind']}s", t - fault["t"])
            return
    if judged:
        verdict.moved(f"{fault['kind']}s", None)
