"""Budgets in the program: the operators' words, the keeper's keys, a backend that keeps to its share."""

from __future__ import annotations

import json
import re
import signal
import subprocess
import sys
import time
import tomllib
from collections.abc import Iterator
from dataclasses import replace
from pathlib import Path
from types import SimpleNamespace
from typing import cast

import gevent
import pytest

from ringshift.cli.budget import within
from ringshift.control import Controller
from ringshift.fleet.budget import Ask, Budget, Grant, Ledger, S
from ringshift.fleet.share import News, Share
from ringshift.interface import Granted, Unit
from ringshift.lifecycle.sharing import Dividers, Sharer, Shares, shares
from ringshift.machine import Malformed
from ringshift.settings.operators import read_operators
from ringshift.wire.shares import BudgetLink, read_ask, read_ledger, write_ledger, written_at
from standins.agent import Agent
from standins.host import Host

ROOT = Path(__file__).parent.parent


@pytest.fixture
def keeper(tmp_path: Path) -> Iterator[str]:
    process = subprocess.Popen(
        [sys.executable, "-m", "standins.keeper", str(tmp_path / "keeper")],
        cwd=ROOT,
        stdout=subprocess.PIPE,
        text=True,
    )
    assert process.stdout is not None
    yield process.stdout.readline().split()[-1]
    process.kill()
    process.wait()


LEASES = '[leases]\nkeepers = ["127.0.0.1:2379"]\n'
GOOD = LEASES + '[[budgets]]\nname = "database"\nunit = "calls"\nwhole = 20\nmost = 5\nsafe = 1\n'


@pytest.mark.parametrize(
    ("text", "told"),
    [
        (
            GOOD.replace("whole = 20", "whole = 4"),
            "line 6: budgets.whole: 4.0 is less than the safe shares of 5",
        ),
        (GOOD + "refresh_ms = 5000\n", "line 9: budgets.refresh_ms: 5000000000 ns; two must fit"),
        (GOOD + "drift_ppm = 600000\n", "line 9: budgets.drift_ppm: 600000; from 0"),
        (GOOD.replace('"calls"', '"rate"'), "operation: named for a rate"),
        (GOOD.replace('"calls"', '"cakes"'), "line 5: budgets.unit: Invalid enum value 'cakes'"),
        (GOOD.replace("most = 5", "most = 0"), "line 7: budgets.most: 0; at least 1"),
        (
            GOOD + '[[budgets]]\nname = "b"\nunit = "calls"\nwhole = 2.5\nmost = 1\n',
            "line 12: budgets.whole: 2",
        ),
        (GOOD.replace(LEASES, ""), "budgets: no [leases] table with keepers"),
        (GOOD + GOOD.replace(LEASES, ""), "budgets: two of the name 'database'"),
        (GOOD.replace('"database"', '"a b"'), "line 4: budgets.name: 'a b' is not"),
        (GOOD + "cakes = 1\n", "line 9: budgets.cakes: Object contains unknown field `cakes`"),
    ],
)
def test_a_budget_that_cannot_be_kept_is_refused_with_line_and_field(
    tmp_path: Path,
    text: str,
    told: str,
) -> None:
    path = tmp_path / "fleet.toml"
    path.write_text(text)
    with pytest.raises(Malformed) as wrong:
        read_operators(str(path))
    assert told in str(wrong.value), str(wrong.value)


@pytest.mark.parametrize(
    ("text", "told"),
    [
        (GOOD.replace('"calls"', '"retries"'), "line 5: budgets.unit: 'retries': no calls are told"),
        (
            GOOD + GOOD.replace(LEASES, "").replace("database", "b").replace('"calls"', '"retries"'),
            "line 11: ",
        ),
        (
            GOOD.replace('"calls"', '"rate"\noperation = "cakes"'),
            "line 6: budgets.operation: 'cakes' is none",
        ),
    ],
)
def test_a_budget_that_binds_nothing_on_sockets_is_refused_with_line_and_field(
    tmp_path: Path,
    text: str,
    told: str,
) -> None:
    path = tmp_path / "fleet.toml"
    path.write_text(text)
    with pytest.raises(Malformed) as wrong:
        shares(str(path), "n1", 1, time.monotonic_ns, {"look": 0}, None)
    assert told in str(wrong.value), str(wrong.value)


