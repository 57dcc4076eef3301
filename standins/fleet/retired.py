"""A made-up load of a retired operation and its successor, judged by a backend's retirements.

The parts are the program's own (ringshift/lifecycle/retiring.py, ramping.py); callers are made up: one drawn
anew for each try, at whichever backend, so each changes backend at each try. One that is turned away tries
the successor next. An answer is lost now and then (the caller had gone): then nobody was warned by it. Every
answer that was sent with a warning, every refusal and every invocation let through under a step is a line of
the history; so is each write of the ramp, when it was begun, right before its bytes go out.
"""

from __future__ import annotations

import argparse
import sys
import time
from pathlib import Path
from random import Random
from typing import TYPE_CHECKING, Any

from ringshift.lifecycle.holder import OwnClock
from ringshift.lifecycle.ramping import Ramps
from ringshift.lifecycle.retiring import Retiring
from ringshift.lifecycle.ruling import Ruler
from ringshift.records.watch import RULED, SUCCEEDED
from ringshift.retirement.shed import sheds
from ringshift.settings.operators import Leases
from ringshift.wire.retiring import RetireLink

if TYPE_CHECKING:
    from standins.fleet.ruled import History

OPERATIONS = {"old": 0, "new": 1}
CALLERS = 24
REFRESH = 200_000_000  # ns between two rows
PACE = 100_000_000  # between two looks of the ramp's holder
LOST, FLAKY = 0.3, 0.9  # of the answers; of those to each fourth caller
TRIED = 2  # looks for one try, so that callers reach the floor of warnings one after the other


def ramp_listened(history: History) -> None:
    """The write of a step, as it is sent: after whatever held the holder up since its last look."""
    write = RetireLink.write

    def written(self: RetireLink, name: str, task_key: bytes, token: int, *told: Any, **more: Any) -> bool:
        history.write("step sent", token=token, line=name)
        landed = write(self, name, task_key, token, *told, **more)
        history.write("step answered", token=token, line=name, landed=landed)
        return landed

    RetireLink.write = written  # type: ignore[method-assign]


class Retired:
    def __init__(
        self,
        told: argparse.Namespace,
        ruler: Ruler,
        leases: Leases,
        clock: OwnClock,
        answer_within: int,
        history: History,
    ) -> None:
        self.history, self.random = history, Random(told.seed)
        ramp_listened(history)
        self.wall = lambda: time.time_ns() + told.wall_ms * 1_000_000
        ramps = Ramps(
            told.name,
            leases.terms(),
            leases.keepers,
            clock,
            told.seed,
            wall=self.wall,
            pace=PACE,
            history=history.out,
        )
        rung, pause_ms = told.ramp_pause.split(":")
        ramps.pause = int(rung), int(pause_ms) * 1_000_000
        self.ramps, self.paused_at = ramps, Path(told.history).parent / "ramp-paused"
        self.retiring = Retiring(
            ruler.name,
            OPERATIONS,
            ruler.books,
            leases.keepers,
            clock.now,
            answer_within,
            True,
            ramps,
            self.wall,
            REFRESH,
        )
        self.clock, self.looks, self.edition = clock, 0, 0

    def turn(self) -> None:
        """A look, and now and then an invocation of the old operation, by whoever."""
        retiring = self.retiring
        retiring.poll(self.clock.now())
        self.pause_once()
        line = retiring.by_operation.get(OPERATIONS["old"])
        decided = None if line is None else line.follower.acts_by
        if decided is not None and decided.edition != self.edition:
            self.edition = decided.edition
            print(f"edition {self.edition} {decided.share}", file=sys.stderr, flush=True)
        self.looks += 1
        if self.looks % TRIED:
            return
        other = self.random.randrange(CALLERS, 2 * CALLERS)  # of those that had moved before
        retiring.ended(OPERATIONS["new"], other, SUCCEEDED)
        caller = self.random.randrange(CALLERS)
        share = retiring.shed().get(OPERATIONS["old"], 0)
        if share and sheds(share, retiring.lot(OPERATIONS["old"], caller)):
            self.judged("shed", caller, share, decided)
            retiring.ended(OPERATIONS["old"], caller, RULED)
            retiring.ended(OPERATIONS["new"], caller, SUCCEEDED)  # it tries the successor, and is served
            return
        if share:
            self.judged("through", caller, share, decided)
        fields = retiring.fields(OPERATIONS["old"], caller)
        retiring.ended(OPERATIONS["old"], caller, SUCCEEDED)
        if self.random.random() < (LOST if caller % 4 else FLAKY):
            return  # the caller had gone: nothing was handed to its connection
        if fields:
            self.history.write("warned", caller=caller, fields=sorted(fields))
            retiring.answered(OPERATIONS["old"], caller)

    def pause_once(self) -> None:
        """Of all holders of the ramp only the first is held up."""
        for work, _, _ in self.ramps.running.values():
            if self.ramps.pause[1] and not work.pause[1]:
                self.paused_at.touch()  # it has begun its pause
        if self.ramps.pause[1] and self.paused_at.exists():
            self.ramps.pause = (0, 0)
            for work, _, _ in self.ramps.running.values():
                work.pause = (0, 0)

    def judged(self, kind: str, caller: int, share: int, decided: Any) -> None:
        self.history.write(kind, caller=caller, share=share, edition=decided.edition, key=f"{decided.key:x}")

    def leave(self) -> None:
        self.retiring.leave()
