"""The lease's decisions: the deadline from the send time, doubt after a stall, fencing at the resource."""

from __future__ import annotations

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from ringshift.fleet.fence import Fence
from ringshift.fleet.lease import (
    DOUBTFUL,
    HOLDING,
    MS,
    RELEASED,
    SEEKING,
    TABLE,
    Effect,
    Heard,
    Lease,
    LeaseTerms,
    LeaseTermsError,
    News,
    S,
)

TERMS = LeaseTerms(ttl=10 * S, margin=500 * MS, drift_ppm=10_000)  # acting time 9.4 s


def kinds(effects: list[Effect]) -> list[str]:
    return [effect.kind for effect in effects if effect.kind != "record"]


def held(at: int = 0, sent: int | None = None) -> Lease:
    lease = Lease(TERMS)
    assert kinds(lease.hear(Heard(News.TICK, at))) == ["seek"]
    sent = at if sent is None else sent
    assert kinds(lease.hear(Heard(News.GRANTED, at + 50 * MS, sent=sent, lease=7, token=41))) == ["act"]
    return lease


def test_every_effect_of_the_specification_is_a_method() -> None:
    for _, effects in TABLE.values():
        for name in effects:
            assert callable(getattr(Lease, name)), name


def test_a_grant_gives_time_to_act_from_its_send_time_not_its_answer() -> None:
    lease = held(at=0)
    assert lease.phase is HOLDING and (lease.lease, lease.token) == (7, 41)
    assert lease.deadline == 10 * S - 100 * MS - 500 * MS
    late = Lease(TERMS)
    late.hear(Heard(News.TICK, 0))
    act = late.hear(Heard(News.GRANTED, 3 * S, sent=0, lease=7, token=41))
    assert [e.until for e in act if e.kind == "act"] == [TERMS.acting_time]  # 3 s of waiting are not added


def test_renewals_go_out_at_a_third_and_each_extends_from_its_own_send_time() -> None:
    lease = held()
    assert kinds(lease.hear(Heard(News.TICK, 3 * S))) == []
    assert kinds(lease.hear(Heard(News.TICK, TERMS.renew_after))) == ["renew"]
    assert kinds(lease.hear(Heard(News.TICK, TERMS.renew_after + 1))) == []  # one in flight
    lease.hear(Heard(News.RENEWED, 5 * S, sent=TERMS.renew_after))
    assert lease.deadline == TERMS.renew_after + TERMS.acting_time


def test_a_stalled_holder_wakes_doubtful_halts_and_acts_only_after_a_new_renewal() -> None:
    lease = held()
    woke = lease.hear(Heard(News.TICK, 30 * S))  # stopped for three times the ttl
    assert kinds(woke) == ["halt", "check"] and lease.phase is DOUBTFUL
    assert not lease.acting(30 * S)
    # It asks before it renews: a holder that can't hear must not keep the key from the others.
    assert kinds(lease.hear(Heard(News.STANDING, 30 * S + 10 * MS, sent=30 * S))) == ["renew"]
    assert not lease.acting(30 * S + 10 * MS)
    back = lease.hear(Heard(News.RENEWED, 30 * S + 20 * MS, sent=30 * S))
    assert kinds(back) == ["act"] and lease.acting(31 * S)


def test_a_renewal_answered_after_the_deadline_it_would_give_is_stale_and_never_acts() -> None:
    lease = held()
    lease.hear(Heard(News.TICK, TERMS.renew_after))
    late = lease.hear(Heard(News.RENEWED, TERMS.renew_after + TERMS.acting_time, sent=TERMS.renew_after))
    assert "act" not in kinds(late) and lease.phase is DOUBTFUL


def test_the_keeper_unanswering_is_not_expiry_the_holder_doubts_and_keeps_asking() -> None:
    lease = held()
    lease.hear(Heard(News.TICK, TERMS.renew_after))
    lease.hear(Heard(News.UNANSWERED, TERMS.renew_after + 2 * S))
    assert lease.phase is HOLDING and lease.token == 41  # not told expired: it keeps its lease and token
    assert kinds(lease.hear(Heard(News.TICK, TERMS.renew_after + 2 * S))) == ["renew"]
    # The renewal sent at 5.3 s is given up 2 s later; at the deadline a question goes out beside the halt.
    assert kinds(lease.hear(Heard(News.TICK, TERMS.acting_time))) == ["halt", "check"]
    assert kinds(lease.hear(Heard(News.TICK, TERMS.acting_time + 1 * S))) == []  # that one is in flight
    assert lease.phase is DOUBTFUL and lease.token == 41
    assert kinds(lease.hear(Heard(News.RENEWED, 12 * S, sent=11 * S))) == ["act"]  # the keeper came back


