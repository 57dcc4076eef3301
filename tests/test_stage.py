"""Incidents staged with the real program, and the recorded runs in their short form."""

from __future__ import annotations

import subprocess
import sys
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from typing import Any

import pytest

from benchmarks.incidents import one
from standins.checkers.truth import WITHIN, S, check

STAGED = [("kill+hung", 101), ("cold", 102), ("drain+announce", 103), ("slow+gap", 104)]


@pytest.mark.alone
def test_staged_incidents_are_told_as_they_were(tmp_path: Path) -> None:
    """Four at once, so that all of them last as long as one. What is told beyond the truth is not held
    against the report here: on a crowded machine a server that truly stood still is told so."""
    with ThreadPoolExecutor(len(STAGED)) as pool:
        jobs = [pool.submit(one, kinds, seed, tmp_path / kinds) for kinds, seed in STAGED]
        scores = [job.result() for job in jobs]
    for (kinds, _), score in zip(STAGED, scores, strict=True):
        assert score.missed == [] and score.out_of_order == [], kinds
        assert all(abs(off) <= WITHIN / S for _, off in score.matched), (kinds, score.matched)


def finding(what: str, server: str, start: float) -> dict[str, Any]:
    return {"what": what, "servers": [server], "start": round(start * S), "parts": [], "text": ""}


def told(*findings: dict[str, Any]) -> dict[str, Any]:
    return {"findings": list(findings), "cause": {"harm": None, "first": None}}


def truth(*events: tuple[str, str, float]) -> dict[str, Any]:
    rows = [{"what": what, "servers": [name], "at": round(at * S)} for what, name, at in events]
    return {"events": rows, "shed": []}


def test_the_checker_sees_what_is_missing_invented_late_and_out_of_order() -> None:
    """Each way in which a report can be wrong, so that a good score means something."""
    was = truth(("slow", "n1", 10.0), ("vanished", "n2", 15.0))
    right = finding("slow", "n1", 10.2), finding("vanished", "n2", 15.3)
    assert check(was, told(*right)).good
    assert check(was, told(right[0])).missed == ["vanished of n2"]
    assert check(was, told(*right, finding("paused", "n3", 12.0))).invented
    assert check(was, told(right[0], finding("vanished", "n3", 15.0))).missed
    assert not check(was, told(right[0], finding("vanished", "n2", 16.5))).good
    swapped = check(was, told(finding("slow", "n1", 14.0), finding("vanished", "n2", 13.0)))
    assert swapped.out_of_order and not swapped.good
    assert check(was, told(*right, finding("clock off", "n3", 0.0))).good


@pytest.mark.parametrize("name", ["stores", "scale", "recording"])
def test_recorded_runs_have_a_short_form(name: str) -> None:
    root = Path(__file__).parent.parent
    command = [sys.executable, "-m", f"benchmarks.{name}", "--short"]
    done = subprocess.run(command, cwd=root, capture_output=True, text=True, timeout=120)
    assert done.returncode == 0, done.stderr
    assert done.stdout.count("\n") >= 4
