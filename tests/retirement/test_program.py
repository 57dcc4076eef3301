"""A backend's part and the ramp's holder, with their keeper's answers made up."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import replace
from random import Random
from typing import Any

import msgspec
import pytest

from ringshift.lifecycle.holder import Hold
from ringshift.lifecycle.ramping import GONE_AFTER, Ramping
from ringshift.lifecycle.retiring import Line, Retiring
from ringshift.records.schema import Body, RampStep
from ringshift.records.watch import AWAY, ERRORED, GONE, RULED, SUCCEEDED, THROTTLED
from ringshift.retirement.figures import Figures
from ringshift.retirement.position import Position
from ringshift.retirement.shed import Decided, key, lot
from ringshift.retirement.sight import Ask, Told
from ringshift.retirement.timeline import Timeline
from ringshift.retirement.warn import Counted
from ringshift.rulebook.document import Rulebook, Rules
from ringshift.wire.retiring import Answer, Held, Kept, RetireLink, Row, Word
from tests.retirement.builders import ANNOUNCED, DARK, FIRST, LINE, WARNED, S, timeline

KEY = key(LINE)
ALL = frozenset(range(50))
LOW = frozenset(one for one in ALL if lot(KEY, one) < 200_000)
STEP = Decided(4, KEY, 1, 200_000, 0, LOW)


class World:
    """`now`: of both clocks. No keeper is there."""

    def __init__(self, warns: bool = True) -> None:
        self.now = FIRST
        self.books: tuple[Rulebook, ...] = (book(LINE),)
        self.retiring = Retiring(
            "b1",
            {"order-book": 3, "tank-lookup": 5},
            lambda: self.books,
            ["127.0.0.1:9"],
            lambda: self.now,
            10**9,
            warns,
            wall=lambda: self.now,
        )

    def poll(self) -> bool:
        return self.retiring.poll(self.now)

    @property
    def line(self) -> Line:
        return next(iter(self.retiring.lines.values()))

    def told(self, decided: Decided, created: int = 7) -> None:
        line = self.line
        line.answered(Answer(created, Position(decided)), line.process, self.now, self.now)


def book(*timelines: Timeline) -> Rulebook:
    return Rulebook(alone=Rules(), timelines=list(timelines))


@pytest.fixture
def world() -> Iterator[World]:
    world = World()
    world.poll()
    yield world
    world.retiring.leave()


def test_a_backend_turns_away_by_the_step_that_it_was_told_whoever_was_warned(world: World) -> None:
    one = world.retiring
    assert one.shed() == {} and all(one.lot(3, caller) == -1 for caller in ALL)
    world.told(STEP)
    assert world.poll() and not world.poll() and one.shed() == {3: 200_000}
    assert {caller for caller in ALL if one.lot(3, caller) >= 0} == LOW
    assert one.lot(5, min(LOW)) == -1 and one.lot(4, min(LOW)) == -1  # the successor's, and any other
    world.told(replace_step(STEP, edition=3, share=900_000))  # overtaken on its way
    assert not world.poll() and one.shed() == {3: 200_000}


def replace_step(step: Decided, **more: Any) -> Decided:
    return msgspec.structs.replace(step, **more)


def test_a_brownout_ends_by_the_clock_without_a_word(world: World) -> None:
    world.now = DARK
    world.told(Decided(2, KEY, 0, 500_000, DARK + 60 * S, ALL))
    assert world.poll() and world.retiring.shed() == {3: 500_000}
    world.now = DARK + 60 * S
    assert world.poll() and world.retiring.shed() == {} and world.retiring.lot(3, min(LOW)) == -1


def test_a_warning_counts_once_it_was_handed_over_and_the_first_row_has_no_counts(world: World) -> None:
    one, line = world.retiring, world.line
    fields = one.fields(3, 8)
    assert fields["Deprecation"].startswith("@") and "successor-version" in fields["Link"]
    assert line.warned.counts == {} and one.fields(5, 8) == {}
    one.answered(3, 8)
    one.answered(5, 8)
    assert line.warned.counts == {8: Counted(1, world.now, world.now)}
    assert line.row(world.now).warned == {}
    line.answered(Answer(7, None), line.process, world.now, world.now)
    assert line.row(world.now).warned == {8: Counted(1, world.now, world.now)}
    world.now = WARNED - 1
    assert one.fields(3, 8) == {}


def test_where_callers_know_no_such_fields_nobody_is_warned() -> None:
    world = World(warns=False)
    world.poll()
    assert world.retiring.fields(3, 8) == {}
    world.retiring.answered(3, 8)
    assert world.line.warned.counts == {}
    world.retiring.leave()


def test_a_row_that_went_is_begun_from_nothing_under_another_name(world: World) -> None:
    line = world.line
    line.answered(Answer(7, None), "b1.1", world.now, world.now)
    line.warned.handed(8, world.now)
    line.answered(Answer(0, None), "b1.1", world.now, world.now)
    assert (line.process, line.created, line.row(world.now).warned) == ("b1.2", 0, {})
    line.warned.handed(9, world.now)
    line.answered(Answer(7, None), "b1.1", world.now, world.now)  # of the row before: it came late
    assert line.created == 0
    line.answered(Answer(11, None), "b1.2", world.now, world.now)
    assert set(line.row(world.now).warned) == {9}


def test_between_two_versions_a_caller_is_exempt_where_both_say_so(world: World) -> None:
    first, second, third = sorted(LOW)[:3]
    until = "2027-01-01T00:00:00Z"
    old = timeline(exemptions=[{"caller": first, "until": until}, {"caller": second, "until": until}])
    new = timeline(exemptions=[{"caller": second, "until": until}, {"caller": third, "until": until}])
    world.told(STEP)
    world.books = (book(old), book(new))
    world.poll()
    assert [world.retiring.lot(3, one) >= 0 for one in (first, second, third)] == [True, False, True]
    world.books = (book(new),)
    world.poll()
    assert [world.retiring.lot(3, one) >= 0 for one in (first, second, third)] == [True, False, False]
    assert "2027" in world.retiring.fields(3, third)["Sunset"]
    assert "2026" in world.retiring.fields(3, first)["Sunset"]


def test_a_timeline_that_is_withdrawn_turns_nobody_away_and_holds_again_once_it_is_back(world: World) -> None:
    world.told(STEP)
    assert world.poll()
    world.books = (book(),)
    assert world.poll() and world.retiring.shed() == {}
    assert world.retiring.lot(3, min(LOW)) == -1 and world.retiring.fields(3, 8) == {}
    world.books = (book(LINE),)
    assert world.poll() and world.retiring.shed() == {3: 200_000}
    assert {caller for caller in ALL if world.retiring.lot(3, caller) >= 0} == LOW


def test_figures_are_of_answers_that_tell_of_the_two_operations(world: World) -> None:
    world.told(STEP)
    caller = min(LOW)
    for how in (SUCCEEDED, ERRORED, THROTTLED, GONE, RULED, AWAY):
        world.retiring.ended(3, caller, how)
        world.retiring.ended(5, caller, how)
        world.retiring.ended(4, caller, how)
    assert world.line.row(world.now).figures == Figures(4, 2, 2, 1, 1, frozenset((caller,)), 200_000)


# The ramp's holder.


class Link(RetireLink):
    """A keeper in memory: `lose` the answer of the next write, or `refuse` it."""

    def __init__(self) -> None:
        self.held, self.lose, self.refuse, self.writes = Held(), False, False, 0

    def look(self, name: str, ask: Ask) -> Told[Kept]:
        one, keys = self.held, dict[str, tuple[int, Kept]]()
        keys |= {f"rows/{name}": (one.revisions.get(name, 0), row) for name, row in one.rows.items()}
        keys |= {"word": (one.word_revision, one.word), "counts": (one.counts_revision, dict(one.counts))}
        keys |= {"state": (one.revision, one.position)} if one.position else {}
        return Told(1, len(keys), keys, True)

    def cleared(self) -> tuple[int, int]:
        return 0, 0

    def write(
        self,
        name: str,
        task_key: bytes,
        token: int,
        held: Held,
        position: Position | None = None,
        counts: Any = None,
        gone: Any = (),
    ) -> bool:
        if self.refuse:
            self.refuse = False
            return False
        self.writes += 1
        rows = {name: row for name, row in self.held.rows.items() if name not in set(gone)}
        self.held = replace(
            self.held,
            rows=rows,
            position=position or self.held.position,
            counts=self.held.counts if counts is None else counts,
        )
        if self.lose:
            self.lose = False
            raise ConnectionError("no answer")
        return True


class Seat:
    def __init__(self) -> None:
        self.link, self.now, self.records, self.lines = Link(), 0, list[Body](), list[dict[str, Any]]()
        self.may = True
        self.work = Ramping(
            LINE.name, LINE, "n1", self.link, self.records.append, lambda: WARNED + self.now, 10**9
        )
        self.work.taken(5, 0)

    def step(self, seconds: int = 1) -> None:
        self.now += seconds * S
        self.work.step(
            Hold(
                5,
                self.now + S,
                lambda: self.may,
                lambda: self.now,
                lambda kind, **more: self.lines.append({"ev": kind, **more}),
            )
        )

    @property
    def steps(self) -> list[RampStep]:
        return [one for one in self.records if isinstance(one, RampStep)]


def test_each_position_is_one_record_and_one_whose_answer_was_lost_as_well() -> None:
    seat = Seat()
    seat.step()
    assert [(one.old, one.new) for one in seat.steps] == [("PLANNED", "ANNOUNCED")]
    seat.link.lose = True
    with pytest.raises(OSError):
        seat.step()
    assert len(seat.steps) == 1 and seat.link.writes == 2
    seat.step()  # found at the keeper
    assert [(one.old, one.new) for one in seat.steps] == [("PLANNED", "ANNOUNCED"), ("ANNOUNCED", "WARNING")]
    assert seat.link.writes == 2 and seat.steps[-1].token == 5
    seat.step()
    assert len(seat.steps) == 2  # nothing is due


def test_a_write_that_was_refused_or_not_looked_at_in_time_is_no_step() -> None:
    seat = Seat()
    seat.link.refuse = True
    seat.step()
    assert not seat.steps and seat.lines[-1] == LATE
    seat.may = False
    seat.step()
    assert not seat.steps and seat.link.writes == 0


def test_another_holders_position_is_gone_on_from() -> None:
    seat = Seat()
    seat.step()
    decided = Decided(9, KEY, 1, 200_000, 0, LOW)
    seat.link.held = replace(seat.link.held, position=Position(decided, "HOLDING", FIRST), revision=40)
    seat.link.held = replace(seat.link.held, word=Word(True, "a fair"))
    seat.step()
    assert (seat.steps[-1].old, seat.steps[-1].new, seat.steps[-1].edition) == ("HOLDING", "PAUSED", 9)


LATE = {"ev": "ramped", "token": 5, "edition": 0, "phase": "ANNOUNCED", "landed": False}


def rows(random: Random, leaving: tuple[str, ...]) -> dict[str, Row]:
    return {
        f"b{n}": Row(
            random.randrange(1, 9),
            Figures(),
            {n: Counted(n + 1, 5, 6), 99: Counted(1, n, n)},
            f"b{n}" in leaving,
        )
        for n in range(4)
    }


def test_rows_of_backends_that_left_or_were_silent_long_are_added_up_once() -> None:
    seat = Seat()
    told = rows(Random(1), ("b1",))
    seat.link.held = replace(seat.link.held, rows=told, revisions=dict.fromkeys(told, 1))
    seat.step()
    assert set(seat.link.held.rows) == {"b0", "b2", "b3"}
    assert seat.link.held.counts == {1: Counted(2, 5, 6), 99: Counted(1, 1, 1)}
    long = GONE_AFTER * LINE.conditions.fresh_s
    seat.step(long)
    newer = Row(50, Figures(), told["b2"].warned)
    seat.link.held = replace(seat.link.held, rows={**seat.link.held.rows, "b2": newer})
    seat.step(2)  # the two others were silent, in this holder's own sight, for longer than that
    assert set(seat.link.held.rows) == {"b2"}
    assert seat.link.held.counts == {
        0: Counted(1, 5, 6),
        1: Counted(2, 5, 6),
        3: Counted(4, 5, 6),
        99: Counted(3, 0, 3),
    }


def test_a_wall_clock_that_is_set_anew_makes_no_time_pass() -> None:
    seat = Seat()
    seat.work.wall = lambda: ANNOUNCED + seat.now
    seat.step()
    seat.step()
    seat.work.wall = lambda: FIRST * 2
    seat.step()
    assert [one.new for one in seat.steps] == ["ANNOUNCED"]
    seat.work.taken(6, seat.now)  # whoever takes the lease reads its own
    seat.step()
    assert [one.new for one in seat.steps] == ["ANNOUNCED", "WARNING"]


def test_the_work_is_done_once_its_withdrawal_is_written() -> None:
    seat = Seat()
    seat.step()
    assert not seat.work.done
    seat.work.timeline = None
    seat.step()
    assert seat.work.done and seat.steps[-1].new == "WITHDRAWN"
    assert seat.link.held.position is not None and seat.link.held.position.decided.edition == 1
    fresh = Seat()
    fresh.work.timeline = None
    fresh.step()
    assert fresh.work.done and not fresh.steps  # nothing of it was ever at the keeper
