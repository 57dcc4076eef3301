"""`ringshift rules` with a keeper's process: each command, a publisher killed, two publishers at once."""

from __future__ import annotations

import json
import signal
import subprocess
import sys
import threading
import time
from collections.abc import Iterator
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import pytest

from ringshift.cli.keeping import user
from ringshift.cli.main import command
from ringshift.rulebook.bound import MS, ReadingTerms, S
from ringshift.rulebook.document import digest, read
from ringshift.rulebook.reader import News, Reader
from ringshift.rulebook.version import Row
from ringshift.rulebook.writing import write
from ringshift.wire.keeper import b64
from ringshift.wire.rules import RulesLink, key, write_row
from standins.host import ROOT

TERMS = ReadingTerms(life=8 * S, margin=200 * MS, refresh=100 * MS)
BOOK = """text = "winter"
[[lists]]
of = "callers"
effect = "held_back"
entries = ["old-agency"]
[[quotas]]
of = "customers"
entry = "hostel"
most = 20
[alone]
"""
MORE = BOOK.replace('["old-agency"]', '["old-agency", "depot-7"]')


@dataclass
class Confirming:
    """A reader in a thread; `holds`: it does not confirm until it is set."""

    keeper: str
    name: str
    refuses: str = ""
    goes: threading.Event = field(default_factory=threading.Event)
    ended: threading.Event = field(default_factory=threading.Event)
    heard: threading.Event = field(default_factory=threading.Event)

    def __post_init__(self) -> None:
        self.link = RulesLink([self.keeper], time.monotonic_ns, 5.0)
        check = lambda version: self.refuses if version.stamp[1] > 1 else ""  # noqa: E731
        self.reader = Reader(TERMS, read(BOOK).alone, check=check)
        self.goes.set()
        self.thread = threading.Thread(target=self.run, daemon=True)
        self.thread.start()
        assert self.heard.wait(10)

    def run(self) -> None:
        while not self.ended.is_set():
            self.goes.wait()
            row = self.reader.hear(News.TICK, time.monotonic_ns())
            while row is not None and not self.ended.is_set():
                try:
                    told = self.link.confirm(self.name, row)
                except ValueError:  # a newer head stood there by then: not answered, as in the program
                    break
                now = time.monotonic_ns()
                row = None if told is None else self.reader.hear(News.ANSWERED, now, told, row.n)
            self.heard.set()
            self.ended.wait(0.02)

    def stop(self) -> None:
        self.ended.set()
        self.goes.set()
        self.thread.join(10)


@dataclass
class Place:
    folder: Path
    keeper: str
    settings: str
    readers: list[Confirming] = field(default_factory=list)

    def file(self, name: str, text: str) -> str:
        path = self.folder / name
        path.write_text(text)
        return str(path)

    def reader(self, name: str, refuses: str = "") -> Confirming:
        self.readers.append(Confirming(self.keeper, name, refuses))
        return self.readers[-1]

    def publish(self, file: str, *more: str) -> list[str]:
        return [
            "rules",
            "publish",
            file,
            "--author",
            "anna",
            "--reason",
            "depots",
            "--settings",
            self.settings,
            *more,
        ]

    def process(self, *words: str) -> subprocess.Popen[str]:
        return subprocess.Popen(
            [sys.executable, "-m", "ringshift", *words],
            cwd=ROOT,
            text=True,
            stdout=subprocess.PIPE,
            stderr=subprocess.PIPE,
        )


@pytest.fixture
def place(tmp_path: Path) -> Iterator[Place]:
    process = subprocess.Popen(
        [sys.executable, "-m", "standins.keeper", str(tmp_path / "keeper")],
        cwd=ROOT,
        stdout=subprocess.PIPE,
        text=True,
    )
    assert process.stdout is not None
    keeper = process.stdout.readline().split()[-1]
    settings = tmp_path / "fleet.toml"
    settings.write_text(
        f'[leases]\nkeepers = ["{keeper}"]\n[rules]\ninstallation = "{tmp_path}/first.toml"\n'
        "life_ms = 8000\nmargin_ms = 200\nrefresh_ms = 100\n"
    )
    made = Place(tmp_path, keeper, str(settings))
    made.file("first.toml", BOOK)
    yield made
    for reader in made.readers:
        reader.stop()
    process.kill()
    process.wait(10)


