"""Several planners' processes against one keeper, with faults between them: what lands never contradicts.

Each case has a keeper of its own; a few are played side by side. After each, whatever the planners were told
is compared with the book in force.
"""

from __future__ import annotations

import signal
from functools import partial

import pytest

from standins.fleet.proxy import DOWN, UP
from tests.schedule.in_service import Seen, in_service
from tests.schedule.stage import Stage, drain, move, played
from tests.side_by_side import results_of


def one_of_two(stage: Stage) -> None:
    """Both judged their set before either proposed: stopped there, woken one after the other."""
    a = stage.start("a", move(0.5), 0, "--at", "before propose", "--stop")
    b = stage.start("b", drain("south"), 600, "--at", "before propose", "--stop")
    a.stopped.wait()
    b.stopped.wait()
    b.wake()
    b.end()
    a.wake()
    a.end()
    assert (a.state, b.state) == ("CONTRADICTS", "LANDED"), (a.told, b.told)
    assert a.told["lost"] == 1 and stage.standing() == ["b"]
    first = stage.now + 4_200 * 1_000_000_000
    assert a.told["against"]["rule"] == "INTO_DRAINED" and a.told["against"]["changes"] == ["a", "b"]
    assert abs(a.told["against"]["first_ns"] - first) < 1_000  # a document's instants are whole microseconds


def at_once(stage: Stage) -> None:
    stage.silent_reader()
    two = [stage.start("a", move(0.5)), stage.start("b", drain("south"), 600)]
    stage.ended()
    assert sorted(one.state for one in two) == ["CONTRADICTS", "LANDED"], [one.told for one in two]


def killed_after_proposing(stage: Stage) -> None:
    stage.silent_reader()
    a = stage.start("a", move(0.5), 0, "--at", "after propose", "--kill")
    assert a.process.wait() == -signal.SIGKILL
    b = stage.start("b", drain("south"), 600)
    c = stage.start("c", move(0.25), 7_200)
    stage.ended()
    # What it proposed stands at the keeper, and whoever plans next leads it on first.
    assert (b.state, c.state) == ("CONTRADICTS", "LANDED") and stage.standing() == ["a", "c"]


def killed_before_proposing(stage: Stage) -> None:
    a = stage.start("a", move(0.5), 0, "--at", "before propose", "--kill")
    assert a.process.wait() == -signal.SIGKILL
    b = stage.start("b", drain("south"), 600)
    stage.ended()
    assert b.state == "LANDED" and stage.standing() == ["b"] and a.state == "killed"


def stopped_with_its_proposal_led_on(stage: Stage) -> None:
    """Its proposal is put in force and superseded by others while it is stopped: it has landed."""
    stage.silent_reader()
    a = stage.start("a", move(0.5), 0, "--at", "after propose", "--stop")
    a.stopped.wait()
    b = stage.start("b", move(0.25))
    b.end()
    a.wake()
    stage.ended()
    assert (a.state, b.state) == ("LANDED", "LANDED") and stage.standing() == ["a", "b"]


def six_that_fit(stage: Stage) -> None:
    stage.silent_reader()
    six = [stage.start(f"s{n}", move(0.1), n * 60) for n in range(6)]
    stage.ended()
    assert all(one.state == "LANDED" for one in six) and len(stage.standing()) == 6


def two_of_five_fit(stage: Stage) -> None:
    five = [stage.start(f"s{n}", move(0.4), n * 60) for n in range(5)]
    stage.ended()
    assert sorted(one.state for one in five) == ["CONTRADICTS"] * 3 + ["LANDED"] * 2
    assert len(stage.standing()) == 2


def answers_lost(stage: Stage) -> None:
    """What one writes arrives, and no answer comes back, for longer than it waits for one."""
    a = stage.start("a", move(0.5), 0, "--at", "before propose", "--stop")
    a.stopped.wait()
    stage.proxies[0].faults.blackhole = {DOWN}
    a.wake()
    b = stage.start("b", drain("south"), 600)
    b.end()
    stage.proxies[0].faults.blackhole = set()
    stage.proxies[0].cut()
    stage.ended()
    assert sorted((a.state, b.state)) == ["CONTRADICTS", "LANDED"], (a.told, b.told)


