"""Scheduled changes over a played script: what was in force where, and whether two ever contradicted.

Apart from the program: windows and scopes are read from the rows that backends wrote down, which of them were
in force from each look's own line, and what contradicts is the brute force of standins/checkers/schedule.py,
asked at each instant at which something began or ended anywhere in the fleet. Wrong is:

- **overlap**: two changes in force at one true instant, at whichever backends, that contradict each other;
- **outside its window**: one in force by more than `B` before its start or after its end, of true time;
- **begun without contact**: it began at a look that had no confirmed version;
- **begun too early**: while one that it requires was in force somewhere, or before it was;
- **no window of its rule**: a recurring one at an instant that its rule doesn't give.

What is in force is judged with what its places can take, what they have, and what each wants left there.
"""

from __future__ import annotations

from dataclasses import dataclass, field, replace
from datetime import datetime
from pathlib import Path
from typing import Any
from zoneinfo import ZoneInfo

from dateutil.rrule import rrulestr  # type: ignore[import-untyped]

from ringshift.schedule.change import ALL, WHOLE, Change, Does, Drain, Freeze, Move, Quota, Scope, World
from standins.checkers.leases import lines
from standins.checkers.schedule import check as brute_force

MS = 1_000_000
GAP = 50 * MS
INSTANTS = 2  # of the small grid on which the brute force judges what is in force at one instant


@dataclass
class Found:
    wrong: list[str] = field(default_factory=list)
    planned: int = 0
    begun: int = 0
    """Changes in force at some backend for a while, one a backend."""
    together: int = 0
    """Instants judged at which two or more were in force anywhere."""
    kinds: dict[str, int] = field(default_factory=dict)
    """Of the fields that a change may have, how many had them of those in force anywhere."""
    landed: int = 0
    against: int = 0
    """Sets refused, as they contradicted what was in force."""
    most: dict[str, int] = field(default_factory=dict)
    """Of each change, the most millionths of it that were in force at a backend."""
    spare: dict[str, int] = field(default_factory=dict)
    """ns from the last instant at which it was in force anywhere until its planned end."""


def nanoseconds(text: str) -> int:
    at = datetime.fromisoformat(text)
    return int(at.timestamp()) * 1_000_000_000 + at.microsecond * 1_000


def read_row(row: dict[str, Any], name: str) -> Change:
    """`name`: as it is in force, that of a recurring one's window with its start."""

    def some(names: list[str] | None) -> Any:
        return ALL if names is None else frozenset(names)

    told = row["does"]
    does: Does
    if told["kind"] == "move":
        does = Move(round(told["share"] * WHOLE), told["source"], told["target"])
    elif told["kind"] == "drain":
        does = Drain(told["place"])
    else:
        does = Quota(told["rate"]) if told["kind"] == "quota" else Freeze()
    scope = Scope(some(row.get("operations")), some(row.get("customers")), some(row.get("places")))
    if told := row.get("recurring"):
        start = nanoseconds(name.rpartition("@")[2])
        end = start + told["seconds"] * 1_000 * MS
    else:
        start, end = nanoseconds(row["from"]), nanoseconds(row["to"])
    rising, falling = row.get("ramp_in_ms", 0) * MS, row.get("ramp_out_ms", 0) * MS
    return Change(
        name, scope, does, start, end, rising, falling, frozenset(row.get("after", ())), row.get("left", {})
    )


