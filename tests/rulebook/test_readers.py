"""Readers and publishers by the program's own client in emulated time: cuts, losses, two at it at once."""

from __future__ import annotations

import pytest

from ringshift.rulebook.bound import MS, S
from ringshift.rulebook.errand import Errand
from ringshift.rulebook.errand import State as Stage
from ringshift.rulebook.wish import Memory, Wish, as_kept
from standins.fleet.emulated_readers import Fleet


@pytest.mark.parametrize("seed", range(6))
def test_no_two_contradict_at_any_instant_with_two_publishers_and_readers_cut_off(seed: int) -> None:
    run = Fleet(4, seed, lost=60_000)
    assert run.settled()
    errands = list[Errand]()
    for step in range(80):
        if run.chance.random() < 0.3:
            one = run.chance.choice(run.backends)
            one.cut = not one.cut
        led = [errand for errand in errands if not errand.ended]
        if run.chance.random() < 0.5 and len(led) < 2:
            memory = run.memory if run.chance.random() < 0.5 else Memory()  # one that goes on, or a new one
            kind = run.chance.choice([Stage.PUBLISHING, Stage.SETTLING])
            errands.append(Errand(run.terms, kind, Wish(as_kept(run.listed(2, step))), memory))
            run.look(errands[-1])
        elif led and run.chance.random() < 0.1:
            led[0].late()  # killed, as far as the keeper can tell
        run.run(run.now + run.chance.choice([300 * MS, S, 3 * S]))
    assert run.doubt == 0
    assert sum(errand.state is Stage.IN_FORCE for errand in errands) > 3


def test_a_cut_is_acted_through_until_the_deadline_and_no_longer() -> None:
    run = Fleet(3, 1)
    assert run.settled()
    one, began = run.backends[0], run.now
    one.cut, one.flips = True, []
    assert run.publish(run.listed(3)) > run.terms.acting_time  # it was waited for
    ((at, acting),) = one.flips
    assert not acting and 0 < at - began <= run.terms.life
    one.cut = False
    assert run.settled() and run.doubt == 0