def asks_lost_and_a_cut_in_the_middle(stage: Stage) -> None:
    a = stage.start("a", move(0.5), 0, "--at", "before propose", "--stop")
    a.stopped.wait()
    stage.proxies[0].faults.blackhole = {UP}
    a.wake()
    b = stage.start("b", move(0.25), 600)
    stage.proxies[1].faults.cut_mid = True
    b.end()
    stage.proxies[0].faults.blackhole = set()
    stage.proxies[0].cut()
    stage.ended()
    assert (a.state, b.state) == ("LANDED", "LANDED") and stage.standing() == ["a", "b"]


def keeper_restarted(stage: Stage) -> None:
    stage.silent_reader()
    a = stage.start("a", move(0.5), 0, "--at", "after propose", "--stop")
    a.stopped.wait()
    b = stage.start("b", drain("south"), 600)
    stage.restart_keeper()
    a.wake()
    stage.ended()
    assert (a.state, b.state) == ("LANDED", "CONTRADICTS"), (a.told, b.told)


def withdrawn_and_its_place_given_on(stage: Stage) -> None:
    """Withdrawn long before its start, its place is free for the next; its name as well."""
    assert stage.start("a", move(0.5)).end() == 0
    assert stage.start("", "", withdraw="a").end() == 0
    assert stage.standing() == [] and [one.name for one in stage.book().changes] == ["a"]
    b = stage.start("b", drain("south"), 600)
    assert b.end() == 0 and stage.standing() == ["b"], b.told


def a_withdrawal_and_a_plan_on_it_at_once(stage: Stage) -> None:
    """One plans a dependant while the other withdraws what it requires."""
    assert stage.start("a", move(0.5)).end() == 0
    gone = stage.start("", "", 0, "--at", "before propose", "--stop", withdraw="a")
    gone.stopped.wait()
    b = stage.start("b", move(0.5), 0)
    assert b.end() == 0
    gone.wake()
    assert gone.end() == 0 and gone.told["lost"] == 1
    assert stage.standing() == ["b"] and len(stage.book().changes) == 2


pytestmark = pytest.mark.few
CASES = [
    one_of_two,
    at_once,
    killed_after_proposing,
    killed_before_proposing,
    six_that_fit,
    two_of_five_fit,
    stopped_with_its_proposal_led_on,
    answers_lost,
    asks_lost_and_a_cut_in_the_middle,
    keeper_restarted,
    withdrawn_and_its_place_given_on,
    a_withdrawal_and_a_plan_on_it_at_once,
]


def without_compare(stage: Stage) -> None:
    """As `one_of_two`, but the one that lost proposes what it judged all the same."""
    a = stage.start("a", move(0.5), 0, "--at", "judged", "--stop", "--plant", "no_compare")
    a.stopped.wait()
    b = stage.start("b", drain("south"), 600)
    b.end()
    a.wake()
    stage.ended()


SEEN = Seen()


def backends_in_service(stage: Stage) -> None:
    in_service(stage, SEEN)


@pytest.fixture(scope="module")
def cases(tmp_path_factory: pytest.TempPathFactory) -> dict[str, str]:
    folder = tmp_path_factory.mktemp("planners")
    cases = (backends_in_service, *CASES, without_compare)
    return results_of({case.__name__: partial(played, case, folder / case.__name__) for case in cases})


@pytest.mark.parametrize("name", [case.__name__ for case in CASES])
def test_what_lands_is_what_was_told_and_contradicts_nothing(name: str, cases: dict[str, str]) -> None:
    assert cases[name] == ""


def test_a_planner_without_the_compare_is_found(cases: dict[str, str]) -> None:
    assert "'state': 'LANDED'" in cases["without_compare"]


def test_backends_carry_out_what_landed_through_cuts_and_a_withdrawal(cases: dict[str, str]) -> None:
    assert cases["backends_in_service"] == ""
    SEEN.check()
