"""Drawn rulebooks, sets of routing changes, a timeline, of names that standins/checkers/rules.py probes."""

from __future__ import annotations

from random import Random
from typing import Any

import msgspec

from ringshift.retirement.conditions import Conditions, Floor
from ringshift.retirement.timeline import Step, Timeline
from ringshift.rulebook.bound import MS
from ringshift.rulebook.document import Listing, Portion, Quota, Rulebook, Rules, Whole
from ringshift.schedule.planned import Drained, Frozen, HeldDown, Moved, Planned, Serving, Stated, moment

PLACES = ("p0", "p1", "p2")
FLOOR = Floor(answers=14, over_s=1, clocks_apart_s=0)
WORLD = Stated([Serving("o0", ["p0", "p1"]), Serving("o1", list(PLACES)), Serving("o2", list(PLACES)),
                Serving("old", ["p0"]), Serving("new", ["p0"])])  # fmt: skip
FIRST = Rulebook([Listing("callers", "held_back", ["c0"])], world=WORLD,
                 alone=Rules([Listing("callers", "held_back", ["c0"])]))  # fmt: skip


def names(random: Random, letter: str) -> list[str]:
    return sorted(random.sample([f"{letter}{digit}" for digit in range(4)], random.randint(0, 3)))


def drawn_rules(random: Random) -> Rules:
    """Lists and amounts of the names that standins/checkers/rules.py probes."""
    kinds = (("callers", "c"), ("customers", "k"), ("places", "p"), ("operations", "o"))
    lists = [Listing(of, effect, names(random, letter)) for of, letter in kinds  # type: ignore[arg-type]
             for effect in ("held_back", "let_through") if random.random() < 0.4]  # fmt: skip
    some = [one for one in range(2) if random.random() < 0.6]
    return Rules(
        lists,
        [Quota("operations", f"o{one}", random.choice([0.0, 2.0, 10.0, 100.0])) for one in some],
        [Portion("callers", f"c{one}", random.choice([0.05, 0.2, 1.0])) for one in some],
        [Whole(f"w{one}", random.choice([1.0, 4.0, 16.0])) for one in some],
    )


def drawn(word: str, random: Random, base: Rulebook) -> Rulebook:
    """The next book: of each kind one change, as the operators' next publication would be."""
    text = f"text {random.randrange(1000)}"
    if word == "text":
        return msgspec.structs.replace(base, text=text)
    if word == "announce":
        return msgspec.structs.replace(base, alone_next=drawn_rules(random))
    if word == "alone":
        alone = base.alone_next if base.alone_next is not None else drawn_rules(random)
        return msgspec.structs.replace(base, alone=alone, alone_next=None)
    rules = drawn_rules(random)
    text = f"new {text}" if word == "new" else text
    return msgspec.structs.replace(base, lists=rules.lists, quotas=rules.quotas, shares=rules.shares,
                                   wholes=rules.wholes, text=text)  # fmt: skip


def row(name: str, does: Any, start: int, lasting: int, **more: Any) -> Planned:
    """`start`, `lasting`: ns since the epoch, ns."""
    return Planned(name=name, does=does, start=moment(start), end=moment(start + lasting), **more)


def drawn_rows(random: Random, name: str, earliest: int) -> list[Planned]:
    """A set of 1 to 3 changes of the places and operations of `WORLD`, soon after `earliest`."""
    rows = list[Planned]()
    for number in range(random.randint(1, 3)):
        here, there = random.sample(PLACES, 2)
        does = random.choice([Drained(here), Moved(random.choice([0.3, 0.7, 1.0]), here, there),
                              HeldDown(random.choice([1, 10])), Frozen()])  # fmt: skip
        start, lasting = earliest + random.randrange(2_000) * MS, random.randrange(300, 2_500) * MS
        ramps = {} if random.random() < 0.5 or isinstance(does, Frozen) else {
            "ramp_in_ms": lasting // MS // 4, "ramp_out_ms": lasting // MS // 4}  # fmt: skip
        scope = random.choice([None, ["o0"], ["o1", "o2"]])
        rows.append(row(f"{name}-{number}", does, start, lasting, operations=scope, **ramps))
    return rows


def timeline(random: Random, now: int) -> Timeline:
    """Warned from now on, with two steps and an end within seconds."""
    begins = now + 500 * MS + FLOOR.span + 1_500 * MS
    steps = [Step(moment(begins), 0.3), Step(moment(begins + 1_000 * MS), 0.7)]
    conditions = Conditions(successor_share=0.0, errors_below=0.2, errors_above=0.4, errors_back=0.6,
                            moved=0.0, least_answers=1, heard=0.6, fresh_s=2, dwell_s=0,
                            back_after_s=0)  # fmt: skip
    return Timeline("old-one", "old", "new", moment(now), moment(now + 500 * MS), steps,
                    moment(begins + 3_000 * MS), floor=FLOOR, conditions=conditions)  # fmt: skip
