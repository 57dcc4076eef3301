"""The page: one file that asks for nothing, whatever names and figures the records hold."""

from __future__ import annotations

import json
import re
from dataclasses import replace
from html.parser import HTMLParser
from pathlib import Path
from random import Random

import pytest

from ringshift.cli.main import command
from ringshift.findings.judge import What
from ringshift.records.gather import read_source
from ringshift.records.schema import Record
from ringshift.report.analyse import analyse, digests
from ringshift.store.incident import Incident
from ringshift.store.reader import Refusal, write
from standins.scripted import NOON, S, Script, Trouble

EVIL = '<script>alert(1)</script>&"x'


def store_of(path: Path, records: list[Record]) -> str:
    incident = Incident(path, create=True)
    incident.take("scripted", ((index, write(one), one) for index, one in enumerate(records)))
    incident.close()
    return str(path)


def incident(**other: object) -> Script:
    troubles = [
        Trouble("hung", "n2", 20.4, 30.0),
        Trouble("shed", "n2", 21.0, 31.0),
        Trouble("vanish", "n3", 40.0),
    ]
    return Script(3, troubles=troubles, **other).skewed()  # type: ignore[arg-type]


class Seen(HTMLParser):
    def __init__(self) -> None:
        super().__init__()
        self.tags: list[tuple[str, dict[str, str | None]]] = []

    def handle_starttag(self, tag: str, attrs: list[tuple[str, str | None]]) -> None:
        self.tags.append((tag, dict(attrs)))


def test_one_page_that_asks_nobody_and_runs_nothing(tmp_path: Path) -> None:
    script = incident(operations=(EVIL, "order"))
    store = store_of(tmp_path / "i.db", [*script.everything()])
    page = tmp_path / "i.html"
    assert command(["report", store, "-o", str(page)]) == 0
    text = page.read_text()
    seen = Seen()
    seen.feed(text)
    names = [tag for tag, _ in seen.tags]
    assert "script" not in names and names.count("svg") == 3 and EVIL not in text
    for tag, attributes in seen.tags:
        for name in ("src", "href", "xlink:href", "data", "poster"):
            value = attributes.get(name) or ""
            assert not value or value.startswith(("#", "data:")), (tag, name, value)
    assert not re.search(r"url\((?!#)", text) and "@import" not in text
    ids = [attributes["id"] for _, attributes in seen.tags if attributes.get("id")]
    assert len(ids) == len(set(ids))
    assert "It likely began at" in text and "the agent of n2 ended nothing" in text


def test_the_findings_for_programs_name_records_that_are_there(
    tmp_path: Path, capfd: pytest.CaptureFixture[str]
) -> None:
    script = incident()
    records = [*script.everything()]
    store = store_of(tmp_path / "i.db", records)
    assert command(["report", store, "--json"]) == 0
    told = json.loads(capfd.readouterr().out)
    refs = {one.ref for one in records}
    assert [one["what"] for one in told["findings"] if one["what"] != "clock off"] == [
        "agent hung",
        "shedding",
        "vanished",
    ]
    assert all(ref in refs for one in told["findings"] for ref in one["evidence"])
    assert abs(told["cause"]["first"]["start"] - NOON - 20.4 * S) < S
    lost = {row["operation"]: row["lost_share"] for row in told["losses"]}
    assert lost["look"] > 0.01 and lost["order"] == 0


def test_digests_are_kept_until_the_records_change(tmp_path: Path) -> None:
    script = incident()
    records = [*script.everything()]
    store = Incident(tmp_path / "i.db", create=True)
    store.take("a", ((0, write(one), one) for one in records[:-5]))
    first = digests(store)
    store.db.execute("UPDATE records SET data = x'00'")  # what was kept is not made again
    assert digests(store) == first
    more = records[-5:]
    taken: list[tuple[int, bytes, Record | Refusal]] = [(0, write(one), one) for one in more]
    store.take("b", taken)
    assert digests(store) != first