def test_the_commands_from_the_first_publication_to_a_withdrawal(
    place: Place,
    capsys: pytest.CaptureFixture[str],
) -> None:
    def run(*words: str, status: int = 0) -> str:
        assert command(list(words)) == status
        out, err = capsys.readouterr()
        return str(out + err if status else out)

    def told(*words: str, status: int = 0) -> Any:
        return json.loads(run(*words, "--settings", place.settings, "--json", status=status))

    first, more = str(place.folder / "first.toml"), place.file("more.toml", MORE)
    wrong = place.file("wrong.toml", BOOK.replace("most = 20", "most = -1"))
    assert "wrong.toml: line 9: quotas.most: -1" in run("rules", "check", wrong, status=2)
    assert json.loads(run("rules", "check", wrong, "--json", status=2))["right"] is False
    assert "right, 1 lists, 1 entries, 1 quotas" in run("rules", "check", first)
    assert "line 9" in run(*place.publish(wrong), status=2)
    assert "off" in run("rules", "status", "--settings", place.file("off.toml", ""), status=2)
    assert told("rules", "status")["in_force"] is None
    assert "nothing was ever published" in run("rules", "show", "--settings", place.settings, status=1)
    assert run(*place.publish(first)) == "0.1: in force\n"
    assert "in force already: 0.1 by anna: depots" in run(*place.publish(first))

    place.reader("n1.7")
    steps = told("rules", "check", more)
    assert [one["kind"] for one in steps["differences"]] == ["held_back added"] and len(steps["steps"]) == 1
    done = run(*place.publish(more)).splitlines()
    assert [done[0], *done[-2:]] == ["0.2: proposed", "0.2: acknowledged", "0.2: in force"]
    shown = run("rules", "show", "--settings", place.settings)
    assert shown.startswith("# version 0.2, digest ") and digest(read(shown)) == digest(read(MORE))
    assert told("rules", "show", "0.1")["book"]["lists"][0]["entries"] == ["old-agency"]
    assert "has 0.1, 0.2" in run("rules", "show", "0.7", "--settings", place.settings, status=1)
    assert run("rules", "diff", "0.1", more, "--settings", place.settings) == (
        "  held_back added: callers depot-7; contradict: one refuses the entry that the other serves\n"
    )
    (one,) = told("rules", "diff", more, "0.1")
    assert (one["kind"], one["verdict"]) == ("held_back removed", "ALWAYS")
    (reader,) = told("rules", "status")["readers"]
    assert (reader["name"], reader["acts_by"], reader["silent"]) == ("n1.7", ["0.2"], False)

    assert run("rules", "withdraw", "--settings", place.settings).splitlines()[-1] == "0.3: in force"
    assert digest(read(run("rules", "show", "--settings", place.settings))) == digest(read(BOOK))
    assert "no such reader" in run("rules", "forget", "n2", "--settings", place.settings, status=1)
    place.readers[0].stop()
    assert told("rules", "forget", "n1.7") == {"forgotten": ["n1.7"]}
    plain = run("rules", "status", "--settings", place.settings)
    assert plain.startswith(f"in force: 0.3 by {user()}: withdraws 0.2\nnext: `ringshift rules publish FILE`")
    assert run("rules", "settle", "--settings", place.settings) == "nothing: no version is proposed\n"


def test_what_is_refused_or_not_in_time_ends_with_one_and_tells_what_to_do(
    place: Place,
    capsys: pytest.CaptureFixture[str],
) -> None:
    more = place.file("more.toml", MORE)
    assert command(place.publish(str(place.folder / "first.toml"))) == 0
    place.reader("old.1", "made for another program")
    assert command(place.publish(more)) == 1
    out, err = capsys.readouterr()
    assert "0.2: refused: old.1: made for another program" in err and "in force: 0.1 by anna" in err
    place.readers[0].refuses = ""
    place.readers[0].goes.clear()
    assert command(place.publish(more, "--within", "0.5")) == 1
    out, err = capsys.readouterr()
    assert "0.3: late: the time for it was over" in err and "`ringshift rules settle` leads it on" in err
    assert "waiting for 1: old.1 (at most " in out
    assert command(["rules", "status", "--settings", place.settings]) == 0
    out, err = capsys.readouterr()
    assert "proposed: 0.3 by anna: depots" in out and "silent, by 0.1, at the latest for" in out
    place.readers[0].goes.set()
    assert command(["rules", "settle", "--settings", place.settings]) == 0
    assert capsys.readouterr().out.splitlines()[-1] == "0.3: in force"
    alone = place.file("alone.toml", BOOK + '[[alone.lists]]\nof = "places"\neffect = "held_back"\n')
    assert command(place.publish(alone)) == 1
    assert "With --in-steps it is published in 3" in capsys.readouterr().err
    assert command(place.publish(alone, "--in-steps", "--json")) == 0
    assert json.loads(capsys.readouterr().out)["in_force"]["number"] == "0.6"


def test_a_withdrawal_whose_reason_is_too_long_ends_with_one_line(
    place: Place,
    capsys: pytest.CaptureFixture[str],
) -> None:
    assert command(place.publish(str(place.folder / "first.toml"))) == 0
    assert command(place.publish(place.file("more.toml", MORE))) == 0
    capsys.readouterr()
    assert command(["rules", "withdraw", "--reason", "x" * 1001, "--settings", place.settings]) == 1
    assert capsys.readouterr().err.splitlines()[-1].endswith("reason: 1001 characters, more than 1000")


