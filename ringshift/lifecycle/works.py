"""What is done under a lease: numbered steps at a guarded resource, and gathering records into one store.

Each does the I/O of a task whose decisions lie in ringshift/fleet: what is next, what an answer means. A step
asks `hold.may` right before its one effect; the effect carries the token, and the resource refuses a stale
one.
"""

from __future__ import annotations

import os
import signal
import time

from ringshift.fleet.gathering import Gathering, Portion
from ringshift.fleet.lease import MS
from ringshift.fleet.tasks import Progress
from ringshift.lifecycle.holder import Hold
from ringshift.records.gather import sources
from ringshift.records.portions import look, portion
from ringshift.store.fenced import FencedStore
from ringshift.wire.fenced import FencedLink


class Steps:
    """A task of numbered steps at a resource that speaks the line protocol of ringshift/wire/fenced.py."""

    pace = 20 * MS

    def __init__(self, task: str, name: str, resource: str, timeout_s: float, most: int = 0) -> None:
        self.task, self.name = task, name
        self.link, self.progress, self.done = FencedLink(resource, timeout_s), Progress(most), False
        self.pause: tuple[int, int] | None = None  # (step, ns): a pause after the last look, for fault tests
        self.die = 0  # fault tests: killed after this step's answer, before anything is made of it

    def taken(self, token: int, now: int) -> None:
        self.progress.taken()

    def halted(self) -> None:
        pass

    def step(self, hold: Hold) -> None:
        number = self.progress.next()
        try:
            if number is None:
                if not self.progress.known:
                    self.progress.heard(self.link.last(self.task))
                self.done = self.progress.finished
                return
            # Both read before the last look: a process stopped after it can't make the look seem later.
            at, own = time.monotonic_ns(), hold.now()
            if not hold.may():
                return
            hold.write(
                "step", token=hold.token, step=number, deadline=hold.deadline, looked=at, own_looked=own
            )
            if self.pause is not None and number == self.pause[0]:
                time.sleep(self.pause[1] / 1e9)  # fault tests: a pause after the last look, a GC's or VM's
            accepted, last = self.link.step(self.task, hold.token, number, self.name)
        except (OSError, ValueError, IndexError):
            self.progress.taken()  # the resource is asked again before another step is sent
            raise
        if accepted and self.die and number >= self.die:
            os.kill(os.getpid(), signal.SIGKILL)
        hold.write("stepped", token=hold.token, step=number, accepted=accepted, last=last)
        self.progress.heard(last)

    def close(self) -> None:
        self.link.close()


class Gather:
    """Records of several backends into one store, a portion of one source a step.

    `paths`: files and folders; what appears in a folder later is taken up at the next look. Not `follow`:
    done once every source has been read to its end. `die`: fault tests, as `Steps`."""

    pace = 2 * MS

    def __init__(self, task: str, paths: list[str], store: str, follow: bool = False) -> None:
        self.task, self.paths, self.follow, self.done = task, paths, follow, False
        self.store = FencedStore(store)
        self.plan = Gathering(follow)
        self.die = 0

    def taken(self, token: int, now: int) -> None:
        self.plan.taken()

    def halted(self) -> None:
        pass

    def step(self, hold: Hold) -> None:
        now = time.monotonic_ns()
        if not self.plan.known:
            self.plan.resumed(*self.store.progress(self.task))
        if self.plan.looks_due(now):
            self.plan.looked([look(path) for path in sources(self.paths)], now)
        wanted = self.plan.next(now)
        if wanted is None:
            self.done = self.plan.finished
            return
        self.take(hold, wanted, now)

    def take(self, hold: Hold, wanted: Portion, now: int) -> None:
        try:
            found = portion(wanted)
        except OSError as wrong:
            self.plan.failed(wanted.path, now, str(wrong))
            return
        if found.reached <= wanted.place:
            self.plan.nothing(wanted.path)
            return
        step = self.plan.step + 1
        hold.write(
            "step",
            token=hold.token,
            step=step,
            deadline=hold.deadline,
            looked=time.monotonic_ns(),
            own_looked=hold.now(),
        )
        told = self.store.take(self.task, hold.token, step, wanted, found, hold.may)
        if told is None:
            return  # the last look said no: nothing was written
        hold.write("stepped", token=hold.token, step=step, accepted=told.accepted, last=told.step)
        if told.accepted and self.die and told.step >= self.die:
            os.kill(os.getpid(), signal.SIGKILL)
        if told.accepted:
            self.plan.accepted(wanted, found.reached, now)
        else:
            self.plan.taken()  # somebody else went on: what the store holds must be heard again

    def close(self) -> None:
        self.store.close()
