"""Names that leave the process stay letter for letter, whatever the code calls them.

Each form that is stored or sent is written out here as a literal, read by the program and written again.
An identifier that gets another name keeps the outer one by an explicit mapping, or the literal no longer
matches.
"""

from __future__ import annotations

import base64
import hashlib
import struct
import tomllib
from collections.abc import Callable, Iterable
from dataclasses import fields
from enum import Enum
from pathlib import Path
from typing import Any, get_args, get_type_hints

import msgspec
import orjson
import pytest

from ringshift.findings.digest import Digest
from ringshift.fleet import budget, gathering, lease, members, share
from ringshift.machine import Malformed
from ringshift.records import schema
from ringshift.records.schema import KINDS, Record
from ringshift.retirement import clearing, judge, lane, position, ramp, timeline
from ringshift.retirement import plan as retirement_plan
from ringshift.rulebook import document, errand, kinds, reader, version, writing
from ringshift.schedule import planner, service
from ringshift.schedule import rules as schedule_rules
from ringshift.settings.operators import read_operators
from ringshift.store import headstart
from ringshift.store import reader as record_reader
from ringshift.wire import retiring, rulewords, shares

# Records.

COUNTS = (
    '{"operation":"look","arrived":1,"succeeded":2,"throttled":3,"errored":4,"gone":5,"launched":6,"ran":7,'
    '"ran_ms":8.5,"failed_runs":9,"held":10,"level":11.5,"ruled":12}'
)
RECORD_BODIES = {
    "started": '{"version":"0.2.0","listen":"127.0.0.1:9","operations":["look"],"cores":2,"stop_ms":3000.0,'
    '"role":"observer"}',
    "phase": '{"old":"warming","new":"serving","why":"greeted"}',
    "greeted": '{"cold":true,"took_ms":1.5}',
    "ready": '{"good":true}',
    "second": f'{{"span_ms":1000.5,"counts":[{COUNTS}],"running":1,"limit":2.5,"door":0.5,"pressure":0.25,'
    '"slowness":1.5,"memory_kb":64.5,"again":3,"callers":4,"unread_ms":0.75,"asked":5,"sampled":6,'
    '"wanting":0.125,"lag_ms":2.25,"stamps":[{"caller":7,"least_ms":0.5,"count":8}]}',
    "shedding": '{"operation":"look","on":true}',
    "said": '{"level":"info","text":"listening on 127.0.0.1:9"}',
    "mark": '{"token":"report b1 9 1 true","spread_ms":5.5}',
    "saw": '{"server":"b1","what":"announced","detail":"true"}',
    "dropped": '{"count":3,"first":4,"why":"full"}',
    "ended": '{"status":1,"owed":2}',
    "lease": '{"task":"gather","holder":"h1","old":"SEEKING","new":"HOLDING","why":"TAKEN","token":3,'
    '"left_ms":4.5}',
    "share": '{"budget":"calls","old":1.5,"new":2.5,"why":"LEDGER","round":3,"left_ms":4.5}',
    "ramp": '{"timeline":"old-one","holder":"h1","old":"HOLDING","new":"SHEDDING","why":"on","edition":1,'
    '"rung":2,"share":3,"token":4,"known":5,"fresh":6,"answers":[7,8,9],"moved":10,"ready":11}',
    "rules": '{"state":"READING","acted_by":[[1,2],[1,3]],"left_ms":4.5,"why":"confirmed"}',
    "change": '{"change":"night","old":"PLANNED","new":"ARMED","part":1,"left_ms":2.5,"withdrawn":true,'
    '"confirmed":true}',
}


def record_line(kind: str) -> bytes:
    return (
        f'{{"ringshift":1,"server":"b1","run":"r1","seq":2,"at":3,"up":4,"kind":"{kind}",'
        f'"body":{RECORD_BODIES[kind]}}}'
    ).encode()


def test_every_kind_of_record_has_a_written_form_here() -> None:
    assert list(KINDS) == list(RECORD_BODIES)


@pytest.mark.parametrize("kind", RECORD_BODIES)
def test_a_record_is_read_and_written_letter_for_letter(kind: str) -> None:
    record = record_reader.read(record_line(kind))
    assert isinstance(record, Record)
    assert record_reader.write(record) == record_line(kind)
    assert orjson.dumps(record.body).decode() == RECORD_BODIES[kind]  # as the backend writes it
    assert (schema.VERSION, record.ref) == (1, "b1/r1/2")