def test_asks_and_the_ledger_go_through_the_keeper_and_an_old_divider_writes_nothing(keeper: str) -> None:
    link = BudgetLink([keeper], time.monotonic_ns, 2.0)
    assert link.ask("database", Ask("n1.7.a", 1, 5.0, 2.0)) is None
    held = link.read("database")
    assert held.asks == [Ask("n1.7.a", 1, 5.0, 2.0)] and held.ledger is None and held.revision == 0
    lease = link.seek(b"/ringshift/tasks/budget-database", b"n1", 30)
    ledger = Ledger(1, 20.0, {"n1.7.a": Grant(1, 4.0, 4.0)}, 8_000_000_000)
    key = b"/ringshift/tasks/budget-database"
    revision = link.write("database", key, lease.token, 0, ledger, ["gone"])
    assert revision and link.ask("database", Ask("n1.7.a", 2, 5.0, 2.0, 1)) == ledger
    # Another wrote since, or holds the lease: the keeper's own compares refuse it.
    assert link.write("database", key, lease.token, 0, Ledger(2, 20.0, {}), []) == 0
    assert link.write("database", key, lease.token + 1, revision, Ledger(2, 20.0, {}), []) == 0
    assert link.write("database", key, lease.token, revision, Ledger(2, 20.0, {}), ["n1.7.a"])
    assert link.read("database").asks == []
    assert link.divider("database") == "n1" and link.divider("other") == ""


def test_an_end_is_told_as_of_the_look() -> None:
    assert [within(4_000_000_000, since) for since in (0.0, 1.5, 9.0)] == [4000.0, 2500.0, 0.0]
    assert within(None, 1.0) == 0.0
    ledger = Ledger(3, 20.0, {"a": Grant(1, 4.0, 4.0)}, 8, {"a": 5})
    data = write_ledger(ledger, 12.5)
    assert read_ledger(data) == ledger and written_at(data) == 12.5
    # One written by an older text says neither.
    older = b'{"round": 3, "whole": 20.0, "life": 8, "rows": {"a": [1, 4.0, 4.0]}}'
    assert read_ledger(older) == replace(ledger, left={}) and written_at(older) == 0.0


@pytest.mark.parametrize("data", [b"", b"{}", b"[1]", b'["x",1,1,1,1,1]', b'[1,"x",0,0,1,false]', b"\xff"])
def test_what_is_no_ask_is_passed_over_and_a_broken_ledger_is_never_an_empty_one(data: bytes) -> None:
    assert read_ask("n1", data) is None
    with pytest.raises(ValueError):
        read_ledger(data)


def test_a_backend_runs_no_more_than_its_share_and_hands_it_back(tmp_path: Path, keeper: str) -> None:
    settings = tmp_path / "fleet.toml"
    settings.write_text(
        f'[leases]\nkeepers = ["{keeper}"]\nttl_s = 2\nmargin_ms = 200\nanswer_within_ms = 600\n'
        '[[budgets]]\nname = "database"\nunit = "calls"\nwhole = 3\nmost = 1\nsafe = 1\nlife_ms = 4000\n'
        "refresh_ms = 200\nmargin_ms = 100\nlongest_ms = 500\n"
    )
    most = [0]

    def work(job: str, kind: str, body: bytes) -> tuple[float, str, bytes]:
        most[0] = max(most[0], len(agent.running))
        return 0.3, "good", b"made"

    agent = Agent(work)
    environ = {"RINGSHIFT_SETTINGS": str(settings), "RINGSHIFT_RECORDS": "lines"}
    with Host(agent, environ=environ) as host:
        sidecar = host.serving()

        def feed() -> None:
            for request in range(1, 1000):  # far more than four cores, or any share, can do
                sidecar.send(sidecar.call(request))
                gevent.sleep(0.05)

        feeding = gevent.spawn(feed)
        agent.until(lambda: len(agent.launches) >= 4)
        assert most[0] == 1  # without a grant yet: the safe share
        host.line('"new":3.0', 20)  # the unknown was waited out, then all there is was granted
        agent.until(lambda: len(agent.running) == 3)
        done = len(agent.launches)
        agent.until(lambda: len(agent.launches) >= done + 12)
        assert most[0] == 3  # and never more than the share
        status = ["ringshift", "budget", "status", "--settings", str(settings), "--json"]
        command = [sys.executable, "-m", *status]
        (told,) = json.loads(subprocess.check_output(command, cwd=ROOT, text=True))
        assert (told["whole"], told["counted"]) == (3.0, 3.0)
        (row,) = told["backends"]
        assert row["backend"].startswith("n3.") and row["share"] == 3.0 and row["use"] <= 3.0
        # Wanted is what runs and what waits; the end is as of the look, a life of 4 s and the drift at most.
        assert told["divider"].startswith("n3 ") and row["want"] > 3.0 and 0 < row["ends_within_ms"] <= 4040
        plain = subprocess.check_output(command[:-1], cwd=ROOT, text=True)
        assert plain.startswith("database: whole 3 calls, counted in use at most 3")
        assert "divided by n3 " in plain and re.search(r"share 3, ends within [0-4]\.\d s, wants ", plain)
        for _ in range(20):
            for one in list(agent.running):
                agent.finish(one)
            gevent.sleep(0.01)
        feeding.kill()
        agent.until(lambda: not agent.running)
        host.process.send_signal(signal.SIGTERM)
        assert host.ended() == 0
        link = BudgetLink([keeper], time.monotonic_ns, 2.0)
        held = link.read("database")
        assert [ask.leaving for ask in held.asks] == [True]


