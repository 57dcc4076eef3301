"""A backend on sockets whose rulebook retires an operation: it warns, then turns away for good."""

from __future__ import annotations

import signal
from collections.abc import Iterator
from pathlib import Path

import pytest

from ringshift.cli.main import command
from standins.agent import Agent
from standins.host import Host
from standins.sidecar import Answer, Sidecar
from tests.retirement.processes import Keeper, book


@pytest.fixture
def keeper(tmp_path: Path) -> Iterator[Keeper]:
    keeper = Keeper(tmp_path)
    yield keeper
    keeper.stop()


def asked(sidecar: Sidecar, request: int, operation: str = "look", caller: int = 4) -> Answer:
    sidecar.send(sidecar.call(request, operation, HTTP_X_SENDER=str(caller)))
    return sidecar.answer(request)


def test_callers_are_warned_on_answers_and_those_warned_are_turned_away_for_good(
    tmp_path: Path,
    keeper: Keeper,
) -> None:
    first, plan, settings = (tmp_path / name for name in ("first.toml", "plan.toml", "fleet.toml"))
    first.write_text("[alone]\n")
    settings.write_text(
        f'[leases]\nkeepers = ["{keeper.address}"]\nttl_s = 2\nmargin_ms = 200\nanswer_within_ms = 400\n'
        f'[rules]\ninstallation = "{first}"\nlife_ms = 4000\nmargin_ms = 100\nrefresh_ms = 200\n'
        "answer_within_ms = 800\nwarn = true\n"
    )
    text = book([(-1, 1.0)]).replace("[alone]\n", "").replace('"order-book-2"', '"order"')
    plan.write_text(text.replace('operation = "order-book"', 'operation = "look"'))
    words = ["--author", "a", "--reason", "r", "--settings", str(settings)]
    assert command(["rules", "publish", str(first), *words]) == 0
    agent = Agent(lambda job, kind, body: (0.0, "good", b"made"))
    environ = {"RINGSHIFT_SETTINGS": str(settings), "RINGSHIFT_RECORDS": "lines"}
    with Host(agent, environ=environ) as host:
        sidecar = host.serving()
        host.line('"state":"READING"')
        assert "Deprecation" not in asked(sidecar, 1).fields
        assert command(["retire", "plan", str(plan), *words]) == 0
        for request in (2, 3, 4):
            told = asked(sidecar, request)
            assert told.status == 200 and told.fields["Deprecation"].startswith("@")
            assert told.fields["Sunset"].endswith(" GMT") and "successor-version" in told.fields["Link"]
        assert "Deprecation" not in asked(sidecar, 5, "order").fields
        host.line('"ready":1', 30)  # decided with this caller past the floor
        refused = next(
            told for told in (asked(sidecar, request) for request in range(6, 2000)) if told.status != 200
        )
        assert refused.status == 429 and refused.fields["X-Terminal"] == "1"
        assert "X-Wait-Ms" not in refused.fields and "Deprecation" not in refused.fields
        served = asked(sidecar, 2001, caller=5)  # never warned before
        assert served.status == 200 and "Deprecation" in served.fields
        assert asked(sidecar, 2002, "order").status == 200
        assert asked(sidecar, 2003).status == 429  # a new try finds the same
        host.line('"ruled":')
        host.process.send_signal(signal.SIGTERM)
        assert host.ended() == 0
