"""Gathering under a lease: turns, places, sources that fail or change, one transaction a step, takeovers."""

from __future__ import annotations

import subprocess
import sys
import time
from pathlib import Path

import pytest

from ringshift.fleet.gathering import (
    FIRST_WAIT,
    GIVEN_UP,
    PORTION,
    TABLE,
    Gathering,
    Kind,
    Portion,
    S,
    Seen,
    Source,
)
from ringshift.records.portions import look, portion
from ringshift.records.schema import LeaseChange, Record, Said
from ringshift.store.fenced import FencedStore
from ringshift.store.incident import Incident
from ringshift.store.reader import write

ROOT = Path(__file__).parent.parent.parent


def plan(*seen: Seen, follow: bool = False) -> Gathering:
    gathering = Gathering(follow)
    gathering.resumed(0, [])
    gathering.looked(seen, 0)
    return gathering


def test_every_effect_of_the_specification_is_a_method() -> None:
    for _, effects in TABLE.values():
        for name in effects:
            assert callable(getattr(Source, name)), name


def test_sources_are_read_in_turn_whatever_their_size() -> None:
    gathering = plan(Seen("a", size=10 * PORTION), Seen("b", size=100), Seen("c", size=2 * PORTION))
    order = []
    for _ in range(5):
        wanted = gathering.next(0)
        assert wanted is not None
        order.append(wanted.path)
        reached = min(wanted.place + PORTION, gathering.sources[wanted.path].size)
        gathering.accepted(wanted, reached, 0)
    assert order == ["a", "b", "c", "a", "c"] and not gathering.finished


def test_nothing_is_next_until_the_store_said_what_it_holds() -> None:
    gathering = Gathering()
    gathering.looked([Seen("a", size=10)], 0)
    assert gathering.next(0) is None
    gathering.taken()
    gathering.resumed(4, [("a", 7, "")])
    gathering.looked([Seen("a", size=10)], 0)
    wanted = gathering.next(0)
    assert wanted is not None and (wanted.place, gathering.step) == (7, 4)  # where the last holder ended


def test_a_replaced_source_is_read_from_its_start_and_a_grown_one_from_its_place() -> None:
    gathering = plan(Seen("a", size=100, head="one"))
    gathering.accepted(Portion("a", Kind.LINES, 0, PORTION, "one"), 100, 0)
    assert gathering.next(0) is None and gathering.finished
    gathering.looked([Seen("a", size=150, head="one")], S)
    assert [one.place for one in [gathering.next(S)] if one] == [100]
    gathering.looked([Seen("a", size=150, head="two")], 2 * S)
    assert [one.place for one in [gathering.next(S)] if one] == [0]


def test_a_failing_source_waits_longer_each_time_and_holds_nobody_up() -> None:
    gathering = plan(Seen("bad", size=100), Seen("good", size=100))
    now = 0
    gathering.failed("bad", now, "broken")
    wanted = gathering.next(now)
    assert wanted is not None and wanted.path == "good"
    gathering.accepted(wanted, 100, now)
    waits = []
    while not gathering.finished:
        assert gathering.next(now) is None  # not before its wait is over
        now = gathering.sources["bad"].again
        waits.append(gathering.sources["bad"].wait)
        again = gathering.next(now)
        assert again is not None and again.path == "bad"
        gathering.failed("bad", now, "broken")
    assert waits == [FIRST_WAIT, 2 * FIRST_WAIT] and gathering.sources["bad"].wait >= GIVEN_UP
    assert gathering.picture()["failing"] == ["bad"]


def test_a_source_that_comes_back_readable_is_taken_up_again() -> None:
    gathering = plan(Seen("a", trouble="denied"), follow=True)
    assert gathering.next(0) is None
    gathering.looked([Seen("a", size=50)], S)
    wanted = gathering.next(2 * S)
    assert wanted is not None
    gathering.accepted(wanted, 50, 2 * S)
    assert gathering.sources["a"].wait == 0 and not gathering.finished  # following never ends


def record(server: str, seq: int) -> bytes:
    return write(Record(server, "r1", seq, 10**18 + seq, seq, Said("info", f"line {seq}"))) + b"\n"


