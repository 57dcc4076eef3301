"""Several backends, publishers and a keeper, faults between them: no two act on contradicting rules."""

from __future__ import annotations

import shutil
from collections.abc import Callable
from functools import partial
from pathlib import Path
from typing import Any

import orjson
import pytest

from standins.checkers.leases import lines
from standins.checkers.rules import MS, Verdict, check
from standins.fleet.harness import Fault
from standins.fleet.rules import RulesFleet
from standins.fleet.rulescript import RulesScript, draw
from tests.side_by_side import results_in_folders, results_of

pytestmark = pytest.mark.few

SCRIPTS = 30


def played(script: RulesScript, folder: Path, plant: str = "") -> Verdict:
    RulesFleet(script, folder, plant).play()
    return check(folder)


def test_thirty_scripts_drawn_from_seeds_break_no_promise(tmp_path: Path) -> None:
    seeds = range(1, SCRIPTS + 1)
    verdicts = results_of({seed: partial(played, draw(seed), tmp_path / str(seed)) for seed in seeds})
    wrong = {seed: verdict.wrong for seed, verdict in verdicts.items() if verdict.wrong}
    assert wrong == {}, f"played again by RulesScript.read of {tmp_path}/SEED/script.toml"
    # Not vacuous: after its faults every script came to one last version everywhere, and there were switches.
    assert all(verdict.settled for verdict in verdicts.values()), {
        seed for seed, verdict in verdicts.items() if not verdict.settled
    }
    assert all(verdict.in_force >= 2 and verdict.switches >= 1 for verdict in verdicts.values())
    assert sum(verdict.alone for verdict in verdicts.values()) > 0


def hard(*orders: str, faults: list[Fault] | None = None, **more: Any) -> RulesScript:
    """Slot 0 publishes; slots 1 to 4 are backends (with two publishers, 2 to 5)."""
    script = RulesScript(3, holders=5, seconds=5.5, limit_ms=6000, orders=list(orders), faults=faults or [])
    for name, value in more.items():
        setattr(script, name, value)
    return script


