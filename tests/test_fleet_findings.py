"""What the records of leases and shares tell of a fleet, and what they can't."""

from __future__ import annotations

from ringshift.findings.course import Course, lay_out
from ringshift.findings.digest import Digest, Digester
from ringshift.findings.fleet import Way, What, tell
from ringshift.records.schema import Body, LeaseChange, Mark, Record, Said, ShareChange, Started

S = 10**9
WALL = 1_800_000_000 * S


def digest(server: str, *events: tuple[float, Body], until: float = 60.0) -> Digest:
    """One run's records; a mark that all share ties the clocks."""
    digester = Digester(server, "r1")
    start: list[tuple[float, Body]] = [(0.0, Started("0", "x", (), 4, 0.0)), (0.01, Mark("both", 1.0))]
    rows = [*start, *events, (until, Said("info", "still here"))]
    for seq, (at, body) in enumerate(rows, 1):
        digester.hear(Record(server, "r1", seq, WALL + round(at * S), round(at * S), body))
    return digester.finish()


def lease(new: str, task: str = "gather", old: str = "SEEKING", why: str = "") -> LeaseChange:
    return LeaseChange(task, "n", old, new, why, 5)


def course(*digests: Digest) -> Course:
    return lay_out(list(digests))


def kinds(found: Course) -> list[What]:
    return [one.what for one in tell(found).told]


def test_a_task_that_nobody_held_is_told_with_who_had_it_before_and_after() -> None:
    first = digest("n1", (1, lease("HOLDING")), until=10.0)  # its records end: it crashed
    second = digest("n2", (16, lease("HOLDING")))
    (told,) = [one for one in tell(course(first, second)).told if one.what is What.UNHELD]
    assert 5.8 < (told.end - told.start) / S < 6.2 and told.servers == ("n1", "n2")
    assert "after n1 (its server's records end), then n2 took it" in told.text


def test_a_handover_within_a_second_and_a_release_at_the_end_are_no_finding() -> None:
    first = digest("n1", (1, lease("HOLDING")), (10, lease("RELEASED", old="HOLDING")))
    second = digest("n2", (10.5, lease("HOLDING")), (30, lease("RELEASED", old="HOLDING")))
    assert kinds(course(first, second)) == []
    assert tell(course(first, second)).holdings["gather"][0].way is Way.RELEASED


def test_a_holder_that_lost_the_keeper_is_told_and_the_time_until_another_took_it() -> None:
    first = digest("n1", (1, lease("HOLDING")), (10, lease("DOUBTFUL", old="HOLDING", why="LATE")))
    second = digest("n2", (12, lease("HOLDING")))
    assert kinds(course(first, second)) == [What.DOUBT, What.UNHELD]


def test_holds_that_overlap_by_more_than_the_clocks_may_be_apart_are_told_and_by_less_are_not() -> None:
    first = digest("n1", (1, lease("HOLDING")), (20, lease("RELEASED", old="HOLDING")))
    apart = digest("n2", (15, lease("HOLDING")))
    (told,) = [one for one in tell(course(first, apart)).told if one.what is What.OVERLAP]
    assert told.servers == ("n1", "n2") and 4.9 < (told.end - told.start) / S < 5.1
    close = digest("n2", (19.9995, lease("HOLDING")))
    assert What.OVERLAP not in kinds(course(first, close))


def share(old: float, new: float, why: str) -> ShareChange:
    return ShareChange("database", old, new, why)


def test_shares_that_fall_together_are_one_finding_that_says_why() -> None:
    def fallen(server: str, at: float, *more: tuple[float, Body]) -> Digest:
        return digest(server, (2, share(1, 9, "LEDGER")), (at, share(9, 1, "LATE")), *more)

    divider = digest(
        "n0",
        (1, lease("HOLDING", "budget-database")),
        (18, lease("DOUBTFUL", "budget-database", "HOLDING", "LATE")),
    )
    found = tell(course(divider, fallen("n1", 20), fallen("n2", 20.8), fallen("n3", 21.5)))
    (told,) = [one for one in found.told if one.what is What.LOST_SHARES]
    assert told.servers == ("n1", "n2", "n3") and "24 in all; nobody divided it then" in told.text
    # One of four alone lost the keeper; the others' shares went on.
    others = [digest(f"n{n}", (2, share(1, 9, "LEDGER"))) for n in (2, 3, 4)]
    (told,) = [one for one in tell(course(fallen("n1", 20), *others)).told if one.what is What.LOST_SHARES]
    assert "these lost the keeper" in told.text
    # A divider that held all the while.
    held = digest("n0", (1, lease("HOLDING", "budget-database")))
    (told,) = [
        one
        for one in tell(course(held, fallen("n1", 20), fallen("n2", 20))).told
        if one.what is What.LOST_SHARES
    ]
    assert "n0 held the division all the while" in told.text


def test_a_share_that_is_cut_or_handed_back_is_no_finding() -> None:
    one = digest("n1", (2, share(1, 9, "LEDGER")), (20, share(9, 4, "LEDGER")), (30, share(4, 1, "LEAVE")))
    assert kinds(course(one)) == []