def test_a_portion_ends_at_a_whole_line_and_a_broken_one_is_refused_by_place(tmp_path: Path) -> None:
    path = tmp_path / "n1.log"
    path.write_bytes(record("n1", 1) + b"not ours\n" + record("n1", 2) + record("n1", 3)[:20])
    seen = look(path)
    assert seen.kind is Kind.TEXT  # a line among the first that is no record: read whole, as ever
    path.write_bytes(record("n1", 1) * 30 + b"not ours\n" + record("n1", 2) + record("n1", 3)[:20])
    seen = look(path)
    read = portion(Portion(str(path), Kind.LINES, 0, PORTION, seen.head))
    assert read.reached == len(record("n1", 1)) * 30 + 9 + len(record("n1", 2))
    assert [type(one).__name__ for _, _, one in read.found].count("Refusal") == 1


def test_a_step_is_whole_or_not_there_and_an_old_token_is_refused(tmp_path: Path) -> None:
    path = tmp_path / "n1.log"
    path.write_bytes(b"".join(record("n1", seq) for seq in range(1, 11)))
    wanted = Portion(str(path), Kind.LINES, 0, PORTION, "h")
    store = FencedStore(str(tmp_path / "incident.db"))
    assert store.take("gather", 5, 1, wanted, portion(wanted), lambda: False) is None  # the last look said no
    assert store.progress("gather") == (0, []) and store.incident.runs() == []
    told = store.take("gather", 5, 1, wanted, portion(wanted), lambda: True)
    assert told is not None and told.accepted
    assert store.progress("gather") == (1, [(str(path), path.stat().st_size, "h")])
    late = store.take("gather", 4, 2, wanted, portion(wanted), lambda: True)
    assert late is not None and not late.accepted and late.step == 1  # an older holder, woken
    twice = store.take("gather", 5, 1, wanted, portion(wanted), lambda: True)
    assert twice is not None and not twice.accepted
    assert [count for *_, count in store.incident.runs()] == [10]
    store.close()


def test_a_lease_change_is_a_record_of_the_schema() -> None:
    from ringshift.store.reader import read

    body = LeaseChange("gather", "n1", "SEEKING", "HOLDING", "GRANTED", 4, 9400.0)
    told = read(write(Record("n1", "r1", 1, 10**18, 0, body)))
    assert isinstance(told, Record) and told.body == body


@pytest.mark.parametrize("die", [0, 12])
def test_several_processes_gather_one_store_and_none_is_missed(tmp_path: Path, die: int) -> None:
    """Three holders; the first killed by the store's acceptance of a step, before its own record of it."""
    logs = tmp_path / "logs"
    logs.mkdir()
    for server in range(8):
        lines = b"".join(record(f"n{server}", seq) for seq in range(1, 4001))
        (logs / f"n{server}.log").write_bytes(lines)
    keeper = subprocess.Popen(
        [sys.executable, "-m", "standins.keeper", str(tmp_path / "keeper")],
        cwd=ROOT,
        stdout=subprocess.PIPE,
        text=True,
    )
    assert keeper.stdout is not None
    address = keeper.stdout.readline().split()[-1]
    settings = tmp_path / "fleet.toml"
    settings.write_text(
        f'[leases]\nkeepers = ["{address}"]\nttl_s = 2\nmargin_ms = 200\n'
        "answer_within_ms = 600\n[records]\nlines = true\n"
    )
    store = tmp_path / "incident.db"
    argv = [sys.executable, "-m", "ringshift", "lease", "gather", "records", "--settings", str(settings)]
    holders: list[subprocess.Popen[bytes]] = []
    first = b""
    try:
        for number in range(3):
            more = ["--name", f"g{number}", "-o", str(store)]
            if number == 0:
                more += ["--die-at-step", str(die)]
            holders.append(subprocess.Popen([*argv, *more, str(logs)], cwd=ROOT, stderr=subprocess.PIPE))
            while number == 0 and b'"new":"HOLDING"' not in first:
                first += holders[0].stderr.readline()  # type: ignore[union-attr]
        began = time.monotonic()
        told = [holder.communicate(timeout=60) for holder in holders]
        assert time.monotonic() - began < 60
    finally:
        for holder in holders:
            holder.kill()
            holder.wait()
        keeper.kill()
        keeper.wait()
    codes = sorted(holder.returncode for holder in holders)
    assert codes == ([-9, 0, 0] if die else [0, 0, 0]), told
    incident = Incident(store)
    assert {(server, count) for server, _, _, count in incident.runs()} == {(f"n{n}", 4000) for n in range(8)}
    assert incident.refusals() == []
    # Nothing was read twice: each source's records were new, whoever took them.
    assert [(one.taken, one.again, one.refused) for one in incident.sources()] == [(4000, 0, 0)] * 8
    assert b'"kind":"lease"' in first
    incident.close()
