"""Records from the writer to the store: bounds, gaps, and whatever a source may hold."""

from __future__ import annotations

import gc
import os
import sqlite3
import subprocess
import sys
import threading
from dataclasses import replace
from pathlib import Path
from random import Random

import orjson
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from ringshift.cli.main import command
from ringshift.control import Controller
from ringshift.machine import Malformed
from ringshift.records.gather import read_source, sources
from ringshift.records.recorder import Recorder
from ringshift.records.schema import Dropped, Ended, Greeted, Record, Second, Shedding
from ringshift.records.tally import REMEMBERED, Tally, peek
from ringshift.records.text import TextLog
from ringshift.records.watch import AWAY, SUCCEEDED, THROTTLED
from ringshift.settings.operators import read_operators
from ringshift.store.carriers import Carrier, Lines
from ringshift.store.incident import Incident
from ringshift.store.reader import Refusal, read, write
from ringshift.store.ring import Ring, file_name
from standins.agent import Agent
from standins.host import Host
from tests.simulation import machine

S = 10**9


class Kept:
    """A carrier that keeps what it is given."""

    def __init__(self) -> None:
        self.items: list[tuple[str, int, int, bytes]] = []
        self.trouble = ""

    def put(self, *item: object) -> None:
        self.items.append(item)  # type: ignore[arg-type]

    def close(self, seconds: float) -> None:
        pass


def written(*carriers: Carrier, some: int = 5, server: str = "n1") -> Recorder:
    recorder = Recorder(server, list(carriers))
    recorder.started("127.0.0.1:1", ("look", "order"), 4, 2000.0)
    for index in range(some):
        recorder.greeted(bool(index % 2), index * 1000)
    recorder.end(0, 0)
    return recorder


def log_of(some: int = 5, server: str = "n1") -> tuple[list[bytes], Recorder]:
    kept = Kept()
    recorder = written(kept, some=some, server=server)
    return [item[3] for item in kept.items], recorder


def test_what_is_written_is_read_back() -> None:
    kept = Kept()
    recorder = Recorder("n1", [kept])
    recorder.started("127.0.0.1:1", ("look",), 4, 2000.0)
    recorder.tally.rows[0].ends[SUCCEEDED] = 7
    recorder.beat(5 * S, 0, None)
    recorder.beat(6 * S, 3_000_000, Controller(machine(), 1))
    records = [read(item[3]) for item in kept.items]
    assert [type(one) for one in records] == [Record] * 2
    beat = records[1]
    assert isinstance(beat, Record) and isinstance(beat.body, Second)
    assert beat.body.counts[0].succeeded == 7 and beat.body.limit == 4.0 and beat.body.lag_ms == 3.0
    assert read(write(beat)) == beat


def envelope(
    version: int = 1,
    server: str = "n",
    seq: int = 1,
    at: int = 1,
    kind: str = "ended",
    body: str = '{"status":0,"owed":0}',
) -> bytes:
    return (
        f'{{"ringshift":{version},"server":"{server}","run":"r","seq":{seq},"at":{at},"up":1,'
        f'"kind":"{kind}","body":{body}}}'
    ).encode()


REFUSED = [
    (b"{", "not JSON"),
    (b"[]", "not a record"),
    (b'{"ringshift":1}', "not a record"),
    (envelope(version=2), "other version"),
    (envelope(kind="new"), "unknown kind"),
    (envelope(body="{}"), "not a record"),
    (envelope(server=""), "not a record"),
    (envelope(seq=-1), "not a record"),
    (envelope(at=-5), "not a record"),
    (b"\xff\xfe", "not JSON"),
    (b"[" * 50_000, "not a record"),
    (b"x" * 70_000, "too long"),
]


@pytest.mark.parametrize("line,kind", REFUSED)
def test_what_is_no_record_is_refused_by_name(line: bytes, kind: str) -> None:
    told = read(line)
    assert isinstance(told, Refusal) and told.kind == kind


@settings(derandomize=True, max_examples=300, deadline=None)
@given(st.binary(max_size=300), st.integers(0, 400), st.integers(0, 255))
def test_no_bytes_break_the_reader(rubbish: bytes, at: int, byte: int) -> None:
    line = bytearray(log_of(1)[0][1])
    line[at % len(line)] = byte
    for data in (rubbish, bytes(line)):
        assert isinstance(read(data), Record | Refusal)