@pytest.mark.parametrize("seconds,servers", [(3.0, 1), (20.0, 60)])
def test_few_records_and_many_servers_make_a_page(tmp_path: Path, seconds: float, servers: int) -> None:
    script = Script(5, servers=servers, seconds=seconds, troubles=[Trouble("shed", "*", 5.0, 9.0)]).skewed()
    store = store_of(tmp_path / "i.db", [*script.everything()])
    page = tmp_path / "i.html"
    assert command(["report", store, "-o", str(page), "--clocks-within", "10"]) == 0
    assert page.stat().st_size < 5_000_000


def test_a_clock_of_another_year_does_not_stretch_the_chart(tmp_path: Path) -> None:
    script = Script(6, servers=2, seconds=20, callers=0, observer=False)
    records = [
        replace(one, at=one.at - NOON + S) if one.server == "n2" else one for one in script.everything()
    ]
    page = tmp_path / "i.html"
    assert command(["report", store_of(tmp_path / "i.db", records), "-o", str(page)]) == 0
    assert "over a day from the others" in page.read_text()


def test_text_logs_of_before_the_records_tell_what_they_can(tmp_path: Path) -> None:
    def line(server: str, second: float, text: str) -> str:
        return f"2026-12-01T10:{int(second) // 60:02}:{second % 60:06.3f} INFO {server} {text}\n"

    log = tmp_path / "both.log"
    log.write_text(
        "".join(
            [
                line("n1", 0, "listening on 127.0.0.1:1"),
                line("n1", 0.1, "listens: starting -> waiting"),
                line("n1", 0.2, "agent greeted after 1 ms, cold start"),
                line("n1", 0.2, "greeted: waiting -> serving"),
                line("n2", 0.2, "listening on 127.0.0.1:2"),
                line("n1", 5, "warm after 5000 ms"),
                line("n2", 1, "greeted: waiting -> serving"),
                line("n1", 20, "overload: line full"),
                line("n1", 31, "overload: line open"),
                line("n2", 40, "told to leave: serving -> leaving"),
                line("n2", 41, "ended: closing -> closed"),
                line("n1", 60, "overload: line full"),
            ]
        )
    )
    store = Incident(tmp_path / "i.db", create=True)
    store.take("text", read_source(log))
    found = analyse(digests(store), clocks_within=S).verdict
    assert [(one.what, one.servers) for one in found.findings] == [
        (What.COLD, ["n1"]),
        (What.SHEDDING, ["n1"]),
        (What.DRAINED, ["n2"]),
        (What.SHEDDING, ["n1"]),
    ]
    assert found.findings[1].end is not None and found.findings[1].end - found.findings[1].start == 11 * S
    assert command(["report", str(tmp_path / "i.db"), "-o", str(tmp_path / "i.html")]) == 0


def test_an_incident_store_cut_or_changed_at_any_byte_is_told_or_refused(
    tmp_path: Path, capfd: pytest.CaptureFixture[str]
) -> None:
    whole = Path(store_of(tmp_path / "i.db", [*Script(2, servers=2, seconds=15).everything()])).read_bytes()
    chance, cut = Random(3), tmp_path / "cut.db"
    for index in range(60):
        data = bytearray(whole)
        if index % 2:
            data[chance.randrange(len(data))] ^= 1 << chance.randrange(8)
        cut.write_bytes(data if index % 2 else data[: chance.randrange(len(data))])
        assert command(["report", str(cut), "--json"]) in (0, 2)
        assert "Traceback" not in capfd.readouterr().err


def test_wrong_input_is_one_line(tmp_path: Path, capfd: pytest.CaptureFixture[str]) -> None:
    empty = tmp_path / "empty.db"
    Incident(empty, create=True).close()
    store = store_of(tmp_path / "i.db", [*Script(1, servers=1, seconds=5).everything()])
    for wrong in (
        ["report", "/nowhere"],
        ["report", str(empty)],
        ["report", store, "--reference", "n9"],
        ["report", store, "-o", "/nowhere/x.html"],
    ):
        assert command(wrong) == 2
        err = capfd.readouterr().err
        assert err.count("\n") == 1 and "Traceback" not in err
