"""The rulebook in the program: a backend that acts by it, falls to `alone`, answers on; off in `run`."""

from __future__ import annotations

import json
import signal
import subprocess
import sys
import tomllib
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import pytest

from standins.agent import Agent
from standins.host import ROOT, Host
from standins.sidecar import Answer, Sidecar

BOOK = """
[[lists]]
of = "callers"
effect = "held_back"
entries = [{callers}]

[[lists]]
of = "operations"
effect = "held_back"
entries = [{operations}]

[alone]
[[alone.lists]]
of = "callers"
effect = "held_back"
entries = ["9"]
"""


class Keeper:
    def __init__(self, folder: Path) -> None:
        self.folder, self.address = folder, "127.0.0.1:0"
        self.start()

    def start(self) -> None:
        folder = str(self.folder / "keeper")
        argv = [sys.executable, "-m", "standins.keeper", folder, "--listen", self.address]
        self.process = subprocess.Popen(argv, cwd=ROOT, stdout=subprocess.PIPE, text=True)
        assert self.process.stdout is not None
        self.address = self.process.stdout.readline().split()[-1]

    def kill(self) -> None:
        self.process.kill()
        self.process.wait()


@pytest.fixture
def keeper(tmp_path: Path) -> Iterator[Keeper]:
    started = Keeper(tmp_path)
    yield started
    started.kill()


def ringshift(*words: str) -> dict[str, Any]:
    told = subprocess.run(
        [sys.executable, "-m", "ringshift", *words, "--json"],
        cwd=ROOT,
        text=True,
        capture_output=True,
        check=True,
    )
    found: dict[str, Any] = json.loads(told.stdout.splitlines()[-1])
    return found


def book(folder: Path, callers: str = "", operations: str = "") -> str:
    path = folder / "book.toml"
    path.write_text(BOOK.format(callers=callers, operations=operations))
    return str(path)


def settings(folder: Path, keeper: Keeper) -> str:
    (folder / "installation.toml").write_text(BOOK.format(callers="", operations=""))
    path = folder / "fleet.toml"
    path.write_text(
        f'[leases]\nkeepers = ["{keeper.address}"]\nanswer_within_ms = 400\n'
        f'[rules]\ninstallation = "{folder}/installation.toml"\nlife_ms = 2000\nmargin_ms = 100\n'
        "refresh_ms = 200\nanswer_within_ms = 400\n"
    )
    return str(path)


def publish(path: str, file: str) -> dict[str, Any]:
    return ringshift("rules", "publish", file, "--author", "a", "--reason", "r", "--settings", path)


def after(host: Host, said: int, text: str) -> None:
    """Waits for a log line that came after the first `said`."""
    host.wait(host.logged, lambda: any(text in line for line in host.lines[said:]), 20)


def asked(sidecar: Sidecar, request: int, operation: str = "look", caller: int = 4) -> Answer:
    sidecar.send(sidecar.call(request, operation, HTTP_X_SENDER=str(caller)))
    return sidecar.answer(request)


def test_a_backend_acts_by_the_rulebook_falls_to_alone_and_comes_back(tmp_path: Path, keeper: Keeper) -> None:
    path = settings(tmp_path, keeper)
    agent = Agent(lambda job, kind, body: (0.0, "good", b"made"))
    environ = {"RINGSHIFT_SETTINGS": path, "RINGSHIFT_RECORDS": "lines"}
    with Host(agent, environ=environ) as host:
        sidecar = host.serving()
        refused = asked(sidecar, 1, caller=9)  # nothing was ever published: the installation's `alone`
        assert refused.status == 429 and refused.fields["X-Terminal"] == "1"
        assert asked(sidecar, 2).status == 200
        publish(path, book(tmp_path, callers='"4"'))
        host.line('"state":"READING"')
        refused = asked(sidecar, 3)
        assert refused.status == 429 and refused.fields["X-Terminal"] == "1"
        assert "X-Wait-Ms" not in refused.fields  # come back never, not later
        assert asked(sidecar, 4, caller=9).status == 200
        assert publish(path, book(tmp_path, operations='"order"'))["state"] == "IN_FORCE"
        said = len(host.lines)
        keeper.kill()
        after(host, said, '"state":"ALONE"')
        assert asked(sidecar, 5, caller=9).status == 429
        assert asked(sidecar, 6, "order").status == 200  # `alone` holds back none: what it names is all of it
        said = len(host.lines)
        keeper.start()
        after(host, said, '"state":"READING"')
        assert asked(sidecar, 7, "order").status == 429 and asked(sidecar, 8, caller=9).status == 200
        host.line('"ruled":1')  # refusals by the rulebook are counted apart in the records
        host.process.send_signal(signal.SIGTERM)
        assert host.ended() == 0
        status = ringshift("rules", "status", "--settings", path)
        assert status["readers"] == []  # its last word: no publication waits for it
    assert len(agent.launches) == 4


def test_the_backend_as_run_starts_it_has_no_part_in_a_rulebook() -> None:
    """Off on the platform: without the operators' file nothing of it is imported and no thread is started."""
    line = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
    line = line.replace(".venv/bin/python", sys.executable)
    with Host(Agent(lambda job, kind, body: (0.0, "good", b"made")), shell=line) as host:
        assert asked(host.serving(), 1).status == 200
        assert len(list(Path(f"/proc/{host.process.pid}/task").iterdir())) == 1
        opened = Path(f"/proc/{host.process.pid}/maps").read_text()
        assert "msgspec" not in opened and "xxhash" not in opened
    words = "'ringshift.rulebook', 'ringshift.schedule', 'ringshift.retirement', 'ringshift.wire.rules'"
    code = (
        "import sys, ringshift.lifecycle.entry; "
        f"print([m for m in sys.modules if m.startswith(({words}, 'etcd3gw', 'msgspec', 'xxhash'))])"
    )
    assert subprocess.check_output([sys.executable, "-c", code], cwd=ROOT, text=True).strip() == "[]"