PLANS: dict[str, Any] = {"life_ms": 1500, "seconds": 7.5, "wall_ms": [0, 500, 0, -500, 0]}
RETIRES: dict[str, Any] = {"retires": True, "seconds": 4.0, "until_edition": 3}
SWITCHES = ("1200 0 publish 11", "4200 0 publish 12")
STALLED = hard("200 0 retire 0", ramp_pause="1:2600", **RETIRES)
EDGE = 10_000  # ppm: the bound itself
HARD = {
    "a third cut off, healed just before its deadline": hard(
        *SWITCHES, faults=[Fault(1000, "partition", 0, 1950)], holders=7
    ),
    "stopped for twice its life across a switch": hard(
        *SWITCHES, faults=[Fault(1000, "stop", 2, 5000)], seconds=6.5
    ),
    "publisher killed between proposing and putting in force": hard(
        "800 0 die_proposed 21", "3000 0 settle 0", "3500 0 publish 22"
    ),
    "two publishers at once": hard(
        "800 0 slow 31",
        "900 1 publish 32",
        "3000 0 publish 33",
        "3000 1 publish 34",
        "3500 1 publish 35",
        holders=6,
        publishers=2,
    ),
    "keeper restarted": hard(*SWITCHES, faults=[Fault(1230, "keeper_kill", -1, 500)]),
    "keeper restored from an older copy": hard(
        "1000 0 publish 41",
        "1700 0 publish 42",
        "4000 0 publish 43",
        faults=[Fault(700, "keeper_copy", -1, 0), Fault(3000, "keeper_restore", -1, 100)],
    ),
    "keeper's disk put back as it was": hard(
        "1000 0 publish 44",
        "1700 0 publish 45",
        "4000 0 publish 46",
        faults=[Fault(700, "keeper_copy", -1, 0), Fault(3000, "keeper_rollback", -1, 100)],
    ),
    "acknowledgement lost, publication heard": hard(
        *SWITCHES, lose_acks_ms=[0, 4000, 0, 900, 0], seconds=6.0
    ),
    "answers lost one way": hard(
        *SWITCHES, faults=[Fault(1000, "blackhole_down", 1, 3500), Fault(1100, "blackhole_up", 2, 3500)]
    ),
    "a publisher's clock fast, a backend's slow": hard(
        *SWITCHES, faults=[Fault(1000, "blackhole", 2, 3000)], skew_ppm=[EDGE, EDGE, -EDGE, -EDGE, EDGE]
    ),
    "a publisher's clock slow, a backend's fast": hard(
        *SWITCHES, faults=[Fault(1000, "blackhole", 2, 3000)], skew_ppm=[-EDGE, -EDGE, EDGE, EDGE, -EDGE]
    ),
    "six in ten replaced within 7 s during a switch": hard(
        "1500 0 publish 51",
        "3000 0 publish 52",
        "4500 0 publish 53",
        faults=[Fault(1000, "roll", 0, 5000)],
        holders=6,
        seconds=7.0,
    ),
    "a version that half of the fleet refuses": hard("800 0 new 61", "2500 0 publish 62", refuse=["new", ""]),
    "alone changed in two steps": hard("800 0 announce 71", "2500 0 alone 72", "4000 0 alone 73"),
    "alone announced while one is cut off": hard(
        "1000 0 announce 74",
        "2500 1 withdraw 0",
        faults=[Fault(700, "blackhole", 2, 6000)],
        holders=6,
        publishers=2,
    ),
    "head starts, the keeper away": hard(
        *SWITCHES,
        faults=[
            Fault(2400, "keeper_kill", -1, 2500),
            Fault(2500, "kill", 1, 200),
            Fault(2600, "kill", 2, 200),
        ],
        disk=True,
        seconds=6.0,
    ),
    "two planners at once": hard(
        "500 0 plan_two_ways 91", "500 1 plan_two_ways 92", holders=6, publishers=2, **PLANS
    ),
    "withdrawal during a ramp": hard("500 0 plan_long 93", "6800 0 unplan 0", **PLANS),
    "a change armed while its backend starts cold": hard(
        "500 0 plan_slow 94",
        faults=[Fault(4500, "kill", 1, 200), Fault(4510, "keeper_kill", -1, 3200)],
        **PLANS,
    ),
    "the ramp's holder stalled past its lease in a step": STALLED,
    "a caller that changes backend at each try": hard("200 0 retire 0", **RETIRES),
    "the count of warned callers lost with a crash": hard(
        "200 0 retire 0", faults=[Fault(2000, "kill", 1, 200), Fault(2100, "kill", 2, 200)], **RETIRES
    ),
}


@pytest.fixture(scope="module")
def hard_cases(tmp_path_factory: pytest.TempPathFactory) -> dict[str, tuple[Verdict, Path]]:
    return results_in_folders(played, HARD, tmp_path_factory.mktemp("hard"))


@pytest.mark.parametrize("name", HARD)
def test_a_hard_case_keeps_the_promise_and_the_fleet_agrees_again(
    name: str,
    hard_cases: dict[str, tuple[Verdict, Path]],
) -> None:
    verdict, folder = hard_cases[name]
    assert verdict.right, (verdict.wrong, folder)
    assert verdict.settled and verdict.switches >= 3, (verdict, folder)
    # The first version and the last are of every script; between them the case's own.
    assert verdict.in_force >= 3 - (name == "alone announced while one is cut off"), (verdict, folder)


def test_what_a_hard_case_is_about_did_happen(hard_cases: dict[str, tuple[Verdict, Path]]) -> None:
    found = {name: verdict for name, (verdict, _) in hard_cases.items()}
    assert found["stopped for twice its life across a switch"].alone >= 1
    assert found["a version that half of the fleet refuses"].refused >= 1
    for name in ("keeper restored from an older copy", "keeper's disk put back as it was"):
        assert found[name].highest[0] >= 1  # a new epoch
    assert found["alone announced while one is cut off"].withdrawn >= 1
    for name in (
        "stopped for twice its life across a switch",
        "acknowledgement lost, publication heard",
        "a publisher's clock fast, a backend's slow",
        "a publisher's clock slow, a backend's fast",
        "a third cut off, healed just before its deadline",
        "answers lost one way",
    ):
        # A silent reader was waited for: longer than it may act, or until it was heard again.
        assert max(found[name].publications) > 1000 * MS, (name, found[name])
    for name in (
        "a publisher's clock fast, a backend's slow",
        "a publisher's clock slow, a backend's fast",
        "answers lost one way",
    ):
        assert found[name].alone >= 1, name  # cut off for longer than a reading lease
    assert found["six in ten replaced within 7 s during a switch"].backends >= 5 + 3


