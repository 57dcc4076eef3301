"""Places in the table, customers beyond their share, and lines that wait by turns: the module alone."""

from __future__ import annotations

from random import Random

from ringshift import interface as face
from ringshift.control.invocation import HELD
from tests.simulation import MS, SimulatedServer, machine, operation

BEAT = 50 * MS


def kept(server: SimulatedServer, wanting: float, seconds: float) -> list[int]:
    """The lives told to unused connections while so many want a core, at each beat."""
    lives = list[int]()
    for beat in range(int(seconds * 20)):
        server.now += BEAT
        gauges = [1.0, wanting, None]
        said = server.controller.decide(
            server.now,
            [server.arrive(patience=1 * MS, unread=0, caller=beat % 800), face.TimerFired(0, gauges)],
        )
        lives += [a.after for a in said if isinstance(a, face.CloseIdle)]
    return lives


def test_a_place_of_one_of_many_callers_is_closed_until_half_the_cores_are_at_the_door() -> None:
    """Unused connections filled the table: 28% of attempts got no connection, and its tax took a third."""
    server = SimulatedServer(machine(cores=2, callers=800), Random(1))
    assert [a.after for a in server.first if isinstance(a, face.CloseIdle)] == [10 * MS]
    server.step([server.arrive(unread=0, patience=None) for _ in range(2)])  # both cores run
    assert 0 not in kept(server, 2.0, 1.0)
    # Where reading and shaking hands is most of the work, a full table turns back at no cost.
    assert 0 in kept(server, 8.0, 12.0)
    # It lets go once cores idle.
    assert kept(server, 0.0, 12.0)[-1] == 10 * MS


def test_a_full_table_is_not_kept_where_those_beyond_their_share_are_refused() -> None:
    """A table does not know customers: kept full it turned back those within their share as well."""
    server = SimulatedServer(
        machine(cores=2, callers=800, fleet=10, customers=(face.Customer("one", 1.0),)), Random(1)
    )
    for _ in range(400):
        server.controller.within.add(server.now, 0.0)
    assert 0 not in kept(server, 8.0, 6.0)


def test_a_customer_beyond_its_share_waits_for_an_open_door_and_is_told_to_give_up() -> None:
    """One customer at three times its share was let in whenever the line was empty for a moment."""
    many, few = face.Customer("many", 5.0), face.Customer("few", 5.0)
    server = SimulatedServer(machine(cores=2, fleet=5, customers=(many, few)), Random(1))
    door = server.controller
    for _ in range(6):
        server.step([server.arrive(patience=None, unread=0, customer=0)])
        server.step([server.finish(s) for s in server.of("running")], 5 * MS)
    open_, shut = 1.0, 0.9
    for share, customer, turned in ((open_, 0, False), (shut, 0, True), (shut, 1, False)):
        door.open = share
        said = server.step([server.arrive(patience=None, unread=0, customer=customer, rank=0.5)])
        refused = [a for a in said if isinstance(a, face.Throttle)]
        assert bool(refused) is turned and all(a.give_up for a in refused)
        server.step([server.finish(s) for s in server.of("running")], 5 * MS)


def test_a_line_waits_only_for_what_the_turns_of_others_let_go_before_it() -> None:
    """A short objective's line was thought to wait a turn of each other line: half of it was turned away."""
    ops = (operation("long", objective=3300), operation("short", objective=1000))
    server = SimulatedServer(machine(*ops, cores=2), Random(1))
    for _ in range(5):
        server.step([server.arrive(0, patience=None, unread=0, rank=0.9)])
    long, short = server.controller.lines
    short.work += 1.0  # as when one arrives
    core = short.core.mean(server.now)
    assert len(long.queue) == 3 and server.controller.wait(short) <= 2 * core
    assert server.controller.level(short) == 0.0 < server.controller.wait(short)


def test_one_held_is_no_line_where_nothing_worth_more_can_come() -> None:
    """On two cores one held run took half of a patience, and equals were turned away for equals."""
    ops = (operation("low", value=1.0, objective=1000), operation("high", value=5.0, objective=1000))
    server = SimulatedServer(machine(*ops, cores=2), Random(1))
    for line in server.controller.lines:
        for _ in range(40):
            line.run.add(server.now, 500.0 * MS)
            line.core.add(server.now, 500.0 * MS)
    server.step([server.arrive(1, patience=None, unread=0, rank=0.9) for _ in range(2)])
    low, high = server.controller.lines
    for line in (low, high):
        server.controller.count[HELD] += 1
        line.work += 1.0
        assert (server.controller.level(line) > 0) is (line is low)
        line.work -= 1.0
        server.controller.count[HELD] -= 1


def test_nothing_begins_that_would_stand_before_its_call() -> None:
    """With the dependency slow two of five begun stood before their call and failed there, work lost."""
    ops = (operation("calls", calls=True), operation("plain"))
    server = SimulatedServer(machine(*ops, cores=2, below=face.Below.SHARED, share=1.0), Random(1))
    for _ in range(4):
        news = [face.CallWanted(s.news.inv) for s in server.of("running")]
        for s in server.of("running"):
            s.state = "at call"
        server.step([*news, server.arrive(0, patience=None, unread=0, rank=0.9)])
    assert len(server.controller.at_call) > server.controller.call_cap
    server.step([server.arrive(op, patience=None, unread=0, rank=0.9) for op in (0, 1)])
    assert [s.op.name for s in server.of("running")] == ["plain"] and server.of("held")[-1].op.name == "calls"
    server.now += 100 * MS
    server.step([server.end_call(server.of("calling")[0], face.Outcome.SUCCEEDED)])
    assert server.controller.wait(server.controller.lines[0]) >= server.controller.call_wait() > 0
