"""Several members with one budget, faults between them: the dependency never sees more than the whole."""

from __future__ import annotations

from functools import partial
from pathlib import Path

import pytest

from standins.checkers.budgets import Verdict, check, moves
from standins.checkers.leases import S
from standins.fleet.budgets import BudgetFleet, BudgetScript, draw
from standins.fleet.harness import Fault, Script
from tests.side_by_side import results_in_folders, results_of

SCRIPTS, AT_ONCE = 30, 10


def played(script: BudgetScript, folder: Path, plant: str = "") -> Verdict:
    BudgetFleet(script, folder, plant).play()
    return check(folder)


def test_thirty_scripts_drawn_from_seeds_never_exceed_the_whole(tmp_path: Path) -> None:
    seeds = range(1, SCRIPTS + 1)
    cases = {seed: partial(played, draw(seed), tmp_path / str(seed)) for seed in seeds}
    verdicts = results_of(cases, AT_ONCE)
    wrong = {seed: verdict.wrong for seed, verdict in verdicts.items() if verdict.wrong}
    assert wrong == {}, f"played again by BudgetScript.read of {tmp_path}/SEED/script.toml"
    # Not vacuous: in most scripts shares were granted, and in some the whole was in use.
    assert sum(verdict.granted > 0 for verdict in verdicts.values()) >= SCRIPTS * 2 // 3
    assert any(verdict.most >= draw(seed).whole for seed, verdict in verdicts.items())


def wanting(faults: list[Fault], holders: int = 4, **more: object) -> BudgetScript:
    """Members that all want everything, of a whole that none of them can have; the first divides it."""
    script = BudgetScript(
        3, holders=holders, seconds=14.0, faults=faults, demand=[1000], ledger=True, first_holds=True
    )
    for name, value in more.items():
        setattr(script, name, value)
    return script


HARD = {
    "a member that lies about its want": wanting([], lie=[100.0, 1.0, 1.0, 1.0]),
    "the divider stalled past a grant's life": wanting([Fault(4000, "stop", -2, 5000)]),
    "the divider and a third partitioned": wanting([Fault(4000, "partition", -2, 5500)], holders=6),
    "six in ten replaced": wanting([Fault(4000, "roll", 0, 5000)], holders=5, whole=20),
    "a whole of one": wanting([Fault(5000, "kill", -2, 3000)], holders=6, whole=1),
    "the divider's clock fast": wanting([Fault(5000, "blackhole", 1, 6000)], skew_ppm=[9_000, 0, 0, 0]),
    "the keeper restarted": wanting([Fault(4000, "keeper_kill", -1, 500)]),
    "no ledger at the start": wanting([Fault(7000, "kill", -2, 500)], ledger=False),
}


@pytest.fixture(scope="module")
def hard_cases(tmp_path_factory: pytest.TempPathFactory) -> dict[str, tuple[Verdict, Path]]:
    return results_in_folders(played, HARD, tmp_path_factory.mktemp("hard"), AT_ONCE)


@pytest.mark.parametrize("name", HARD)
def test_a_hard_case_never_exceeds_the_whole_and_the_whole_is_used(
    name: str,
    hard_cases: dict[str, tuple[Verdict, Path]],
) -> None:
    verdict, folder = hard_cases[name]
    assert verdict.right, (verdict.wrong, folder)
    assert verdict.most >= max(1, HARD[name].whole * 2 // 3), verdict


PLANTED = {
    # The first divider is cut off while it holds a share; the rest take over and are granted what it held.
    "no_fall": [Fault(4000, "blackhole", 0, 12000)],
    "early_regrant": [Fault(4000, "join", 0, 0), Fault(4400, "join", 0, 0), Fault(6000, "leave", 1, 0)],
}


def test_planted_bugs_are_seen_by_the_dependency_and_nothing_without_them(tmp_path: Path) -> None:
    """The other two show in emulated time and in the model (tests/fleet): on processes they need a moment
    that no script can be sure of."""
    scripts = {bug: wanting(faults, holders=3, whole=12) for bug, faults in PLANTED.items()}
    verdicts = results_of(
        {
            (bug, plant): partial(played, script, tmp_path / f"{bug}-{plant}", plant)
            for bug, script in scripts.items()
            for plant in (bug, "")
        }
    )
    for bug in scripts:
        assert any(told.startswith("over the whole") for told in verdicts[bug, bug].wrong), bug
        assert verdicts[bug, ""].right, (bug, verdicts[bug, ""].wrong)


def test_a_script_is_read_as_it_was_written(tmp_path: Path) -> None:
    for seed in range(40):
        script = draw(seed)
        script.write(tmp_path / "script.toml")
        assert BudgetScript.read(tmp_path / "script.toml") == script
    from standins.fleet.harness import draw as draw_leases

    for seed in range(40):
        leases = draw_leases(seed)
        leases.write(tmp_path / "script.toml")
        assert Script.read(tmp_path / "script.toml") == leases


def word(t: float, share: int, demand: int = 8, ev: str = "share") -> dict[str, object]:
    return {"t": int(t * S), "ev": ev, "share": share, "demand": demand}


def test_what_went_is_told_apart_from_what_had_nothing_and_from_what_never_came_back() -> None:
    script, verdict = wanting([], whole=8), Verdict()
    often = [word(at / 2, 4) for at in range(20, 40)]
    histories = {
        "h0.1": [*often, word(20.7, 8), word(21.0, 8)],
        "h1.1": [*often, word(20.1, 4, ev="left")],
        "h2.1": [word(12.0, 0), word(12.6, 2), word(13.0, 0)],
        "h3.1": [word(12.0, 0), word(12.5, 0)],
    }
    faults = [
        {"t": int(at * S), "kind": kind, "target": target}
        for at, kind, target in ((13.2, "kill", 2), (20.0, "leave", 1), (20.9, "kill", 0))
    ]
    moves([{"t": int(9.9 * S)}], histories, script, faults, verdict)
    assert [round(took / S, 1) for took in verdict.joins] == [0.6] and verdict.never == {"joins": 1}
    assert [round(took / S, 1) for took in verdict.leaves] == [0.7] and verdict.kills == []
    assert verdict.nothing_moved == 2  # one crashed without a grant, one with nobody left who lacked