def told(folder: Path, slot: str, ev: str) -> list[dict[str, Any]]:
    return [line for line in lines(folder / f"{slot}.jsonl") if line["ev"] == ev]


def test_publishers_and_processes_of_the_hard_cases_did_what_they_are_named_for(
    hard_cases: dict[str, tuple[Verdict, Path]],
) -> None:
    _, killed = hard_cases["publisher killed between proposing and putting in force"]
    of = {tuple(line["stamp"]): line["pid"] for line in told(killed, "p0", "propose")}
    led = {tuple(line["stamp"]): line["pid"] for line in told(killed, "p0", "in force")}
    assert any(stamp in led and led[stamp] != pid for stamp, pid in of.items()), (of, led)
    _, two = hard_cases["two publishers at once"]
    assert "BEATEN" in {line["state"] for slot in ("p0", "p1") for line in told(two, slot, "ended")}
    _, restarted = hard_cases["keeper restarted"]
    (dead,) = [fault["t"] for fault in lines(restarted / "faults.jsonl") if fault["kind"] == "keeper_kill"]
    unheard = 0
    for path in restarted.glob("h*.jsonl"):
        heard = {(line["pid"], line["n"]) for line in told(restarted, path.stem, "answered")}
        unheard += sum(
            dead < line["t"] < dead + 500 * MS and (line["pid"], line["n"]) not in heard
            for line in told(restarted, path.stem, "confirm")
        )
    assert unheard > 0
    for name in ("head starts, the keeper away", "a change armed while its backend starts cold"):
        _, folder = hard_cases[name]
        acts = told(folder, "h1", "acts")
        anew = [line for line in acts if line["pid"] != acts[0]["pid"]]
        assert anew and not anew[0]["fresh"] and any(line["fresh"] for line in anew), name
    _, started = hard_cases["head starts, the keeper away"]
    acts = told(started, "h1", "acts")
    first = next(line for line in acts if line["pid"] != acts[0]["pid"])
    assert len(first["parts"]) >= 2 and not first["stamps"]  # its disk's `alone` met with the installation's


def test_changes_and_retirements_of_the_hard_cases_did_happen(
    hard_cases: dict[str, tuple[Verdict, Path]],
) -> None:
    found = {name: verdict for name, (verdict, _) in hard_cases.items()}
    two = found["two planners at once"].changes
    assert (two.landed, two.against) == (1, 1) and two.begun >= 1, two
    back = found["withdrawal during a ramp"].changes
    assert back.landed == 2 and back.begun >= 1, back
    (most,), (spare,) = back.most.values(), back.spare.values()
    assert 0 < most < 1_000_000 and spare > 1000 * MS, back  # never in full, and gone long before its end
    assert found["a change armed while its backend starts cold"].changes.begun >= 2
    stalled = found["the ramp's holder stalled past its lease in a step"].shedding
    assert stalled.late >= 1 and stalled.shed > 0, stalled  # and its late step did not land: it is right
    wanders = found["a caller that changes backend at each try"].shedding
    assert wanders.both > 0 and wanders.editions >= 2, wanders
    lost = found["the count of warned callers lost with a crash"].shedding
    assert lost.shed > 0 and lost.warned > 0, lost


