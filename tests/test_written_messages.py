"""Messages between the program and its neighbours, and its configuration: every name in them stays.

The neighbours are the simulator, the agent, sidecars, the announce service and the guarded resource. Each
message is written out here as a literal. The program's own values are given by position, so that no name of
the code tells what is sent.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import astuple
from enum import Enum
from pathlib import Path
from random import Random
from typing import Any, get_args

import orjson
import pytest

from ringshift import interface
from ringshift.benchlink import wire as benchlink
from ringshift.benchlink.ids import Ids
from ringshift.interface import Outcome
from ringshift.lifecycle.configuration import read_backend
from ringshift.machine import read_machine
from ringshift.runtime.bounds import MIB, bounds
from ringshift.wire import calls, fastcgi, news
from ringshift.wire.agent import NOTICES, Agent
from ringshift.wire.announce import report_token
from ringshift.wire.fenced import FencedLink

# The messages of the simulator.


def read_message(name: str, fields: dict[str, Any]) -> interface.Input | None:
    """With two invocations known: "x" as 0 and "y" as 1."""
    ids = Ids()
    ids.new("x")
    ids.new("y")
    return benchlink.read_input(name, fields, ids, {"a": 0, "b": 1}, {"p": 0, "q": 1})


MESSAGES: dict[str, tuple[dict[str, Any], interface.Input]] = {
    "NewRequest": (
        {
            "job": "z",
            "priority": "b",
            "project": "q",
            "left": 250.5,
            "cost": 1.5,
            "kb": 2.5,
            "precedence": 0.5,
            "resource": "r",
            "write": False,
            "src": 9,
            "lay": 3.5,
            "original": "y",
        },
        interface.Arrived(2, 1, 1, 250_500_000, 1.5, 2.5, 0.5, True, 9, 3_500_000, 1),
    ),
    "Finished": (
        {"job": "y", "ending": "T", "latency": 4.5},
        interface.Finished(1, Outcome.TIMED_OUT, 4_500_000),
    ),
    "Hangup": ({"job": "y"}, interface.CallerGone(1)),
    "WantsCall": ({"job": "y"}, interface.CallWanted(1)),
    "CallEnded": (
        {"job": "y", "ending": "C", "latency": 4.5},
        interface.CallEnded(1, Outcome.UNREACHABLE, 4_500_000),
    ),
    "WindDown": ({"left": 5.5}, interface.Leaving(5_500_000)),
    "TickDue": ({"name": 1, "stats": [0.5, None]}, interface.TimerFired(1, [0.5, None])),
}
ENDINGS = {
    "S": "succeeded",
    "E": "errored",
    "F": "rejected",
    "T": "timed out",
    "C": "unreachable",
    "R": "broken",
    "X": "stopped",
    "N": "moot",
}
MS = 1_000_000
ACTIONS: list[tuple[interface.Action, dict[str, Any]]] = [
    (interface.Start(1), {"Process": {"who": 3, "job": "y"}}),
    (interface.Halted(1), {"AbortWork": {"who": 3, "job": "y"}}),
    (
        interface.Throttle(1, 5 * MS, True),
        {"TurnAway": {"who": 3, "job": "y", "pause": 5.0, "give_up": True}},
    ),
    (interface.Fail(1), {"Fail": {"who": 3, "job": "y"}}),
    (interface.PlaceCall(1, 5 * MS), {"CallDep": {"who": 3, "job": "y", "expire_at": 5.0}}),
    (interface.SkipCall(1), {"DoWithout": {"who": 3, "job": "y"}}),
    (interface.Remember(1, 5 * MS), {"Memo": {"who": 3, "job": "y", "ttl": 5.0}}),
    (interface.Forget(1), {"Forget": {"who": 3, "job": "y"}}),
    (interface.Reuse(1), {"Reuse": {"who": 3, "job": "y"}}),
    (interface.Readiness(True, False), {"Status": {"who": 3, "enable": True, "light": False}}),
    (interface.Advertise(0.5), {"Publish": {"who": 3, "amount": 0.5}}),
    (interface.CloseIdle(5 * MS), {"IdleLimit": {"who": 3, "ttl": 5.0}}),
    (interface.Wake(1, 5 * MS), {"Sleep": {"who": 3, "name": 1, "sleep_for": 5.0}}),
    (interface.Log("text"), {"WriteLog": {"who": 3, "reason_text": "text"}}),
]


def test_each_message_of_the_simulator_is_read_by_its_fields() -> None:
    assert benchlink.READERS.keys() == MESSAGES.keys()
    for name, (fields, read) in MESSAGES.items():
        assert read_message(name, fields) == read, name
    assert {letter: outcome.value for letter, outcome in benchlink.OUTCOMES.items()} == ENDINGS


def test_each_action_is_told_to_the_simulator_by_its_fields() -> None:
    assert {type(action) for action, _ in ACTIONS} == set(get_args(interface.Action))
    for action, written in ACTIONS:
        assert benchlink.write_action(3, action, {0: "x", 1: "y"}) == written


@pytest.mark.parametrize(
    "kind, values",
    [
        (interface.Effect, "idempotent|tokened|non-idempotent"),
        (interface.Outcome, "|".join(ENDINGS.values())),
        (interface.Halt, "none|drop|pause"),
        (interface.Advert, "none|level|credit|weight"),
        (interface.Below, "none|shared|next tier"),
        (interface.Unit, "calls|rate|retries"),
    ],
)
def test_values_that_settings_are_mapped_to_stay(kind: Iterable[Enum], values: str) -> None:
    assert [one.value for one in kind] == values.split("|")


# The settings of a machine, and the configuration of a backend.

SETTINGS: dict[str, Any] = {
    "classes": [
        {
            "name": "a",
            "effect": "safe",
            "aim": 1.5,
            "aim_stretch": 2.5,
            "hard_limit": 3.5,
            "value": 4.5,
            "late_worth": 0.5,
            "window": 6.5,
        },
        {"name": "b", "effect": "keyed", "aim": 1.0, "hard_limit": 2.0, "window": 3.0},
        {"name": "c", "effect": "unsafe", "aim": 1.0, "hard_limit": 2.0},
    ],
    "tenants": [{"name": "p", "quota_per_s": 7.5}],
    "extra": {
        "n_cores": 8,
        "ram_kb": 9.5,
        "run_factor": 10.5,
        "key_kb": 11.5,
        "cold": True,
        "upstreams": 12,
        "halt": "pause",
        "advert": "tokens",
        "heeded": 13.5,
        "fresh": 14.5,
        "below": "common",
        "dep_share": 15.5,
        "dep_window": 16.5,
        "lingers": 17.5,
        "gauges": ["cpu_busy", "runnable"],
        "calls_by_class": [True, False, False],
        "degraded_worth": [0.25, 0.0, 0.0],
        "real_checks": True,
    },
    "rules": {"fall_multiple": 18.5, "stop_sending_within": 19.5, "cold_from": 0.5, "ramp_time": 21.5},
    "limits": {"retry_after": True, "max_retry_after": 22.5},
    "tick": 23.5,
    "group_size": 24,
    "over_share_worth": 0.125,
}


def test_a_machine_is_read_from_the_keys_of_its_settings() -> None:
    machine = read_machine(SETTINGS)
    effect, advert, halt, below = interface.Effect, interface.Advert, interface.Halt, interface.Below
    assert astuple(machine)[:-1] == (
        8,
        9.5,
        10.5,
        11.5,
        True,
        0.5,
        21_500_000,
        18.5,
        19_500_000,
        23_500_000,
        24,
        12,
        halt("pause"),
        advert("credit"),
        13_500_000,
        14_500_000,
        22_500_000,
        0.125,
        (
            ("a", effect("idempotent"), 1_500_000, 2.5, 3_500_000, 4.5, 0.5, 6_500_000, True, 0.25),
            ("b", effect("tokened"), 1_000_000, 0.0, 2_000_000, 1.0, 0.0, 3_000_000, False, 0.0),
            ("c", effect("non-idempotent"), 1_000_000, 0.0, 2_000_000, 1.0, 0.0, 0, False, 0.0),
        ),
        (("p", 7.5),),
        (below("shared"), 15.5, 16_500_000, 17_500_000),
        ("cpu_busy", "runnable"),
    )


@pytest.mark.parametrize(
    "key, told, value",
    [
        ("halt", "none", "none"),
        ("halt", "drop", "drop"),
        ("advert", "none", "none"),
        ("advert", "min_rank", "level"),
        ("advert", "bias", "weight"),
    ],
)
def test_a_choice_among_settings_has_the_values_that_it_had(key: str, told: str, value: str) -> None:
    machine = read_machine({**SETTINGS, "extra": {**SETTINGS["extra"], key: told}})
    assert value in [one.value for one in astuple(machine) if isinstance(one, Enum)]


def test_a_backend_is_read_from_its_variables_and_the_keys_of_its_file(tmp_path: Path) -> None:
    told = {
        "name": "n1",
        "listen": "127.0.0.1:1",
        "agent": "127.0.0.1:2",
        "announce": "127.0.0.1:3",
        "seed": "ff",
        "stop_ms": 4.5,
        "limits": {"memory_mb": 100, "sockets": 200},
        "settings": SETTINGS,
    }
    path = tmp_path / "config.json"
    path.write_bytes(orjson.dumps(told))
    backend = read_backend({"PROXY_CONFIG": str(path)})
    addresses = ("127.0.0.1", 1), ("127.0.0.1", 2), ("127.0.0.1", 3)
    assert astuple(backend)[:6] == ("n1", *addresses, 255, 4_500_000)
    assert astuple(backend)[-1] is True
    assert backend.bounds == bounds(100 * MIB, 200)
    more = {"PROXY_CONFIG": str(path), "PROXY_NAME": "n2", "PROXY_LISTEN": "127.0.0.2:9"}
    assert astuple(read_backend(more))[:2] == ("n2", ("127.0.0.2", 9))


# The agent.


class Written:
    """Takes the place of what writes to a socket."""

    def __init__(self) -> None:
        self.lines = list[bytes]()

    def put(self, data: bytes) -> bool:
        self.lines.append(data)
        return True


def test_commands_to_the_agent_are_written_as_they_were() -> None:
    agent, written = Agent(("127.0.0.1", 1), Random(0)), Written()
    agent.outbox = written  # type: ignore[assignment]
    agent.launch("j", "look", b"x")
    agent.freeze("j")
    agent.sample("r")
    agent.exercise("r")
    assert written.lines == [
        b'{"type":"launch","job":"j","kind":"look","data":"eA=="}\n',
        b'{"type":"freeze","job":"j"}\n',
        b'{"type":"sample","ref":"r"}\n',
        b'{"type":"exercise","ref":"r"}\n',
    ]


NOTICES_OF_THE_AGENT: dict[bytes, news.News | None] = {
    b'{"type":"greeting","state":"new","took":1.5}': news.Greeted(True, 1_500_000),
    b'{"type":"greeting","state":"old"}': news.Greeted(False, 0),
    b'{"n":1,"type":"outcome","job":"j","state":"good","took":2.5,"data":"eA=="}': news.RunEnded(
        "j", "good", 2_500_000, b"x"
    ),
    b'{"n":2,"type":"sampled","ref":"r","gauges":[0.5,null]}': news.Sampled("r", [0.5, None]),
    b'{"n":3,"type":"exercised","ref":"r","state":"good"}': news.Exercised("r", True),
    b'{"n":4,"type":"refusal","state":"launch","job":"j"}': news.CommandRefused("launch", "j"),
    b'{"n":5,"type":"aside","state":"text"}': None,
}


def test_notices_of_the_agent_are_read_by_their_fields() -> None:
    agent = Agent(("127.0.0.1", 1), Random(0))
    read = {line: agent.read(memoryview(line)) for line in NOTICES_OF_THE_AGENT}
    assert read == NOTICES_OF_THE_AGENT
    assert agent.read_up_to == 5
    assert set(NOTICES) == {"greeting", "outcome", "sampled", "exercised", "refusal", "aside"}


# Sidecars.

PARAMETERS = {
    "SCRIPT_NAME": "/call/look",
    "REQUEST_METHOD": "POST",
    "CONTENT_LENGTH": "1",
    "HTTP_X_JOB_ID": "0123456789abcdef",
    "HTTP_X_ITEM": "i",
    "HTTP_X_DOOR_TIME": "1.5",
    "HTTP_X_ALLOW_MS": "2.5",
    "HTTP_X_RAM_KB": "3.5",
    "HTTP_X_PRECEDENCE": "0.5",
    "HTTP_X_SENDER": "6",
    "HTTP_X_SENT_TIME": "7.5",
    "HTTP_X_UNIQUE": "u",
}


class Connection:
    """A sidecar's connection that nothing is sent to."""

    def send(self, request: int, data: bytes) -> None:
        raise AssertionError("nothing is sent")

    def note_served(self) -> None:
        raise AssertionError("nothing is served")


