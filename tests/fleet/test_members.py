"""Which keeper's member is asked, and which process takes which of several tasks."""

from __future__ import annotations

from hypothesis import given, settings
from hypothesis import strategies as st

from ringshift.fleet.lease import MS, SEEKING, Heard, Lease, LeaseTerms, News
from ringshift.fleet.members import FINE, FIRST_REST, LONGEST_REST, RESTING, TABLE, TRYING, Member, Members
from ringshift.fleet.placement import MOST_WAIT, STEP, Placement

S = 1_000_000_000


def test_every_effect_of_the_specification_is_a_method() -> None:
    for _, effects in TABLE.values():
        for name in effects:
            assert callable(getattr(Member, name)), name


def test_the_one_that_answers_is_asked_again_and_a_failed_one_rests() -> None:
    members = Members(3)
    assert [members.choose(now) for now in range(3)] == [0, 0, 0]
    members.heard(0, False, 2 * S, 2 * S)
    assert members.choose(2 * S) == 1
    members.heard(1, True, 5 * MS, 2 * S)
    assert members.choose(3 * S) == 1  # fine, and it answered last: no reason to go back
    members.heard(1, False, 2 * S, 5 * S)
    assert members.choose(5 * S) == 0  # its rest is over: one call tries it
    assert members.members[0].state is TRYING
    members.heard(0, True, 5 * MS, 5 * S)
    assert members.members[0].state is FINE and members.choose(6 * S) == 0


def test_rests_double_up_to_a_bound_and_end_with_an_answer() -> None:
    members, now, rests = Members(1), 0, []
    for _ in range(9):
        members.heard(members.choose(now), False, S, now)
        rests.append(members.members[0].rest)
        now = members.members[0].until
    assert rests[:4] == [FIRST_REST, 2 * FIRST_REST, 4 * FIRST_REST, 8 * FIRST_REST]
    assert rests[-1] == LONGEST_REST
    members.heard(0, True, S, now)
    assert members.members[0].state is FINE and members.members[0].rest == 0


def test_where_all_rest_the_one_whose_rest_ends_first_is_asked() -> None:
    members = Members(3)
    for place, at in ((0, 300), (1, 100), (2, 200)):
        members.heard(place, False, S, at)
    assert members.choose(400) == 1
    assert members.picture()[1]["failures"] == 1


def test_a_member_far_slower_than_another_is_left() -> None:
    members = Members(2)
    members.heard(0, True, 4 * MS, 0)
    members.heard(1, True, 3 * MS, 0)
    for now in range(30):
        members.heard(0, True, 40 * MS, now)
    assert members.choose(30) == 1


@settings(derandomize=True, max_examples=100, deadline=None)
@given(st.integers(1, 5), st.lists(st.tuples(st.booleans(), st.integers(0, 5 * S)), max_size=60))
def test_one_is_always_named_and_never_a_resting_one_beside_a_fine_one(
    count: int,
    answers: list[tuple[bool, int]],
) -> None:
    members, now = Members(count), 0
    for good, step in answers:
        now += step
        place = members.choose(now)
        if any(one.state is FINE for one in members.members):
            assert members.members[place].state is not RESTING
        members.heard(place, good, 5 * MS, now, 0.5)


def test_a_process_that_holds_others_leaves_a_freed_task_to_those_that_hold_none() -> None:
    placement = Placement(("a", "b", "c"))
    assert placement.wait("a") == 0
    placement.took("a")
    assert (placement.wait("a"), placement.wait("b")) == (0, STEP)
    placement.took("b")
    assert placement.wait("c") == 2 * STEP
    placement.let_go("a")
    placement.took("another's")  # not one that is sought here
    assert placement.wait("c") == STEP
    many = Placement(tuple(map(str, range(50))), set(map(str, range(40))))
    assert many.wait("49") == MOST_WAIT
    assert Placement(("a",)).first_wait("a", 0.99) == 0 and 0 < many.first_wait("1", 0.99) <= MOST_WAIT


def test_a_handicapped_seeker_lets_the_others_go_first_and_still_takes_what_nobody_took() -> None:
    terms = LeaseTerms()
    quick, slow = Lease(terms), Lease(terms)
    slow.handicap = STEP
    for lease in (quick, slow):
        lease.hear(Heard(News.TICK, 0))
        lease.hear(Heard(News.TAKEN, 1 * MS, revision=5))
    freed = Heard(News.FREED, 100 * MS, revision=9)
    assert [effect.kind for effect in quick.hear(freed)] == ["seek"] and slow.hear(freed) == []
    assert slow.hear(Heard(News.TICK, 100 * MS + STEP - 1)) == [] and slow.phase is SEEKING
    assert [effect.kind for effect in slow.hear(Heard(News.TICK, 100 * MS + STEP))] == ["seek"]