# Values at the coordination store.

DIGEST = "8d777f385d3dfec8815d20f7496026dc8d777f385d3dfec8815d20f7496026dc"
DECIDED = '{"edition":1,"key":2,"rung":3,"share":4,"until":5,"ready":[6]}'


def reencoded(kind: Any) -> Callable[[bytes], bytes]:
    return lambda data: msgspec.json.encode(msgspec.json.decode(data, type=kind))


def rewritten_share_request(data: bytes) -> bytes:
    read = shares.read_ask("b1", data)
    assert read is not None
    return shares.write_ask(read)


STORED: list[tuple[str, str, Callable[[bytes], bytes]]] = [
    (
        "head of the rulebook",
        f'{{"in_force":[1,2,"{DIGEST}"],"proposed":[1,3,"{DIGEST}"],"undoes":[1,1],"highest":[1,4],"by_all":true,'
        '"keeper":"77"}',
        reencoded(rulewords.Head),
    ),
    (
        "row of a reader",
        '[1,[1,2,"8d777f385d3dfec8"],[1,3,"8d777f385d3dfec9"],"new",[1,9],[1,3,"8d777f385d3dfeca"],[1,1]]',
        lambda data: rulewords.write_row(rulewords.read_row(data, 5)),
    ),
    ("request for a share", "[1,2.5,3.5,4,5.5,true]", rewritten_share_request),
    (
        "ledger of a budget",
        '{"round":1,"whole":12.5,"life":8000000000,"rows":{"b1":[2,3.5,4.5]},"left":{"b2":5},"at":6.5}',
        lambda data: shares.write_ledger(shares.read_ledger(data), shares.written_at(data)),
    ),
    (
        "row of a retirement",
        '{"n":1,"figures":{"edition":2,"old":3,"new":4,"errors":5,"shed":6,"moved":[7],"share":8,"owed":[9]},'
        '"warned":{"10":[11,12,13]},"leaving":true}',
        reencoded(retiring.Row),
    ),
    ("operator's pause", '{"paused":true,"reason":"why","author":"who"}', reencoded(retiring.Word)),
    (
        "position of a ramp",
        f'{{"decided":{DECIDED},"phase":"SHEDDING","since":1,"held":2,"widened":3,"why":"on","kept":[4]}}',
        reencoded(position.Position),
    ),
    (
        "head of a ramp",
        '{"digest":"ab","phase":"WITHDRAWN","since":1,"again":2}',
        reencoded(position.Head),
    ),
]


@pytest.mark.parametrize("name, written, rewrite", STORED, ids=[name for name, *_ in STORED])
def test_a_value_at_the_coordination_store_is_written_as_it_was_read(
    name: str, written: str, rewrite: Callable[[bytes], bytes]
) -> None:
    assert rewrite(written.encode()).decode() == written


class Calls:
    """Keeps the body of every call instead of sending it, with the answers of an empty store."""

    def __init__(self) -> None:
        self.bodies = list[str]()

    def __call__(self, path: str, body: dict[str, Any]) -> dict[str, Any]:
        self.bodies.append(path)
        self.bodies += decoded_strings(body)
        nothing: dict[str, Any] = {"response_range": {}}
        return {"header": {"revision": "0"}, "responses": [nothing] * 6, "succeeded": True, "kvs": []}


def decoded_strings(value: Any) -> list[str]:
    if isinstance(value, dict):
        return [text for key, one in value.items() for text in (key, *decoded_strings(one))]
    if isinstance(value, list):
        return [text for one in value for text in decoded_strings(one)]
    try:
        return [base64.b64decode(value, validate=True).decode()] if isinstance(value, str) else []
    except ValueError:
        return []  # not a key: a word of the protocol


def keys_asked(link: Any, ask: Callable[[Any], object]) -> set[str]:
    calls = link.call = Calls()
    ask(link)
    return {text for text in calls.bodies if text.startswith("/ringshift/")}


