"""One backend at the keeper: its deadline, silence, order, what is kept on disk, and what its owner hears."""

from __future__ import annotations

import shutil
import threading
import time
from collections.abc import Callable, Iterator, Mapping
from dataclasses import replace
from functools import partial
from pathlib import Path

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from loguru import logger

from ringshift import interface as face
from ringshift.control import Controller
from ringshift.fleet.whole import ruled as divided
from ringshift.lifecycle import confirming, ruling, sharing
from ringshift.lifecycle.confirming import Answer
from ringshift.lifecycle.ruling import STUCK, Ruler, Rulings, rulings
from ringshift.machine import Malformed
from ringshift.records.schema import Body, ChangeStep, Record, RulesChange
from ringshift.rulebook.bound import MS, S
from ringshift.rulebook.document import Listing, Portion, Quota, Rulebook, Rules, Whole, digest
from ringshift.rulebook.indices import Names, ruled
from ringshift.rulebook.meet import Invocation, Judge
from ringshift.rulebook.reader import Reader
from ringshift.rulebook.version import UNMARKED, Effect, Publisher, Row, Told, Version
from ringshift.schedule.timetable import Passed, Timetable
from ringshift.settings.terms import Budget
from ringshift.store.headstart import kept
from ringshift.store.reader import read, write
from ringshift.wire import rules
from ringshift.wire.rules import RulesLink
from ringshift.wire.shares import BudgetLink
from tests.rulebook.emulated import BASE, FIRST, TERMS, held
from tests.rulebook.test_link import look, newer, propose, write_newer
from tests.rulebook.test_rules import rules as any_rules
from tests.schedule.planning import book as schedule_book
from tests.schedule.planning import later, row
from tests.test_keeper import Member

WITHIN = 800 * MS  # by the clock that is moved by hand
PATIENT = 10 * S  # of the machine that the tests share


class Hand:
    """A clock moved by hand."""

    def __init__(self) -> None:
        self.now = 1000 * S

    def __call__(self) -> int:
        return self.now


@pytest.fixture(scope="module")
def member(tmp_path_factory: pytest.TempPathFactory) -> Iterator[Member]:
    started = Member(tmp_path_factory.mktemp("keeper") / "member")
    yield started
    started.stop()


@pytest.fixture
def link(member: Member) -> RulesLink:
    made = RulesLink([f"127.0.0.1:{member.port}"], time.monotonic_ns, 10.0)
    made.call("/kv/deleterange", rules.under(""))
    assert made.begin(FIRST)
    return made


def ruler(
    port: int,
    clock: Hand,
    name: str = "n1",
    told: list[Body] | None = None,
    keep: Callable[[Version], None] | None = None,
    start: Version | None = None,
    within: int = PATIENT,
) -> Ruler:
    reader = Reader(TERMS, BASE.alone, start, answer_within=within)
    tell = None if told is None else told.append
    return Ruler(reader, name, [f"127.0.0.1:{port}"], clock, within, tell, keep)


def arrived(one: Ruler) -> None:
    """Waits for the answer that is under way, and leaves it to the next poll."""
    one.answers.put(one.answers.get(timeout=10))


def rounds(one: Ruler, clock: Hand, number: int) -> None:
    for _ in range(number):
        one.poll()
        if one.under_way:
            arrived(one)
            one.poll()
        clock.now += TERMS.refresh


def test_the_deadline_counts_from_the_sending_not_the_answer(link: RulesLink, member: Member) -> None:
    clock = Hand()
    one = ruler(member.port, clock)
    assert not one.fresh() and not one.poll()  # the confirmation is sent here
    sent = clock.now
    arrived(one)
    clock.now += 500 * MS
    assert one.poll() and one.fresh() and one.reader.deadline == sent + TERMS.acting_time
    assert one.rules() == BASE.rules() and one.books() == (BASE,)
    clock.now = sent + TERMS.acting_time - 1
    assert one.fresh()
    clock.now += 1
    # Found without a poll, too: a process that stood still judges nothing by what has ended.
    assert not one.fresh() and one.rules() == BASE.alone
    one.poll()
    assert one.rules() == BASE.alone
    one.leave(10)


