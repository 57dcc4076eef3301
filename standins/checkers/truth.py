"""A report's findings against a staged incident's truth: all there, each in time, none invented."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any

S = 10**9
WITHIN = 1 * S
# Findings that only an injection may bring about; the others (shedding, clocks) are judged apart.
PRIMARY = {
    "vanished",
    "crashed",
    "drained",
    "killed in its drain",
    "came back",
    "cold start",
    "slow",
    "everything slower",
    "agent hung",
    "paused",
    "traffic jump",
    "retry storm",
    "runs err",
    "not ready",
    "agent lost",
    "announce service lost",
    "gap in records",
    "records missing",
    "clock stepped",
    "two under one name",
    "only ever restarted",
    "clock tied to nothing",
}


@dataclass
class Score:
    matched: list[tuple[str, float]] = field(default_factory=list)
    """What and by how many seconds its start is off."""
    missed: list[str] = field(default_factory=list)
    invented: list[str] = field(default_factory=list)
    out_of_order: list[str] = field(default_factory=list)
    shed_off: list[float] = field(default_factory=list)
    """Seconds by which each spell of shedding that both saw is off."""
    shed_missed: int = 0
    first_cause: bool | None = None
    """Whether the first cause is the first injection; None where no service was lost."""

    @property
    def good(self) -> bool:
        late = [one for one, off in self.matched if abs(off) > WITHIN / S]
        return not (self.missed or self.invented or self.out_of_order or late)


def check(truth: dict[str, Any], told: dict[str, Any]) -> Score:
    """`told` is what `ringshift report --json` gives."""
    score = Score()
    findings = [one for one in told["findings"] if one["what"] in PRIMARY]
    left, order = list(findings), list[tuple[int, int]]()
    for event in truth["events"]:
        fits = [one for one in left if one["what"] == event["what"] and fitting(event, one)]
        best = min(fits, key=lambda one: abs(one["start"] - event["at"]), default=None)
        if best is None or abs(best["start"] - event["at"]) > 5 * S:
            score.missed.append(f"{event['what']} of {', '.join(event['servers'])}")
            continue
        left.remove(best)
        order.append((event["at"], best["start"]))
        score.matched.append((event["what"], (best["start"] - event["at"]) / S))
    score.invented = [f"{one['what']} of {', '.join(one['servers'])} at {one['start']}" for one in left]
    for (at, start), (next_at, next_start) in zip(order, order[1:], strict=False):
        # Those that lie closer together than a report may be off can't be told apart.
        if next_at - at > WITHIN and next_start < start:
            score.out_of_order.append(f"{at} before {next_at}")
    parts = [
        (part["server"], part["operation"], part["start"])
        for one in told["findings"]
        if one["what"] == "shedding"
        for part in one["parts"]
    ]
    for spell in truth["shed"]:
        operation, server = spell["what"].removeprefix("shedding "), spell["servers"][0]
        offs = [(start - spell["at"]) / S for name, op, start in parts if (name, op) == (server, operation)]
        nearest = min(offs, key=abs, default=None)
        if nearest is None or abs(nearest) > 5:
            score.shed_missed += 1
        else:
            score.shed_off.append(nearest)
    cause = told["cause"]
    if cause["harm"] is not None and truth["events"]:
        troubles = [one for one in truth["events"] if one["what"] not in ("gap in records", "clock stepped")]
        first = min(troubles, key=lambda event: event["at"], default=None)
        if first is not None:
            score.first_cause = cause["first"] is not None and cause["first"]["what"] == first["what"]
    return score


def fitting(event: dict[str, Any], finding: dict[str, Any]) -> bool:
    """A trouble of the whole fleet is found where at least half of its servers are named."""
    named, wanted = set(finding["servers"]), set(event["servers"])
    return len(named & wanted) * 2 >= len(wanted) and named <= wanted
