"""`python -m standins.fleet.ruled`: a backend that acts by the fleet's rulebook, with a made-up load.

The reader and its asking are the program's own (ringshift/lifecycle/ruling.py); made up is only what it
judges: at each look the `PROBES` of standins/checkers/rules.py, by the rules it has then. Every look is a
line of the history with the machine's true times before it, once it had its rules and after it judged; what
it acts by is written whole when it changes, each text of rules once, and which scheduled changes are in
force there. With `--retires` it serves a retired operation as well (standins/fleet/retired.py). `--refuse
WORD`: it refuses a version whose text holds the word, as an older program refuses what it can't check.
SIGTERM is the notice to leave. `--plant BUG` puts a bug of standins/fleet/planted_rules.py in.
"""

from __future__ import annotations

import argparse
import hashlib
import os
import signal
import sys
import time
import tomllib
from pathlib import Path
from random import Random
from typing import Any

import msgspec
import orjson

from ringshift.lifecycle.holder import OwnClock
from ringshift.lifecycle.ruling import Ruler
from ringshift.lifecycle.sharing import identity
from ringshift.rulebook.bound import MS
from ringshift.rulebook.document import Rulebook, Rules, canonical, digest
from ringshift.rulebook.indices import Names
from ringshift.rulebook.meet import Invocation, Judge
from ringshift.rulebook.reader import Reader
from ringshift.rulebook.version import UNMARKED, Row, Told, Version
from ringshift.schedule.plan import Terms, unfit
from ringshift.schedule.service import RUNNING, State
from ringshift.schedule.timetable import Timetable
from ringshift.settings.operators import Leases
from ringshift.settings.rules import RulesReading
from ringshift.store.headstart import keep, kept
from ringshift.wire.rules import RulesLink
from standins.checkers.rules import PROBES

EVERY = 0.01  # seconds between two looks


INVOCATIONS = [
    Invocation(
        one.callers,
        one.customers,
        one.places,
        one.operations,
        {(one.kind, one.name): one.amount} if one.kind else {},
    )
    for one in PROBES
]


class History:
    def __init__(self, told: argparse.Namespace) -> None:
        self.name, self.out = told.name, Path(told.history).open("ab")  # noqa: SIM115  (for the process's life)
        self.pid = os.getpid()

    def write(self, kind: str, **more: Any) -> None:
        line = {"t": time.monotonic_ns(), "ev": kind, "holder": self.name, "pid": self.pid, **more}
        self.out.write(orjson.dumps(line) + b"\n")
        self.out.flush()


def listened(history: History, lose_ms: int, slow_ms: int) -> None:
    """Each confirmation is written before it is sent and once it is answered: whatever the reader counts its
    deadline from, the checker counts from these. From the first acknowledgement on all are lost for
    `lose_ms`; each answer is `slow_ms` on its way."""
    confirm, lost_until = RulesLink.confirm, 0

    def written(self: RulesLink, name: str, row: Row) -> Told | None:
        nonlocal lost_until
        if row.acked != UNMARKED and lose_ms and not lost_until:
            lost_until = time.monotonic_ns() + lose_ms * MS
            history.write("losing", acked=row.acked)
        if time.monotonic_ns() < lost_until:
            time.sleep(0.05)
            raise ConnectionError("lost")
        history.write("confirm", n=row.n)
        told = confirm(self, name, row)
        time.sleep(slow_ms / 1000)
        if told is not None:
            history.write("answered", n=row.n)
        return told

    RulesLink.confirm = written  # type: ignore[method-assign]


