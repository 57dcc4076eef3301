"""What is told of scripted incidents: each trouble once, in time, and no other; whatever the clocks show."""

from __future__ import annotations

from dataclasses import replace
from random import Random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from ringshift.findings.cause import Cause, find
from ringshift.findings.course import Course, lay_out
from ringshift.findings.digest import MOST_BUCKETS, WIDTHS, Digest, Digester
from ringshift.findings.judge import CLOCK_OFF, ENDINGS, After, Close, Finding, Judge, Verdict, What
from ringshift.findings.signs import TABLE, Kind, Mood, Sign
from ringshift.findings.telling import SENTENCES, as_plain
from ringshift.records.schema import Body, Counts, Dropped, Ended, Phase, Record, Saw, Second, Started
from standins.scripted import NOON, S, Script, Trouble
from standins.skew import Skew

TOLD = {
    "vanish": What.VANISHED,
    "drain": What.DRAINED,
    "slow": What.SLOW,
    "hung": What.HUNG,
    "jump": What.JUMP,
    "storm": What.STORM,
    "shed": What.SHEDDING,
    "pause": What.PAUSED,
    "gap": What.GAP,
}
BESIDE = (What.CLOCK, What.UNTIED)


def digests(records: list[Record]) -> list[Digest]:
    by_run: dict[tuple[str, str], Digester] = {}
    for record in sorted(records, key=lambda one: (one.server, one.run, one.seq)):
        by_run.setdefault((record.server, record.run), Digester(record.server, record.run)).hear(record)
    return [one.finish() for one in by_run.values()]


def told(script: Script, **how: object) -> tuple[Course, Verdict, Cause]:
    return of_records(list(script.everything()), **how)


def of_records(records: list[Record], **how: object) -> tuple[Course, Verdict, Cause]:
    course = lay_out(digests(records), **how)  # type: ignore[arg-type]
    verdict = Judge(course).verdict()
    return course, verdict, find(verdict, course)


def off(one: Finding, trouble: Trouble) -> float:
    return abs(one.start - NOON - trouble.at * S) / S


def only(verdict: Verdict) -> list[Finding]:
    return [one for one in verdict.findings if one.what not in BESIDE]


@pytest.mark.parametrize("kind", TOLD)
@pytest.mark.parametrize("seed", range(3))
def test_each_trouble_alone_is_told_once_and_in_time(kind: str, seed: int) -> None:
    at = 20 + Random(seed).random() * 5
    lasts = None if kind in ("vanish", "drain") else at + 6.3
    server = "*" if kind in ("jump", "storm") else "n2"
    script = Script(seed, troubles=[Trouble(kind, server, at, lasts)]).skewed()
    (found,) = only(told(script)[1])
    assert found.what is TOLD[kind] and off(found, script.troubles[0]) < 1.0
    assert sorted(found.servers) == (["n2"] if server == "n2" else script.names()) and found.evidence
    if lasts is not None:
        assert found.end is not None and abs(found.end - NOON - lasts * S) < 2.5 * S


@settings(derandomize=True, max_examples=30, deadline=None)
@given(st.integers(0, 10**6))
def test_two_at_once_on_two_servers_are_both_told(seed: int) -> None:
    random = Random(seed)
    kinds = random.sample(["vanish", "drain", "slow", "hung", "pause", "gap"], 2)
    troubles = []
    for kind, server in zip(kinds, random.sample(["n1", "n2", "n3", "n4"], 2), strict=True):
        at = 20 + random.random() * 4
        troubles.append(Trouble(kind, server, at, None if kind in ("vanish", "drain") else at + 5.5))
    _, verdict, _ = told(Script(seed, troubles=troubles).skewed())
    found = {(one.what, one.servers[0]): one for one in only(verdict)}
    assert set(found) == {(TOLD[one.what], one.server) for one in troubles}
    assert all(off(found[TOLD[one.what], one.server], one) < 1.0 for one in troubles)


@settings(derandomize=True, max_examples=12, deadline=None)
@given(st.integers(0, 10**6))
def test_calm_service_tells_nothing(seed: int) -> None:
    assert not only(told(Script(seed, servers=3, seconds=120).skewed())[1])


