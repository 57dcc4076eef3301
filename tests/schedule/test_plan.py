"""A set against a base: what lands, what is refused and why; what a withdrawal frees; a planner's table."""

from __future__ import annotations

from datetime import datetime

import msgspec
import pytest

from ringshift.rulebook.bound import MS, ReadingTerms
from ringshift.rulebook.document import Rulebook
from ringshift.rulebook.kinds import Verdict, differences
from ringshift.schedule import planner as planners
from ringshift.schedule.plan import PlanError, Terms, plan, undone, unfit, validated, whole, withdraw
from ringshift.schedule.planned import Drained, HeldDown, Moved, Planned, Recurring, Serving, Stated
from ringshift.schedule.planner import News, Planner, State, Wish
from ringshift.schedule.rules import Broken, Rule
from tests.schedule.planning import EMPTY, HALF, NOW, TERMS, S, book, later, row

MOVE, DRAIN = row("move", 100, 200), row("drain", 150, 250, Drained("south"))


def refused(base: Rulebook, *rows: Planned, now: int = NOW) -> str:
    with pytest.raises(PlanError) as told:
        plan(base, rows, now, TERMS)
    return str(told.value)


def kinds(a: Rulebook, b: Rulebook) -> list[str]:
    return [one.kind for one in differences(a, b)]


def test_two_sets_each_valid_and_together_not() -> None:
    assert isinstance(plan(EMPTY, [DRAIN], NOW, TERMS), Rulebook)
    base = book(MOVE)
    assert kinds(EMPTY, base) == ["change added", "horizon moved"]
    found = plan(base, [DRAIN], NOW, TERMS)
    assert isinstance(found, Broken)
    assert (found.rule, found.first, found.second) == (Rule.INTO_DRAINED, "drain", "move")
    assert found.instant == later(150)
    near = plan(base, [row("drain", 207, 250, Drained("south"))], NOW, TERMS)
    assert isinstance(near, Broken) and near.rule is Rule.CLOSE
    assert isinstance(plan(base, [row("drain", 208, 250, Drained("south"))], NOW, TERMS), Rulebook)


def test_terms_follow_the_reading_leases() -> None:
    terms = Terms.of(ReadingTerms())
    assert terms.late == 7_495 * MS  # B, up to the next ms
    assert terms.lead == ReadingTerms().surely_ended + 8 * S


def test_a_change_may_not_begin_before_its_version_can_be_in_force() -> None:
    assert "begins at" in refused(EMPTY, row("a", 19, 30))
    assert book(row("a", 20, 30)).changes
    daily = Planned(name="d", does=HALF, recurring=Recurring("FREQ=DAILY", datetime(2026, 1, 1), "UTC", 3600))
    assert "begins at" in refused(EMPTY, daily, now=later(600))  # today's window is under way


def test_a_row_that_stands_is_never_altered() -> None:
    base = book(MOVE)
    assert "another plan" in refused(base, row("move", 100, 300))
    assert plan(base, [MOVE], NOW, TERMS) == base  # as it stands
    said = msgspec.structs.replace(MOVE, text="for people")
    assert plan(base, [said], NOW, TERMS) == base
    gone = withdraw(base, ["move"], NOW)
    assert "name is free once" in refused(gone, MOVE)
    assert "twice" in refused(EMPTY, MOVE, MOVE)
    altered = msgspec.structs.replace(base, changes=[row("move", 100, 300)])
    verdicts = {one.kind: one.verdict for one in differences(base, altered)}
    assert verdicts == {"change altered": Verdict.ENDLESS}
    back = differences(gone, msgspec.structs.replace(gone, changes=base.changes))
    assert [one.kind for one in back] == ["change altered"]  # a withdrawal is final


def test_a_withdrawn_change_keeps_its_place_unless_it_was_withdrawn_before_it_could_begin() -> None:
    base = withdraw(book(MOVE), ["move"], NOW)
    assert kinds(book(MOVE), base) == ["change withdrawn"]
    # Known as withdrawn 8 s or more before its start: nobody began it, and its place is free at once.
    early = plan(base, [DRAIN], later(92), TERMS)
    assert isinstance(early, Rulebook) and [one.name for one in early.changes] == ["drain"]
    assert kinds(base, early) == ["change added", "change over", "horizon moved"]
    # Later a backend without contact may be carrying it out, to its planned end.
    late = plan(base, [DRAIN], later(93), TERMS)
    assert isinstance(late, Broken) and late.rule is Rule.INTO_DRAINED
    after = plan(base, [row("drain", 208, 250, Drained("south"))], later(93), TERMS)
    assert isinstance(after, Rulebook) and len(after.changes) == 2
    assert kinds(base, after) == ["change added", "change settled", "horizon moved"]
    over = plan(after, [row("last", 300, 400)], later(208), TERMS)
    assert isinstance(over, Rulebook) and [one.name for one in over.changes] == ["drain", "last"]


