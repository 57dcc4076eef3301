"""After each kind of trouble a backend with room is ready, advertises fully and takes what comes again.

Each trouble lasts five seconds at a backend that is offered 0.4 of what it can do before and after.
"""

from __future__ import annotations

from collections.abc import Callable
from random import Random

import pytest

from ringshift import interface as face
from tests.crossings.fleet import STEP, Backend, Cold
from tests.simulation import MS, SimulatedServer, machine, operation

S = 1000 * MS
WORK = 300 * MS
LASTS = 5 * S
LOAD = 0.4


class Play:
    """One warm backend before callers that ask at a rate, whatever it tells."""

    def __init__(self, advert: face.Advert) -> None:
        operations = [operation("look"), operation("order", face.Effect.NON_IDEMPOTENT)]
        self.m = machine(*operations, cores=6, advert=advert, callers=3, memory_kb=200_000.0)
        self.backend, self.chance = Backend(Cold(self.m), 1, slow=False), Random(5)
        self.now, self.offered = 0, 0
        self.go_on(5 * S)

    def go_on(self, span: int, load: float = LOAD, unread: int = 0) -> None:
        until = self.now + span
        while self.now < until:
            self.now += STEP
            self.offer(load * STEP, unread)
            self.backend.decide(self.now, WORK)

    def offer(self, work: float, unread: int = 0) -> None:
        mean = work * self.m.cores / WORK
        for _ in range(int(mean) + (self.chance.random() < mean % 1)):
            self.offered += 1
            self.backend.arrive(self.now, self.chance.randrange(3), 1.0, True, self.chance.random(), unread)

    def well(self) -> bool:
        """Ready, none turned away in a second, and told in full: as a chance, all but the tenth that is not
        told anew; as credits, at least as many in all as there are cores."""
        offered, taken = self.offered, len(self.backend.taken)
        self.go_on(S)
        everything = self.offered - offered == len(self.backend.taken) - taken
        credit = self.m.advert is face.Advert.CREDIT
        full = 3 * self.backend.value >= self.m.cores if credit else self.backend.value >= 0.9
        return self.backend.good and full and everything

    def back(self) -> int:
        """Within how long after now it was well, in whole seconds."""
        seconds = 0
        while not self.well():
            seconds += 1
            assert seconds < 30
        return seconds


def burst(play: Play) -> None:
    play.go_on(LASTS, load=4.0)


def others_drain(play: Play) -> None:
    """Their work comes here as well, and goes to their successors afterwards."""
    play.go_on(LASTS, load=1.3)


def link_lost(play: Play) -> None:
    """No run's end and no gauge is heard; all are told at once as the link is back."""
    play.backend.linked = False
    play.go_on(LASTS)
    play.backend.linked = True


def paused(play: Play) -> None:
    """What came meanwhile is read at once, the longest unread first."""
    for left in range(LASTS, 0, -STEP):
        play.offer(LOAD * STEP, left)
    play.now += LASTS
    for inv in list(play.backend.running):
        play.backend.running[inv] = 0.0  # the machine's cores went on
    play.backend.decide(play.now, WORK)


def runs_err(play: Play) -> None:
    """As where something that all runs need is lost."""
    play.backend.outcome = face.Outcome.ERRORED
    play.go_on(LASTS)
    play.backend.outcome = face.Outcome.SUCCEEDED


def slowed(play: Play) -> None:
    play.backend.slow, play.backend.cold = True, Cold(machine(cores=6, cold_speed=0.25, ramp=10**15))
    play.go_on(LASTS)
    play.backend.slow = False


@pytest.mark.parametrize("advert", [face.Advert.CREDIT, face.Advert.WEIGHT])
@pytest.mark.parametrize(
    "trouble, seconds",
    [(burst, 5), (others_drain, 5), (link_lost, 5), (paused, 5), (runs_err, 12), (slowed, 8)],
)
def test_a_backend_with_room_takes_all_again_within_the_time_stated(
    trouble: Callable[[Play], None], seconds: int, advert: face.Advert
) -> None:
    play = Play(advert)
    assert play.well()
    trouble(play)
    assert play.back() <= seconds


@pytest.mark.parametrize("lasts", [5, 10])
def test_a_backend_whose_dependency_is_well_again_is_ready_within_fifteen_seconds(lasts: int) -> None:
    """While it is not ready nobody sends: what was seen of the loss has to fade before it tries again."""
    server, good = (
        SimulatedServer(machine(operation(calls=True), below=face.Below.SHARED, cores=6), Random(1)),
        True,
    )

    def go_on(seconds: float, outcome: face.Outcome, load: bool) -> None:
        nonlocal good
        for _ in range(round(seconds * 20)):
            news: list[face.Input] = [server.arrive(unread=0, patience=None)] if load else []
            news += [server.end_call(one, outcome) for one in server.of("calling")]
            news += [server.finish(one, face.Outcome.STOPPED) for one in server.of("at call") if one.answered]
            for one in server.of("running"):
                if one.call is None:
                    one.state = "at call"
                    news.append(face.CallWanted(one.news.inv))
                else:
                    news.append(server.finish(one))
            for action in server.step(news, 50 * MS):
                good = action.good if isinstance(action, face.Readiness) else good

    go_on(3, face.Outcome.SUCCEEDED, True)
    go_on(lasts, face.Outcome.UNREACHABLE, True)
    assert not good
    seconds = 0
    while not good:
        go_on(1, face.Outcome.SUCCEEDED, False)
        seconds += 1
        assert seconds <= 15
    go_on(5, face.Outcome.SUCCEEDED, True)
    assert good
