"""`python -m standins.fleet.retiring`: a backend's part in a retirement, driven by lines.

`Retiring` and `Ramps` are the program's own (ringshift/lifecycle); made up are the rulebook (a file, in force
all the while) and the invocations, which come as lines on standard input: `call OPERATION CALLER` is judged
as the owner does, and told by one line of JSON on standard output (`called`). Beside it are told there each
decision that this backend acts by (`acts`), and what the ramp's holder does (`act`, `ramp`, `ramped`). The
line `book` has the rulebook read again, as if its next version were in force.
`--busy-ms`: the successor answers one made-up invocation in so long. `--pause-rung`, `--pause-ms`: the
holder stands still after its last look before that step. SIGTERM is the notice to leave.
"""

from __future__ import annotations

import argparse
import os
import signal
import sys
import time
from pathlib import Path
from random import Random
from typing import Any

import orjson

from ringshift.fleet.lease import MS
from ringshift.lifecycle.holder import OwnClock
from ringshift.lifecycle.ramping import Ramps
from ringshift.lifecycle.retiring import Retiring
from ringshift.lifecycle.sharing import identity
from ringshift.records.watch import RULED, SUCCEEDED
from ringshift.rulebook.document import read
from ringshift.settings.operators import read_operators

EVERY = 0.005  # seconds between two looks
OPERATIONS = {"order-book": 0, "order-book-2": 1}


class Backend:
    def __init__(self, told: argparse.Namespace) -> None:
        leases = read_operators(told.settings).leases
        assert leases is not None
        self.told, self.clock = told, OwnClock(time.monotonic_ns(), told.skew_ppm)
        self.book = read(Path(told.book).read_text(), told.book)
        terms, out = leases.terms(), sys.stdout.buffer
        ramps = Ramps(
            told.name, terms, leases.keepers, self.clock, told.seed, pace=told.pace_ms * MS, history=out
        )
        ramps.pause = (told.pause_rung, told.pause_ms * MS)
        backend = identity(told.name, Random(time.time_ns()))
        self.retiring = Retiring(
            backend,
            OPERATIONS,
            lambda: (self.book,),
            leases.keepers,
            self.clock.now,
            terms.answer_within,
            True,
            ramps,
            refresh=told.refresh_ms * MS,
        )
        self.edition, self.busy, self.leaving, self.pending = -1, 0.0, False, b""

    def write(self, kind: str, **more: Any) -> None:
        line = {"t": time.monotonic_ns(), "ev": kind, "holder": self.told.name, **more}
        sys.stdout.buffer.write(orjson.dumps(line) + b"\n")
        sys.stdout.buffer.flush()

    def run(self) -> int:
        def leave(*_: object) -> None:
            self.leaving = True

        signal.signal(signal.SIGTERM, leave)
        os.set_blocking(0, False)
        while not self.leaving:
            self.turn()
            time.sleep(EVERY)
        self.retiring.leave()
        return 0

    def turn(self) -> None:
        self.retiring.poll(self.clock.now())
        for line in self.retiring.lines.values():
            decided = line.follower.acts_by
            if decided.edition != self.edition:
                self.edition = decided.edition
                self.write(
                    "acts",
                    edition=decided.edition,
                    rung=decided.rung,
                    share=decided.share,
                    ready=sorted(decided.ready),
                )
        if self.told.busy_ms and time.monotonic() - self.busy > self.told.busy_ms / 1000:
            self.busy = time.monotonic()
            self.retiring.ended(1, 0, SUCCEEDED)
        try:
            part = os.read(0, 65536)
        except BlockingIOError:
            return
        if not part:
            self.leaving = True  # whoever drives this is gone
        *lines, self.pending = (self.pending + part).split(b"\n")
        for words in map(bytes.split, lines):
            if words[0] == b"book":
                self.book = read(Path(self.told.book).read_text(), self.told.book)
                self.retiring.poll(self.clock.now())
            else:
                self.call(int(words[1]), int(words[2]))

    def call(self, operation: int, caller: int) -> None:
        """As the owner does: judged once, counted as warned only after the answer was handed over."""
        lot, share = self.retiring.lot(operation, caller), self.retiring.shed().get(operation, 0)
        shed, edition = 0 <= lot < share, self.edition
        fields = {} if shed else dict(self.retiring.fields(operation, caller))
        self.write(
            "called",
            operation=operation,
            caller=caller,
            shed=shed,
            lot=lot,
            share=share,
            edition=edition,
            fields=fields,
        )
        if fields:
            self.retiring.answered(operation, caller)
        self.retiring.ended(operation, caller, RULED if shed else SUCCEEDED)


def main() -> int:
    raw = argparse.RawDescriptionHelpFormatter
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=raw)
    for name in ("settings", "book", "name"):
        parser.add_argument(f"--{name}", required=True)
    for name, default in (
        ("seed", 1),
        ("skew-ppm", 0),
        ("refresh-ms", 150),
        ("pace-ms", 100),
        ("busy-ms", 50),
        ("pause-rung", 0),
        ("pause-ms", 0),
    ):
        parser.add_argument(f"--{name}", type=int, default=default)
    return Backend(parser.parse_args()).run()


if __name__ == "__main__":
    sys.exit(main())