def gathered(tmp_path: Path, *data: bytes) -> Incident:
    store = Incident(tmp_path / "store.db", create=True)
    for index, one in enumerate(data):
        path = tmp_path / f"{index}.log"
        path.write_bytes(one)
        store.take(str(path), read_source(path))
    return store


def test_rubbish_duplicates_conflicts_and_cut_ends_are_told_and_the_rest_is_taken(tmp_path: Path) -> None:
    lines, recorder = log_of(5)
    other = lines[2].replace(b'"took_ms":0.001', b'"took_ms":9.0')
    whole = b"\n".join(lines)
    rubbish, prefix = b"\n\x00\xff rubbish\n", b"kept by the platform: "
    data = lines[0] + rubbish + prefix + whole + b"\n" + other + b"\n" + lines[3][:40]
    store = gathered(tmp_path, data)
    assert len(list(store.records("n1", recorder.run))) == len(lines)
    assert sorted(kind for _, _, kind, _ in store.refusals()) == ["conflict", "cut short", "not a record"]
    assert store.sources()[0].again == 1


def test_gathering_twice_adds_nothing_and_another_carrier_fills_what_one_lost(tmp_path: Path) -> None:
    lines, recorder = log_of(5)
    gap = read(lines[3])
    assert isinstance(gap, Record)
    lost = write(replace(gap, body=Dropped(2, gap.seq - 1, "carrier full")))
    whole = b"\n".join(lines)
    store = gathered(tmp_path, b"\n".join([*lines[:2], lost, *lines[4:]]), whole, whole)
    assert list(store.records("n1", recorder.run)) == [read(line) for line in lines]
    assert [source.taken for source in store.sources()] == [len(lines) - 1, 2, 0]


def test_two_runs_under_one_name_stay_apart(tmp_path: Path) -> None:
    (first, one), (second, other) = log_of(), log_of()
    store = gathered(tmp_path, b"\n".join(first + second))
    assert {run for _, run, _, _ in store.runs()} == {one.run, other.run}


def test_a_full_carrier_never_waits_and_tells_the_gap_in_its_place(tmp_path: Path) -> None:
    """Its thread is kept from writing by a pipe that nobody reads."""
    taking, giving = os.pipe()
    carrier = Lines(giving, most=50)
    recorder = Recorder("n1", [carrier])
    done = threading.Event()

    def fill() -> None:
        for index in range(3000):
            recorder.greeted(False, index)
        done.set()

    threading.Thread(target=fill, daemon=True).start()
    assert done.wait(20)
    assert carrier.lost > 0
    read_by = bytearray()
    reader = threading.Thread(target=lambda: read_by.extend(Path(f"/proc/self/fd/{taking}").read_bytes()))
    reader.start()
    while carrier.waiting:
        pass
    recorder.greeted(True, 0)  # tells what was lost
    carrier.close(10)
    os.close(giving)
    reader.join(10)
    os.close(taking)
    seqs, last = 0, 0
    for line in bytes(read_by).splitlines():
        one = read(line)
        assert isinstance(one, Record)
        body = one.body
        seqs += body.count if isinstance(body, Dropped) else 1
        assert one.seq == last + (body.count if isinstance(body, Dropped) else 1)
        last = one.seq
    assert seqs == 3001 == last


def test_the_ring_stays_under_its_bound_and_tells_what_went(tmp_path: Path) -> None:
    ring = Ring(str(tmp_path), "n1", 200_000, queue=100_000)
    recorder = written(ring, some=5000)
    ring.close(20)
    (path,) = sources([str(tmp_path)])
    assert path.stat().st_size < 400_000
    records = [one for _, _, one in read_source(path) if isinstance(one, Record)]
    assert isinstance(records[0].body, Dropped) and isinstance(records[-1].body, Ended)
    assert records[0].body.first == 1 and records[0].body.count == records[0].seq
    assert [one.seq for one in records] == list(range(records[0].seq, recorder.seq + 1))