def test_keys_at_the_coordination_store_stay() -> None:
    from ringshift.wire.retiring import RetireLink
    from ringshift.wire.rules import RulesLink
    from ringshift.wire.shares import BudgetLink

    def made(kind: Any) -> Any:
        return kind(["127.0.0.1:1"], lambda: 0, 1.0)

    row = rulewords.read_row(b"", 1)
    assert keys_asked(made(RulesLink), lambda link: link.confirm("b1", row)) == {
        "/ringshift/rules/readers/b1",
        "/ringshift/rules/joins",
        "/ringshift/rules/absent/b1",
        "/ringshift/rules/head",
    }
    assert keys_asked(made(RulesLink), lambda link: link.read()) >= {
        "/ringshift/rules/head",
        "/ringshift/rules/kept",
        "/ringshift/rules/joins",
        "/ringshift/rules/readers/",
        "/ringshift/rules/absent/",
    }
    assert keys_asked(made(RulesLink), lambda link: link.version((1, 2))) == {
        "/ringshift/rules/versions/00000001.000000000002"
    }
    ask = shares.read_ask("b1", b"[1,2.5,3.5,4,5.5,true]")
    assert keys_asked(made(BudgetLink), lambda link: link.ask("calls", ask)) == {
        "/ringshift/budgets/calls/asks/b1",
        "/ringshift/budgets/calls/ledger",
    }
    assert keys_asked(made(BudgetLink), lambda link: link.divider("calls")) == {
        "/ringshift/tasks/budget-calls"
    }
    told = retiring.Row(1)
    assert keys_asked(made(RetireLink), lambda link: link.put("old-one", "b1", told, 0)) >= {
        "/ringshift/retire/old-one/rows/b1",
        "/ringshift/retire/old-one/state",
        "/ringshift/retire-heads/old-one",
    }
    assert keys_asked(made(RetireLink), lambda link: link.cleared()) == {"/ringshift/retire-cleared"}
    assert keys_asked(made(RetireLink), lambda link: link.say("old-one", retiring.Word())) == {
        "/ringshift/retire/old-one/word"
    }
    assert RetireLink.mark("old-one") == "/ringshift/retire-looks/old-one"


# The rulebook, as operators write it and as it is stored.

RULEBOOK_TOML = """
text = "for people"
[[lists]]
of = "callers"
effect = "held_back"
entries = ["c0"]
text = "why"
[[lists]]
of = "customers"
effect = "let_through"
entries = ["k0"]
[[quotas]]
of = "operations"
entry = "look"
most = 2.5
text = "why"
[[shares]]
of = "places"
entry = "p0"
share = 0.5
text = "why"
[[wholes]]
budget = "calls"
whole = 4.5
text = "why"
[alone]
lists = [{ of = "callers", effect = "held_back", entries = ["c1"] }]
[alone_next]
lists = [{ of = "callers", effect = "held_back", entries = ["c2"] }]
[[changes]]
name = "move"
does = { kind = "move", share = 0.5, source = "p0", target = "p1" }
operations = ["look"]
customers = ["k0"]
places = ["p0"]
from = 2027-01-01T00:00:00Z
to = 2027-01-01T01:00:00Z
ramp_in_ms = 1
ramp_out_ms = 2
left = { p1 = 3 }
withdrawn = 2026-12-30T00:00:00Z
settled = 2026-12-31T00:00:00Z
text = "why"
[[changes]]
name = "quota"
does = { kind = "quota", rate = 4 }
from = 2027-01-02T00:00:00Z
to = 2027-01-02T01:00:00Z
after = ["move"]
[[changes]]
name = "drain"
does = { kind = "drain", place = "p0" }
recurring = { rule = "FREQ=DAILY;COUNT=2", first = 2027-01-03T00:00:00, zone = "UTC", seconds = 60 }
[[changes]]
name = "freeze"
does = { kind = "freeze" }
from = 2027-01-05T00:00:00Z
to = 2027-01-05T01:00:00Z
[world]
serves = [{ operation = "look", places = ["p0", "p1"] }]
capacity = [{ place = "p0", most = 5 }]
load = [{ operation = "look", customer = "k0", place = "p0", rate = 6 }]
[horizon]
at = 2026-12-01T00:00:00Z
to = 2027-12-01T00:00:00Z
late_ms = 7
[[timelines]]
name = "old-one"
operation = "old"
successor = "new"
announced = 2027-01-01T00:00:00Z
warned_from = 2027-01-02T00:00:00Z
steps = [{ at = 2027-06-01T00:00:00Z, share = 0.5, hold_s = 8 }]
end = 2027-07-01T00:00:00Z
version = "v1"
brownouts = [{ from = 2027-05-01T00:00:00Z, to = 2027-05-01T01:00:00Z, share = 0.25 }]
floor = { answers = 9, over_s = 10, clocks_apart_s = 11 }
exemptions = [{ caller = 12, until = 2027-08-01T00:00:00Z, text = "why" }]
onto = [{ from = "p0", to = "p1" }]
link = "/new"
about = "/about"
text = "why"
[timelines.conditions]
successor_share = 0.7
errors_below = 0.02
errors_above = 0.04
errors_back = 0.2
moved = 0.6
least_answers = 13
heard = 0.8
fresh_s = 14
dwell_s = 15
back_after_s = 16
"""
RULEBOOK_DIGEST = "aca29f2e041b24e148b938a76e37c12a749dee77ae6ef1d3233a7c8358688657"