def test_of_a_recurring_one_withdrawn_only_windows_that_may_have_begun_keep_their_place() -> None:
    every = Recurring("FREQ=DAILY", datetime(2026, 12, 1, 1), "UTC", 600)
    daily = Planned(name="d", does=HALF, recurring=every)
    hour = 3_600
    drains = [
        row(f"x{day}", day * 24 * hour + hour, day * 24 * hour + hour + 60, Drained("south"))
        for day in (0, 1)
    ]
    base = book(daily)
    for one in drains:
        assert isinstance(plan(base, [one], NOW, TERMS), Broken)
    gone = withdraw(base, ["d"], later(hour + 60))
    found = plan(gone, [drains[1]], later(hour + 61), TERMS)
    assert isinstance(found, Rulebook)
    clash = row("y", hour + 200, hour + 300, Drained("south"))
    told = plan(found, [clash], later(hour + 100), TERMS)
    assert isinstance(told, Broken) and "d@2026-12-01T01:00:00Z" in (told.first, told.second)


def test_compaction_keeps_what_one_yet_to_end_requires() -> None:
    first, second = row("a", 100, 200), row("b", 300, 400, HeldDown(5), after=["a"])
    base = book(first, second)
    early = book(row("c", 600, 700), now=later(250), base=base)
    assert [one.name for one in early.changes] == ["a", "b", "c"]
    done = book(row("c", 600, 700), now=later(408), base=base)
    assert [one.name for one in done.changes] == ["c"]
    assert kinds(base, done) == ["change over", "change over", "change added", "horizon moved"]
    gone = plan(done, [row("d", 800, 900, after=["a"])], later(450), TERMS)  # met, but nothing tells it
    assert isinstance(gone, Broken) and gone.rule is Rule.ENDS_LATE
    assert "once over, a change goes from it: the requirement is met then, leave it out" in str(gone)
    dropped = msgspec.structs.replace(base, changes=[second])
    assert [one.kind for one in differences(base, dropped)] == ["change dropped"]
    with pytest.raises(PlanError, match="a: b requires it"):
        withdraw(base, ["a"], NOW)
    both = withdraw(base, ["a", "b"], NOW)
    assert all(one.withdrawn for one in both.changes)
    with pytest.raises(PlanError, match="z: no such"):
        withdraw(base, ["z"], NOW)


def test_what_is_required_must_end_and_must_not_be_withdrawn() -> None:
    nine = Recurring("FREQ=DAILY", datetime(2026, 12, 1, 9), "UTC", 60)
    daily = Planned(name="d", does=HALF, recurring=nine)
    needs = row("b", 300, 400, HeldDown(5), after=["a"])
    assert "requires a, which is withdrawn" in refused(withdraw(book(row("a", 100, 200)), ["a"], NOW), needs)
    assert "requires d, which recurs" in refused(book(daily), row("b", 300, 400, after=["d"]))
    told = plan(EMPTY, [needs], NOW, TERMS)
    assert isinstance(told, Broken) and told.rule is Rule.ENDS_LATE


def test_a_horizon_never_goes_back_and_a_reader_refuses_what_was_not_validated() -> None:
    base = book(MOVE)
    assert base.horizon is not None
    shorter = plan(base, [row("later", 300, 400)], NOW - 50 * S, Terms(8 * S, 20 * S, S))
    assert isinstance(shorter, Rulebook) and shorter.horizon == base.horizon
    cut = msgspec.structs.replace(base.horizon, to=base.horizon.at)
    assert kinds(base, msgspec.structs.replace(base, horizon=cut)) == ["horizon cut"]
    assert unfit(base, TERMS.late) == "" == unfit(EMPTY, TERMS.late)
    assert unfit(base, TERMS.late + S).startswith("horizon.late_ms: 8000, below")
    assert unfit(base, TERMS.late, NOW - 8 * S) == ""
    assert "horizon.at: 8001 ms ahead" in unfit(base, TERMS.late, NOW - 8_001 * MS)
    assert "horizon: none" in unfit(msgspec.structs.replace(base, horizon=None), 0)
    forged = msgspec.structs.replace(base, changes=[MOVE, DRAIN])
    assert "into_drained" in unfit(forged, 0)
    assert isinstance(validated(forged), Broken)


def test_the_world_is_stated_anew_and_all_is_judged_by_it() -> None:
    base = book(row("drain", 100, 200, Drained("south"), operations=["book"]))
    only = Stated(serves=[Serving("book", ["south"])])
    told = plan(base, [], NOW, TERMS, only)
    assert isinstance(told, Broken) and told.rule is Rule.LAST_PLACE
    both = Stated(serves=[Serving("book", ["north", "south"])])
    found = plan(base, [], NOW, TERMS, both)
    assert isinstance(found, Rulebook) and kinds(base, found) == ["world changed"]


