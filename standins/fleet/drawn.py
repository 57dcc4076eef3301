"""Drawn rulebooks, sets of routing changes, a timeline, of names that standins/checkers/rules.py probes."""

from __future__ import annotations

from datetime import UTC, timedelta
from random import Random
from typing import Any

import msgspec

from ringshift.retirement.conditions import Conditions, Floor
from ringshift.retirement.timeline import Step, Timeline
from ringshift.rulebook.bound import MS, S
from ringshift.rulebook.document import Listing, Portion, Quota, Rulebook, Rules, Whole
from ringshift.schedule.planned import (
    Drained,
    Frozen,
    HeldDown,
    Loaded,
    Moved,
    Planned,
    Recurring,
    Serving,
    Stated,
    Taking,
    moment,
    nanoseconds,
)

PLACES = ("p0", "p1", "p2")
FLOOR = Floor(answers=14, over_s=1, clocks_apart_s=0)
WORLD = Stated(
    [
        Serving("o0", ["p0", "p1"]),
        Serving("o1", list(PLACES)),
        Serving("o2", list(PLACES)),
        Serving("old", ["p0"]),
        Serving("new", ["p0"]),
    ],
    [Taking("p0", 90), Taking("p1", 60), Taking("p2", 45)],
    [
        Loaded("o0", "k0", "p0", 20),
        Loaded("o1", "k0", "p0", 30),
        Loaded("o1", "k1", "p0", 10),
        Loaded("o2", "k1", "p1", 20),
        Loaded("o2", "k0", "p2", 10),
    ],
)
"""All of `o1` fits into `p1`, 0.7 of it into `p2`: but not beside all of `o0`, or what a row wants left."""
FIRST = Rulebook(
    [Listing("callers", "held_back", ["c0"])],
    world=WORLD,
    alone=Rules([Listing("callers", "held_back", ["c0"])]),
)


def names(random: Random, letter: str) -> list[str]:
    return sorted(random.sample([f"{letter}{digit}" for digit in range(4)], random.randint(0, 3)))


def drawn_rules(random: Random) -> Rules:
    """Lists and amounts of the names that standins/checkers/rules.py probes."""
    kinds = (("callers", "c"), ("customers", "k"), ("places", "p"), ("operations", "o"))
    lists = [
        Listing(of, effect, names(random, letter))  # type: ignore[arg-type]
        for of, letter in kinds
        for effect in ("held_back", "let_through")
        if random.random() < 0.4
    ]
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
    return msgspec.structs.replace(
        base, lists=rules.lists, quotas=rules.quotas, shares=rules.shares, wholes=rules.wholes, text=text
    )


def row(name: str, does: Any, start: int, lasting: int, **more: Any) -> Planned:
    """`start`, `lasting`: ns since the epoch, ns."""
    return Planned(name=name, does=does, start=moment(start), end=moment(start + lasting), **more)


def drawn_rows(random: Random, name: str, earliest: int, late: int) -> list[Planned]:
    """A set of 1 to 3 changes of the places and operations of `WORLD`, soon after `earliest`: some that
    require the one before, from `late` after its end on or 1 ms too early, some that recur after seconds."""
    rows = list[Planned]()
    for number in range(random.randint(1, 3)):
        here, there = random.sample(PLACES, 2)
        moved = Moved(random.choice([0.3, 0.7, 1.0]), here, there)
        some: list[Moved | Drained | HeldDown | Frozen] = [
            Drained(here),
            moved,
            moved,
            HeldDown(random.choice([1, 10])),
            Frozen(),
        ]
        does = random.choice(some)
        start, lasting = earliest + random.randrange(2_000) * MS, random.randrange(300, 2_500) * MS
        more = drawn_scope(random, does)
        if random.random() < 0.25:
            more["left"] = random.choice([{"p0": 25}, {"p1": 15}, {"p2": 20}])
        before = rows[-1].end if rows and not rows[-1].after else None
        if before is not None and random.random() < 0.4:
            more["after"] = [rows[-1].name]
            start = nanoseconds(before) + late + random.choice([0, 0, 0, 200, -1]) * MS
            lasting = min(lasting, 800 * MS)
        recurs = "after" not in more and random.random() < 0.15
        lasting = S if recurs else lasting
        if random.random() < 0.5 and not isinstance(does, Frozen):
            more |= {"ramp_in_ms": lasting // MS // 4, "ramp_out_ms": lasting // MS // 4}
        if recurs:
            rows.append(Planned(name=f"{name}-{number}", does=does, recurring=twice(start), **more))
        else:
            rows.append(row(f"{name}-{number}", does, start, lasting, **more))
    return rows


def drawn_scope(random: Random, does: Any) -> dict[str, Any]:
    """Mostly of operations that are served where `does` moves them."""
    wide = None if random.random() < 0.2 or not isinstance(does, Moved) else ["o2"]
    ways = [["o0"]] if not isinstance(does, Moved) or "p2" not in (does.source, does.target) else [["o1"]]
    return {
        "operations": random.choice([wide, *ways, ["o1"], ["o1", "o2"]]),
        "customers": random.choice([None, None, ["k0"], ["k1", "k2"]]),
        "places": random.choice([None, None, None, sorted(random.sample(PLACES, 2))]),
    }


def twice(start: int) -> Recurring:
    """Two windows of a second, from the next whole second at or after `start` (ns) and 3 s later."""
    first = moment(-(-start // S) * S).astimezone(UTC).replace(tzinfo=None)
    times = [first, first + timedelta(seconds=3)]
    parts = {
        f"BY{unit.upper()}={','.join(str(getattr(at, unit)) for at in times)}"
        for unit in ("hour", "minute", "second")
    }
    return Recurring(f"FREQ=DAILY;COUNT=2;{';'.join(sorted(parts))}", first, "UTC", 1)


def ends(one: Planned) -> int:
    """ns since the epoch by which the last window of a drawn row has ended."""
    edges = one.edges()
    return edges[1] if edges else list(one.recurrence().windows(0, 1 << 62))[-1][1]


def timeline(random: Random, now: int) -> Timeline:
    """Warned from now on, with two steps and an end within seconds."""
    begins = now + 500 * MS + FLOOR.span + 1_500 * MS
    steps = [Step(moment(begins), 0.3), Step(moment(begins + 1_000 * MS), 0.7)]
    conditions = Conditions(
        successor_share=0.0,
        errors_below=0.2,
        errors_above=0.4,
        errors_back=0.6,
        moved=0.0,
        least_answers=1,
        heard=0.6,
        fresh_s=2,
        dwell_s=0,
        back_after_s=0,
    )
    return Timeline(
        "old-one",
        "old",
        "new",
        moment(now),
        moment(now + 500 * MS),
        steps,
        moment(begins + 3_000 * MS),
        floor=FLOOR,
        conditions=conditions,
    )
