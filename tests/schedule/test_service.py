"""A change in service: armed, ramped, held, walked back, missed; never above its plan."""

from __future__ import annotations

from hypothesis import given, settings
from hypothesis import strategies as st

from ringshift.schedule.change import Change, Drain, Scope
from ringshift.schedule.service import Service, State

PLAN = Change("a", Scope(), Drain("p"), 100, 200, 20, 40)


def test_by_plan() -> None:
    service = Service(PLAN, lead=10)
    seen = [
        (now, service.hear(now, True).name, service.in_force(now)) for now in (80, 95, 110, 130, 170, 200)
    ]
    assert seen == [
        (80, "PLANNED", 0),
        (95, "ARMED", 0),
        (110, "UNDER_WAY", 0),
        (130, "HOLDING", 1_000_000),
        (170, "ENDING", 750_000),
        (200, "DONE", 0),
    ]


def test_not_begun_late_without_a_fresh_word() -> None:
    service = Service(PLAN, lead=10)
    assert service.hear(95, True) is service.hear(130, False) is State.ARMED
    assert service.in_force(130) == 0
    assert service.hear(140, True) is State.UNDER_WAY
    assert service.in_force(150) == 500_000  # its own ramp from 140: no jump
    cut_off = Service(PLAN, lead=10)
    assert cut_off.hear(130, False) is State.PLANNED
    assert cut_off.hear(200, True) is State.MISSED


def test_withdrawn_under_way_it_is_walked_back() -> None:
    service = Service(PLAN)
    service.hear(100, True)
    assert service.hear(120, True) is State.HOLDING
    assert service.hear(130, True, withdrawn=True) is State.ENDING
    assert [service.in_force(now) for now in (130, 150, 170)] == [1_000_000, 500_000, 0]
    assert service.hear(150, False) is State.ENDING
    assert service.hear(170, False) is State.WITHDRAWN
    assert Service(PLAN).hear(50, True, withdrawn=True) is State.WITHDRAWN


@settings(max_examples=200, derandomize=True, deadline=None, database=None)
@given(st.lists(st.tuples(st.integers(1, 40), st.booleans(), st.integers(0, 9)), max_size=12))
def test_never_above_its_plan(steps: list[tuple[int, bool, int]]) -> None:
    service, now = Service(PLAN, lead=10), 60
    for step, fresh, chance in steps:
        now += step
        service.hear(now, fresh, chance == 0)
        for later in range(now, now + 40):
            assert service.part(later) <= PLAN.part(later)
