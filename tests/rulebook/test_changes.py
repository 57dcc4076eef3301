"""Changes, world, horizon and timelines in the document: kinds of difference, and the meet's part in each.

What the meet begins, walks back and turns away is shown to contradict neither version, kind by kind.
"""

from __future__ import annotations

from datetime import UTC, datetime, timedelta, timezone

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from msgspec.structs import replace

from ringshift.retirement.timeline import Step, Timeline
from ringshift.rulebook import kinds
from ringshift.rulebook.document import Rulebook, Rules, canonical, digest
from ringshift.rulebook.kinds import Verdict, contradict, differences
from ringshift.rulebook.meet import Standing, meet, met_timelines, standing
from ringshift.rulebook.version import PublicationError, check_step
from ringshift.schedule.change import World
from ringshift.schedule.plan import Terms, plan, withdraw
from ringshift.schedule.planned import (
    Drained,
    Frozen,
    HeldDown,
    Horizon,
    Moved,
    Planned,
    Stated,
    Taking,
    expanded,
    moment,
    over,
)
from ringshift.schedule.rules import Broken
from ringshift.schedule.validate import validate

S = 1_000_000_000
NOW = 1_800_000_000 * S
TERMS = Terms(8 * S, 20 * S, 3_600 * S)
EMPTY = Rulebook(alone=Rules())


def row(name: str, start: int, end: int, does: Moved | Drained | HeldDown | Frozen) -> Planned:
    return Planned(name=name, does=does, start=moment(NOW + start * S), end=moment(NOW + end * S))


A = row("a", 100, 200, Moved(0.5, "p", "q"))


def planned(base: Rulebook, *rows: Planned, now: int = 0) -> Rulebook:
    found = plan(base, rows, NOW + now * S, TERMS)
    assert isinstance(found, Rulebook), found
    return found


BOOK = planned(EMPTY, A)
GONE = withdraw(BOOK, ["a"], NOW)
FAR = row("b", 900, 999, HeldDown(3))
LINE = Timeline(
    "old",
    "book",
    "book-2",
    datetime(2027, 1, 1, tzinfo=UTC),
    datetime(2027, 1, 2, tzinfo=UTC),
    [Step(datetime(2027, 3, 1, tzinfo=UTC), 0.5)],
    datetime(2027, 4, 1, tzinfo=UTC),
)
assert BOOK.horizon is not None
SHORT = Horizon(BOOK.horizon.at, BOOK.horizon.to - timedelta(seconds=9), 8_000)

DIFFER = {  # kind -> a pair that differs in it
    "change added": (BOOK, planned(BOOK, FAR)),
    "change withdrawn": (BOOK, GONE),
    "change settled": (GONE, planned(GONE, FAR, now=150)),
    "change over": (BOOK, planned(BOOK, FAR, now=208)),
    "change altered": (BOOK, replace(BOOK, changes=[replace(A, ramp_in_ms=5)])),
    "change dropped": (BOOK, replace(BOOK, changes=[])),
    "horizon moved": (BOOK, planned(BOOK, now=5)),
    "horizon cut": (BOOK, replace(BOOK, horizon=SHORT)),
    "world changed": (BOOK, replace(BOOK, world=Stated(capacity=[Taking("q", 9)]))),
    "timeline added": (BOOK, replace(BOOK, timelines=[LINE])),
    "timeline dropped": (replace(BOOK, timelines=[LINE]), BOOK),
    "timeline altered": (
        replace(BOOK, timelines=[LINE]),
        replace(BOOK, timelines=[replace(LINE, successor="book-3")]),
    ),
    "text changed": (BOOK, replace(BOOK, changes=[replace(A, text="why")])),
}


def test_each_kind_of_the_table_that_is_of_changes_has_a_pair_here() -> None:
    named = {kind for kind in kinds.TABLE if kind.split()[0] in ("change", "horizon", "world", "timeline")}
    assert named == DIFFER.keys() - {"text changed"}


@pytest.mark.parametrize("kind", DIFFER)
def test_a_pair_differs_in_its_kind_and_lands_unless_it_would_contradict_without_end(kind: str) -> None:
    a, b = DIFFER[kind]
    found = [one.kind for one in differences(a, b)]
    assert kind in found and set(found) <= {kind, "change added", "horizon moved"}
    assert differences(a, a) == [] and digest(a) != digest(b)
    verdict = kinds.TABLE[kind][0]
    assert contradict(a, b) == (verdict is Verdict.ALWAYS)
    if verdict is Verdict.ENDLESS:
        with pytest.raises(PublicationError, match=kind):
            check_step(a, b)
    else:
        assert check_step(a, b) is False