def is_window(row: dict[str, Any], change: Change) -> bool:
    told = row.get("recurring")
    if told is None:
        return True
    local = datetime.fromtimestamp(change.start // 1_000_000_000, ZoneInfo(told["zone"])).replace(tzinfo=None)
    rule = rrulestr(told["rule"], dtstart=datetime.fromisoformat(told["first"]))
    return bool(rule.after(local, inc=True) == local)


def read_world(told: dict[str, Any]) -> World:
    return World(
        {one["operation"]: frozenset(one["places"]) for one in told["serves"]},
        {one["place"]: one["most"] for one in told.get("capacity", ())},
        {(one["operation"], one["customer"], one["place"]): one["rate"] for one in told.get("load", ())},
    )


@dataclass
class Stretch:
    backend: str
    start: int
    end: int
    force: dict[str, int]


def check(folder: Path, late: int) -> Found:
    found, plans, worlds = Found(), dict[str, Change](), list[World]()
    rows = dict[str, dict[str, Any]]()
    stretches = list[Stretch]()
    for path in sorted(folder.glob("p*.jsonl")):
        for line in lines(path):
            found.landed += line["ev"] == "planned" and line["state"] == "LANDED"
            found.against += line["ev"] == "planned" and line["state"] == "CONTRADICTS"
    for path in sorted(folder.glob("h*.jsonl")):
        history = lines(path)
        rows |= {line["row"]["name"]: line["row"] for line in history if line["ev"] == "row"}
        worlds += [read_world(line["world"]) for line in history if line["ev"] == "world"]
        names = {name for line in history if line["ev"] == "force" for name in line["force"]}
        for name in sorted(names - plans.keys()):
            row = rows[name.partition("@")[0]]
            plans[name] = read_row(row, name)
            if not is_window(row, plans[name]):
                found.wrong.append(f"no window of its rule: {name}")
            for kind in ("operations", "customers", "places", "after", "left", "recurring"):
                found.kinds[kind] = found.kinds.get(kind, 0) + bool(row.get(kind))
        for pid in dict.fromkeys(line["pid"] for line in history):
            own = [line for line in history if line["pid"] == pid]
            stretches += in_force(f"{path.stem}.{pid}", own, plans, late, found)
    found.planned = len(rows)
    found.wrong += begun_too_early(stretches, plans)
    # Shares in force are summed with the operators' world, which the scripts never change once it is stated.
    judge_together(stretches, plans, worlds[-1] if worlds else World(), found)
    return found


def in_force(
    backend: str, history: list[dict[str, Any]], plans: dict[str, Change], late: int, found: Found
) -> list[Stretch]:
    stretches, before = list[Stretch](), dict[str, int]()
    last = 0
    for line in history:
        if line["ev"] == "force":
            for name in line["force"].keys() - before.keys():
                found.begun += 1
                if not line["fresh"]:
                    found.wrong.append(f"begun without contact: {name} at {backend}")
            for name in line["force"]:
                change, wall = plans[name], line["wall"]
                if not change.start - late <= wall <= change.end + late:
                    found.wrong.append(
                        f"outside its window: {name} at {backend}, {wall - change.start} ns "
                        f"after its start, {wall - change.end} after its end"
                    )
            before = line["force"]
            for name, part in before.items():
                found.most[name] = max(found.most.get(name, 0), part)
                left = plans[name].end - line["wall"]
                found.spare[name] = min(found.spare.get(name, left), left)
            stretches.append(Stretch(backend, line["m"], line["a"], before))
        elif line["ev"] in ("look", "acts") and stretches and line["a"] > stretches[-1].end:
            if line["b"] - last <= GAP:
                stretches[-1].end = line["a"]
            else:  # stopped in between: nothing was done there, and this look's changes are heard after it
                stretches.append(Stretch(backend, line["a"], line["a"], before))
        last = line.get("a", last)
    return [one for one in stretches if one.force and one.end > one.start]


def begun_too_early(stretches: list[Stretch], plans: dict[str, Change]) -> list[str]:
    first, last, where = dict[str, int](), dict[str, int](), dict[str, str]()
    for one in stretches:
        for name in one.force:
            if one.start < first.get(name, one.start + 1):
                first[name], where[name] = one.start, one.backend
            last[name] = max(last.get(name, 0), one.end)
    return [
        f"begun too early: {name} at {where[name]}, {last[other] - first[name]} ns before {other} ended"
        for name in first
        for other in sorted(plans[name].after)
        if other in last and last[other] > first[name]
    ]


def judge_together(stretches: list[Stretch], plans: dict[str, Change], world: World, found: Found) -> None:
    live, judged = list[Stretch](), dict[tuple[tuple[str, int], ...], str]()
    for stretch in sorted(stretches, key=lambda one: one.start):
        live = [one for one in live if one.end > stretch.start] + [stretch]
        force = dict[str, int]()
        for one in live:
            for name, part in one.force.items():
                if not part:
                    continue  # begun, and at nothing of its ramp yet
                force[name] = max(force.get(name, 0), part)
        if not force:
            continue
        found.together += len(force) > 1
        # In steps of a hundredth, downwards: as ramps move, one judgement does for many looks.
        key = tuple(sorted((name, part // 10_000) for name, part in force.items()))
        if key not in judged:
            judged[key] = contradiction([standing(plans[name], part) for name, part in key], world)
        if judged[key]:
            where = sorted({one.backend for one in live if one.force})
            found.wrong.append(f"overlap: {judged[key]} at {stretch.start}, at {', '.join(where)}")


def standing(change: Change, hundredths: int) -> Change:
    """As if it were all there ever is: for two instants, without ramps, with the share now in force."""
    does = change.does
    if isinstance(does, Move):
        does = replace(does, share=max(does.share * hundredths // 100, 1))
    return replace(change, does=does, start=0, end=INSTANTS, ramp_in=0, ramp_out=0, after=frozenset())


def contradiction(changes: list[Change], world: World) -> str:
    """Of those in force at one instant, or empty."""
    told = brute_force(changes, world, 0)
    return "" if told is None else f"{told[1]} of {told[2]} and {told[3]}"