def test_a_share_granted_again_as_it_was_is_told_with_its_later_end() -> None:
    """Else the decisions fall to the safe share when the first grant ends, though it is granted on."""
    terms = Budget("looks", Unit.RATE, 20, 2, 2, operation="look", longest=0)
    share = Share("a", terms, 600_000_000)
    told = shared(share, terms)
    assert told.granted(1, CONTROL) == [Granted(Unit.RATE, 2.0, 0, 2.0, 0)]  # at first: the safe one
    ends = []
    for number in (1, 2, 3):
        now = number * S
        share.hear(News.TICK, now)
        share.hear(News.LEDGER, now, Ledger(number, 20.0, {"a": Grant(number, 16.0, 16.0)}, 8 * S))
        (news,) = told.granted(now, CONTROL)
        assert (news.amount, told.granted(now, CONTROL)) == (18.0, [])
        ends.append(news.until)
    assert ends == [number * S + 8 * S - terms.margin - terms.longest for number in (1, 2, 3)]


def shared(share: Share, terms: Budget) -> Shares:
    """A process's shares with one that nobody asks for: the test hands it its news."""
    sharer = cast(Sharer, SimpleNamespace(share=share, poll=lambda use, waiting: False))
    return Shares([sharer], cast(Dividers, None), {terms.operation: 0})


CONTROL = cast(Controller, SimpleNamespace(demand=lambda unit, operation: (0.0, 0.0)))


def test_a_backend_begins_no_more_a_second_than_its_share_of_a_rate(tmp_path: Path, keeper: str) -> None:
    """Of two that the fleet may have this is the only one: 18 of 20 a second are its own, 2 set aside."""
    settings = tmp_path / "fleet.toml"
    settings.write_text(
        f'[leases]\nkeepers = ["{keeper}"]\nttl_s = 2\nmargin_ms = 200\nanswer_within_ms = 600\n'
        '[[budgets]]\nname = "looks"\nunit = "rate"\noperation = "look"\nwhole = 20\nmost = 2\nsafe = 2\n'
        "life_ms = 1500\nrefresh_ms = 200\nmargin_ms = 100\n"
    )
    agent = Agent(lambda job, kind, body: (0.0, "good", b"made"))
    with Host(agent, environ={"RINGSHIFT_SETTINGS": str(settings), "RINGSHIFT_RECORDS": "lines"}) as host:
        sidecar, began = host.serving(), time.monotonic()

        def feed() -> None:
            for request in range(1, 10_000):  # a hundred a second at the most
                sidecar.send(sidecar.call(request))
                gevent.sleep(0.01)

        feeding = gevent.spawn(feed)
        host.line('"new":18.0', 20)
        granted, before = time.monotonic(), len(agent.launches)
        assert before <= 18 * (granted - began) + 1.8 + 1
        agent.until(lambda: len(agent.launches) >= before + 40)
        assert len(agent.launches) - before <= 18 * (time.monotonic() - granted) + 1.8 + 1
        feeding.kill()


def test_the_backend_as_run_starts_it_has_no_part_in_budgets() -> None:
    """Off on the platform: without the operators' file nothing of it is imported and no thread is started."""
    line = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
    line = line.replace(".venv/bin/python", sys.executable)
    with Host(Agent(lambda job, kind, body: (0.0, "good", b"made")), shell=line) as host:
        sidecar = host.serving()
        sidecar.send(sidecar.call(1))
        assert sidecar.answer(1).status == 200
        tasks = list(Path(f"/proc/{host.process.pid}/task").iterdir())
        assert len(tasks) == 1
    code = (
        "import sys, ringshift.lifecycle.entry; print([m for m in sys.modules if m.startswith(("
        "'ringshift.fleet', 'ringshift.wire.keeper', 'ringshift.wire.shares', 'etcd3gw', 'requests'))])"
    )
    assert subprocess.check_output([sys.executable, "-c", code], cwd=ROOT, text=True).strip() == "[]"