def test_lost_halts_and_seeks_anew_with_nothing_kept() -> None:
    lease = held()
    assert kinds(lease.hear(Heard(News.LOST, 1 * S))) == ["halt", "seek"]
    assert (lease.phase, lease.lease, lease.token, lease.deadline) == (SEEKING, 0, 0, 0)


def test_a_taken_key_is_watched_and_sought_again_after_a_drawn_wait() -> None:
    lease = Lease(TERMS)
    lease.hear(Heard(News.TICK, 0))
    taken = lease.hear(Heard(News.TAKEN, 10 * MS, sent=0, revision=40), chance=0.5)
    assert [(e.kind, e.revision) for e in taken] == [("watch", 41)]
    assert kinds(lease.hear(Heard(News.TICK, 1 * S))) == []
    assert kinds(lease.hear(Heard(News.TICK, 10 * MS + 1500 * MS))) == ["seek"]
    lease.hear(Heard(News.TAKEN, 2 * S, revision=44))
    assert kinds(lease.hear(Heard(News.FREED, 2100 * MS))) == ["seek"]


def test_leaving_halts_and_revokes_and_a_grant_after_it_is_revoked_too() -> None:
    lease = held()
    assert [(e.kind, e.lease) for e in lease.hear(Heard(News.LEAVE, 1 * S)) if e.kind != "record"] == [
        ("halt", 7),
        ("revoke", 7),
    ]
    assert lease.phase is RELEASED and not lease.acting(1 * S)
    seeking = Lease(TERMS)
    seeking.hear(Heard(News.TICK, 0))
    seeking.hear(Heard(News.LEAVE, 1 * MS))
    late = seeking.hear(Heard(News.GRANTED, 2 * MS, sent=0, lease=9, token=50))
    assert [(e.kind, e.lease) for e in late] == [("revoke", 9)] and seeking.phase is RELEASED


@pytest.mark.parametrize(
    ("terms", "field"),
    [
        ({"margin": 7 * S}, "margin"),
        ({"drift_ppm": 600_000}, "drift_ppm"),
        ({"ttl": 1500 * MS}, "ttl"),
        ({"answer_within": 4 * S}, "answer_within"),
        ({"margin": -1}, "margin"),
    ],
)
def test_terms_that_leave_no_time_to_act_are_refused_by_name(terms: dict[str, int], field: str) -> None:
    with pytest.raises(LeaseTermsError, match=f"^{field}:"):
        LeaseTerms(**terms)


def test_the_fence_refuses_a_lower_token_and_a_step_done_twice() -> None:
    fence = Fence()
    assert fence.admit(41, 1) and fence.admit(41, 2)
    assert not fence.admit(41, 2)  # done already
    assert fence.admit(57, 3)  # a successor continues
    assert not fence.admit(41, 4)  # the old holder, woken
    assert (fence.highest, fence.step) == (57, 3)


FACTS = st.lists(
    st.tuples(st.sampled_from(list(News)), st.integers(0, 4 * S), st.integers(0, 3 * S), st.floats(0, 0.999)),
    max_size=60,
)


@settings(derandomize=True, max_examples=400, deadline=None)
@given(FACTS)
def test_no_act_outlives_the_send_time_of_an_answer_plus_the_acting_time(
    facts: list[tuple[News, int, int, float]],
) -> None:
    """Whatever comes in whatever order: each act ends by the rule, and acting never survives a late tick."""
    lease, now, sent_times = Lease(TERMS), 0, [0]
    for news, step, back, chance in facts:
        now += step
        sent = max(0, now - back)
        sent_times.append(sent)
        out = lease.hear(Heard(news, now, sent=sent, lease=3, token=5), chance)
        for effect in out:
            if effect.kind == "act":
                assert news in (News.GRANTED, News.RENEWED)
                assert effect.until == lease.deadline <= max(sent_times) + TERMS.acting_time
                assert effect.until > now
        if lease.acting(now):
            assert lease.phase is HOLDING and now < lease.deadline
        if news is News.TICK and lease.phase is HOLDING:
            assert now < lease.deadline  # a tick past the deadline never leaves the holder acting


def test_a_watchs_news_of_an_older_key_does_not_end_a_hold_of_a_newer_one() -> None:
    """Seen in the harness: the deletion of token 2 came after this holder was granted token 4."""
    lease = held()  # token 41
    assert lease.hear(Heard(News.FREED, 1 * S, revision=40)) == [] and lease.phase is HOLDING
    assert kinds(lease.hear(Heard(News.FREED, 1 * S, revision=45))) == ["halt", "seek"]
