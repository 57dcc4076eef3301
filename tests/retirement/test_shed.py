"""Who is turned away: the same callers everywhere, and the same ones at any share above."""

from __future__ import annotations

from hypothesis import given, settings
from hypothesis import strategies as st

from ringshift.retirement.conditions import WHOLE
from ringshift.retirement.shed import (
    NONE,
    Decided,
    key,
    lot,
    shedding,
    sheds,
)
from tests.retirement.builders import DARK, DAY, END, FIRST, LIGHT, LINE, timeline

KEY = key(LINE)
CALLERS = st.integers(0, 2**40)
SHARES = st.integers(0, WHOLE)
LOW = min(range(1_000), key=lambda caller: lot(KEY, caller))  # drawn first of a thousand


def decided(share: int, *callers: int, edition: int = 1, until: int = 0) -> Decided:
    return Decided(edition, KEY, 1, share, until, frozenset(callers))


@settings(derandomize=True, database=None, max_examples=300)
@given(CALLERS, SHARES, SHARES)
def test_who_is_shed_at_a_share_is_shed_at_any_above(caller: int, one: int, other: int) -> None:
    low, high = sorted((one, other))
    mine = lot(KEY, caller)
    assert 0 <= mine < WHOLE and sheds(WHOLE, mine) and not sheds(0, mine)
    assert sheds(high, mine) or not sheds(low, mine)


@settings(derandomize=True, database=None, max_examples=200)
@given(st.frozensets(CALLERS, max_size=20), st.frozensets(CALLERS, max_size=20), SHARES, SHARES)
def test_two_backends_at_one_edition_turn_the_same_callers_away(
    known: frozenset[int], more: frozenset[int], one: int, other: int
) -> None:
    """Each has its own copy of the document, of other exemptions' order; a rise of the share keeps all."""
    low, high = sorted((one, other))
    first, second = Decided(1, KEY, 1, low, 0, known), Decided(2, KEY, 2, high, 0, known | more)
    a, b = shedding(timeline(), first), shedding(timeline(text="the other's copy"), first)
    above = shedding(LINE, second)
    for caller in known | more:
        assert a.lot(caller, FIRST) == b.lot(caller, FIRST)
        if sheds(low, a.lot(caller, FIRST)):
            assert sheds(high, above.lot(caller, FIRST))


def test_the_lots_are_spread_evenly_and_other_for_another_timeline() -> None:
    callers = range(20_000)
    other = key(timeline(name="other"))
    for share in (100_000, 500_000, 900_000):
        for lots in (KEY, other):
            assert abs(sum(sheds(share, lot(lots, one)) for one in callers) / 20_000 - share / WHOLE) < 0.01
    both = sum(sheds(100_000, lot(KEY, one)) and sheds(100_000, lot(other, one)) for one in callers)
    assert abs(both / 20_000 - 0.01) < 0.005  # a caller drawn first by one is not drawn first by all


def test_moved_dates_draw_nobody_anew_and_another_version_does() -> None:
    assert key(timeline(end="2026-09-01T00:00:00Z", text="later")) == KEY
    assert key(timeline(version="2")) != KEY
    assert lot(7, 42) == 691_770  # of this program's versions and machines: pinned


def test_an_exemption_ends_by_its_own_date_even_after_the_end() -> None:
    line = timeline(exemptions=[{"caller": LOW, "until": "2026-07-01T00:00:00Z"}])
    one = shedding(line, decided(WHOLE, LOW))
    until = line.exemptions[0].until.timestamp()
    assert one.lot(LOW, int(until) * 10**9 - 1) == NONE
    assert one.lot(LOW, int(until) * 10**9) == lot(KEY, LOW)


def test_a_brownout_is_over_by_the_clock_alone() -> None:
    one = shedding(LINE, decided(WHOLE, LOW, until=LIGHT))
    assert [one.share(at) for at in (DARK, LIGHT - 1, LIGHT)] == [WHOLE, WHOLE, 0]
    assert [one.lot(LOW, at) for at in (LIGHT - 1, LIGHT)] == [lot(KEY, LOW), NONE]


def test_what_was_decided_for_another_timeline_binds_nobody() -> None:
    assert shedding(timeline(version="2"), decided(WHOLE, LOW)).lot(LOW, END) == NONE


@settings(derandomize=True, database=None, max_examples=200)
@given(SHARES, st.frozensets(st.integers(0, 50), max_size=30), st.integers(0, 50))
def test_whoever_is_not_among_the_ready_is_never_turned_away(
    share: int, callers: frozenset[int], caller: int
) -> None:
    drawn = shedding(LINE, decided(share, *callers)).lot(caller, END + DAY)
    assert not sheds(share, drawn) or (caller in callers and drawn == lot(KEY, caller))
