"""By which decision one backend acts: told in time, kept through lost contact, never by its own clock."""

from __future__ import annotations

from hypothesis import given, settings
from hypothesis import strategies as st

from ringshift.retirement.conditions import WHOLE
from ringshift.retirement.follow import TABLE, Follower, State, Word
from ringshift.retirement.shed import Decided, key, shedding
from tests.retirement.builders import DARK, DAY, END, LIGHT, LINE, S

KEY, FRESH = key(LINE), 10 * S
CALLERS = frozenset((1, 2, 3))


def told(edition: int, share: int = WHOLE // 2, rung: int = 1, until: int = 0) -> Decided:
    return Decided(edition, KEY, rung, share, until, CALLERS if share else frozenset())


def follower(state: State = State.FOLLOWING, edition: int = 5) -> Follower:
    return Follower(KEY, FRESH, state, told(edition))


def test_each_row_of_the_table() -> None:
    """Every state with every word: what is missing changes nothing, and only a row with an effect takes."""
    for state in State:
        for word in Word:
            one = follower(state)
            one.hear(word, told(6, 0))
            to, effect = TABLE.get((state, word), (state, ""))
            assert (one.state, one.decided.edition) == (to, 6 if effect else 5)


def test_answers_in_time_late_overtaken_and_of_another_timeline() -> None:
    one = Follower(KEY, FRESH)
    assert not one.answered(None, 0, 1) and one.state.name == "UNTOLD"
    assert one.answered(told(5), 0, FRESH) and one.state.name == "FOLLOWING"
    assert not one.answered(told(4, WHOLE), S, S + 1) and one.acts_by == told(5)
    assert not one.answered(Decided(9, 1, 3, WHOLE), S, S + 1) and one.acts_by == told(5)
    assert not one.answered(told(6, WHOLE), S, S + FRESH + 1) and one.state is State.CUT_OFF
    assert one.answered(told(7, 0, 0), S, S + FRESH + 1)  # fewer: taken though late
    assert one.acts_by == told(7, 0, 0)
    assert one.state is State.CUT_OFF
    assert not one.answered(told(7, 0, 0), 20 * S, 20 * S + 1) and one.state.name == "FOLLOWING"


def test_a_brownout_that_may_be_over_is_no_share_to_compare_with() -> None:
    one = Follower(KEY, FRESH, State.FOLLOWING, told(5, WHOLE, 0, until=LIGHT))
    assert not one.answered(told(6, 200_000), 0, FRESH + 1) and one.acts_by.edition == 5
    assert one.answered(told(7, 0, 0), 0, FRESH + 1)


def test_without_contact_it_keeps_its_step_past_the_end_and_leaves_a_brownout() -> None:
    one = Follower(KEY, FRESH)
    one.answered(told(5), 0, 1)
    for now in (FRESH, FRESH + 1, END, END + 30 * DAY):
        one.tick(now)
        assert one.state is (State.FOLLOWING if now == FRESH else State.CUT_OFF)
        assert shedding(LINE, one.acts_by).share(now) == WHOLE // 2
    dark = Follower(KEY, FRESH, State.CUT_OFF, told(6, WHOLE, 0, until=LIGHT))
    assert [shedding(LINE, dark.acts_by).share(at) for at in (DARK, LIGHT)] == [WHOLE, 0]


def test_a_timeline_taken_out_turns_nobody_away_and_is_at_one_when_it_comes_back() -> None:
    one = follower()
    assert one.listed(False) and one.acts_by == Decided(5) and not one.listed(False)
    assert not one.answered(told(6), 0, 1)
    assert one.listed(True) and one.acts_by == told(5) and one.state is State.CUT_OFF
    assert one.answered(told(6), 0, 1)


WORDS = st.tuples(
    st.sampled_from(("answer", "lost", "listed")),
    st.integers(0, 12),
    st.integers(0, 3),
    st.integers(0, 20),
    st.integers(0, 5),
)


@settings(derandomize=True, database=None, max_examples=300)
@given(st.lists(WORDS, max_size=30))
def test_it_never_goes_back_and_never_takes_more_by_a_stale_word(
    words: list[tuple[str, int, int, int, int]],
) -> None:
    one, now = Follower(KEY, FRESH), 0
    for what, edition, step, late, wait in words:
        before = one.decided
        now += wait * S
        if what == "answer":
            one.answered(told(edition, step * 300_000, step), now - late * S, now)
        elif what == "lost":
            one.tick(now)
            assert one.decided == before
        else:
            one.listed(bool(step))
        assert one.decided.edition >= before.edition
        if one.decided.share > before.share:
            assert late * S <= FRESH and what == "answer"