def test_marks_are_never_taken_off_nor_set_early() -> None:
    for a, b in ((GONE, BOOK), (GONE, replace(GONE, changes=[replace(A, withdrawn=moment(NOW + S))]))):
        assert [one.kind for one in differences(a, b)] == ["change altered"]
    settled = planned(GONE, FAR, now=150)
    mark = next(one for one in settled.changes if one.name == "a").settled
    assert mark == moment(NOW + 158 * S)
    for at in (None, moment(NOW + 160 * S)):
        again = replace(
            settled, changes=[replace(one, settled=at) if one.name == "a" else one for one in settled.changes]
        )
        assert "change altered" in [one.kind for one in differences(settled, again)]
    both = replace(BOOK, changes=[replace(A, withdrawn=moment(NOW), settled=moment(NOW + 9 * S))])
    assert [one.kind for one in differences(BOOK, both)] == ["change altered"]  # settled by no later plan


def test_the_rules_for_invocations_hold_nothing_of_changes() -> None:
    assert BOOK.rules() == EMPTY.rules() and meet(BOOK, EMPTY) == Rules()


def test_a_timeline_whose_dates_have_other_offsets_comes_back_from_the_keeper() -> None:
    steps = [
        Step(datetime(2027, 3, 2, 1, tzinfo=timezone(timedelta(hours=5))), 0.2),
        Step(datetime(2027, 3, 1, 22, tzinfo=UTC), 0.4),
        Step(datetime(2027, 3, 1, 22, 0, 0, 500_000, tzinfo=UTC), 0.6),
    ]
    book = replace(EMPTY, timelines=[replace(LINE, steps=steps)])
    again = msgspec.json.decode(canonical(book), type=Rulebook)
    assert [one.share for one in again.timelines[0].steps] == [0.2, 0.4, 0.6]
    assert digest(again) == digest(book)


def test_of_timelines_the_meet_turns_away_what_either_does() -> None:
    one, other = (replace(BOOK, timelines=[line]) for line in (LINE, replace(LINE, successor="book-3")))
    assert met_timelines([BOOK, one]) == met_timelines([one, one]) == [LINE]
    assert {line.successor for line in met_timelines([one, other])} == {"book-2", "book-3"}


DOES = st.sampled_from(
    [
        Moved(0.4, "p", "q"),
        Moved(0.7, "p", "q"),
        Moved(0.4, "q", "p"),
        Drained("q"),
        Drained("p"),
        HeldDown(3),
        Frozen(),
    ]
)
STEPS = st.lists(
    st.tuples(st.integers(0, 30), st.integers(20, 90), st.integers(2, 40), DOES, st.booleans()),
    min_size=2,
    max_size=12,
)


@settings(derandomize=True, deadline=None, database=None, max_examples=300)
@given(STEPS)
def test_what_may_be_in_force_by_neighbours_together_is_one_accepted_set(
    steps: list[tuple[int, int, int, Moved | Drained | HeldDown | Frozen, bool]],
) -> None:
    """Whatever the operators plan and withdraw, as time goes on: of each pair of neighbouring versions, all
    that either has not let go of is accepted by the validator as one set. So whichever of them a backend acts
    by, or both, or without contact by what it began, nothing of it contradicts."""
    base, now, number = EMPTY, 0, 0
    for wait, start, long, does, back in steps:
        now += wait
        standing_rows = [one.name for one in base.changes if one.withdrawn is None]
        if back and standing_rows:
            found = withdraw(base, standing_rows[:1], NOW + now * S)
        else:
            number += 1
            new = row(f"n{number}", now + start, now + start + long, does)
            told = plan(base, [new], NOW + now * S, TERMS)
            if isinstance(told, Broken):
                continue
            assert isinstance(told, Rulebook)
            found = told
        assert all(one.verdict is not Verdict.ENDLESS for one in differences(base, found))
        together: dict[str, tuple[object, bool]] = {}
        for book in (base, found):
            together |= expanded(book.changes, book.horizon)
        changes = [told for told, _ in together.values()]
        if found.horizon is not None:  # those over are in force nowhere by now
            done = {one.name for one in base.changes if over(one, found.horizon)}
            changes = [one for one in changes if one.name not in done]  # type: ignore[attr-defined]
        assert not isinstance(validate(changes, World(), TERMS.late), Broken)  # type: ignore[arg-type]
        begins = {
            name
            for name, (_, how) in standing(
                [expanded(one.changes, one.horizon) for one in (base, found)]
            ).items()
            if how is Standing.BEGINS
        }
        assert begins <= {one.name for one in base.changes} & {one.name for one in found.changes}
        base = found