def test_clocks_are_told_and_corrected_and_a_step_back_moves_nothing() -> None:
    script = Script(4, troubles=[Trouble("slow", "n1", 30.4, 40.0), Trouble("hung", "n2", 33.4, 38.0)])
    script.skews["n1"] = Skew(4 * S, 200.0, NOON + 32 * S, -3 * S, NOON)
    script.skews["n2"] = Skew(-5 * S, -200.0, 0, 0, NOON)
    _, verdict, _ = told(script)
    kinds = [one.what for one in only(verdict)]
    assert kinds == [What.SLOW, What.STEP, What.HUNG]
    assert all(
        off(one, trouble) < 1
        for one, trouble in zip([only(verdict)[0], only(verdict)[2]], script.troubles, strict=True)
    )
    clocks = {one.servers[0]: one.figures["ahead_s"] for one in verdict.findings if one.what is What.CLOCK}
    assert clocks["n1"] == pytest.approx(4, abs=0.2) and clocks["n2"] == pytest.approx(-5, abs=0.2)
    assert CLOCK_OFF <= 2 * S


def test_without_ties_the_report_says_so_and_puts_none_in_order() -> None:
    script = Script(
        5,
        callers=0,
        observer=False,
        troubles=[Trouble("shed", "n1", 20.0, 30.0), Trouble("hung", "n2", 19.0, 30.0)],
    ).skewed()
    course, verdict, cause = told(script)
    untied = [one for one in verdict.findings if one.what is What.UNTIED]
    assert {name for one in untied for name in one.servers} == set(script.names())
    hung = next(one for one in verdict.findings if one.what is What.HUNG)
    assert cause.first is None and any(one is hung and "clock" in why for one, why in cause.ruled_out)
    assert len(course.alignment.groups) >= 4
    assert not any(one.what is What.UNTIED for one in told(script, clocks_within=S)[1].findings)


def test_one_that_vanished_is_told_from_one_whose_records_stop() -> None:
    script = Script(6, troubles=[Trouble("vanish", "n1", 30.0)])
    records = [one for one in script.everything() if not (one.server == "n2" and one.at > NOON + 30 * S)]
    last = max((one for one in records if one.server == "announce"), key=lambda one: one.seq)
    late = replace(last, seq=last.seq + 1, body=Saw("n2", "announced", "false"))
    found = {one.servers[0]: one.what for one in only(of_records([*records, late])[1])}
    assert found == {"n1": What.VANISHED, "n2": What.RECORDS_MISSING}


def test_back_under_its_name_within_a_second() -> None:
    _, verdict, _ = told(Script(7, troubles=[Trouble("cold", "n3", 25.3, 26.0)]).skewed())
    assert [one.what for one in only(verdict)] == [What.VANISHED, What.RETURNED, What.COLD]
    assert only(verdict)[1].figures["away_s"] < 1.0


def test_one_that_only_ever_restarted() -> None:
    troubles = [Trouble("vanish", "n2", 8.0 * i, 8.0 * i + 0.5) for i in range(1, 8)]
    found = [one for one in only(told(Script(8, troubles=troubles))[1]) if one.what is What.RESTARTS]
    assert len(found) == 1 and found[0].figures["runs"] >= 7


def test_two_processes_under_one_name_are_told() -> None:
    script = Script(9, servers=2)
    twin = [replace(one, run="twin") for one in script.records("n1")]
    assert What.SAME_NAME in {one.what for one in of_records([*script.everything(), *twin])[1].findings}


def test_two_incidents_that_overlap_keep_their_own_parts() -> None:
    script = Script(
        10,
        seconds=90,
        troubles=[
            Trouble("hung", "n1", 20.0, 45.0),
            Trouble("shed", "n1", 21.0, 46.0),
            Trouble("slow", "n3", 40.0, 60.0),
            Trouble("shed", "n3", 42.0, 61.0),
        ],
    ).skewed()
    _, verdict, cause = told(script)
    sheds = [one for one in verdict.findings if one.what is What.SHEDDING]
    assert [one.servers for one in sheds] == [["n1"], ["n3"]]
    assert cause.first is not None and (cause.first.what, cause.first.servers) == (What.HUNG, ["n1"])
    assert any(one.what is What.SLOW for one, _ in cause.ruled_out)


def test_load_that_moved_is_no_traffic_jump() -> None:
    """Two of four die; the others take twice as much, which is the same work."""
    troubles = [
        Trouble("vanish", "n1", 25.0),
        Trouble("vanish", "n2", 25.1),
        Trouble("jump", "n3", 25.4, 45.0),
        Trouble("jump", "n4", 25.4, 45.0),
    ]
    _, verdict, cause = told(Script(11, troubles=troubles).skewed())
    # A rise by one and a half is more than the dead took: that is a jump as well.
    assert What.JUMP in {one.what for one in verdict.findings}
    half = [
        replace(one, body=lighter(one.body)) if one.server in ("n3", "n4") else one
        for one in Script(11, troubles=troubles).skewed().everything()
    ]
    _, verdict, cause = of_records(half)
    assert What.JUMP not in {one.what for one in verdict.findings} and verdict.moved
    assert any("traffic did not rise" in line for line in cause.absent)


