"""`ringshift schedule` with a keeper's process, and what `ringshift rules` does with scheduled changes."""

from __future__ import annotations

import json
import subprocess
import sys
import time
from collections.abc import Iterator
from datetime import UTC, datetime, timedelta
from pathlib import Path
from typing import Any

import pytest

from ringshift.cli.keeping import user
from ringshift.cli.main import command
from standins.host import ROOT

BOOK = 'text = "first"\n[alone]\n'


class Place:
    def __init__(self, folder: Path, keeper: str, capsys: pytest.CaptureFixture[str]) -> None:
        self.folder, self.capsys = folder, capsys
        self.settings = self.file(
            "fleet.toml",
            f'[leases]\nkeepers = ["{keeper}"]\n[rules]\n'
            f'installation = "{folder}/first.toml"\nrefresh_ms = 100\n',
        )
        self.file("first.toml", BOOK)

    def file(self, name: str, text: str) -> str:
        (self.folder / name).write_text(text)
        return str(self.folder / name)

    def run(self, *words: str, status: int = 0) -> str:
        found = command(list(words))
        out, err = self.capsys.readouterr()
        assert found == status, out + err
        return str(out + err)

    def told(self, *words: str, status: int = 0) -> Any:
        return json.loads(self.run(*words, "--settings", self.settings, "--json", status=status))

    def publish(self, file: str, status: int = 0) -> str:
        return self.run(
            "rules",
            "publish",
            file,
            "--author",
            "anna",
            "--reason",
            "r",
            "--settings",
            self.settings,
            status=status,
        )


@pytest.fixture
def place(tmp_path: Path, capsys: pytest.CaptureFixture[str]) -> Iterator[Place]:
    process = subprocess.Popen(
        [sys.executable, "-m", "standins.keeper", str(tmp_path / "keeper")],
        cwd=ROOT,
        stdout=subprocess.PIPE,
        text=True,
    )
    assert process.stdout is not None
    yield Place(tmp_path, process.stdout.readline().split()[-1], capsys)
    process.kill()
    process.wait(10)


def row(name: str, does: str, hours: float, long: float = 1) -> str:
    start = datetime.now(UTC) + timedelta(hours=hours)
    return (
        f'[[changes]]\nname = "{name}"\ndoes = {does}\nfrom = {start.isoformat()}\n'
        f"to = {(start + timedelta(hours=long)).isoformat()}\n"
    )


MOVE = '{kind = "move", share = 0.5, source = "north", target = "south"}'
DRAIN = '{kind = "drain", place = "south"}'


def test_from_a_check_to_a_withdrawal(place: Place) -> None:
    night, drain = place.file("night.toml", row("night", MOVE, 2)), place.file("d.toml", row("d", DRAIN, 2.5))
    assert "night.toml: right" in place.run("schedule", "check", night)
    wrong = place.file("wrong.toml", row("night", MOVE.replace("0.5", "2.5"), 2))
    said = place.run("schedule", "check", wrong, status=2)
    assert "wrong.toml: line 1: changes: does.share: 2500000" in said
    both = place.file("both.toml", row("night", MOVE, 2) + row("d", DRAIN, 2.5))
    told = json.loads(place.run("schedule", "check", both, "--json", status=1))
    assert told["contradiction"]["rule"] == "INTO_DRAINED" and not told["right"]
    assert told["contradiction"]["changes"] == ["d", "night"]
    assert "publish a rulebook first" in place.told("schedule", "plan", night, status=1)["why"]
    place.publish(str(place.folder / "first.toml"))
    told = place.told("schedule", "plan", night)
    assert (told["state"], told["version"]["number"]) == ("LANDED", "0.2")
    assert place.told("schedule", "plan", night)["version"]["number"] == "0.2"  # it stands already
    said = place.run("schedule", "plan", drain, "--settings", place.settings, status=1)
    assert said.startswith("contradicts: with d: d and night contradict at ") and "into_drained" in said
    assert "; first at 20" in said
    assert place.told("schedule", "check", drain, status=1)["contradiction"]["part"]["operations"] == "all"
    (one,) = place.told("schedule", "status")["changes"]
    assert (one["name"], one["state"], one["windows"]) == ("night", "planned", 1)
    assert "no such change" in place.told("schedule", "withdraw", "nought", status=1)["why"]
    where = "--settings", place.settings
    assert "in force by version 0.3" in place.run("schedule", "withdraw", "night", "--author", " ", *where)
    told = [place.told("rules", "show", f"0.{number}") for number in (2, 3)]
    assert [one["reason"] for one in told] == ["planned night", "withdraws night"]
    assert [one["author"] for one in told] == [user(), user()]  # each version tells who and why
    blank = "rules", "publish", night, "--author", "a", "--reason", " "
    assert "--reason" in place.run(*blank, *where, status=2)
    assert "night: withdrawn, moves 0.5 of north to south" in place.run("schedule", "status", *where)
    assert place.told("schedule", "plan", drain)["state"] == "LANDED"
    assert [one["name"] for one in place.told("schedule", "status")["changes"]] == ["d"]


def test_a_whole_document_withdraws_what_it_has_no_more(place: Place) -> None:
    more = place.file("more.toml", BOOK.replace("first", "more") + row("a", MOVE, 2) + row("b", MOVE, 5))
    place.publish(more)  # the first publication of all holds changes already

    def marks() -> dict[str, bool]:
        rows = place.told("schedule", "status")["changes"]
        return {one["name"]: one["withdrawn"] is not None for one in rows}

    assert marks() == {"a": False, "b": False}
    assert "in force already" in place.publish(more)
    shown = place.run("rules", "show", "--settings", place.settings)
    assert "in force already" in place.publish(place.file("shown.toml", shown))
    without = place.file("without.toml", BOOK)
    told = place.told("rules", "check", without)
    assert [one["kind"] for one in told["differences"]].count("change withdrawn") == 2
    assert place.publish(without).endswith("0.2: in force\n") and marks() == {"a": True, "b": True}
    clash = place.file("clash.toml", BOOK + row("c", DRAIN, 2) + row("e", MOVE, 2))
    where = "--settings", place.settings
    for words in ((), where):
        said = place.run("rules", "check", clash, *words, status=1)
        assert "may not be published, 0 lists" in said and "2 changes, 0 timelines" in said
        assert "clash.toml: line 4: c and e contradict at " in said and "; first at 20" in said
    assert "2 changes" in place.run("rules", "check", place.file("shown.toml", shown))  # with its horizon
    soon = place.file("soon.toml", BOOK + row("s", MOVE, -1, 9))
    assert "soon.toml: line 4: s: begins at " in place.run("rules", "check", soon, status=1)
    assert "c and e contradict" in place.publish(clash, status=1)
    place.publish(place.file("c.toml", BOOK + row("c", DRAIN, 2)))
    place.told("rules", "withdraw")
    found = marks()
    assert found["c"] and not any(not gone for gone in found.values())


def test_the_commands_answer_in_one_line_where_the_keeper_is_silent(tmp_path: Path) -> None:
    settings = tmp_path / "fleet.toml"
    settings.write_text('[leases]\nkeepers = ["127.0.0.1:9"]\n[rules]\ninstallation = "x"\n')
    began = time.monotonic()
    assert command(["schedule", "withdraw", "a", "--settings", str(settings), "--within", "0.2"]) == 1
    assert command(["schedule", "status", "--settings", str(settings)]) == 1
    assert time.monotonic() - began < 10
