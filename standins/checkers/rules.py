"""Reads a played rulebook script's histories: did two backends ever act on rules that contradict each other.

Apart from the program: it reads what each process wrote with the machine's one monotonic clock, and judges by
a small definition of its own (`admits`), not by ringshift/rulebook. Each backend wrote every look: the true
time before it, right after it had its rules and after it had judged the `PROBES` by them, the rules' texts it
acted by (`parts`: all of them, met) and what they admitted. It acts by them, for certain, from the first look
that had them until the end of the last one. Wrong is:

- **contradiction**: at one true instant two backends, both with contact or both without, act by parts of
  which none is common, and one admits a probe that the other refuses; where the script's keeper lost data,
  only for longer than `B`;
- **judged otherwise**: a backend's verdicts are not those of the parts that it claims;
- **past deadline**: it acts with contact past `B` of true time after it began the last answered confirmation;
- **number used twice**: one stamp with two digests and no loss of the keeper's data between them; where
  there was one, a publisher that looked before it, or that found a disk put back and no reader, can't know
  (`again` counts those); **falling**: a backend in contact goes to a lower version in force.

A look whose process was stopped inside it for longer than `margin` counts only up to its beginning, and is
told as `stalled`: no deadline can hold a process that is stopped between its look and its effect.
"""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from standins.checkers import changes, shedding
from standins.checkers.leases import lines
from standins.fleet.rulescript import LOSSES, RulesScript

MS = 1_000_000
MILLION = 1_000_000
GAP = 50 * MS  # between two looks; past it the process did not act, being stopped
AMOUNTS = {"quotas": ("quota", "most"), "shares": ("share", "share"), "wholes": ("whole", "whole")}


@dataclass(frozen=True)
class Probe:
    """An invocation that is judged at each look; `kind`, `name`, `amount`: what would be in use with it."""

    callers: str = "c0"
    customers: str = "k0"
    places: str = "p0"
    operations: str = "o0"
    kind: str = ""
    name: str = ""
    amount: float = 0.0


NAMES = {"callers": "c", "customers": "k", "places": "p", "operations": "o"}
"""The names that drawn rulebooks use: a letter and a digit from 0 to 3."""
PROBES = [
    *(Probe(**{of: f"{letter}{digit}"}) for of, letter in NAMES.items() for digit in range(5)),  # type: ignore[arg-type]
    *(Probe(kind="quota", name=f"operations o{one}", amount=most) for one in range(2) for most in (1, 5, 20)),
    *(Probe(kind="share", name=f"callers c{one}", amount=most) for one in range(2) for most in (0.1, 0.5)),
    *(Probe(kind="whole", name=f"w{one}", amount=most) for one in range(2) for most in (2, 8, 30)),
]


def admits(part: dict[str, Any], probe: Probe) -> bool:
    for listing in part.get("lists", []):
        if (getattr(probe, listing["of"]) in listing["entries"]) == (listing["effect"] == "held_back"):
            return False
    for table, (kind, amount) in AMOUNTS.items():
        for row in part.get(table, []):
            name = row["budget"] if table == "wholes" else f"{row['of']} {row['entry']}"
            if (kind, name) == (probe.kind, probe.name) and probe.amount > row[amount]:
                return False
    return True


def mask(parts: list[dict[str, Any]]) -> int:
    return sum(1 << place for place, probe in enumerate(PROBES) if all(admits(part, probe) for part in parts))


@dataclass
class Span:
    """A stretch in which a backend certainly acted by one set of parts."""

    backend: str
    start: int
    end: int
    fresh: bool
    parts: frozenset[str]
    admitted: int
    unheard: bool  # without contact since it started: by its installation alone


@dataclass
class Verdict:
    wrong: list[str] = field(default_factory=list)
    contradictions: int = 0
    """Stretches in which two backends acted on contradicting rules, however short."""
    longest: int = 0
    looks: int = 0
    stalled: int = 0
    in_force: int = 0
    refused: int = 0
    withdrawn: int = 0
    again: int = 0
    """Numbers given to another book after a loss of the keeper's data."""
    switches: int = 0
    """Times that a backend went to another version in force."""
    alone: int = 0
    doubt: list[int] = field(default_factory=list)
    """ns for which a backend that fell to `alone` had acted unconfirmed: from the beginning of its last
    answered confirmation to its last look in contact."""
    publications: list[int] = field(default_factory=list)
    """ns from proposal to in force."""
    highest: tuple[int, int] = (0, 0)
    """The highest stamp in force."""
    backends: int = 0
    changes: changes.Found = field(default_factory=changes.Found)
    shedding: shedding.Found = field(default_factory=shedding.Found)
    settled: bool = False
    """The script's last publication was acted by everywhere."""

    @property
    def right(self) -> bool:
        return not self.wrong


