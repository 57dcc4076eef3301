"""`python -m standins.fleet.publisher`: a process that publishes drawn rulebooks as it is told on its input.

An order a line, `WORD SEED [MORE]`, done one after the other through the program's own publishing
(ringshift/lifecycle/publishing.py):

begin           the first version of all;
publish, text, new   a drawn one made from what is in force: lists and amounts, or its text only, or one that
                an older program (`--refuse new`) can't take in;
announce, alone the two steps of a change of `alone`; `alone` at once, where none was announced;
plan            a drawn set of routing changes;
plan_touching   the first time a window, the second time one that begins where the first ends: drains that
                must not meet anywhere;
plan_two_ways   one scope moved, by each publisher to another place: each valid, together not;
plan_slow, plan_long: a long ramp; unplan: a change that stands is withdrawn;
retire          a timeline of a retired operation, whose steps come within seconds;
withdraw        what is proposed is taken back, or the version before published anew;
settle          what stands proposed is led on;
forget READER   the operators say that its process is no more;
die_proposed    `publish`, killed (SIGKILL) once its proposal landed; stop_proposed: stopped there (SIGSTOP,
                the harness wakes it); slow: so long between its look and its proposal that others are first;
end             once what is under way is done;
close READER... forget all of them, end what stands proposed, publish a last version: until it is in force.

Before the first order, and after a kill, a proposal may stand at the keeper: an order finds it as any other
publisher would. What it began, and how it ended, is a line of the history with true times.
"""

from __future__ import annotations

import os
import queue
import signal
import sys
import threading
import time
import tomllib
from collections.abc import Callable
from contextlib import suppress
from functools import partial
from pathlib import Path
from random import Random
from typing import Any

import msgspec

from ringshift.lifecycle.holder import OwnClock
from ringshift.lifecycle.planning import Planning
from ringshift.lifecycle.publishing import Outcome, Publishing
from ringshift.rulebook.bound import MS
from ringshift.rulebook.errand import State
from ringshift.rulebook.version import PublicationError, Stamp, Version
from ringshift.schedule.plan import Terms
from ringshift.schedule.planned import Drained, Moved
from ringshift.schedule.planner import Wish
from ringshift.settings.rules import RulesReading
from ringshift.wire.rules import RulesLink
from standins.fleet.drawn import FIRST, drawn, drawn_rows, ends, row, timeline
from standins.fleet.ruled import History, options

SLOW = 1.5  # seconds
TOUCHING = 1_000 * MS
WALKED_BACK = 2_500 * MS  # a withdrawn change is over by then, wherever there is contact
SHORT = 300_000_000  # ns: a proposal found by the end's order is led on for so long, then taken back
CLOSE = 40_000_000_000


