"""Four backends' processes over one change: cut off over its start, or in it, started cold in it, and none.

Seconds of the script: the change lasts from 4.5 to 11.5, its ramps 0.5 in and 1 out. `late`, B of the terms,
is 0.699 s; a reading lease holds for 0.692 s at most.
"""

from __future__ import annotations

import time
from dataclasses import dataclass, field
from typing import Any

from ringshift.rulebook.document import Rulebook
from ringshift.schedule.plan import Terms, plan
from ringshift.schedule.planned import Drained, Planned, moment
from ringshift.schedule.recur import nanoseconds
from standins.fleet.proxy import DOWN, UP, Proxy
from tests.schedule.stage import Stage, move

START, END, LATE = 4.5, 11.5, 0.699


@dataclass
class Seen:
    histories: dict[str, list[dict[str, Any]]] = field(default_factory=dict)
    begun: int = 0  # the stage's, by the wall clock
    healed: int = 0  # true times, ns

    def parts(self, name: str) -> list[tuple[float, int, bool]]:
        """(seconds of the script by its own wall clock, millionths of the change, confirmed) by line."""
        return [
            ((line["wall"] - self.begun) / 1e9, line["force"].get("x", 0), line["fresh"])
            for line in self.histories[name]
        ]

    def first(self, name: str) -> tuple[float, int, bool]:
        return next(one for one in self.parts(name) if one[1])

    def check(self) -> None:
        for name in self.histories:
            at, part, fresh = self.first(name)
            assert fresh and START <= at < END, (name, at)  # begun by a confirmation, at no time before
            for at, part, _ in self.parts(name):  # never above its plan, by its ramps
                most = min(1, (at - START) / 0.5 + 0.1, max(0, END - at + 0.1))
                assert part <= 1_000_000 * most, (name, at)
        # Cut off over its start: begun once healed, late.
        line = next(one for one in self.histories["over-start"] if one["force"].get("x"))
        assert line["a"] >= self.healed
        assert self.first("cold")[0] > START + 0.5
        # Cut off in it, and not told of the withdrawal: to its planned end, by its ramp out.
        cut = self.parts("in-it")
        assert any(at > END - 0.9 and part for at, part, _ in cut)
        assert any(part and not fresh for _, part, fresh in cut)
        assert cut[-1][1] == 0
        # With contact it was walked back, by its ramp out, long before its end.
        for name in ("well", "over-start", "cold"):
            told = self.parts(name)
            peak = max(range(len(told)), key=lambda n: told[n][1])
            falls = [part for _, part, _ in told[peak:]]
            assert falls == sorted(falls, reverse=True) and falls[-1] == 0 and len(falls) > 5, (name, falls)
            assert told[-1][0] < END - 0.2 or told[-1][1] == 0, name
            ended = next(at for at, part, _ in told[peak:] if not part)
            assert ended < END - 0.5, (name, ended)


def in_service(stage: Stage, seen: Seen) -> None:
    well, start, within = (
        stage.backend(name, wall) for name, wall in (("well", 300), ("over-start", 0), ("in-it", -300))
    )
    for one in (well, start, within):
        one.acts.wait()
    plan = stage.start(
        "x", move(1.0), 0, "--begin-in-ms", "5000", window=(START, END - START), ramp_ms=(500, 1_000)
    )
    assert plan.end() == 0, plan.told
    (x,) = stage.book().changes
    assert x.start is not None
    stage.now = seen.begun = nanoseconds(x.start) - round(START * 1e9)
    stage.at(3.4)
    start.proxy.faults.blackhole = {UP, DOWN}
    stage.at(5.0)
    cold = stage.backend("cold")
    stage.at(5.7)
    within.proxy.faults.blackhole = {UP, DOWN}
    heal(start.proxy)
    seen.healed = time.monotonic_ns()
    cold.acts.wait()
    gone = stage.start("", "", 0, "--at", "before propose", "--stop", withdraw="x")
    gone.stopped.wait()  # however long its process takes to start, it is proposed at its moment
    stage.at(6.4)
    gone.wake()
    assert gone.end() == 0, gone.told
    # The one cut off carries it out to its end, so what contradicts it must wait for that, and for `late`.
    assert against(stage, END + LATE - 0.1) == "CLOSE" and against(stage, END + LATE + 0.1) == ""
    stage.at(END + 0.5)
    for name, one in (("well", well), ("over-start", start), ("in-it", within), ("cold", cold)):
        seen.histories[name] = one.leave()


def against(stage: Stage, seconds: float) -> str:
    """The rule that a drain of the target from then on breaks, planned as of the withdrawal's second: how
    long that took on a loaded machine is no part of it."""
    start = stage.now + round(seconds * 1e9)
    row = Planned(name="y", does=Drained("south"), start=moment(start), end=moment(start + 9_000_000_000))
    found = plan(stage.book(), [row], stage.now + 6_400_000_000, Terms(round(LATE * 1e9), 0))
    return "" if isinstance(found, Rulebook) else found.rule.name


def heal(proxy: Proxy) -> None:
    proxy.faults.blackhole = set()
    proxy.cut()
