"""A backend stays within its memory limit, whatever bad clients leave with it; short and seeded."""

from __future__ import annotations

import subprocess
import sys

import pytest

from standins.host import ROOT

FULL_SPEED = ("no_such_operation", "unsound", "new_names", "taken_back", "checks", "endless_fields")
"""Kinds of clients of which one is enough to keep a connection busy."""


def flooded(*words: str) -> subprocess.CompletedProcess[str]:
    """A run of the benchmark, seeded."""
    command = [sys.executable, "-m", "benchmarks.memory_limits", "--seed", "1", *words]
    return subprocess.run(command, capture_output=True, text=True, timeout=120, cwd=ROOT)


@pytest.mark.alone
@pytest.mark.parametrize("clients", [240, 480], ids=["fewer than places", "more than places"])
def test_floods_of_all_kinds_stay_within_the_memory_limit_and_sound_requests_are_answered(
    clients: int,
) -> None:
    """Half-sent requests, deadlines of refused ones and unread answers took backends over their limits."""
    done = flooded("--short", "--clients", str(clients))
    assert done.returncode == 0, done.stdout + done.stderr
    assert done.stdout.count(" held") == 3


@pytest.mark.alone
def test_one_client_at_full_speed_neither_fills_the_memory_nor_holds_sound_requests_up() -> None:
    """Small and unsound requests, and such with ever new names, on one connection."""
    limits = ("--limits", "32", "--seconds", "5", "--together", "3", "--clients", "1")
    done = flooded(*limits, "--kinds", *FULL_SPEED)
    assert done.returncode == 0, done.stdout + done.stderr
    assert done.stdout.count(" held") == len(FULL_SPEED)
