"""The fleet's decisions: each row of the table; on random courses no rung skipped, none by stale figures."""

from __future__ import annotations

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from ringshift.retirement.conditions import WHOLE
from ringshift.retirement.figures import Figures
from ringshift.retirement.judge import Freshness
from ringshift.retirement.position import Position
from ringshift.retirement.ramp import TABLE, Ramp, Word
from ringshift.retirement.shed import Decided, key, lot
from ringshift.retirement.timeline import Phase, Timeline
from ringshift.retirement.warn import Counted
from tests.retirement.builders import (
    ANNOUNCED,
    DARK,
    DAY,
    END,
    FIRST,
    LIGHT,
    LINE,
    SECOND,
    WARNED,
    S,
    timeline,
)

KEY = key(LINE)
CALLERS = range(40)
READY = {caller: Counted(9, WARNED, WARNED + 20 * DAY) for caller in CALLERS}
DWELL = LINE.conditions.dwell


class Fleet:
    """Ten backends, the keeper's position, one holder at a time."""

    def __init__(self, position: Position | None = None, now: int = 0, line: Timeline | None = LINE) -> None:
        self.position = Position() if position is None else position
        self.now, self.line = now, line
        self.acts = dict.fromkeys(range(10), self.position.decided)
        self.n = dict.fromkeys(range(10), 1)
        self.beat_at = dict.fromkeys(range(10), -(10**18))
        self.errors, self.silent, self.deaf, self.still = 0, set[int](), set[int](), False
        self.owed = frozenset[int]()
        self.stopped, self.counts = False, dict(READY)
        self.words = list[tuple[Phase, Word]]()
        self.replace()

    def replace(self) -> None:
        self.ramp, self.freshness = Ramp(self.line, self.position), Freshness(LINE.conditions.fresh)

    def rows(self) -> dict[str, tuple[int, Figures]]:
        for one in self.acts:
            if one not in self.silent:
                self.n[one] += 1
                self.beat_at[one] = self.now
                if one not in self.deaf:
                    self.acts[one] = self.position.decided
        return {
            str(one): (
                self.n[one],
                Figures(
                    told.edition,
                    60 * (WHOLE - told.share) // WHOLE,
                    100,
                    self.errors,
                    0,
                    frozenset() if self.still else told.ready,
                    told.share,
                    self.owed - self.position.kept,
                ),
            )
            for one, told in self.acts.items()
        }

    def look(self, wait: int = 5 * S) -> Position | None:
        self.now += wait
        seen = self.freshness.look(self.now, self.rows())
        found = self.ramp.look(self.now, seen, self.counts, self.stopped)
        if found is not None:
            assert self.ramp.word is not None
            self.words.append((self.ramp.phase, self.ramp.word))
            self.ramp.landed(found)
            self.position = found
        return found

    def run(self, long: int) -> None:
        for _ in range(long // (5 * S)):
            self.look()

    def at(self, now: int, long: int = 2 * DWELL) -> tuple[str, int, int]:
        """What stands when the fleet has run on from `now` for `long`."""
        self.now = now
        self.run(long)
        return self.position.phase, self.position.decided.rung, self.position.decided.share


def standing(phase: Phase, rung: int, edition: int = 7, now: int = FIRST, held: int = 0) -> Fleet:
    share = LINE.rungs[rung - 1][1] if rung else 0
    callers = frozenset(caller for caller in CALLERS if lot(KEY, caller) < share)
    return Fleet(Position(Decided(edition, KEY, rung, share, 0, callers), phase.name, now, held), now)


def test_by_its_dates_through_all_phases_to_the_end() -> None:
    fleet = Fleet(now=ANNOUNCED - 10 * S)
    assert fleet.at(ANNOUNCED - 10 * S, 5 * S) == ("PLANNED", 0, 0)
    assert fleet.at(ANNOUNCED) == ("ANNOUNCED", 0, 0)
    assert fleet.at(WARNED) == ("WARNING", 0, 0)
    assert fleet.at(DARK) == ("BROWNOUT", 0, WHOLE)
    assert fleet.position.decided.until == LIGHT
    assert fleet.at(LIGHT) == ("WARNING", 0, 0)
    assert fleet.at(FIRST) == ("HOLDING", 1, 200_000)
    assert fleet.position.decided.ready == {caller for caller in CALLERS if lot(KEY, caller) < 200_000}
    assert fleet.at(SECOND) == ("HOLDING", 2, 600_000)
    assert fleet.at(END - DAY) == ("HOLDING", 2, 600_000)
    assert fleet.at(END, 4 * DWELL) == ("ENDED", 3, WHOLE)
    assert fleet.position.decided.edition == 5 and fleet.position.decided.ready == frozenset(CALLERS)
    told = fleet.ramp.picture()
    assert (told.timeline, told.edition, told.phase, told.finding) == ("order-book-1", 5, "ENDED", "GOOD")
    assert (told.told.known, told.told.fresh, told.told.new) == (10, 10, 1000)


def test_a_hold_is_waited_out_also_where_the_next_date_is_past() -> None:
    fleet = Fleet(Position(phase="WARNING"), SECOND)
    assert fleet.at(SECOND) == ("HOLDING", 1, 200_000)
    began = fleet.position.since
    assert fleet.at(began + DAY - 3 * DWELL) == ("HOLDING", 1, 200_000)
    assert fleet.at(began + DAY) == ("HOLDING", 2, 600_000)


def test_no_step_while_one_that_is_heard_acts_by_the_one_before() -> None:
    fleet = Fleet(Position(phase="WARNING"), FIRST)
    fleet.deaf = {3}
    assert fleet.at(FIRST, 20 * DWELL) == ("SHEDDING", 1, 200_000)
    fleet.deaf = set()
    assert fleet.at(fleet.now, 5 * S) == ("HOLDING", 1, 200_000)


def test_no_step_while_one_that_is_heard_lacks_callers_added_since() -> None:
    fleet = standing(Phase.HOLDING, 1, now=SECOND, held=DAY)
    fleet.acts[3], fleet.deaf = Decided(6, KEY, 1, 200_000), {3}
    assert fleet.at(SECOND, 10 * DWELL) == ("HOLDING", 1, 200_000)
    fleet.deaf = set()
    assert fleet.at(fleet.now) == ("HOLDING", 2, 600_000)


def test_one_in_ten_may_be_silent_and_two_may_not() -> None:
    fleet = Fleet(Position(phase="WARNING"), FIRST)
    fleet.silent = {3, 4}
    assert fleet.at(FIRST) == ("WARNING", 0, 0)
    fleet.silent = {3}
    assert fleet.at(fleet.now) == ("HOLDING", 1, 200_000)
    fleet.silent = {3, 4}
    assert fleet.at(fleet.now) == ("PAUSED", 1, 200_000)


def test_errors_pause_and_only_well_below_does_it_go_on_and_far_above_it_steps_back() -> None:
    fleet = standing(Phase.HOLDING, 2, now=SECOND)
    fleet.errors = 3  # 3%: at errors_above
    assert fleet.at(SECOND, DWELL) == ("HOLDING", 2, 600_000)  # not for its dwell yet
    assert fleet.at(fleet.now, 4 * S + DWELL // 4) == ("PAUSED", 2, 600_000)
    fleet.errors = 2  # between the bounds
    assert fleet.at(fleet.now, 5 * DWELL) == ("PAUSED", 2, 600_000)
    fleet.errors = 0
    assert fleet.at(fleet.now) == ("HOLDING", 2, 600_000)
    fleet.errors = 10
    assert fleet.at(fleet.now, 40 * S) == ("PAUSED", 1, 200_000)  # one rung at a time
    assert fleet.position.decided.ready == {caller for caller in CALLERS if lot(KEY, caller) < 200_000}
    assert fleet.at(fleet.now, 25 * S) == ("PAUSED", 1, 200_000)  # not for its time since the step back
    assert fleet.at(fleet.now, 20 * S) == ("PAUSED", 0, 0)
    assert fleet.at(fleet.now) == ("PAUSED", 0, 0)
    fleet.errors = 0
    assert fleet.at(fleet.now, 3 * DWELL)[1:] == (1, 200_000)  # its dates are past, so it begins again


def test_a_finding_that_comes_and_goes_changes_nothing() -> None:
    fleet = standing(Phase.HOLDING, 2, now=SECOND)
    for _ in range(20):
        fleet.errors = 5
        fleet.run(DWELL - 10 * S)
        fleet.errors = 0
        fleet.run(10 * S)
    assert fleet.position.phase == "HOLDING" and not fleet.words


def test_a_pause_stops_the_clock_of_the_hold() -> None:
    fleet = standing(Phase.HOLDING, 1, now=SECOND)  # a day to hold, no date to wait for
    fleet.run(DWELL)
    fleet.stopped = True
    assert fleet.at(SECOND + DAY - 100 * S) == ("PAUSED", 1, 200_000)
    assert fleet.at(SECOND + 9 * DAY) == ("PAUSED", 1, 200_000)
    fleet.stopped = False
    assert fleet.at(fleet.now, 10 * S) == ("HOLDING", 1, 200_000)
    assert fleet.at(fleet.now, 30 * S) == ("HOLDING", 1, 200_000)
    assert fleet.at(fleet.now, 2 * DWELL) == ("HOLDING", 2, 600_000)


def test_callers_that_did_not_move_hold_up_the_next_step() -> None:
    fleet = standing(Phase.HOLDING, 1, now=FIRST, held=DAY)
    fleet.still = True
    assert fleet.at(FIRST) == ("HOLDING", 1, 200_000)  # nothing is due yet
    assert fleet.at(SECOND) == ("PAUSED", 1, 200_000)
    fleet.still = False
    assert fleet.at(fleet.now, 4 * DWELL) == ("HOLDING", 2, 600_000)


def test_operators_stop_also_a_brownout_and_a_step_back_goes_on() -> None:
    fleet = standing(Phase.WARNING, 0, now=DARK)
    assert fleet.at(DARK) == ("BROWNOUT", 0, WHOLE)
    fleet.stopped = True
    assert fleet.at(fleet.now) == ("PAUSED", 0, 0)
    assert fleet.at(FIRST) == ("PAUSED", 0, 0)
    other = standing(Phase.HOLDING, 2, now=SECOND)
    other.stopped, other.errors = True, 50
    assert other.at(SECOND, 40 * S)[1:] == (1, 200_000)


def test_a_brownout_ends_early_by_errors() -> None:
    fleet = standing(Phase.WARNING, 0, now=DARK)
    assert fleet.at(DARK) == ("BROWNOUT", 0, WHOLE)
    fleet.errors = 3
    assert fleet.at(fleet.now, 5 * S) == ("WARNING", 0, 0)


def test_callers_that_reach_the_floor_later_are_added_under_an_edition_of_their_own() -> None:
    fleet = standing(Phase.HOLDING, 2, now=SECOND)
    late = min(range(1000, 2000), key=lambda caller: lot(KEY, caller))
    fleet.counts[late] = Counted(2, WARNED, SECOND)
    fleet.run(4 * DWELL)
    assert not fleet.words
    fleet.counts[late] = Counted(3, WARNED, SECOND)
    fleet.run(2 * DWELL)
    one = fleet.position.decided
    assert (one.edition, one.rung, one.share) == (8, 2, 600_000) and late in one.ready
    fleet.counts.clear()  # a keeper restored: whoever was turned away stays so
    fleet.run(4 * DWELL)
    assert fleet.position.decided == one
    assert fleet.at(END)[1:] == (3, WHOLE) and fleet.position.decided.ready == one.ready


def test_no_step_above_the_lot_up_to_which_callers_are_counted(monkeypatch: pytest.MonkeyPatch) -> None:
    fleet = standing(Phase.HOLDING, 1, now=SECOND, held=DAY)
    monkeypatch.setattr("ringshift.retirement.ramp.cut", lambda counts, lots: 599_999)
    assert fleet.at(SECOND) == ("PAUSED", 1, 200_000)
    monkeypatch.setattr("ringshift.retirement.ramp.cut", lambda counts, lots: 600_000)
    assert fleet.at(fleet.now, 4 * DWELL) == ("HOLDING", 2, 600_000)


def test_a_new_holder_begins_its_dwell_anew_and_goes_on_from_the_keeper() -> None:
    fleet = standing(Phase.HOLDING, 1, now=SECOND, held=DAY)
    for _ in range(10):
        fleet.run(DWELL - 10 * S)
        fleet.replace()
    assert not fleet.words
    assert fleet.at(fleet.now) == ("HOLDING", 2, 600_000)


def test_what_stood_before_a_holder_was_stopped_does_not_count() -> None:
    fleet = standing(Phase.HOLDING, 1, now=SECOND - 2 * DWELL, held=DAY)
    assert fleet.at(fleet.now, 2 * DWELL - 5 * S) == ("HOLDING", 1, 200_000)
    assert fleet.at(SECOND + DAY, DWELL) == ("HOLDING", 1, 200_000)
    assert fleet.at(fleet.now) == ("HOLDING", 2, 600_000)


def test_an_edition_is_above_every_one_that_a_row_names() -> None:
    fleet = standing(Phase.HOLDING, 1, edition=7, now=SECOND, held=DAY)
    restored = Position(Decided(2, KEY, 0, 0), "WARNING", FIRST)
    fleet.position = restored
    fleet.replace()
    fleet.deaf = set(fleet.acts)  # they act by 7 still and take no lower one
    fleet.look()
    assert fleet.words == [(Phase.WARNING, Word.LOST)]  # by what the keeper has: all at one again
    assert (fleet.position.decided.edition, fleet.position.decided.share) == (8, 0)
    fleet.deaf = set()
    fleet.run(2 * DWELL)
    assert fleet.position.decided.edition == 9 and fleet.position.decided.rung == 1


def test_whoever_was_turned_away_is_so_again_at_that_share_though_the_counts_were_lost() -> None:
    """Seen in a script: the keeper came back from a copy made before the step and the counts behind it."""
    fleet = standing(Phase.HOLDING, 1, edition=7, now=SECOND, held=DAY)
    away = fleet.position.decided.ready
    fleet.position, fleet.counts = Position(Decided(2, KEY, 0, 0), "WARNING", FIRST), {}
    fleet.replace()
    fleet.deaf = set(fleet.acts)
    fleet.look()
    fleet.deaf, fleet.owed = set(), away  # they hear of the lower share, and tell whom they turned away
    fleet.look()
    assert [word for _, word in fleet.words] == [Word.LOST, Word.OWED]
    assert fleet.position.kept == away and fleet.position.decided.edition == 8
    fleet.run(2 * DWELL)
    assert fleet.position.decided.rung == 1 and fleet.position.decided.ready == away != frozenset()


def test_callers_told_of_late_are_turned_away_at_once_where_the_share_has_come_back_already() -> None:
    fleet = standing(Phase.HOLDING, 1, edition=7, now=FIRST + DAY)
    away = fleet.position.decided.ready
    fleet.counts = {}
    fleet.position = Position(Decided(7, KEY, 1, 200_000), "HOLDING", FIRST + DAY)
    fleet.acts, fleet.owed = dict.fromkeys(range(10), fleet.position.decided), away | {500}
    fleet.replace()
    fleet.look()
    assert fleet.words == [(Phase.HOLDING, Word.OWED)] and fleet.position.kept == away | {500}
    assert fleet.position.decided.edition == 8
    assert fleet.position.decided.ready == {one for one in away | {500} if lot(KEY, one) < 200_000}
    assert fleet.look() is None  # told once


def test_a_keeper_that_lost_a_step_back_does_not_move_on_by_it() -> None:
    fleet = standing(Phase.HOLDING, 2, edition=7, now=SECOND)
    fleet.acts = dict.fromkeys(range(10), Decided(9, KEY, 1, 200_000))
    fleet.deaf = {0, 1}
    fleet.look()
    one = fleet.position
    assert fleet.words == [(Phase.HOLDING, Word.LOST)]
    assert (one.decided.rung, one.decided.share) == (1, 200_000)
    assert one.decided.edition == 10 and (one.since, one.held) == (fleet.now, 0)


def test_taken_out_of_the_rulebook_and_put_in_again_and_another_of_its_name() -> None:
    fleet = standing(Phase.HOLDING, 2, now=SECOND)
    fleet.line = None
    fleet.replace()
    assert fleet.at(SECOND, 10 * S) == ("WITHDRAWN", 0, 0) and fleet.position.decided.edition == 8
    fleet.line = LINE
    fleet.replace()
    assert fleet.at(SECOND, 5 * DWELL) == ("HOLDING", 1, 200_000)
    fleet.line = timeline(version="2")
    fleet.replace()
    fleet.look()
    assert fleet.words[-1][1] is Word.GONE and fleet.position.decided.share == 0


def test_steps_changed_in_the_document_under_way() -> None:
    fleet = standing(Phase.HOLDING, 2, now=SECOND)
    steps = [{"at": "2026-04-01T00:00:00Z", "share": 0.5}, {"at": "2026-05-20T00:00:00Z", "share": 0.9}]
    fleet.line = timeline(steps=steps)
    fleet.replace()
    assert fleet.at(SECOND) == ("HOLDING", 2, 600_000)  # 0.6 stays: above 0.5, below 0.9
    assert fleet.at(SECOND + 20 * DAY) == ("HOLDING", 2, 900_000)


def test_every_row_of_the_table_is_walked() -> None:
    """From each phase and rung with each thing that may happen; a row that nothing walks has no place."""
    walked = set[tuple[Phase, Word]]()
    plain = Fleet(now=ANNOUNCED - S)
    for at in (ANNOUNCED, WARNED, DARK, LIGHT, FIRST, SECOND, END):
        plain.at(at, 4 * DWELL)
    walked |= set(plain.words)
    for phase in Phase:
        for how in (
            "none",
            "worse",
            "deaf",
            "bad",
            "silent",
            "stopped",
            "still",
            "gone",
            "more",
            "lost",
            "owed",
        ):
            for rung in (0, 1, 2):
                fleet = standing(phase, rung, now=SECOND, held=2 * DAY)
                fleet.errors = {"worse": 50, "deaf": 50, "bad": 5}.get(how, 0)
                if how == "deaf":
                    fleet.acts, fleet.deaf = dict.fromkeys(range(10), Decided()), set(range(10))
                fleet.silent = set(range(10)) if how == "silent" else set()
                fleet.still, fleet.stopped = how == "still", how == "stopped"
                if how == "more":
                    fleet.counts[min(range(1000, 2000), key=lambda caller: lot(KEY, caller))] = READY[0]
                if how == "lost":
                    fleet.acts, fleet.deaf = dict.fromkeys(range(10), Decided(9)), {0}
                if how == "owed":
                    fleet.owed = frozenset({1})
                if how == "gone":
                    fleet.line = None
                    fleet.replace()
                fleet.run(3 * DWELL)
                walked |= set(fleet.words)
    assert walked == set(TABLE)


WHAT = (*("jump", "well") * 3, "errors", "silent", "deaf", "still", "stop", "replace", "counts")
EVENTS = st.tuples(st.sampled_from(WHAT), st.integers(0, 12), st.integers(0, 3))
STARTS = (
    (Phase.WARNING, 0, DARK),
    (Phase.WARNING, 0, FIRST),
    (Phase.HOLDING, 1, SECOND),
    (Phase.HOLDING, 2, END),
)


def happen(fleet: Fleet, what: str, number: int, many: int) -> None:
    if what == "jump":
        fleet.now += number * 6 * 3_600 * S
    elif what == "errors":
        fleet.errors = number
    elif what == "silent":
        fleet.silent = set(range(many))
    elif what == "deaf":
        fleet.deaf = set(range(many))
    elif what == "still":
        fleet.still = bool(many)
    elif what == "stop":
        fleet.stopped = bool(many)
    elif what == "well":
        fleet.errors, fleet.silent, fleet.deaf, fleet.still, fleet.stopped = 0, set(), set(), False, False
    elif what == "replace":
        fleet.replace()
    else:
        fleet.counts = {
            caller: READY[caller] if caller < 4 * number else Counted(2, WARNED, END) for caller in CALLERS
        }


def test_no_rung_skipped_none_early_none_by_stale_figures() -> None:
    seen = dict.fromkeys(("rose", "fell", "widened"), 0)

    @settings(derandomize=True, database=None, deadline=None, max_examples=60)
    @given(st.lists(EVENTS, min_size=4, max_size=20), st.sampled_from(STARTS))
    def course(events: list[tuple[str, int, int]], start: tuple[Phase, int, int]) -> None:
        fleet = standing(*start[:2], now=start[2])
        rose: tuple[int, int] | None = None
        for what, number, many in events:
            happen(fleet, what, number, many)
            for _ in range(18):
                before = fleet.position.decided
                ready = {caller for caller, count in fleet.counts.items() if count.answers >= 3}
                fleet.look()
                after = fleet.position.decided
                if after == before:
                    continue
                assert after.edition == before.edition + 1
                assert after.ready <= ready | before.ready
                assert all(lot(KEY, one) < after.share for one in after.ready)
                if after.share <= before.share and after.ready <= before.ready:
                    seen["fell"] += 1
                    continue
                recent = fleet.now - LINE.conditions.fresh
                fresh = [one for one, at in fleet.beat_at.items() if at >= recent]
                assert len(fresh) >= 9
                assert all(fleet.acts[one].edition == before.edition for one in fresh)
                assert fleet.errors < 1 and not fleet.stopped
                if after.rung == before.rung:
                    assert after.until or after.share == before.share
                    seen["widened"] += 1
                    continue
                assert after.rung == before.rung + 1 and fleet.now >= LINE.rungs[before.rung][0]
                held = LINE.rungs[before.rung - 1][2] if before.rung else 0
                assert rose is None or rose[1] != before.rung or fleet.now - rose[0] >= held
                rose = fleet.now, after.rung
                seen["rose"] += 1

    course()
    assert all(times >= 10 for times in seen.values()), seen  # the courses do come to what they are to show