def lighter(body: Body) -> Body:
    if not isinstance(body, Second):
        return body
    scale = [0.8 if one.arrived > 32 else 1.0 for one in body.counts]
    counts = tuple(
        replace(one, arrived=round(one.arrived * by)) for one, by in zip(body.counts, scale, strict=True)
    )
    return replace(body, counts=counts)


def test_a_gap_hides_no_death_and_is_no_pause() -> None:
    records = list(Script(12).records("n1"))
    cut = [one for one in records if not 20 <= one.seq <= 24]
    gap = next(one for one in records if one.seq == 24)
    for some in (cut, [*cut, replace(gap, body=Dropped(5, 20, "carrier full"))]):
        found = only(of_records(some)[1])
        assert [one.what for one in found] == [What.GAP] and found[0].figures["records"] in (4, 5)


@settings(derandomize=True, max_examples=50, deadline=None)
@given(st.data())
def test_no_records_break_the_telling(data: st.DataObject) -> None:
    """Any subset, any order of clocks, any wild figures: something is told and nothing fails."""
    script = Script(data.draw(st.integers(0, 99)), servers=3, seconds=20).skewed()
    script.troubles = data.draw(
        st.lists(
            st.builds(
                Trouble,
                st.sampled_from([*TOLD, "cold"]),
                st.sampled_from(["n1", "n2", "*"]),
                st.floats(0, 19),
                st.one_of(st.none(), st.floats(0, 25)),
            ),
            max_size=4,
        )
    )
    random = Random(data.draw(st.integers(0, 10**6)))
    records = []
    for one in script.everything():
        if random.random() < 0.1:
            continue
        if random.random() < 0.03:
            one = replace(
                one,
                at=random.choice([0, 10**9, 2**62, one.at - 10**12]),
                up=random.choice([0, one.up, 2**61]),
            )
        if random.random() < 0.02:
            wild = Counts("<b>&\0", 10**12, -5, 3, 2, 1, 0, 4, float(random.choice([-1, 1e300])))
            one = replace(one, body=Second(random.choice([-1.0, 0.0, 1e12]), (wild,) * 3, lag_ms=-4.0))
        records.append(one)
    course, verdict, cause = of_records(records)
    assert as_plain(verdict, cause, course)["headline"]


def test_a_digest_stays_bounded_over_days() -> None:
    digester = Digester("n1", "r1")
    digester.hear(Record("n1", "r1", 1, NOON, 0, Started("", "", ("look",), 4, 0.0)))
    for second in range(1, 3 * MOST_BUCKETS):
        body = Second(60_000.0, (Counts("look", 60, 60, 0, 0, 0, 60, 60, 2400.0),), asked=20, sampled=20)
        at = second * 60 * S
        digester.hear(Record("n1", "r1", 1 + second, NOON + at, at, body))
    digest = digester.finish()
    assert len(digest.buckets) <= MOST_BUCKETS and digest.width in WIDTHS
    assert sum(bucket[7] for bucket in digest.buckets.values()) == 60 * (3 * MOST_BUCKETS - 1)


def test_tables_are_whole_and_every_finding_has_words() -> None:
    assert set(ENDINGS) == {(c, leaving, a) for c in Close for leaving in (True, False) for a in After}
    assert all((Mood.CALM, sign) not in TABLE for sign in Sign if sign is not Sign.OVER)
    assert set(SENTENCES) == set(What) and len(Kind) == 13


def test_a_drain_that_ended_badly_is_told_as_such() -> None:
    records = list(Script(13, servers=2).records("n1"))[:30]
    last = records[-1]
    more = [
        replace(
            last,
            seq=last.seq + 1,
            up=last.up + S // 2,
            at=last.at + S // 2,
            body=Phase("serving", "leaving", "told"),
        )
    ]
    others = list(Script(13, servers=2).records("n2"))
    assert What.DRAIN_CUT in {
        one.what for one in only(of_records([*records, *more, *others], clocks_within=S)[1])
    }
    end = replace(more[0], seq=last.seq + 2, body=Ended(0, 3))
    (drained,) = [one for one in only(of_records([*records, *more, end, *others], clocks_within=S)[1])]
    assert drained.what is What.DRAINED and drained.figures["owed"] == 3