def test_what_alone_admits_beyond_the_rules_and_a_whole_that_is_raised_are_warned_of(
    place: Place,
    capsys: pytest.CaptureFixture[str],
) -> None:
    whole = '[[wholes]]\nbudget = "database"\nwhole = 10\n[alone]'
    file = place.file("lax.toml", BOOK.replace("[alone]", whole))
    with Path(place.settings).open("a") as settings:
        settings.write('[[budgets]]\nname = "database"\nunit = "calls"\nwhole = 200\nmost = 50\nsafe = 1\n')
    assert command(place.publish(file, "--strict")) == 1
    err = capsys.readouterr().err
    assert "held_back: callers old-agency; a backend alone serves" in err
    assert "quota: customers hostel no limit, not 20; " in err and "--strict" in err
    assert "warning: budget database: 50 is divided, not the rulebook's 10" in err
    check = ["rules", "check", file, "--settings", place.settings]
    assert command(check) == 0
    told = capsys.readouterr().out
    assert "nothing was ever published" in told and "warning: budget database: 50 is divided" in told
    assert "B is 7.798 s" in told and "waits 8.282 s for a silent backend" in told
    assert command([*check, "--strict", "--json"]) == 1
    said = json.loads(capsys.readouterr().out)
    assert not said["right"] and [one["kind"] for one in said["lax"]] == ["held_back", "quota", "whole"]
    assert len(said["raised"]) == 1
    assert command(place.publish(file)) == 0  # warned of, not refused


def test_absent_readers_are_forgotten_together_once_they_were_shown(
    place: Place,
    capsys: pytest.CaptureFixture[str],
) -> None:
    link = RulesLink([place.keeper], time.monotonic_ns, 5.0)
    for name in ("a.1", "b.2", "c.3"):
        link.call("/kv/put", {"key": key(f"absent/{name}"), "value": b64(write_row(Row(1, (0, 1, "d"))))})
    forget = ["rules", "forget", "--settings", place.settings]
    assert command(forget) == 2 and command([*forget, "b.2", "nobody"]) == 1
    assert command([*forget, "--absent"]) == 1  # there is no terminal to ask at
    assert "3 absent: a.1, b.2, c.3; with --yes" in capsys.readouterr().err and len(link.read().absent) == 3
    assert command([*forget, "b.2", "a.1"]) == 0
    assert capsys.readouterr().out == "b.2: forgotten\na.1: forgotten\n" and link.read().absent == {"c.3"}
    assert command([*forget, "--absent", "--yes", "--json"]) == 0 and not link.read().rows
    assert json.loads(capsys.readouterr().out) == {"forgotten": ["c.3"]}


def test_what_is_written_reads_back_as_the_same_and_a_long_list_has_a_line_an_entry() -> None:
    long = read(BOOK.replace('"old-agency"', ", ".join(f'"depot-{number}"' for number in range(20_000))))
    text = write(long, ("version 0.1", "two\nlines"))
    assert digest(read(text)) == digest(long) and text.startswith("# version 0.1\n# two lines\n")
    assert len(text.splitlines()) > 20_000


def waits(process: subprocess.Popen[str], ended: threading.Event) -> None:
    process.wait()
    ended.set()


def test_two_publishers_and_killed_ones_in_processes_of_their_own(place: Place) -> None:
    more = place.file("more.toml", MORE)
    other = place.file("other.toml", MORE.replace("depot-7", "depot-8"))
    assert command(place.publish(str(place.folder / "first.toml"))) == 0
    reader = place.reader("n1.7")

    reader.goes.clear()  # neither can land before the other came
    both = [place.process(*place.publish(file, "--json")) for file in (more, other)]
    ended = threading.Event()
    for one in both:
        threading.Thread(target=waits, args=(one, ended), daemon=True).start()
    assert ended.wait(20)
    reader.goes.set()
    told = [json.loads(one.communicate(timeout=20)[0]) for one in both]
    assert sorted(one.returncode for one in both) == [0, 1]
    (won,) = (one for one in told if one["done"])
    (lost,) = (one for one in told if not one["done"])
    assert (won["state"], lost["state"]) == ("IN_FORCE", "BEATEN")
    assert won["version"]["digest"] in [one["digest"] for one in (lost["in_force"], lost["proposed"]) if one]

    plain = place.publish(str(place.folder / "first.toml"))
    killed = place.process(*plain, "--die-at", "before put_in_force")
    assert killed.wait(20) == -signal.SIGKILL
    link = RulesLink([place.keeper], time.monotonic_ns, 5.0)
    held = link.read()
    assert held.told is not None and held.told.proposed is not None
    stamp = held.told.proposed.stamp
    assert command(["rules", "settle", "--settings", place.settings]) == 0
    after = link.read().told
    assert after is not None and after.in_force.stamp == stamp and after.proposed is None

    killed = place.process(*place.publish(other), "--die-at", "after propose")
    assert killed.wait(20) == -signal.SIGKILL
    assert command(["rules", "withdraw", "--settings", place.settings]) == 0
    after = link.read().told
    assert after is not None and after.in_force.stamp == stamp and after.proposed is None
