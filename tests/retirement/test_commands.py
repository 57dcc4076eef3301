"""`ringshift retire` against a keeper's process: planned, refused, told, paused, let on, withdrawn."""

from __future__ import annotations

import json
import time
from collections.abc import Iterator
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import pytest

from ringshift.cli.main import command
from ringshift.retirement.figures import Figures
from ringshift.retirement.position import Position
from ringshift.retirement.shed import Decided, key
from ringshift.retirement.warn import Counted
from ringshift.rulebook.document import read
from ringshift.wire.keeper import b64
from ringshift.wire.retiring import RetireLink, Row, Word
from tests.retirement.builders import TEXT
from tests.retirement.processes import Keeper

BOOK = "[alone]\n"
PLAN = "[[timelines]]\n" + TEXT.replace("[floor]", "[timelines.floor]").replace(
    "[conditions]", "[timelines.conditions]"
).replace("[[", "[[timelines.")


@dataclass
class Place:
    folder: Path
    address: str
    settings: str
    out: Any

    def run(self, *words: str) -> tuple[int, str]:
        status = command(["retire", *words, "--settings", self.settings])
        told = self.out.readouterr()
        return status, told.out + told.err

    def told(self, *words: str) -> Any:
        status, out = self.run(*words, "--json")
        assert status == 0, out
        return json.loads(out)

    def file(self, text: str) -> str:
        path = self.folder / "plan.toml"
        path.write_text(text)
        return str(path)

    @property
    def link(self) -> RetireLink:
        return RetireLink([self.address], time.monotonic_ns, 5.0)


@pytest.fixture(scope="module")
def keeper(tmp_path_factory: pytest.TempPathFactory) -> Iterator[Keeper]:
    keeper = Keeper(tmp_path_factory.mktemp("commands"))
    yield keeper
    keeper.stop()


@pytest.fixture
def place(keeper: Keeper, tmp_path: Path, capsys: pytest.CaptureFixture[str]) -> Place:
    rulebook, settings = tmp_path / "rulebook.toml", tmp_path / "fleet.toml"
    rulebook.write_text(BOOK)
    settings.write_text(f'[leases]\nkeepers = ["{keeper.address}"]\n[rules]\ninstallation = "{rulebook}"\n')
    place = Place(tmp_path, keeper.address, str(settings), capsys)
    place.link.call("/kv/deleterange", {"key": b64(b"/"), "range_end": b64(b"0")})
    assert (
        command(
            ["rules", "publish", str(rulebook), "--author", "a", "--reason", "b", "--settings", str(settings)]
        )
        == 0
    )
    capsys.readouterr()
    return place


def test_a_timeline_is_planned_told_and_withdrawn(place: Place) -> None:
    assert place.run("status") == (0, "no timeline is in force\n")
    status, out = place.run("plan", place.file(PLAN), "--author", "anna", "--reason", "successor is out")
    assert status == 0, out
    assert "2026-04-01T00:00:00Z step 1 20% turned away" in out and "in force by version 0.2" in out
    (told,) = place.told("status")
    assert (told["name"], told["operation"], told["phase"]) == ("order-book-1", "order-book", "PLANNED")
    assert told["backends"] == [] and told["decides"] is None
    assert place.run("withdraw", "order-book-1", "--reason", "kept")[0] == 0
    assert place.told("status") == []
    status, out = place.run("withdraw", "order-book-1")
    assert status == 1 and "no such timeline in force" in out


def test_one_that_contradicts_is_refused_and_nothing_is_published(place: Place) -> None:
    assert place.run("plan", place.file(PLAN))[0] == 0
    other = PLAN.replace('"order-book-1"', '"again"').replace('"tank-lookup"', '"lookup-3"')
    status, out = place.run("plan", place.file(other), "--json")
    told = json.loads(out)
    assert status == 1 and told["state"] == "CONTRADICTS"
    assert told["contradiction"]["rule"] == "TWO_OF_ONE"
    assert told["contradiction"]["changes"] == ["again", "order-book-1"]
    assert [one["name"] for one in place.told("status")] == ["order-book-1"]


def test_wrong_documents_and_names_are_told_in_one_line(place: Place) -> None:
    status, out = place.run("plan", place.file("[[changes]]\n"))
    assert status == 2 and out.count("\n") == 1
    status, out = place.run("plan", place.file(""))
    assert status == 2 and "no [[timelines]]" in out
    status, out = place.run("plan", place.file(PLAN.replace("share = 0.6", "share = 0.1")))
    assert status == 2 and "steps" in out and out.count("\n") == 1
    for words in (("pause", "x", "--reason", "y"), ("resume", "x"), ("status", "x")):
        status, out = place.run(*words)
        assert status == 2 and "no timeline 'x' in force; there are: none" in out


def test_a_pause_is_at_the_keeper_before_it_is_told_and_status_tells_all(place: Place) -> None:
    assert place.run("plan", place.file(PLAN))[0] == 0
    link, name = place.link, "order-book-1"
    line = read(PLAN + BOOK).timelines[0]
    decided = Decided(3, key(line), 1, 200_000, 0, frozenset((5,)))
    task = b"/ringshift/tasks/retire-order-book-1"
    lease = link.seek(task, b"n1 7 aa", 60)
    position = Position(decided, "HOLDING", 9, why="due, good")
    counts = {5: Counted(30, 0, 10**18), 6: Counted(1, 0, 0)}
    assert link.write(name, task, lease.token, link.read(name), position, counts)
    link.put(name, "n1.7.aa.1", Row(4, Figures(2, 10, 20, 1, 4)), 0)
    status, out = place.run("pause", name, "--reason", "a fair", "--author", "anna")
    assert (status, out) == (0, f"{name}: paused at 20% turned away, edition 3\n")
    assert link.read(name).word == Word(True, "a fair", "anna")
    (told,) = place.told("status", name)
    assert told["stopped"] and told["reason"] == "a fair" and told["decides"] == "n1 7 aa"
    assert (told["counted"], told["short"], told["shed"], told["rung"]) == (2, 1, 1, 1)
    assert told["backends"] == [
        {"backend": "n1.7.aa.1", "edition": 2, "old": 10, "new": 20, "errors": 1, "shed": 4, "leaving": False}
    ]
    _, out = place.run("status")
    assert "holding, 20% of the callers of order-book turned away (edition 3)" in out
    assert "paused by operators: a fair" in out and "4 turned away, by edition 2" in out
    assert place.run("resume", name) == (0, f"{name}: may go on from 20% turned away, edition 3\n")
    assert not link.read(name).word.paused
