"""The audit of the soak's measurement answers for a backend in service, and never raises into it."""

from __future__ import annotations

import json
import os
import signal
import sys
from pathlib import Path

from standins.agent import Agent
from standins.host import ROOT, Host
from standins.process_audit import SITE


def test_the_audit_of_a_serving_backend_is_written_and_the_backend_serves_on(tmp_path: Path) -> None:
    path = tmp_path / "audit.json"
    environ = {"PYTHONPATH": os.pathsep.join([str(SITE), str(ROOT)]), "RINGSHIFT_CENSUS": str(path)}
    agent = Agent(lambda job, kind, body: (0.0, "good", body))
    with Host(agent, shell=f"exec {sys.executable} -m ringshift", environ=environ) as host:
        sidecar = host.serving()
        host.process.send_signal(signal.SIGUSR2)
        host.line("audit written", 20)
        told = json.loads(path.read_text())
        assert "error" not in told, told
        assert told["rss_kb"] > 0 and told["objects"] > 0
        assert any(entry["held_by"].startswith("Owner.") for entry in told["largest"])
        sidecar.send(sidecar.call(1, "look", b"after"))
        assert sidecar.answer(1).status == 200
        host.process.send_signal(signal.SIGTERM)
        assert host.ended() == 0