def test_a_rulebook_is_read_and_written_with_the_keys_that_operators_know() -> None:
    book = document.read(RULEBOOK_TOML)
    assert tomllib.loads(writing.write(book)) == tomllib.loads(RULEBOOK_TOML)


def test_the_stored_bytes_of_a_rulebook_have_the_digest_they_always_had() -> None:
    """The digest covers every key and tag; of another form, no process would know a version of before."""
    assert document.digest(document.read(RULEBOOK_TOML)) == RULEBOOK_DIGEST


def test_a_stored_version_is_written_as_it_was_read() -> None:
    book = document.canonical(document.read(RULEBOOK_TOML)).decode()
    written = f'{{"digest":"{RULEBOOK_DIGEST}","book":{book},"author":"who","reason":"why"}}'.encode()
    assert rulewords.write_version(rulewords.read_version((1, 2), written)) == written


def test_the_cached_rulebook_is_written_as_it_was_read(tmp_path: Path) -> None:
    book = document.canonical(document.read(RULEBOOK_TOML)).decode()
    body = (
        f'{{"epoch":1,"number":2,"digest":"{RULEBOOK_DIGEST}","book":{book},"author":"who","reason":"why"}}'
    ).encode()
    data = struct.pack(">4sHQ", b"RSRB", 1, len(body)) + body
    file = data + hashlib.sha256(data).digest()
    (tmp_path / "old").write_bytes(file)
    cached, trouble = headstart.kept(tmp_path / "old")
    assert cached is not None and trouble == ""
    headstart.keep(tmp_path / "new", cached)
    assert (tmp_path / "new").read_bytes() == file


# Settings.

SETTINGS_TOML = """
[records]
lines = true
folder = "/var/lib/records"
most_mb = 5.5
[leases]
keepers = ["127.0.0.1:2379"]
ttl_s = 9
margin_ms = 400
drift_ppm = 9000
answer_within_ms = 1500
grace_ms = 3000
leave_share = 0.5
[[budgets]]
name = "looks"
unit = "rate"
whole = 12.5
most = 3
safe = 0.5
operation = "look"
weight = 2.5
life_ms = 7000
refresh_ms = 900
margin_ms = 200
longest_ms = 100
drift_ppm = 8000
[rules]
installation = "/etc/installation.toml"
place = "p0"
head_start = "/var/lib/rules"
life_ms = 7000
margin_ms = 400
drift_ppm = 9000
refresh_ms = 900
answer_within_ms = 800
warn = true
"""


def test_settings_are_read_by_the_keys_that_operators_know(tmp_path: Path) -> None:
    path = tmp_path / "settings.toml"
    path.write_text(SETTINGS_TOML)
    # TOML and msgspec give the same values under the same keys, none left out and none added.
    assert msgspec.to_builtins(read_operators(str(path))) == tomllib.loads(SETTINGS_TOML)


@pytest.mark.parametrize("line", ["ttl_s = 9", "whole = 12.5", 'installation = "/etc/installation.toml"'])
def test_a_wrong_setting_is_named_by_its_line_and_its_key(tmp_path: Path, line: str) -> None:
    path = tmp_path / "settings.toml"
    lines = SETTINGS_TOML.splitlines()
    number = lines.index(line)
    key = line.split(" = ")[0]
    lines[number] = f"{key} = []"
    path.write_text("\n".join(lines))
    table = {"ttl_s": "leases", "whole": "budgets", "installation": "rules"}[key]
    with pytest.raises(Malformed, match=rf"settings.toml: line {number + 1}: {table}.{key}: "):
        read_operators(str(path))