def check(folder: Path, most: int = 20) -> Verdict:
    verdict, script = Verdict(), RulesScript.read(folder / "script.toml")
    b = script.life_ms * MS - script.margin_ms * MS * MILLION // (MILLION - script.drift_ppm)
    faults = lines(folder / "faults.jsonl")
    published = [line for path in sorted(folder.glob("p*.jsonl")) for line in lines(path)]
    histories = {path.stem: lines(path) for path in sorted(folder.glob("h*.jsonl"))}
    rules = {
        line["id"]: line["rules"]
        for history in histories.values()
        for line in history
        if line["ev"] == "rules"
    }
    losses = [fault["t"] for fault in faults if fault["kind"] in LOSSES]
    versions(published, histories, losses, verdict)
    spans = list[Span]()
    for slot, history in histories.items():
        for pid in dict.fromkeys(line["pid"] for line in history):
            own = [line for line in history if line["pid"] == pid]
            spans += acted(f"{slot}.{pid}", own, rules, script, b, verdict)
    verdict.wrong += [
        f"crashed: slot {fault['target']}: {last_words(folder, fault['target'])}"
        for fault in faults
        if fault["kind"] == "crashed"
    ]
    alones = {line["alone"] for history in histories.values() for line in history if line["ev"] == "version"}
    together(spans, b if losses else 0, len(alones) > 1, verdict)
    verdict.backends = len({span.backend for span in spans})
    late = -(-b // MS) * MS
    verdict.changes = changes.check(folder, late)
    verdict.shedding = shedding.check(folder, script.floor_answers, script.floor_over_s)
    verdict.wrong += verdict.changes.wrong + verdict.shedding.wrong
    verdict.settled = any(fault["kind"] == "settled" for fault in faults)
    kinds = Counter[str]()
    told, verdict.wrong = verdict.wrong, []
    for one in told:  # the first of each kind: one that repeats must not hide another
        kinds[kind := one.partition(":")[0]] += 1
        if kinds[kind] <= most:
            verdict.wrong.append(one)
    return verdict


def last_words(folder: Path, slot: int) -> str:
    """The end of a process's log, so that a crash is told where the folder is gone."""
    log = folder / f"h{slot}.log"
    said = log.read_text(errors="replace").splitlines() if log.exists() else []
    return " / ".join(line.strip() for line in said[-12:])[-1500:] or "its log is empty"


def versions(
    published: list[dict[str, Any]],
    histories: dict[str, list[dict[str, Any]]],
    losses: list[int],
    verdict: Verdict,
) -> None:
    """Numbers and digests over all that was published and acted by; how long publications took. `losses`:
    the true times at which the keeper lost data."""
    digests = dict[tuple[int, ...], dict[str, int]]()  # of a stamp: digest -> first line that names it
    proposed = dict[tuple[int, ...], int]()
    ends: dict[str, set[tuple[int, ...]]] = {"in force": set(), "refused": set(), "withdrawn": set()}
    heard = [line for history in histories.values() for line in history if line["ev"] == "version"]
    for line in sorted([*(line for line in published if "stamp" in line), *heard], key=lambda one: one["t"]):
        stamp = tuple(line["stamp"])
        if line.get("digest") and line["digest"] not in (books := digests.setdefault(stamp, {})):
            if not all(any(first <= loss <= line["t"] for loss in losses) for first in books.values()):
                verdict.wrong.append(
                    f"number used twice: {stamp} is {next(iter(books))[:12]} and "
                    f"{line['digest'][:12]}, by {line['holder']}"
                )
            verdict.again += bool(books)
            books[line["digest"]] = line["t"]
        if line["ev"] == "propose":
            proposed.setdefault(stamp, line["t"])
        elif line["ev"] in ends and stamp not in ends[line["ev"]]:
            ends[line["ev"]].add(stamp)
            if line["ev"] != "in force":
                continue
            verdict.highest = max(verdict.highest, (stamp[0], stamp[1]))
            if stamp in proposed:
                verdict.publications.append(line["t"] - proposed[stamp])
    verdict.in_force, verdict.refused, verdict.withdrawn = (len(found) for found in ends.values())


def acted(
    backend: str,
    history: list[dict[str, Any]],
    rules: dict[str, Any],
    script: RulesScript,
    b: int,
    verdict: Verdict,
) -> list[Span]:
    spans, margin, confirmed = list[Span](), script.margin_ms * MS, 0
    begun, lowest = dict[int, int](), (0, 0)
    now: dict[str, Any] = {}
    for line in history:
        if line["ev"] == "confirm":
            begun[line["n"]] = line["t"]
        elif line["ev"] == "answered":
            confirmed = max(confirmed, begun[line["n"]])
        if line["ev"] == "acts":
            if now and now["fresh"] and not line["fresh"]:
                verdict.alone += 1
                verdict.doubt.append(spans[-1].end - confirmed)
            now = line
            admitted = mask([rules[part] for part in line["parts"]])
            if admitted != int(line["mask"], 16):
                verdict.wrong.append(
                    f"judged otherwise: {backend} by {line['stamps']}, fresh "
                    f"{line['fresh']}: {admitted ^ int(line['mask'], 16):x}"
                )
            if line["fresh"]:
                stamp = tuple(line["stamps"][0])
                verdict.switches += lowest not in ((0, 0), stamp)
                if stamp < lowest:
                    verdict.wrong.append(f"falling: {backend} from {lowest} to {stamp}")
                lowest = max(lowest, stamp)
        if line["ev"] not in ("acts", "look") or not now:
            continue
        verdict.looks += 1
        stalled = line["a"] - line["b"] > margin
        verdict.stalled += stalled
        end = line["b"] if stalled else line["a"]
        if now["fresh"] and line["b"] > confirmed + b:
            verdict.wrong.append(
                f"past deadline: {backend} looked {(line['b'] - confirmed - b) / MS:.1f} ms "
                f"after it by {now['stamps']}"
            )
        last = spans[-1] if spans else None
        if line["ev"] == "look" and last is not None and line["b"] - last.end <= GAP:
            last.end = max(last.end, end)
        else:
            spans.append(
                Span(
                    backend,
                    line["m"],
                    max(end, line["m"]) if not stalled else line["m"],
                    now["fresh"],
                    frozenset(now["parts"]),
                    int(now["mask"], 16),
                    not now["fresh"] and not now["stamps"],
                )
            )
    return spans


def together(spans: list[Span], allowed: int, alone_changed: bool, verdict: Verdict) -> None:
    """Every pair of stretches that meet in true time, of two backends; those of one pair joined in time."""
    live, against = list[Span](), dict[tuple[str, str], list[tuple[int, int, Span, Span]]]()
    for span in sorted(spans, key=lambda one: one.start):
        live = [one for one in live if one.end > span.start]
        for one in live:
            if one.backend != span.backend and contradict(one, span, alone_changed):
                pair = min(one.backend, span.backend), max(one.backend, span.backend)
                against.setdefault(pair, []).append((span.start, min(one.end, span.end), one, span))
        live.append(span)
    for stretches in against.values():
        joined = list[list[int]]()
        for start, end, _, _ in sorted(stretches, key=lambda one: one[:2]):
            if joined and start <= joined[-1][1] + GAP:
                joined[-1][1] = max(joined[-1][1], end)
            else:
                joined.append([start, end])
        verdict.contradictions += len(joined)
        longest = max(end - start for start, end in joined)
        verdict.longest = max(verdict.longest, longest)
        if longest > allowed:
            start, _, one, other = max(stretches, key=lambda one: one[1] - one[0])
            parts = [sorted(part[:8] for part in span.parts) for span in (one, other)]
            verdict.wrong.append(
                f"contradiction: {one.backend} by {parts[0]} and {other.backend} by {parts[1]}, "
                f"{'fresh' if one.fresh else 'alone'}, for {longest / MS:.1f} ms from {start}; allowed "
                f"{allowed / MS:.1f} ms"
            )


def contradict(a: Span, b: Span, alone_changed: bool) -> bool:
    if a.fresh != b.fresh:
        return False  # docs/rulebook.md, "Not promised": `alone` is written cautious enough for that
    if (a.unheard or b.unheard) and alone_changed:
        return False  # "Not promised": down over a change of `alone`, and started without the keeper
    return a.admitted != b.admitted and not a.parts & b.parts