class Ruled:
    def __init__(self, told: argparse.Namespace) -> None:
        settings = tomllib.loads(Path(told.settings).read_text())
        self.told, self.random, self.history = told, Random(told.seed), History(told)
        self.clock = OwnClock(time.monotonic_ns(), told.skew_ppm)
        listened(self.history, told.lose_acks_ms, told.slow_answers_ms)
        self.refuse = told.refuse
        installation = tomllib.loads(Path(settings["rules"]["installation"]).read_text())["alone"]
        self.installation = msgspec.convert(installation, Rules)
        leases = msgspec.convert(settings["leases"], Leases)
        reading = msgspec.convert(settings["rules"], RulesReading)
        self.head_at = Path(reading.head_start) if reading.head_start else None
        self.head = None if self.head_at is None else kept(self.head_at)[0]
        reader = Reader(reading.terms(), self.installation, self.head, answer_within=reading.answer_within)
        name = identity(told.name, Random())
        print(f"seeking as {name}", file=sys.stderr, flush=True)
        self.late = Terms.of(reading.terms()).late
        self.ruler = Ruler(
            reader,
            name,
            leases.keepers,
            self.clock.now,
            reading.answer_within,
            keep=None if self.head_at is None else self.keep,
            check=self.check,
        )
        names = Names(("o0", "o1", "o2", "o3"), ("k0", "k1", "k2", "k3"), reading.place)
        self.timetable = Timetable(self.late, names, lead=1_000 * MS)
        self.force: dict[str, int] = {}
        self.known: tuple[Rulebook, ...] = ()
        self.retired = None
        if told.retires:
            from standins.fleet.retired import Retired

            self.retired = Retired(told, self.ruler, leases, self.clock, reading.answer_within, self.history)
        self.written = set[str]()
        self.parts: tuple[str, ...] = ()
        self.by: tuple[Any, ...] = ()
        self.judge, self.rules = Judge(Rules()), Rules()
        self.leaving = False

    def check(self, version: Version) -> str:
        if self.refuse and self.refuse in version.book.text:
            return f"an older program: {self.refuse!r} is not known"
        return unfit(version.book, self.late, self.wall())

    def wall(self) -> int:
        return time.time_ns() + int(self.told.wall_ms) * MS

    def keep(self, version: Version) -> None:
        assert self.head_at is not None
        keep(self.head_at, version)

    def run(self) -> int:
        def leave(*_: object) -> None:
            self.leaving = True

        signal.signal(signal.SIGTERM, leave)
        parent = os.getppid()
        while not self.leaving and os.getppid() == parent:  # nobody is left behind by a harness that ended
            self.turn()
            if self.retired is not None:
                self.retired.turn()
            time.sleep(EVERY)
        if self.retired is not None:
            self.retired.leave()
        self.ruler.leave(0.5)
        self.history.write("left")
        return 0

    def turn(self) -> None:
        before = time.monotonic_ns()
        self.ruler.poll()
        rules, reader = self.ruler.rules(), self.ruler.reader  # the last look at the clock is within
        fresh = bool(self.ruler.acted_by[0]) and rules is self.ruler.met
        had = time.monotonic_ns()
        if rules is not self.rules:
            self.rules, self.judge = rules, Judge(rules)
        mask = sum(1 << place for place, one in enumerate(INVOCATIONS) if self.judge.admits(one))
        after = time.monotonic_ns()
        by = (fresh, *((one.stamp, one.digest) for one in reader.basis))
        if by == self.by:
            self.history.write("look", b=before, m=had, a=after)
        else:
            self.by = by
            self.say(fresh, mask, {"b": before, "m": had, "a": after})
        self.changes(fresh)

    def say(self, fresh: bool, mask: int, times: dict[str, int]) -> None:
        reader = self.ruler.reader
        parts = self.texts(fresh)
        for version in reader.basis:
            self.history.write(
                "version", stamp=version.stamp, digest=version.digest, alone=digest(version.book.alone)
            )
        stamps = [one.stamp for one in reader.basis]
        self.history.write(
            "acts",
            **times,
            fresh=fresh,
            stamps=stamps,
            parts=parts,
            mask=f"{mask:x}",
            state=reader.state.name,
            until=reader.deadline,
        )
        said = "+".join(f"{epoch}.{number}" for epoch, number in stamps) or "installation"
        print(f"acts {said} {'fresh' if fresh else 'alone'}", file=sys.stderr, flush=True)

    def changes(self, fresh: bool) -> None:
        """The scheduled changes of what is acted by: which are in force here, written when that moves."""
        before, books = time.monotonic_ns(), self.ruler.books()
        if books != self.known:
            self.known = books
            for book in books:
                self.rows(book)
        self.timetable.hear(self.wall(), fresh, books)
        had, wall = time.monotonic_ns(), time.time_ns()
        states = self.timetable.picture().states.items()
        force = {name: part for name, (state, part) in states if State[state] in RUNNING}
        if force != self.force:
            self.force = force
            self.history.write(
                "force", b=before, m=had, a=time.monotonic_ns(), wall=wall, fresh=fresh, force=force
            )

    def rows(self, book: Rulebook) -> None:
        for row in book.changes:
            if row.name not in self.written:
                self.written.add(row.name)
                self.history.write("row", row=msgspec.json.decode(msgspec.json.encode(row)))
        if book.changes and "world" not in self.written:
            self.written.add("world")
            self.history.write("world", world=msgspec.json.decode(msgspec.json.encode(book.world)))

    def texts(self, fresh: bool) -> list[str]:
        """The rules that are met now, each by the digest of its text, written out where it is new."""
        books = [one.book for one in self.ruler.reader.basis]
        if fresh:
            found = [book.rules() for book in books]
        else:
            held = books or ([] if self.head is None else [self.head.book])
            found = [one for book in held for one in (book.alone, book.alone_next) if one is not None]
            found += [] if books else [self.installation]
        out = list[str]()
        for rules in found:
            text = canonical(rules)
            name = hashlib.sha256(text).hexdigest()[:16]
            if name not in self.written:
                self.written.add(name)
                self.history.write("rules", id=name, rules=orjson.loads(text))
            out.append(name)
        return out


def options(doc: str | None) -> argparse.ArgumentParser:
    raw = argparse.RawDescriptionHelpFormatter
    parser = argparse.ArgumentParser(description=doc, formatter_class=raw)
    for name in ("settings", "name", "history"):
        parser.add_argument(f"--{name}", required=True)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--skew-ppm", type=int, default=0)
    parser.add_argument("--wall-ms", type=int, default=0, help="the wall clock apart from the machine's")
    parser.add_argument("--plant", default="")
    return parser


def main() -> int:
    parser = options(__doc__)
    parser.add_argument("--refuse", default="")
    parser.add_argument("--lose-acks-ms", type=int, default=0)
    parser.add_argument("--slow-answers-ms", type=int, default=0)
    parser.add_argument("--retires", action="store_true")
    parser.add_argument("--ramp-pause", default="0:0", help="RUNG:MS, after the last look before it")
    told = parser.parse_args()
    if told.plant:
        from standins.fleet.planted_rules import BUGS

        BUGS[told.plant]()
    return Ruled(told).run()


if __name__ == "__main__":
    sys.exit(main())