# States and reasons that are stored, sent, recorded or printed by name.

NAMES: list[tuple[Iterable[Enum], str]] = [
    (lease.Phase, "SEEKING HOLDING DOUBTFUL RELEASED"),
    (share.State, "SAFE GRANTED LEFT"),
    (budget.Stage, "IDLE READING WAITING DIVIDING"),
    (members.State, "FINE RESTING TRYING"),
    (gathering.State, "FINE FAILING GONE"),
    (reader.State, "STARTING READING BETWEEN ALONE"),
    (version.State, "DRAFTED PROPOSED ACKNOWLEDGED IN_FORCE SUPERSEDED WITHDRAWN REFUSED"),
    (
        errand.State,
        "PUBLISHING SETTLING BEGINNING LEADING REOPENING TAKING REFUSING IN_FORCE REFUSED WITHDRAWN BEATEN "
        "NOTHING LATE",
    ),
    (kinds.Verdict, "ALWAYS SUMMED NEVER ENDLESS"),
    (service.State, "PLANNED ARMED UNDER_WAY HOLDING ENDING DONE WITHDRAWN MISSED"),
    (
        planner.State,
        "LOOKING SETTLING JUDGING PROPOSING LANDED CONTRADICTS REFUSED WITHDRAWN LATE",
    ),
    (
        schedule_rules.Rule,
        "CYCLE ENDS_LATE FROZEN TWO_WAYS RING CHAINED INTO_DRAINED UNSERVED LAST_PLACE SHARES CAPACITY CLOSE",
    ),
    (
        timeline.Phase,
        "PLANNED ANNOUNCED WARNING BROWNOUT SHEDDING HOLDING PAUSED STEPPING_BACK ENDED WITHDRAWN",
    ),
    (retirement_plan.Rule, "TWO_OF_ONE RETIRED NOWHERE UNPLACED ROUTING"),
    (clearing.Finding, "UNKNOWN NAMED STANDING RECENT OWED BEHIND CLEAR"),
    (judge.Finding, "UNHEARD WORSE BAD BETWEEN UNPROVEN UNSERVED UNMOVED GOOD"),
]


@pytest.mark.parametrize("members_of, names", NAMES, ids=[f"{one!r}" for one, _ in NAMES])
def test_states_that_are_told_by_name_keep_it(members_of: Iterable[Enum], names: str) -> None:
    assert [one.name for one in members_of] == names.split()


def test_reasons_of_a_ramp_are_written_in_lower_case_of_their_names() -> None:
    """They stand in records (`ramp`, `why`) and in what an operator is told."""
    written = "gone lost owed announce warn light worse stop confirmed bad short again dark last due more"
    assert [one.name.lower() for one in ramp.Word] == written.split()


def field_names(kind: Any) -> str:
    return " ".join(one.name for one in fields(kind))


def test_reasons_of_shares_and_leases_are_written_by_name() -> None:
    """They stand in records (`share` and `lease`, `why`), and the leases' in the histories of holders."""
    assert " ".join(one.name for one in share.News) == "TICK LEDGER BARE OLD UNANSWERED LATE LEAVE"
    assert " ".join(one.name for one in lease.News) == (
        "TICK GRANTED TAKEN RENEWED STALE LOST UNANSWERED FREED LATE LEAVE STANDING"
    )


def test_fields_of_a_kept_digest_stay() -> None:
    """An incident store keeps digests of runs by these names; a renamed one would be read as its default."""
    (spell,) = get_args(get_type_hints(Digest)["spells"])
    assert field_names(Digest) == (
        "server run role version operations text records wall wall_end first_up last_up last_beat last_seq "
        "first_seq rate phases spells width buckets marks words saw stamps shares holds ramps acting changes "
        "ended errors"
    )
    assert field_names(spell) == "kind start end operation before after evidence slack"


def test_fields_of_a_timelines_status_stay() -> None:
    """`ringshift retire status --json` writes them."""
    assert field_names(lane.Standing) == (
        "name phase planned edition rung planned_rung share shed counted short stopped late why"
    )