CUT = Fault(1000, "blackhole", 2, 3000)
PLANTED = {
    # Of the bug: what the checker says, and a script by which it shows.
    "answer_deadline": (
        "past deadline",
        hard(
            "2200 0 publish 81",
            faults=[Fault(2000, "blackhole", 2, 6000)],
            answer_within_ms=1500,
            slow_answers_ms=[0, 0, 700, 0, 0],
            seconds=7.0,
        ),
    ),
    "no_waiting": ("contradiction", hard("1200 0 publish 82", faults=[CUT])),
    "alone_at_once": (
        "contradiction",
        hard(
            "1500 0 alone 83",
            faults=[Fault(800, "blackhole", 2, 11000), Fault(6500, "blackhole", 3, 5000)],
            seconds=10.5,
        ),
    ),
    "no_late": (
        "overlap",
        hard(
            "300 0 plan_touching 86", "800 0 plan_touching 87", **(PLANS | {"wall_ms": [0, 0, 1200, 0, 1200]})
        ),
    ),
    "salted": ("shed and let through", STALLED),
    "counted_early": ("shed early", STALLED),
    "stale_ramp": ("stale step", STALLED),
    "no_compare": ("number used twice", hard("800 0 slow 84", "900 1 publish 85", holders=6, publishers=2)),
}


@pytest.mark.alone
def test_each_planted_bug_is_named_and_the_same_script_without_it_is_right(tmp_path: Path) -> None:
    cases = {bug: partial(played, script, tmp_path / bug, bug) for bug, (_, script) in PLANTED.items()}
    # Of those that share a script, once without.
    same = {
        bug: next(first for first, (_, other) in PLANTED.items() if other == script)
        for bug, (_, script) in PLANTED.items()
    }
    for bug in same.values():
        cases[f"not-{bug}"] = partial(played, PLANTED[bug][1], tmp_path / f"not-{bug}")
    verdicts = results_of(cases)
    for bug, (named, _) in PLANTED.items():
        wrong, without = verdicts[bug].wrong, verdicts[f"not-{same[bug]}"]
        assert any(told.startswith(named) for told in wrong), (bug, wrong)
        assert without.right and without.settled, (bug, without)


def spoilt(folder: Path, to: Path, ev: str, spoil: Callable[[list[dict[str, Any]], int], None]) -> list[str]:
    """What the checker says of a right script whose last line `ev` of a history is spoilt."""
    shutil.copytree(folder, to)
    for path in sorted(to.glob("h*.jsonl")):
        told = lines(path)
        places = [place for place, line in enumerate(told) if line["ev"] == ev]
        if places:
            spoil(told, places[-1])
            path.write_bytes(b"".join(orjson.dumps(line) + b"\n" for line in told))
            return check(to).wrong
    raise AssertionError(f"no history has {ev}")


def otherwise(told: list[dict[str, Any]], last: int) -> None:
    told[last]["mask"] = f"{int(told[last]['mask'], 16) ^ 1:x}"


def lower(told: list[dict[str, Any]], last: int) -> None:
    told.append(told[last] | {"stamps": [[0, 1]], "t": told[-1]["t"] + 1})


def stale(told: list[dict[str, Any]], last: int) -> None:
    told[:] = [line | {"fresh": False} if line["ev"] == "force" else line for line in told]


def late(told: list[dict[str, Any]], last: int) -> None:
    told[:] = [line | {"wall": line["wall"] + 10**13} if line["ev"] == "force" else line for line in told]


@pytest.mark.parametrize(
    ("ev", "spoil", "named"),
    [
        ("acts", otherwise, "judged otherwise"),
        ("acts", lower, "falling"),
        ("force", stale, "begun without contact"),
        ("force", late, "outside its window"),
    ],
)
def test_the_checker_names_what_no_planted_bug_shows(
    ev: str,
    spoil: Callable[[list[dict[str, Any]], int], None],
    named: str,
    tmp_path: Path,
    hard_cases: dict[str, tuple[Verdict, Path]],
) -> None:
    _, folder = hard_cases["withdrawal during a ramp"]
    wrong = spoilt(folder, tmp_path / "spoilt", ev, spoil)
    assert any(told.startswith(named) for told in wrong), wrong


def test_a_script_is_read_as_it_was_written(tmp_path: Path) -> None:
    for seed in range(40):
        script = draw(seed)
        script.write(tmp_path / "script.toml")
        assert RulesScript.read(tmp_path / "script.toml") == script
