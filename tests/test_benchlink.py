"""The wire: units, ids, lives of an instance, and plain words on what is malformed."""

from __future__ import annotations

import io
from typing import Any

import orjson
import pytest

from ringshift.benchlink import __main__ as link

ENV: dict[str, Any] = {
    "classes": [{"name": "a", "effect": "safe", "aim": 1000.0, "hard_limit": 3000.0}],
    "extra": {"n_cores": 2, "ram_kb": 9000.0, "run_factor": 4.0, "gauges": ["cpu_busy", "runnable"]},
    "rules": {"fall_multiple": 8.0, "stop_sending_within": 1000.0, "cold_from": 0.2, "ramp_time": 9000.0},
    "unheard": 1,
}
CREATE = {"Create": {"who": 3, "seed": 2**64 - 1, "env": ENV}}  # a seed is no figure with a bound
NEW = {"NewRequest": {"who": 3, "job": "x", "priority": "a", "kb": 5.0, "left": 250.5, "lay": 1.5}}


def play(monkeypatch: pytest.MonkeyPatch, *batches: Any) -> tuple[int, list[Any]]:
    lines = b"".join(b if isinstance(b, bytes) else orjson.dumps(b) + b"\n" for b in batches)
    out = io.BytesIO()
    monkeypatch.setattr("sys.stdin", type("In", (), {"buffer": io.BytesIO(lines)}))
    monkeypatch.setattr("sys.stdout", type("Out", (), {"buffer": out}))
    code = link.main()
    return code, [orjson.loads(line)["output"] for line in out.getvalue().splitlines()]


def test_one_reply_a_batch_and_a_second_life(monkeypatch: pytest.MonkeyPatch) -> None:
    batches = [
        {"moment": 1.0, "input": []},
        {"moment": 2.0, "input": [CREATE, NEW]},
        {"moment": 3.0, "input": [{"Stop": {"who": 3}}, CREATE, NEW]},
    ]
    code, replies = play(monkeypatch, *batches)
    assert code == 0 and len(replies) == 3 and replies[0] == []
    assert {"Process": {"who": 3, "job": "x"}} in replies[1] and {
        "Process": {"who": 3, "job": "x"}
    } in replies[2]
    assert {"Sleep": {"who": 3, "name": 0, "sleep_for": 50.0}} in replies[1]


@pytest.mark.parametrize(
    "batch, named",
    [
        (b"{\n", "batch: not JSON"),
        ({"moment": 1.0, "input": [{"Odd": {"who": 1}}]}, "Odd: unknown message"),
        ({"moment": 1.0, "input": [CREATE, {"NewRequest": {"who": 3}}]}, "NewRequest: priority: missing"),
        (
            {"moment": 1.0, "input": [CREATE, {"WindDown": {"who": 3, "left": "x"}}]},
            "WindDown: left: expected a number",
        ),
        (
            {"moment": 1.0, "input": [{"Create": {"who": 3, "seed": 1, "env": {**ENV, "classes": []}}}]},
            "operations",
        ),
    ],
)
def test_malformed_input_ends_it_with_a_plain_message(
    monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str], batch: Any, named: str
) -> None:
    code, _ = play(monkeypatch, batch)
    assert code != 0 and named in capsys.readouterr().err