class Deaf(RulesLink):
    """A call that does not come back until it may."""

    may, entered = threading.Event(), list[int]()

    def confirm(self, name: str, row: Row) -> Told | None:
        self.entered.append(row.n)
        assert self.may.wait(10)
        return Told((0, 1), FIRST)

    def gone(self, name: str) -> None:
        pass


def test_a_keeper_that_does_not_answer_never_blocks_a_poll_and_leaves_the_backend_alone(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(ruling, "RulesLink", Deaf)
    clock, told = Hand(), list[Body]()
    expected: list[Body] = [
        RulesChange("STARTING", ()),
        RulesChange("ALONE", (), 0.0, "the keeper does not answer"),
    ]
    one = ruler(9, clock, told=told, within=WITHIN)
    first, orders = one.asker.thread, one.asker.orders
    for _ in range(3):  # the thread waits in its call; the polls come back all the same
        one.poll()
        assert one.reader.state.name == "STARTING"
    clock.now += WITHIN
    assert not one.poll() and one.reader.state.name == "ALONE" and one.rules() == BASE.alone
    assert told == expected
    clock.now += (STUCK - 1) * WITHIN  # the second confirmation has not been sent beside the first
    one.poll()
    assert one.asker.generation == 1 and orders.qsize() <= 1
    clock.now += 1
    one.poll()  # left to itself: a new thread asks
    assert one.asker.generation == 2 and one.under_way == 3
    Deaf.may.set()
    first.join(10)
    answer = one.answers.get(timeout=10)
    assert answer.n == 3 and one.answers.empty() and sorted(Deaf.entered) == [1, 3]  # the first is dropped
    one.answers.put(answer)
    assert one.poll() and one.fresh()
    one.leave(10)


def test_an_answer_that_came_late_is_still_told_and_one_that_was_overtaken_is_not_acted_by(
    link: RulesLink,
    member: Member,
) -> None:
    clock = Hand()
    one = ruler(member.port, clock, within=WITHIN)
    one.poll()
    sent = clock.now
    arrived(one)
    late = one.answers.get()
    clock.now += WITHIN + MS
    one.poll()  # given up
    assert one.reader.state.name == "ALONE" and one.given_up
    one.answers.put(late)
    assert one.poll() and one.reader.deadline == sent + TERMS.acting_time
    both = Told((0, 900), FIRST, replace(FIRST, stamp=(0, 2)))
    one.answers.put(Answer(1, both))
    assert one.poll() and len(one.books()) == 2
    one.answers.put(Answer(1, Told((0, 800), FIRST)))
    assert not one.poll() and len(one.books()) == 2
    one.leave(10)


def test_a_backend_goes_by_the_meet_from_its_acknowledgement_to_the_switch(
    link: RulesLink,
    member: Member,
) -> None:
    clock, told = Hand(), list[Body]()
    one = ruler(member.port, clock, told=told)
    rounds(one, clock, 1)
    publisher = Publisher(TERMS, FIRST)
    version = propose(link, publisher, Rulebook(held("y"), alone=BASE.alone))
    rounds(one, clock, 1)
    assert one.reader.state.name == "BETWEEN" and not Judge(one.rules()).admits(Invocation("y"))
    arrived(one)  # the acknowledgement, sent at once
    assert link.read().rows["n1"].acked == version.mark
    assert look(link, publisher, 0) == [("put_in_force", True)]
    rounds(one, clock, 2)
    assert one.reader.basis == (version,) and one.rules() == version.book.rules()
    states = [(body.state, body.acted_by) for body in told if isinstance(body, RulesChange)]
    assert states == [
        ("STARTING", ()),
        ("READING", ((0, 1),)),
        ("BETWEEN", ((0, 1), (0, 2))),
        ("READING", ((0, 2),)),
    ]
    one.leave(10)
    assert link.read().rows == {}  # its last word: no publication waits for it, so it acts by nothing agreed
    assert not one.fresh() and one.rules() == version.book.alone != version.book.rules() and not one.poll()


def test_a_refusal_by_an_older_program_reaches_the_keeper_and_what_it_cannot_read_in_force_gives_no_time(
    link: RulesLink,
    member: Member,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    clock, told = Hand(), list[Body]()
    one = ruler(member.port, clock, told=told)
    rounds(one, clock, 1)
    monkeypatch.setattr(rules, "write_version", write_newer)
    assert link.do(Effect("propose", newer((0, 2))), link.read())
    rounds(one, clock, 1)
    arrived(one)
    row = link.read().rows["n1"]
    assert row.refused[:2] == (0, 2) and "spells" in row.why and one.fresh()
    assert isinstance(told[-1], RulesChange) and told[-1].state == "READING" and "spells" in told[-1].why
    link.call("/kv/deleterange", rules.under(""))
    assert link.begin(newer((0, 3)))
    for _ in range(12):  # to its deadline and past it
        rounds(one, clock, 1)
    assert not one.fresh() and one.reader.state.name == "ALONE" and one.rules() == BASE.alone
    assert isinstance(told[-1], RulesChange) and "OddBook" in told[-1].why
    one.leave(10)


def test_a_version_in_force_is_kept_by_the_keepers_thread_and_counts_as_a_head_start_only(
    link: RulesLink,
    member: Member,
    tmp_path: Path,
) -> None:
    clock, by = Hand(), list[tuple[str, Version]]()
    one = ruler(member.port, clock, keep=lambda new: by.append((threading.current_thread().name, new)))
    rounds(one, clock, 3)
    publisher = Publisher(TERMS, FIRST)
    version = propose(link, publisher, Rulebook(held("y"), alone=Rules(lists=held("x"))))
    rounds(one, clock, 2)
    assert [stands for _, stands in by] == [FIRST]  # a proposal is not in force
    assert look(link, publisher, 0) == [("put_in_force", True)]
    rounds(one, clock, 2)
    one.leave(10)
    assert by == [("rules", FIRST), ("rules", version)]  # never the owner's thread, and once each

    # A disk that refuses is no reason to stop confirming.
    def full(kept_one: Version) -> None:
        raise OSError("no space left")

    other = ruler(member.port, clock, "n2", keep=full)
    rounds(other, clock, 2)
    assert other.fresh()
    other.leave(10)


def test_a_head_start_is_acted_by_alone_and_a_keeper_that_holds_less_gives_no_time(
    link: RulesLink,
    member: Member,
) -> None:
    book = Rulebook(held("y"), alone=Rules(lists=held("w")))
    clock = Hand()
    one = ruler(member.port, clock, start=Version((0, 5), book, digest(book)))
    assert not Judge(one.rules()).admits(Invocation("w")) and Judge(one.rules()).admits(Invocation("y"))
    rounds(one, clock, 2)
    assert not one.fresh() and not Judge(one.rules()).admits(Invocation("w"))
    assert link.read().rows["n1"].floor == (0, 5)  # and says so: a publisher opens an epoch above it
    one.leave(10)


def test_a_keeper_restored_from_an_older_copy_leaves_backends_alone_until_a_new_epoch_is_led_in(
    tmp_path: Path,
) -> None:
    member = Member(tmp_path / "member")
    member.extra = ("--listen", f"127.0.0.1:{member.port}")
    link = RulesLink([f"127.0.0.1:{member.port}"], time.monotonic_ns, 10.0)
    clock = Hand()
    try:
        assert link.begin(FIRST)
        one = ruler(member.port, clock)
        rounds(one, clock, 1)
        copy = shutil.copy(tmp_path / "member" / "member.json", tmp_path / "copy.json")
        publisher = Publisher(TERMS, FIRST)
        version = propose(link, publisher, Rulebook(held("y"), alone=BASE.alone))
        rounds(one, clock, 2)
        assert look(link, publisher, 0) == [("put_in_force", True)]
        rounds(one, clock, 1)
        assert one.reader.basis == (version,)
        member.stop()
        shutil.copy(copy, tmp_path / "member" / "member.json")
        member.start()
        rounds(one, clock, 9)
        assert not one.fresh() and one.books() == (version.book,)  # older rules are never acted by
        fresh = Publisher(TERMS, FIRST)  # begun on what the restored keeper holds
        assert ("propose", True) in look(link, fresh, 0)
        rounds(one, clock, 2)
        assert look(link, fresh, 0) == [("put_in_force", True)]
        rounds(one, clock, 2)
        assert one.fresh() and one.reader.basis[0].stamp[0] == 1
        one.leave(10)
    finally:
        member.stop()


# For the owner.

MACHINE_NAMES = Names(("a", "b"), ("c", "a"), "north", 4, {0: 100.0, 1: 20.0})


class Planned:
    """A timetable of one clause."""

    def __init__(self) -> None:
        self.heard, self.on, self.passed = list[tuple[int, bool, int]](), False, list[Passed]()

    def hear(self, wall_ns: int, fresh: bool, books: tuple[Rulebook, ...]) -> bool:
        self.heard.append((wall_ns, fresh, len(books)))
        was, self.on = self.on, wall_ns >= 3
        return was != self.on

    def clauses(self) -> tuple[face.Clause, ...]:
        return (face.Clause(away=250_000),) if self.on else ()


class Retired:
    def __init__(self) -> None:
        self.left, self.notice, self.sent = False, False, list[tuple[int, int]]()

    def poll(self, now: int) -> bool:
        return False

    def shed(self) -> Mapping[int, int]:
        return {1: 500_000}

    def lot(self, operation: int, caller: int) -> int:
        return 7 if operation == 1 else -1

    def fields(self, operation: int, caller: int) -> Mapping[str, str]:
        return {"Deprecation": "@1"} if operation == 1 else {}

    def answered(self, operation: int, caller: int) -> None:
        self.sent.append((operation, caller))

    def ended(self, operation: int, caller: int, how: int) -> None:
        self.sent.append((operation, how))

    def leaving(self) -> None:
        self.notice = True

    def leave(self) -> None:
        self.left = self.notice


def test_the_owner_hears_what_is_acted_by_first_and_when_it_changed(link: RulesLink, member: Member) -> None:
    clock, wall, planned, retired = Hand(), 1, Planned(), Retired()
    one = ruler(member.port, clock)
    told = Rulings(one, MACHINE_NAMES, planned, retired, lambda: wall)
    (first,) = told.granted(0, None)
    assert isinstance(first, face.Ruled) and first.shed == {1: 500_000} and first.clauses == ()
    assert told.granted(0, None) == []
    arrived(one)
    (second,) = told.granted(0, None)
    assert isinstance(second, face.Ruled) and planned.heard == [(1, False, 0), (1, False, 0), (1, True, 1)]
    wall = 3
    (third,) = told.granted(0, None)
    assert isinstance(third, face.Ruled) and third.clauses == ({(3, 0): [face.Clause(away=250_000)]},)
    assert (told.lot(1, 9), told.lot(0, 9)) == (7, -1) and told.fields(1, 9) == {"Deprecation": "@1"}
    told.answered(1, 9)
    told.ended(1, 9, 3)
    told.leaving()
    assert one.fresh() and not retired.left  # what is in hand is still judged by it
    told.leave()
    assert retired.left and retired.sent == [(1, 9), (1, 3)] and told.granted(0, None) == []
    plain = Rulings(ruler(member.port, clock), MACHINE_NAMES)
    assert plain.lot(1, 9) == -1 and plain.fields(1, 9) == {}
    plain.answered(1, 9)
    plain.leave()


def admits(out: face.Ruled, one: Invocation) -> bool:
    indices = [
        {"a": 0, "b": 1}.get(one.operations, -1),
        {"c": 0, "a": 1}.get(one.customers, -1),
        int(one.callers),
    ]
    refused = any(index in some for index, some in zip(indices, out.held_back, strict=True))
    return not refused and all(
        some is None or index in some for index, some in zip(indices, out.let_through, strict=True)
    )


def numbered(one: Rules) -> Rules:
    numbers = {"a": "1", "b": "2", "c": "c"}
    return Rules([replace_entries(lists, numbers) if lists.of == "callers" else lists for lists in one.lists])


def replace_entries(lists: Listing, numbers: Mapping[str, str]) -> Listing:
    return Listing(lists.of, lists.effect, [numbers[entry] for entry in lists.entries])


@settings(derandomize=True, deadline=None, max_examples=300)
@given(
    any_rules,
    st.sampled_from(["1", "2", "3"]),
    st.sampled_from("ac"),
    st.sampled_from("ab"),
    st.sampled_from(["a", "z", ""]),
)
def test_the_lists_in_indices_admit_what_the_rules_admit(
    one: Rules,
    caller: str,
    customer: str,
    operation: str,
    place: str,
) -> None:
    lists = numbered(one)
    asked = Invocation(caller, customer, place, operation)
    out = ruled(lists, Names(("a", "b"), ("c", "a"), place))
    assert admits(out, asked) == Judge(lists).admits(asked)


def test_amounts_become_rates_of_this_backend_and_names_that_are_none_concern_nobody() -> None:
    out = ruled(
        Rules(
            quotas=[
                Quota("customers", "a", 8),
                Quota("callers", "17", 2),
                Quota("operations", "b", 4),
                Quota("places", "north", 40),
                Quota("places", "south", 1),
                Quota("callers", "x", 1),
                Quota("customers", "nobody", 1),
            ],
            shares=[
                Portion("operations", "b", 0.5),
                Portion("customers", "c", 0),
                Portion("operations", "a", 1.0),
                Portion("places", "south", 0.1),
                Portion("customers", "a", 0.25),
            ],
        ),
        MACHINE_NAMES,
    )
    some = frozenset
    assert out.clauses == (
        {
            (0, 1): [face.Clause(some({1}), rate=1.0), face.Clause(some({1}), rate=10.0)],
            (1, 0): [face.Clause(customers=some({0}), rate=0.0)],
            (1, 1): [
                face.Clause(customers=some({1}), rate=2.0),
                face.Clause(some({0}), some({1}), rate=25.0),
                face.Clause(some({1}), some({1}), rate=5.0),
            ],
            (2, 17): [face.Clause(callers=some({17}), rate=0.5)],
            (3, 0): [face.Clause(rate=10.0)],
        },
    )
    back = ruled(Rules(lists=[Listing("places", "held_back", ["north"])]), MACHINE_NAMES)
    assert back.let_through == (frozenset(), None, None)
    assert ruled(Rules(), MACHINE_NAMES) == face.Ruled()


def test_each_step_of_a_scheduled_change_is_a_record(link: RulesLink, member: Member) -> None:
    clock, told, wall = Hand(), list[Body](), later(0)
    ramped = row("a", 100, 200, ramp_in_ms=20_000, ramp_out_ms=40_000)
    planned = schedule_book(ramped, row("b", 150, 400, customers=["hostel"]), row("c", 500, 501), base=BASE)
    link.call("/kv/deleterange", rules.under(""))
    assert link.begin(Version((0, 1), planned, digest(planned)))
    one = Rulings(
        ruler(member.port, clock),
        MACHINE_NAMES,
        Timetable(8 * S, MACHINE_NAMES),
        wall=lambda: wall,
        tell=told.append,
    )

    def at(seconds: float) -> list[tuple[str, str, str, int]]:
        nonlocal wall
        wall = later(seconds)
        told.clear()
        one.granted(0)
        steps = [read(write(Record("n1", "r1", 1, 1, 1, body))) for body in told]  # as it is kept
        assert [one.body for one in steps if isinstance(one, Record)] == told
        return [(body.change, body.old, body.new, body.part) for body in told if isinstance(body, ChangeStep)]

    at(0)
    rounds(one.ruler, clock, 1)
    assert at(0) == [] and one.ruler.fresh()
    assert at(60) == [("a", "PLANNED", "ARMED", 0)] and at(70) == []
    assert at(100) == [("a", "ARMED", "UNDER_WAY", 0), ("b", "PLANNED", "ARMED", 0)]
    assert isinstance(told[0], ChangeStep) and told[0].left_ms == 100_000.0 and told[0].confirmed
    assert at(130) == [("a", "UNDER_WAY", "HOLDING", 1_000_000)]
    assert at(170) == [("a", "HOLDING", "ENDING", 750_000), ("b", "ARMED", "HOLDING", 1_000_000)]
    assert at(200) == [("a", "ENDING", "DONE", 0)]
    one.ruler.reader.deadline = clock.now  # without contact from here on: none is begun
    assert at(502) == [("b", "HOLDING", "DONE", 0), ("c", "PLANNED", "MISSED", 0)]
    assert isinstance(told[-1], ChangeStep) and not told[-1].confirmed
    one.leave()


def test_a_share_is_of_what_this_backend_could_serve_as_it_is_measured_by_now(
    link: RulesLink,
    member: Member,
) -> None:
    controller, clock = Controller(MACHINE, 1), Hand()
    one = ruler(member.port, clock, start=None)
    one.reader.alone = Rules(shares=[Portion("operations", "b", 0.5)], wholes=[Whole("calls", 7)])
    one.met = one.reader.alone
    told = Rulings(one, Names(("a", "b"), ("c",)))
    (first,) = told.granted(1 * S, controller)
    capacity = ruling.capacities(1 * S, controller)
    assert isinstance(first, face.Ruled) and told.wholes == {"calls": 7.0}
    assert first.clauses == ({(0, 1): [face.Clause(frozenset({1}), rate=0.5 * capacity[1])]},)
    for _ in range(50):
        controller.lines[1].run.add(2 * S, 4 * S)  # its runs take far longer of late
    assert told.granted(2 * S, controller) == []
    (second,) = told.granted(1 * S + ruling.CAPACITY_EVERY, controller)
    assert isinstance(second, face.Ruled)
    assert second.clauses[0][0, 1][0].rate < first.clauses[0][0, 1][0].rate / 2
    told.leave()


@pytest.mark.parametrize(
    ("wholes", "whole"),
    [
        ({}, 20.0),
        ({"other": 3.0}, 20.0),
        ({"calls": 12.7}, 12.0),
        ({"calls": 30.0}, 30.0),
        ({"calls": 2.0}, 5.0),  # the safe shares are set aside for good
    ],
)
def test_a_budget_is_divided_by_the_rulebooks_whole(wholes: dict[str, float], whole: float) -> None:
    budget = Budget("calls", face.Unit.CALLS, 20, most=5, safe=1)
    assert divided(budget, wholes) == replace(budget, whole=whole)


def test_a_whole_below_the_safe_shares_is_said_once_by_whoever_divides_it() -> None:
    told, stated = list[str](), Budget("calls", face.Unit.CALLS, 200, most=50, safe=1)
    work = sharing.Dividing(stated, b"", BudgetLink(["127.0.0.1:9"], Hand(), 1.0), Hand())
    sink = logger.add(lambda message: told.append(message.record["message"]), level="WARNING")
    for wholes in ({"calls": 60.0}, {"calls": 10.0}, {"calls": 10.0}, {}, {"calls": 10.0}):
        work.wholes = partial(dict[str, float], wholes)
        work.rule()
    logger.remove(sink)
    assert work.divider.budget.whole == 50.0
    assert told == [
        "budget calls: 50 is divided, not the rulebook's 10: the safe shares, 1 of each of up to "
        "50 backends, are set aside"
    ]


MACHINE = face.Machine(
    cores=1,
    memory_kb=1.0,
    run_factor=1.0,
    entry_kb=0.0,
    cold=False,
    cold_speed=1.0,
    ramp=1,
    fall_multiple=2.0,
    grace=0,
    tick=1,
    fleet=4,
    callers=1,
    halt=face.Halt.NONE,
    advert=face.Advert.NONE,
    heeded=0,
    fresh=0,
    longest_pause=0,
    over_quota_share=1.0,
    operations=tuple(
        face.Operation(name, face.Effect.IDEMPOTENT, S, 0.0, S, 1.0, 0.0, 0, False, 0.0)
        for name in ("a", "b")
    ),
    customers=(face.Customer("c", 0.0),),
    dependency=face.Dependency(face.Below.NONE, 0.0, 0, 0),
    gauges=(),
)


def test_the_operators_file_begins_it_and_a_restart_reads_its_head_start(
    link: RulesLink,
    member: Member,
    tmp_path: Path,
) -> None:
    head, file, installed = (tmp_path / name for name in ("head", "fleet.toml", "rulebook.toml"))
    leases = f'[leases]\nkeepers = ["127.0.0.1:{member.port}"]\n'
    table = f'[rules]\ninstallation = "{installed}"\nplace = "north"\nhead_start = "{head}"\n'
    file.write_text(leases)
    assert rulings(str(file), "n 1", 1, time.monotonic_ns, MACHINE, None) is None
    file.write_text(leases + table)
    with pytest.raises(Malformed, match=r"rules\.installation: .*rulebook.toml: No such file"):
        rulings(str(file), "n 1", 1, time.monotonic_ns, MACHINE, None)
    installed.write_text('[[lists]]\nof = "cakes"\n')
    with pytest.raises(Malformed, match="line 2: lists.of"):
        rulings(str(file), "n 1", 1, time.monotonic_ns, MACHINE, None)
    alone = '[alone]\n[[alone.lists]]\nof = "operations"\neffect = "held_back"\nentries = ["b"]\n'
    installed.write_text(alone)
    told = rulings(str(file), "n 1", 1, time.monotonic_ns, MACHINE, None)
    assert told is not None and told.names == Names(("a", "b"), ("c",), "north", 4)
    (first,) = told.granted(0, None)
    assert isinstance(first, face.Ruled) and first.held_back[0] == {1}
    arrived(told.ruler)
    (second,) = told.granted(0, None)
    assert isinstance(second, face.Ruled) and second.held_back[0] == frozenset()
    (name,) = link.read().rows
    assert name.startswith("n_1.")
    told.leave()
    told.ruler.asker.thread.join(10)
    assert kept(head) == (FIRST, "") and link.read().rows == {}
    again = rulings(str(file), "n 1", 1, time.monotonic_ns, MACHINE, None)
    assert again is not None and again.ruler.reader.head_start == FIRST
    again.leave()


def test_a_long_check_costs_no_time_and_its_proposal_is_told_once_the_verdict_stands(
    link: RulesLink,
    member: Member,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(confirming, "CHECK_WAIT", 0.0)
    clock, may, checks = Hand(), threading.Event(), list[str]()

    def check(version: Version) -> str:
        checks.append(threading.current_thread().name)
        assert may.wait(10)
        return "too many" if version.stamp == (0, 3) else ""

    one = Ruler(Reader(TERMS, BASE.alone), "n1", [f"127.0.0.1:{member.port}"], clock, PATIENT, check=check)
    publisher = Publisher(TERMS, FIRST)
    version = propose(link, publisher, Rulebook(held("y"), alone=BASE.alone))
    rounds(one, clock, 3 * TERMS.life // TERMS.refresh)
    assert one.fresh() and one.books() == (BASE,)  # goes on by what is in force, and is waited for
    assert link.read().rows["n1"].acked == UNMARKED and checks == ["rules-check"]
    may.set()
    assert one.asker.checking is not None
    one.asker.checking.join(10)
    rounds(one, clock, 1)
    assert len(one.books()) == 2
    arrived(one)
    assert link.read().rows["n1"].acked == version.mark and len(checks) == 1
    one.asker.checked.clear()  # a verdict that was forgotten takes no acknowledgement back
    may.clear()
    rounds(one, clock, 2)
    assert len(one.books()) == 2
    assert look(link, publisher, 0) == [("put_in_force", True)]
    may.set()
    propose(link, publisher, Rulebook(held("z"), alone=BASE.alone))
    rounds(one, clock, 1)
    one.asker.checking.join(10)
    rounds(one, clock, 2)
    row = link.read().rows["n1"]
    assert (row.refused[:2], row.why) == ((0, 3), "too many") and one.books() == (version.book,)
    one.leave(10)