def test_a_store_cut_at_any_byte_gives_what_can_be_read(tmp_path: Path) -> None:
    ring = Ring(str(tmp_path), "n1", 10**7)
    written(ring, some=200)
    ring.close(20)
    whole = (tmp_path / "n1.db").read_bytes()
    chance, cut = Random(5), tmp_path / "cut.db"
    for size in [0, 1, 15, 16, 99, 100, 4096, *(chance.randrange(len(whole)) for _ in range(60))]:
        cut.write_bytes(whole[:size])
        told = [one for _, _, one in read_source(cut)]
        assert all(isinstance(one, Record | Refusal) for one in told)
        data = bytearray(whole)
        data[chance.randrange(len(data))] ^= 1 << chance.randrange(8)
        cut.write_bytes(data)
        assert sum(isinstance(one, Record) for _, _, one in read_source(cut)) <= 203


@pytest.mark.parametrize("hurt", ["rubbish", "folder", "link", "unwritable"])
def test_a_folder_in_a_bad_state_costs_records_and_nothing_else(tmp_path: Path, hurt: str) -> None:
    path, folder = tmp_path / "n1.db", tmp_path
    if hurt == "rubbish":
        path.write_bytes(b"no store at all" * 1000)
    elif hurt == "folder":
        path.mkdir()
    elif hurt == "link":
        path.symlink_to(tmp_path / "elsewhere")
    else:
        (tmp_path / "file").write_bytes(b"")
        folder = tmp_path / "file" / "below"
    ring = Ring(str(folder), "n1", 10**6)
    recorder = written(ring)
    ring.close(20)
    assert str(path.name) in ring.trouble and not (tmp_path / "elsewhere").exists()
    if hurt == "rubbish":
        assert (tmp_path / "n1.db.broken").exists()
    ring.trouble = ""
    assert recorder.seq == 7


def test_names_of_servers_never_leave_the_folder() -> None:
    for name in ("../n1", "/etc/passwd", "..", "a" * 300, "n 1", "n\x001"):
        assert "/" not in file_name(name) and not file_name(name).startswith(".")
    assert len({file_name(name) for name in ("a/b", "a_b", "a b")}) == 3


def test_counting_is_bounded_whatever_traffic_invents() -> None:
    tally = Tally(("look",))
    for index in range(3 * REMEMBERED):
        tally.arrived(0, index, index, 0, index)
    assert len(tally.fresh) == REMEMBERED and len(tally.callers) <= 256
    tally.beat(1, 0)
    (beat, *_) = tally.cut(S, None)
    assert isinstance(beat, Second) and len(beat.stamps) == 8
    tally.arrived(0, 5, 1, 0, 0)
    assert tally.again == 1  # known from the set before


def test_shedding_is_told_once_where_it_begins_and_ends() -> None:
    tally, told = Tally(("look", "order")), list[Shedding]()
    for throttled in (0, 5, 1, 0, 0, 0, 0, 0):
        tally.rows[1].ends[THROTTLED] = throttled
        tally.rows[1].ends[SUCCEEDED] = 50
        tally.rows[0].ends[AWAY] = 60  # a drain is none
        beat, *others = tally.cut(S, None)
        told += [one for one in others if isinstance(one, Shedding)]
        assert isinstance(beat, Second) and [one.ruled for one in beat.counts] == [60, 0]
    assert told == [Shedding("order", True), Shedding("order", False)]


def test_a_look_at_the_module_changes_nothing_in_it() -> None:
    controller = Controller(machine(), 3)
    controller.decide(S, [])
    before = [(line.run.total, line.run.count, line.run.at) for line in controller.lines]
    seen = peek(controller.lines[0].run, 9 * S)
    Tally(("op",)).cut(9 * S, controller)
    assert before == [(line.run.total, line.run.count, line.run.at) for line in controller.lines]
    assert seen == controller.lines[0].run.mean(9 * S)