def test_a_whole_document_and_a_version_brought_back_withdraw_instead_of_dropping() -> None:
    base = book(MOVE, row("far", 500, 600))
    wanted = msgspec.structs.replace(EMPTY, text="new", changes=[MOVE, row("new", 700, 800)])
    found = whole(base, wanted, NOW, TERMS)
    assert isinstance(found, Rulebook) and found.text == "new"
    marks = {one.name: one.withdrawn is not None for one in found.changes}
    assert marks == {"move": False, "far": True, "new": False}
    assert all(one.verdict is not Verdict.ENDLESS for one in differences(base, found))
    assert whole(EMPTY, EMPTY, NOW, TERMS) is EMPTY
    again = undone(found, base, later(10))
    marks = {one.name: one.withdrawn is not None for one in again.changes}
    assert marks == {"move": False, "far": True, "new": True} and again.text == ""
    assert all(one.verdict is not Verdict.ENDLESS for one in differences(found, again))


def test_every_effect_of_the_planners_table_is_a_method_and_every_end_is_reached() -> None:
    effects = {effect for _, effects in planners.TABLE.values() for effect in effects}
    assert all(callable(getattr(Planner, effect)) for effect in effects)
    assert {state for state, _ in planners.TABLE.values()} >= planners.ENDS


def test_a_planner_that_lost_the_compare_lands_on_top_or_is_told_what_it_contradicts_now() -> None:
    mine = Planner(Wish((DRAIN,)), TERMS)
    assert mine.hear(News.TAKEN, NOW) == "settle"
    assert mine.hear(News.TAKEN, NOW) == "settle"
    assert mine.hear(News.FREE, NOW, EMPTY) == "propose" and mine.book is not None
    mine.hear(News.BEATEN, NOW, why="another was first")
    assert (mine.state.name, mine.lost) == ("LOOKING", 1)
    assert mine.hear(News.FREE, NOW, book(MOVE)) == "" and mine.ended
    assert mine.state is State.CONTRADICTS and mine.broken is not None
    assert (mine.broken.first, mine.broken.second, mine.broken.instant) == ("drain", "move", later(150))
    on_top = Planner(Wish((row("b", 300, 400),)), TERMS)
    on_top.hear(News.FREE, NOW, EMPTY)
    on_top.hear(News.BEATEN, NOW)
    assert on_top.hear(News.FREE, NOW, book(MOVE)) == "propose" and on_top.book is not None
    assert [one.name for one in on_top.book.changes] == ["move", "b"]
    on_top.hear(News.LANDED, NOW)
    assert on_top.state is State.LANDED


def test_a_proposal_that_another_led_on_and_superseded_has_landed_and_one_taken_back_has_not() -> None:
    for stands, state in ((True, State.LANDED), (False, State.WITHDRAWN)):
        mine = Planner(Wish((MOVE,)), TERMS)
        mine.hear(News.FREE, NOW, EMPTY)
        mine.hear(News.TAKEN_BACK, NOW)
        assert mine.state is State.LOOKING
        mine.hear(News.FREE, NOW, book(MOVE, row("o", 300, 400)) if stands else EMPTY)
        assert mine.state is state


@pytest.mark.parametrize(
    ("wish", "base", "state", "why"),
    [
        (Wish((row("a", 1, 30),)), EMPTY, State.REFUSED, "a: begins at"),
        (Wish(withdrawn=frozenset({"z"})), EMPTY, State.REFUSED, "z: no such"),
        (Wish(withdrawn=frozenset({"move"})), withdraw(book(MOVE), ["move"], NOW), State.LANDED, ""),
        (Wish((MOVE,)), book(MOVE), State.LANDED, ""),
        (Wish((row("m", 100, 200, Moved(0.6, "north", "south")),)), book(MOVE), State.CONTRADICTS, "shares"),
    ],
)
def test_a_wish_is_judged(wish: Wish, base: Rulebook, state: State, why: str) -> None:
    mine = Planner(wish, TERMS)
    mine.hear(News.FREE, NOW, base)
    assert mine.state is state and why in mine.why


def test_tries_are_bounded_and_nothing_published_is_told() -> None:
    mine = Planner(Wish((MOVE,)), TERMS, tries=2)
    for state in (State.LOOKING, State.LATE):
        mine.hear(News.FREE, NOW, EMPTY)
        mine.hear(News.BEATEN, NOW)
        assert mine.state is state
    none = Planner(Wish((MOVE,)), TERMS)
    none.hear(News.EMPTY, NOW)
    assert none.state is State.REFUSED and "publish a rulebook first" in none.why