class Publisher:
    def __init__(self, told: Any) -> None:
        settings = tomllib.loads(Path(told.settings).read_text())
        reading = msgspec.convert(settings["rules"], RulesReading)
        clock = OwnClock(time.monotonic_ns(), told.skew_ppm)
        self.told, self.history = told, History(told)
        self.link = RulesLink(settings["leases"]["keepers"], clock.now, reading.answer_within / 1e9)
        self.limit = told.limit_ms * 1_000_000
        self.publishing = Publishing(self.link, reading.terms(), clock.now, self.on, self.pause)
        self.orders: queue.SimpleQueue[str] = queue.SimpleQueue()
        self.die, self.stop, self.slow = False, False, False
        self.digests = dict[Stamp, str]()
        self.words: dict[str, Callable[[Random, list[str]], None]] = {
            "begin": self.begin,
            "settle": self.settle,
            "withdraw": self.withdraw,
            "forget": self.forget,
            "close": self.close,
            "unplan": self.unplan,
            "retire": self.retire,
        }
        for word in ("plan", "plan_two_ways", "plan_touching", "plan_slow", "plan_long"):
            self.words[word] = partial(self.plan, word)
        self.touches = 0  # when the first of two windows that touch begins
        self.terms = Terms.of(reading.terms())

    # What is heard of the program's steps.

    def on(self, kind: str, fields: dict[str, Any]) -> None:
        if kind == "state" and fields["stamp"] is not None:
            self.digests[fields["stamp"]] = fields["digest"]
        if kind == "do" and fields["held"] is not None:
            digest = self.digests.get(fields["stamp"], "")
            if fields["held"]:
                ev = {"put_in_force": "in force", "begin": "in force"}.get(fields["effect"], fields["effect"])
                self.history.write(ev, stamp=fields["stamp"], digest=digest)
        elif kind == "state" and fields["state"] in ("REFUSED", "WITHDRAWN", "IN_FORCE"):
            word = fields["state"].lower().replace("_", " ")
            self.history.write(word, stamp=fields["stamp"], digest=fields["digest"], why=fields["why"])
        elif kind == "state":
            self.history.write("state", state=fields["state"], at=fields["stamp"], why=fields["why"])

    def pause(self, place: str) -> None:
        if place == "after propose" and self.die:
            os.kill(os.getpid(), signal.SIGKILL)
        if place == "after propose" and self.stop:
            self.stop = False
            print("stopped", file=sys.stderr, flush=True)  # the harness wakes it
            os.kill(os.getpid(), signal.SIGSTOP)
        if place == "before propose" and self.slow:
            time.sleep(SLOW)  # what it read is old by now

    # Orders.

    def run(self) -> int:
        threading.Thread(target=self.listen, daemon=True).start()
        print(f"seeking as {self.told.name}", file=sys.stderr, flush=True)
        while order := self.orders.get():
            word, seed, *more = order.split()
            self.history.write("order", word=word, seed=seed)
            random = Random(int(seed))
            try:
                self.words.get(word, partial(self.publish, word))(random, more)
            except (PublicationError, OSError) as wrong:
                self.history.write("not published", why=str(wrong))
        return 0

    def listen(self) -> None:
        for line in sys.stdin:
            if line.startswith(("close ", "end ")):
                with suppress(queue.Empty):
                    while True:
                        self.orders.get_nowait()  # the script is over
            self.orders.put("" if line.startswith("end ") else line.strip())
        self.orders.put("")

    def keep_trying(self, call: Callable[[], Any]) -> Any:
        """For what must be heard of: the keeper may be away."""
        end = time.monotonic() + CLOSE / 1e9
        while True:
            try:
                return call()
            except Exception as wrong:  # whatever a client raises
                if time.monotonic() > end:
                    raise OSError(str(wrong)) from None
                time.sleep(0.1)

    def begin(self, random: Random, more: list[str]) -> None:
        outcome = self.publishing.publish(FIRST, self.told.name, "first", within=CLOSE)
        self.ended(outcome)

    def publish(self, word: str, random: Random, more: list[str]) -> None:
        self.die, self.stop, self.slow = (word == one for one in ("die_proposed", "stop_proposed", "slow"))
        held, end = None, time.monotonic() + self.limit / 1e9
        while held is None and time.monotonic() < end:
            held = self.publishing.ask(self.link.read)
            if held is None:
                self.publishing.wait(self.publishing.every / 1e9)
        if held is None or held.told is None:
            raise OSError("the keeper does not answer")
        book = drawn(word, random, held.told.in_force.book)
        outcome = self.publishing.publish(book, self.told.name, word, within=self.limit)
        self.die = self.stop = self.slow = False
        self.ended(outcome)

    def settle(self, random: Random, more: list[str]) -> None:
        self.ended(self.publishing.settle(self.limit))

    def withdraw(self, random: Random, more: list[str]) -> None:
        self.ended(self.publishing.withdraw(self.told.name, "withdrawn", self.limit))

    # Routing changes and timelines, by the program's own planner.

    def plan(self, word: str, random: Random, more: list[str]) -> None:
        name = f"{self.told.name}-{word}-{random.randrange(10**6)}"
        earliest = time.time_ns() + self.terms.lead + 2_000 * MS
        if word == "plan_touching":
            # Two drains that together leave `o0` nowhere; the second begins where the first ends.
            first = self.touches == 0
            self.touches = self.touches or earliest + 1_000 * MS
            place, start = ("p0", self.touches) if first else ("p1", self.touches + TOUCHING)
            rows = [row(name, Drained(place), start, TOUCHING, operations=["o0"])]
        elif word == "plan_two_ways":
            target = "p1" if self.told.name == "p0" else "p2"
            rows = [row(name, Moved(0.5, "p0", target), earliest, 2_000 * MS, operations=["o1"])]
        elif word in ("plan_slow", "plan_long"):
            lasting, ramp = (5_000, 2_500) if word == "plan_slow" else (14_000, 10_000)
            rows = [
                row(
                    name,
                    Moved(1.0, "p0", "p1"),
                    earliest,
                    lasting * MS,
                    operations=["o1"],
                    ramp_in_ms=ramp,
                    ramp_out_ms=1_000,
                )
            ]
        else:
            rows = drawn_rows(random, name, earliest, self.terms.late)
        self.carry(Wish(tuple(rows)), word)

    def unplan(self, random: Random, more: list[str]) -> None:
        held = self.publishing.ask(self.link.read)
        rows = [] if held is None or held.told is None else held.told.in_force.book.changes
        names = sorted(one.name for one in rows if one.withdrawn is None)
        if names:
            self.carry(Wish(withdrawn=frozenset([random.choice(names)])), "unplan")

    def retire(self, random: Random, more: list[str]) -> None:
        self.carry(Wish(timelines=(timeline(random, time.time_ns()),)), "retire")

    def carry(self, wish: Wish, reason: str) -> None:
        planned = Planning(self.publishing, self.terms).carry(wish, self.told.name, reason, self.limit)
        names = [one.name for one in wish.rows] + sorted(wish.withdrawn)
        if planned.landed:  # the harness waits until all is over
            ended = [time.time_ns() + WALKED_BACK] * len(wish.withdrawn)
            for name, end in zip(names, [*map(ends, wish.rows), *ended], strict=True):
                print(f"over {name} {end}", file=sys.stderr, flush=True)
        self.history.write(
            "planned",
            state=planned.planner.state.name,
            why=planned.planner.why,
            names=names,
            lost=planned.planner.lost,
        )

    # What the operators do beside.

    def forget(self, random: Random, more: list[str]) -> None:
        for name in more:
            try:
                self.link.gone(name)
            except Exception as wrong:  # whatever a client raises: it is forgotten at the end
                raise OSError(str(wrong)) from None

    def close(self, random: Random, more: list[str]) -> None:
        for name in more:
            self.keep_trying(partial(self.link.gone, name))
        last: Version | None = None
        end = time.monotonic() + CLOSE / 1e9
        while last is None and time.monotonic() < end:
            with suppress(PublicationError):
                if self.publishing.settle(SHORT).state is State.LATE:
                    self.ended(self.publishing.withdraw(self.told.name, "the end", self.limit))
            held = self.keep_trying(self.link.read)
            assert held.told is not None
            book = msgspec.structs.replace(held.told.in_force.book, text="the end")
            outcome = self.publishing.publish(book, self.told.name, "the end", within=self.limit)
            self.ended(outcome)
            last = outcome.version if outcome.in_force else None
        if last is not None:
            print(f"closed {last.stamp[0]}.{last.stamp[1]}", file=sys.stderr, flush=True)

    def ended(self, outcome: Outcome) -> None:
        self.history.write(
            "ended",
            state=outcome.state.name,
            why=outcome.why,
            at=None if outcome.version is None else outcome.version.stamp,
        )


def main() -> int:
    parser = options(__doc__)
    parser.add_argument("--limit-ms", type=int, default=4000)
    told = parser.parse_args()
    if told.plant:
        from standins.fleet.planted_rules import BUGS

        BUGS[told.plant]()
    return Publisher(told).run()


if __name__ == "__main__":
    sys.exit(main())