def test_text_logs_tell_phases_overload_and_readiness() -> None:
    log = TextLog()
    text = [
        "2026-12-01T10:00:00.000 INFO n3 listening on 127.0.0.1:80",
        "2026-12-01T10:00:00.500 INFO n3 agent greeted after 12 ms, cold start",
        "2026-12-01T10:00:01.000 INFO n3 overload: line full",
        "2026-12-01T10:00:02.000 INFO n3 ended: closing -> closed",
    ]
    records = [one for line in text for one in log.read(line) or []]
    assert [one.kind for one in records] == ["started", "greeted", "shedding", "phase", "ended"]
    assert records[1].body == Greeted(True, 12.0) and records[-1].up == 2 * S
    assert log.read("no line of ours") is None and log.read("2026-13-01T10:00:00.000 INFO n3 x") is None


def test_a_backend_without_records_imports_no_more_than_it_did() -> None:
    code = (
        "import sys, ringshift.lifecycle.entry; print([m for m in ('msgspec', 'click', 'rich', "
        "'sqlite3', 'jinja2', 'tomllib', 'ringshift.records.recorder', 'ringshift.records.schema') "
        "if m in sys.modules])"
    )
    assert subprocess.check_output([sys.executable, "-c", code], text=True).strip() == "[]"


def test_the_program_records_itself_on_both_carriers_alike(tmp_path: Path) -> None:
    told = tmp_path / "operators.toml"
    told.write_text(f'[records]\nlines = true\nfolder = "{tmp_path}/ring"\n')
    agent = Agent(lambda job, kind, body: (0.0, "good", body))
    with Host(agent, environ={"RINGSHIFT_SETTINGS": str(told)}) as host:
        sidecar = host.serving()
        for request in range(1, 6):
            sidecar.send(sidecar.call(request))
            assert sidecar.answer(request).status == 200
        host.line('"succeeded":5')
        host.process.terminate()
        assert host.ended() == 0
        records = [read(line.encode()) for line in host.lines]
    assert all(isinstance(one, Record) for one in records)
    assert isinstance(records[-1], Record) and records[-1].body == Ended(0, 0)
    kept = [one for _, _, one in read_source(tmp_path / "ring" / "n3.db")]
    assert kept == records


@pytest.mark.parametrize(
    "text,told",
    [
        ("[records]\nlines = 3\n", "line 2: records.lines"),
        ("[record]\n", "line 1: record"),
        ("[records]\n\nfolders = 'x'\n", "line 3: records.folders"),
        ("x = [\n", "line 2"),
        ("[records]\nmost_mb = 0.0\n", "line 2: records.most_mb"),
    ],
)
def test_wrong_settings_are_named_by_file_line_and_field(tmp_path: Path, text: str, told: str) -> None:
    path = tmp_path / "op.toml"
    path.write_text(text)
    with pytest.raises(Malformed) as wrong:
        read_operators(str(path))
    assert str(wrong.value).startswith(str(path)) and told in str(wrong.value)
    assert "\n" not in str(wrong.value)


def test_commands_end_with_the_status_that_says_how(
    tmp_path: Path, capfd: pytest.CaptureFixture[str]
) -> None:
    log = tmp_path / "n1.log"
    log.write_bytes(b"\n".join(log_of()[0]) + b"\nrubbish\n")
    store = str(tmp_path / "incident.db")
    assert command(["records", "gather", str(log), "-o", store, "--json"]) == 0
    assert orjson.loads(capfd.readouterr().out)["sources"][0]["taken"] == 7
    assert command(["records", "check", str(log)]) == 1
    assert f"{log}:8: not a record" in capfd.readouterr().out
    for wrong in (
        ["records", "gather", "/nowhere", "-o", store],
        ["records", "show", str(log)],
        ["no"],
        ["records", "gather"],
        ["records", "show", store, "--sever", "n"],
    ):
        assert command(wrong) == 2
        err = capfd.readouterr().err
        assert err.count("\n") == 1 and "Traceback" not in err
    sqlite3.connect(store).executescript("PRAGMA user_version=9")
    assert command(["records", "show", store]) == 2 and "version 9" in capfd.readouterr().err
    for words in (
        [],
        ["records"],
        *(["records", name] for name in ("gather", "check", "show")),
        ["report"],
        ["console"],
    ):
        assert command([*words, "--help"]) == 0 and "Example: ringshift" in capfd.readouterr().out
    gc.collect()
