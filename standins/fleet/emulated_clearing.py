"""A few backends of one retirement, the rulebook's keys beside it, and one holder, in emulated time.

The program's own parts and clients (ringshift/lifecycle/retiring.py, ramping.py, clearing.py) on a keeper's
store in this process; what is made up is when each is asked, who has no contact, and what is in force. Every
backend is a reader of the rulebook, and tells of no version but that in force.
"""

from __future__ import annotations

from collections.abc import Iterable
from random import Random

from ringshift.lifecycle.clearing import Clearing
from ringshift.lifecycle.holder import Hold
from ringshift.lifecycle.ramping import Ramping
from ringshift.lifecycle.retiring import Line
from ringshift.retirement.conditions import S
from ringshift.retirement.shed import sheds
from ringshift.retirement.timeline import Timeline
from ringshift.rulebook.document import Rulebook, Rules, digest
from ringshift.rulebook.version import Effect, Row, Version
from standins.keeper import clients

DAY = 86_400 * S
OTHER = 1 << 40  # a caller of the successor that nothing else is about


class Fleet:
    """`now`: of all clocks, ns since the epoch. `verdicts`: (key, edition) -> the sets of `callers` that
    backends turned away by it."""

    def __init__(self, timeline: Timeline, now: int, callers: Iterable[int], *names: str) -> None:
        self.timeline, self.now, self.callers, self.number = timeline, now, tuple(callers), 0
        self.verdicts = dict[tuple[int, int], set[frozenset[int]]]()
        self.link, self.away = clients.Inside(), set[str]()
        self.rules, self.lines = clients.Rules(self.link), dict[str, Line]()
        self.rules.begin(self.version())
        for name in names:
            self.join(name, timeline)
        self.lead(timeline)
        self.publish(timeline)

    def join(self, name: str, *timelines: Timeline) -> None:
        self.lines[name] = Line(self.timeline, name, 10 * S, self.now)
        self.lines[name].listed(timelines)

    def version(self, *timelines: Timeline) -> Version:
        self.number += 1
        book = Rulebook(alone=Rules(), timelines=list(timelines))
        return Version((0, self.number), book, digest(book))

    def propose(self, *timelines: Timeline) -> None:
        self.confirm()
        assert self.rules.do(Effect("propose", self.version(*timelines)), self.rules.read())

    def publish(self, *timelines: Timeline) -> None:
        """The next version, in force; who is away goes on by the one before, counted as absent."""
        self.propose(*timelines)
        self.confirm()
        held = self.rules.read()
        assert held.told is not None and held.told.proposed is not None
        ended = {name: held.rows[name].n for name in self.away if name in held.revisions}
        effect = Effect("put_in_force", held.told.proposed, frozenset(held.revisions), ended)
        assert self.rules.do(effect, held)
        for name in self.lines.keys() - self.away:
            self.lines[name].listed(timelines)
        self.confirm()
        self.work.timeline = timelines[0] if timelines else None

    def confirm(self) -> None:
        """Each reader with contact names the version in force as the lowest that it goes by."""
        told = self.rules.read().told
        assert told is not None
        row = Row(1, high=told.in_force.mark, floor=told.in_force.stamp)
        for name in self.lines.keys() - self.away:
            self.rules.confirm(name, row)

    def lead(self, timeline: Timeline | None) -> None:
        """Another holder takes the lease; None: to lead out."""
        _, token = self.link.seized(self.timeline.name)
        self.work = Ramping(
            self.timeline.name, timeline, "n1", self.link, None, lambda: self.now, S, self.rules
        )
        self.work.taken(token, self.now)
        self.hold = Hold(token, 0, lambda: True, lambda: self.now, lambda kind, **more: None)

    def step(self) -> None:
        self.work.step(self.hold)

    def run(self, seconds: int, each: int = 1) -> None:
        for _ in range(seconds // each):
            self.now += each * S
            self.refresh()
            self.step()

    def refresh(self) -> None:
        for name, line in self.lines.items():
            if name not in self.away and line.timelines:
                row = line.row(self.now)
                answer = self.link.put(line.name, line.process, row, line.created, line.holding)
                line.answered(answer, line.process, self.now, self.now)
            decided = line.follower.acts_by
            if line.timelines and decided.key:
                self.verdicts.setdefault((decided.key, decided.edition), set()).add(self.shed(name))

    def shed(self, name: str) -> frozenset[int]:
        line = self.lines[name]
        return frozenset(one for one in self.callers if sheds(line.share(self.now), line.lot(one, self.now)))

    def sheds(self) -> list[frozenset[int]]:
        return [self.shed(name) for name in self.lines]

    def warn(self, callers: Iterable[int], answers: int, over: int) -> None:
        """Each to the floor, by one backend that has contact."""
        line = self.lines[min(self.lines.keys() - self.away)]
        for caller in callers:
            for place in range(answers):
                line.warned.handed(caller, self.now - over + over * place // (answers - 1))

    def served(self, times: int) -> None:
        """By the successor, so that the ramp may move on."""
        for line in self.lines.values():
            for _ in range(times):
                line.tally.succeeded(self.now, OTHER)

    def ended(self, name: str) -> None:
        """Its process, with its last word as a reader."""
        self.rules.gone(name)
        del self.lines[name]

    def back(self, name: str, *timelines: Timeline) -> None:
        """It has contact again, and with it the version in force."""
        self.away.discard(name)
        self.confirm()
        self.lines[name].listed(timelines)

    def swept(self) -> list[str]:
        """What a process finds to be led out at this instant, led out at once."""
        begun = list[str]()
        Clearing(self.link, self.rules, set, begun.append, lambda: self.now, Random(1)).look()
        for _ in begun:
            self.lead(None)
            self.step()
            assert self.work.done
        return begun

    def keys(self) -> set[bytes]:
        """Of this retirement, without the lease."""
        name = f"/{self.timeline.name}".encode()
        return {one for one in self.link.store.kvs if name in one and b"/tasks/" not in one}