def request(**parameters: str) -> fastcgi.Request:
    made = fastcgi.Request(9, True, params=parameters)
    made.content += b"x"
    return made


def test_a_call_of_a_sidecar_is_read_from_its_parameters() -> None:
    door = Connection()
    assert calls.read(request(**PARAMETERS), door, {"look": 4}) == news.Called(
        door, 9, "0123456789abcdef", 4, b"x", "i", 1_500_000, 2_500_000, 3.5, 0.5, 6, 7_500_000, "u"
    )
    for query, deep in (("", False), ("all=1", True)):
        check = request(SCRIPT_NAME="/ping", QUERY_STRING=query)
        assert calls.read(check, door, {}) == news.Checked(door, 9, deep)


@pytest.mark.parametrize("name", ["HTTP_X_DOOR_TIME", "HTTP_X_RAM_KB", "HTTP_X_PRECEDENCE", "HTTP_X_SENDER"])
def test_a_parameter_that_is_missing_is_named(name: str) -> None:
    with pytest.raises(calls.Wrong, match=f"{name} missing"):
        calls.read(
            request(**{key: PARAMETERS[key] for key in PARAMETERS if key != name}), Connection(), {"look": 4}
        )


def test_answers_to_sidecars_have_the_status_and_fields_that_they_had() -> None:
    advised = calls.advice(0.5)
    answers = {
        "succeeded": (calls.succeeded(9, advised, b"r"), b"Status: 200", b"X-Advice: 0.500000"),
        "throttled": (calls.throttled(9, advised, 1, True), b"Status: 429", b"X-Wait-Ms: 1"),
        "throttled for good": (calls.throttled(9, {}, 0, True), b"Status: 429", b"X-Terminal: 1"),
        "errored": (calls.errored(9, advised), b"Status: 500", b"X-Advice: 0.500000"),
        "good": (calls.checked(9, {}, True), b"Status: 200", b""),
        "not good": (calls.checked(9, {}, False), b"Status: 503", b""),
    }
    for name, (data, status, field) in answers.items():
        assert status in data and field in data, (name, data)


# The announce service and the guarded resource.


def test_the_token_of_a_report_is_the_one_that_observers_know() -> None:
    assert report_token("n1", 2, 3, "true") == "report n1 2 3 true"


def test_lines_to_a_guarded_resource_stay(monkeypatch: pytest.MonkeyPatch) -> None:
    link, asked = FencedLink("127.0.0.1:1", 1.0), list[str]()
    answers = {"STEP gather 2 3 h1": "OK 3", "LAST gather": "AT 2 3", "STEP gather 1 4 h1": "NO 2 3"}

    def answer(line: str) -> list[str]:
        asked.append(line)
        return answers[line].split()

    monkeypatch.setattr(link, "ask", answer)
    assert link.step("gather", 2, 3, "h1") == (True, 3)
    assert link.step("gather", 1, 4, "h1") == (False, 3)
    assert link.last("gather") == 3
    assert asked == ["STEP gather 2 3 h1", "STEP gather 1 4 h1", "LAST gather"]
