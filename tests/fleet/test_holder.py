"""A holder's loop with a keeper that is slow, stuck or silent: what the lease says is done, and leaving is
quick."""

from __future__ import annotations

import threading
import time
from queue import SimpleQueue
from typing import Any

from ringshift.fleet.lease import HOLDING, MS, RELEASED, Heard, LeaseTerms, News, S
from ringshift.lifecycle.holder import Asker, Hold, Holder, OwnClock
from ringshift.records.schema import Body, LeaseChange

TERMS = LeaseTerms(ttl=2 * S, margin=100 * MS, answer_within=300 * MS, grace=1 * S, leave_share=0.25)


class Link:
    """A keeper that grants at once and answers as it is told."""

    def __init__(self, clock: OwnClock) -> None:
        self.clock, self.calls, self.free = clock.now, list[str](), threading.Event()
        self.free.set()

    def said(self, name: str, news: News) -> Heard:
        sent = self.clock()
        self.calls.append(name)
        self.free.wait(5)
        return Heard(news, self.clock(), sent, lease=7, token=41)

    def seek(self, *_: object) -> Heard:
        return self.said("seek", News.GRANTED)

    def renew(self, *_: object) -> Heard:
        return self.said("renew", News.RENEWED)

    def check(self, *_: object) -> Heard:
        return self.said("check", News.STANDING)

    def revoke(self, lease: int) -> bool:
        self.said("revoke", News.RENEWED)
        return True

    def watch(self, *_: object) -> threading.Thread:
        raise AssertionError("nothing is watched here")


class Counting:
    pace = 5 * MS
    done = False

    def __init__(self) -> None:
        self.steps, self.most, self.halts = 0, 0, 0

    def taken(self, token: int, now: int) -> None:
        assert token == 41

    def halted(self) -> None:
        self.halts += 1

    def step(self, hold: Hold) -> None:
        assert hold.may() and hold.now() < hold.deadline
        self.steps += 1
        self.done = self.steps == self.most
        if self.steps % 2:
            raise OSError("not known to be done")

    def close(self) -> None:
        pass


def holder(told: list[Body] | None = None) -> tuple[Holder, Link, Counting]:
    clock, work = OwnClock(time.monotonic_ns()), Counting()
    link: Any = Link(clock)
    tell = told.append if told is not None else None
    return Holder("h", "t", TERMS, link, work, clock, 1, None, tell), link, work


def turned(one: Holder, until: Any, seconds: float = 10.0) -> None:
    """The loop's turns until an event that the test waits for."""
    end = time.monotonic() + seconds
    while not until():
        assert time.monotonic() < end
        one.turn()


def test_it_holds_steps_and_lets_go_when_the_work_is_done() -> None:
    told: list[Body] = []
    one, link, work = holder(told)
    work.most = 10
    turned(one, lambda: work.done)  # a step whose fate is not known ends nothing
    turned(one, one.turn)
    assert one.lease.phase is RELEASED and one.revoked == 41 and link.calls[-1] == "revoke"
    changes = [(change.old, change.new) for change in told if isinstance(change, LeaseChange)]
    assert changes == [("SEEKING", "HOLDING"), ("HOLDING", "RELEASED")]


def test_a_keeper_that_does_not_answer_takes_no_acting_time_from_the_work() -> None:
    one, link, work = holder()
    turned(one, lambda: one.lease.phase is HOLDING)
    link.free.clear()
    turned(one, lambda: "renew" in link.calls)
    before = work.steps
    turned(one, lambda: work.steps >= before + 20)  # while the renewal's answer is waited for
    turned(one, lambda: work.halts == 1)
    assert not one.may()
    link.free.set()
    turned(one, one.may)  # asked, answered, renewed: it acts again


def test_leaving_waits_for_the_keeper_no_longer_than_the_share_of_the_grace() -> None:
    one, link, work = holder()
    turned(one, lambda: one.lease.phase is HOLDING)
    link.free.clear()
    one.leave()
    began = time.monotonic()
    turned(one, one.turn)
    assert 0.2 < time.monotonic() - began < 2.0 and one.revoked == 0 and work.halts == 1
    link.free.set()


def test_a_call_that_never_comes_back_is_left_behind_and_another_thread_asks() -> None:
    one, link, _ = holder()
    answers: SimpleQueue[Heard] = SimpleQueue()
    stuck, second = threading.Event(), threading.Event()
    asker = Asker(one.link, answers, 1 * S)

    def never() -> Heard:
        stuck.wait(10)
        return Heard(News.GRANTED, 0)

    asker.ask(never, 0)
    asker.ask(lambda: second.set(), 1 * S)  # one is under way: not asked
    asker.ask(lambda: second.set(), 2 * S)  # by now it is taken to be stuck
    assert second.wait(5) and answers.get(timeout=5).news is News.TICK
    stuck.set()
    asker.ask(lambda: Heard(News.LOST, 3), 3 * S)
    assert answers.get(timeout=5).news is News.LOST  # and what the first heard at last is dropped
