"""The agent's link against launches, outcomes, stops, lost notices and a restarted agent."""

from __future__ import annotations

from collections import Counter, deque
from random import Random
from typing import Any

import gevent
import orjson
from gevent import socket
from gevent.queue import Queue
from hypothesis import given, settings
from hypothesis import strategies as st

from ringshift.wire import news
from ringshift.wire.agent import Agent as Link
from standins.agent import Agent
from standins.host import Host
from tests.simulation import MS
from tests.test_owner import Played


def job(request: int) -> str:
    return f"{request:016x}"


class Peer:
    """One address at which the test itself is the agent."""

    def __init__(self) -> None:
        self.sock = socket.socket()
        self.sock.bind(("127.0.0.1", 0))
        self.sock.listen(8)
        self.address: tuple[str, int] = self.sock.getsockname()

    def link(self, seconds: float = 5.0) -> tuple[socket.socket, Any]:
        """The next link, and its lines."""
        with gevent.Timeout(seconds):
            sock, _ = self.sock.accept()
        return sock, sock.makefile("rb")


def line(lines: Any) -> dict[str, Any]:
    with gevent.Timeout(5):
        fields = orjson.loads(lines.readline())
    assert isinstance(fields, dict)
    return fields


def greet(sock: socket.socket) -> None:
    sock.sendall(b'{"type":"greeting","state":"old","took":1.0}\n')


def test_a_link_made_anew_while_a_launch_is_half_written_begins_with_a_whole_command() -> None:
    """The peer stops reading until the outbox keeps part of a launch; none of it goes to the next link."""
    peer, heard = Peer(), Queue[news.News]()
    link = Link(peer.address, Random(1))
    greenlet = link.start(heard.put)
    try:
        sock, lines = peer.link()
        assert line(lines) == {"type": "subscribe", "n": 0}
        greet(sock)
        assert heard.get(timeout=5) == news.Greeted(False, MS)
        outbox = link.outbox
        assert outbox is not None
        said = 0
        while not outbox.size:
            said += 1
            assert link.launch(job(said), "order", bytes(2048))
        assert 0 < outbox.size < 4096  # cut within the last one
        lines.close()
        sock.close()
        sock, lines = peer.link()
        assert line(lines) == {"type": "subscribe", "n": 0}
        assert link.launch(job(99), "order", b"x") is False  # not a byte before the greeting
        greet(sock)
        assert heard.get(timeout=5) == news.Greeted(False, MS)
        assert link.launch(job(100), "order", b"y")
        assert line(lines)["job"] == job(100)
    finally:
        greenlet.kill()


def test_a_restarted_agent_counts_from_one_and_is_heard() -> None:
    """Numbers up to the last one read were passed over: all outcomes of the new process were lost. What ran
    before is of unknown fate: it is answered by its due time, as failed, and never launched again."""
    with Host() as host:
        sidecar, agent = host.serving(), host.agent
        for request in (1, 2, 3):
            sidecar.send(sidecar.call(request))
            agent.until(lambda request=request: bool(agent.launched(job(request))))  # type: ignore[misc]
            agent.finish(job(request))
            assert sidecar.answer(request).status == 200
        sidecar.send(sidecar.call(4, "order", HTTP_X_ALLOW_MS="1500"))
        agent.until(lambda: bool(agent.launched(job(4))))
        links = len(agent.ports)
        agent.cut_link()
        agent.notices.clear()
        agent.running.clear()
        agent.until(lambda: len(agent.ports) > links)
        sidecar.send(sidecar.call(5))
        agent.until(lambda: bool(agent.launched(job(5))))
        agent.finish(job(5), result=b"anew")
        assert sidecar.answer(5, 2.0).body == b"anew"
        assert sidecar.answer(4, 3.0).status == 500
        assert agent.launched(job(4)) == [b"body"]
        agent.cut_link()  # asked for from the new numbers on
        agent.until(lambda: [c["n"] for c in agent.commands if c["type"] == "subscribe"] == [0, 3, 1])


class Forgetful(Agent):
    """Keeps its last notice only."""

    def on_subscribe(self, fields: dict[str, Any]) -> None:
        super().on_subscribe({**fields, "n": max(fields["n"], len(self.notices) - 1)})


def test_an_outcome_beyond_the_notices_kept_is_answered_in_time_and_its_run_given_up() -> None:
    """The run counted against memory and cores for ever: four such ones, and four cores stood idle."""
    agent = Forgetful()
    with Host(agent) as host:
        sidecar = host.serving()
        for request in (1, 2, 3, 4):
            sidecar.send(sidecar.call(request, "order", HTTP_X_ALLOW_MS="900"))
        agent.until(lambda: len(agent.launches) == 4)
        agent.cut_link()
        for request in (1, 2, 3, 4):
            agent.finish(job(request))
        agent.notify(type="aside", state="later")
        assert [sidecar.answer(request, 2.0).status for request in (1, 2, 3, 4)] == [500] * 4
        host.line("run given up", 10.0)
        assert [len(agent.launched(job(request))) for request in (1, 2, 3, 4)] == [1] * 4
        sidecar.send(sidecar.call(5, "order"))
        agent.until(lambda: bool(agent.launched(job(5))))
        agent.finish(job(5))
        assert sidecar.answer(5).status == 200


class Retelling(Agent):
    """Tells all its notices on each link, also those that were read."""

    def on_subscribe(self, fields: dict[str, Any]) -> None:
        super().on_subscribe({**fields, "n": 0})


def test_an_outcome_told_again_on_a_new_link_ends_nothing_twice() -> None:
    agent = Retelling()
    with Host(agent) as host:
        sidecar = host.serving()
        sidecar.send(sidecar.call(1) + sidecar.call(2, "order"))
        agent.until(lambda: len(agent.launches) == 2)
        agent.finish(job(1))
        assert sidecar.answer(1).status == 200
        agent.cut_link()
        agent.until(lambda: len(agent.ports) == 2)
        agent.until(lambda: sum(c["type"] == "subscribe" for c in agent.commands) == 2)
        agent.finish(job(2), result=b"once")
        assert sidecar.answer(2).body == b"once"  # the stand-in asserts that no request is answered twice
        assert agent.launched(job(2)) == [b"body"]


class Crossing(Agent):
    """Each run ends well in the moment in which the word to stop it is read."""

    def on_freeze(self, fields: dict[str, Any]) -> None:
        if fields["job"] in self.running:
            self.finish(fields["job"], "good", b"late")


def test_an_outcome_that_crosses_its_freeze_is_no_second_answer_and_frees_its_place() -> None:
    agent = Crossing()
    with Host(agent) as host:
        sidecar = host.serving()
        for request in (1, 2, 3, 4):
            sidecar.send(sidecar.call(request, "order", HTTP_X_ALLOW_MS="700"))
        assert [sidecar.answer(request).status for request in (1, 2, 3, 4)] == [500] * 4
        agent.until(lambda: len(agent.notices) == 4)
        sidecar.send(sidecar.call(5))
        agent.until(lambda: bool(agent.launched(job(5))))
        agent.finish(job(5), result=b"next")
        assert sidecar.answer(5).body == b"next"


def test_answers_and_refusals_of_jobs_given_up_or_unknown_change_nothing() -> None:
    with Host() as host:
        sidecar, agent = host.serving(), host.agent
        sidecar.send(sidecar.call(1, "order", HTTP_X_ALLOW_MS="700"))
        assert sidecar.answer(1).status == 500
        agent.until(lambda: bool(agent.notices))  # cut, as it was told to stop
        for gone in (job(1), job(77)):
            agent.finish(gone)
            for command in ("launch", "freeze"):
                agent.say({"type": "refusal", "state": command, "job": gone})
        sidecar.send(sidecar.call(2))
        agent.until(lambda: bool(agent.launched(job(2))))
        agent.finish(job(2))
        assert sidecar.answer(2).status == 200 and len(agent.launches) == 2


# The owner against every course that the link may take.


class ModelAgent:
    """Runs any launch of a job that it doesn't know to be running; a link may end at any command, and what
    was written to it is read up to there."""

    def __init__(self) -> None:
        self.linked = True
        self.wire, self.back = deque[tuple[str, str]](), deque[news.News]()
        self.running, self.runs = set[str](), Counter[str]()
        self.notices, self.told = list[news.RunEnded](), 0

    def say(self, kind: str, what: str) -> bool:
        if self.linked:
            self.wire.append((kind, what))
        return self.linked

    def launch(self, job: str, operation: str, body: bytes) -> bool:
        return self.say("launch", job)

    def freeze(self, job: str) -> None:
        self.say("freeze", job)

    def sample(self, ref: str) -> None:
        self.say("sample", ref)

    def exercise(self, ref: str) -> None:
        self.say("exercise", ref)

    def read(self, most: int) -> None:
        for _ in range(min(most, len(self.wire))):
            kind, what = self.wire.popleft()
            if kind == "launch" and what not in self.running:
                self.running.add(what)
                self.runs[what] += 1
            elif kind == "freeze" and what in self.running:
                self.end(what, "cut")
            elif kind == "sample":
                self.back.append(news.Sampled(what, [0.1, 1.0, 0.1]))

    def end(self, job: str, state: str = "good") -> None:
        self.running.discard(job)
        self.notices.append(news.RunEnded(job, state, MS, b"made"))
        if self.linked:
            self.back.append(self.notices[-1])

    def cut(self, read: int) -> None:
        self.linked = False
        self.read(read)
        self.wire.clear()
        self.back.clear()

    def connect(self) -> None:
        self.linked = True
        self.back.extend([news.Greeted(False, 0), *self.notices[self.told :]])

    def restart(self) -> None:
        self.cut(0)
        self.running.clear()
        self.notices.clear()
        self.told = 0

    def deliver(self, most: int) -> list[news.News]:
        items = [self.back.popleft() for _ in range(min(most, len(self.back)))]
        self.told += sum(isinstance(item, news.RunEnded) for item in items)
        return items


class Linked(Played):
    """The owner with such an agent; operation 0 may run twice, 1 may not."""

    def __init__(self) -> None:
        super().__init__()
        self.agent = ModelAgent()
        self.owner.agent = self.agent

    def turn(self, after: int = 0, read: int = 99, told: int = 99) -> None:
        self.agent.read(read)
        self.step(*self.agent.deliver(told), after=after)


def test_an_order_that_was_sent_is_not_sent_again_as_it_may_end_on_the_way() -> None:
    """It ran as the new link told all it held, ended as the launch was repeated, and ran twice."""
    played = Linked()
    agent = played.agent
    played.step(played.call(1, 1))
    agent.read(99)
    agent.cut(0)
    agent.connect()
    played.turn()  # the greeting: the barrier is asked for
    agent.read(99)
    played.step(*agent.deliver(99))  # all that ended has been told, it runs on
    agent.end(job(1))
    played.turn()
    assert agent.runs[job(1)] == 1 and not agent.running and played.status(1) == [200]


def test_an_order_launched_without_a_link_is_launched_by_the_next() -> None:
    played = Linked()
    agent = played.agent
    agent.cut(0)
    played.step(played.call(1, 1), played.call(2, 1, allow=700 * MS))
    for _ in range(20):
        played.step(after=50 * MS)
    assert played.status(2) == [500]  # nobody waits for it any more: it never runs
    agent.connect()
    for _ in range(3):
        played.turn()
    assert agent.running == {job(1)} and not agent.runs[job(2)]
    assert [inv.job for inv in played.owner.invocations] == [job(1)]


def test_an_answer_before_the_barrier_proves_nothing_of_the_link_before() -> None:
    """A sample that was asked for on a new link before its greeting was heard counted as the proof that what
    the old link had lost was read; with that link's end too, a read waited for its due time in vain."""
    played = Linked()
    agent = played.agent
    played.step(played.call(1))
    agent.cut(0)  # never read
    agent.connect()
    played.step(after=50 * MS)  # asks for gauges before it hears of the link
    assert ("sample" in dict(agent.wire)) and not played.agent.running
    asked = len(agent.wire)
    played.turn(read=0, told=1)
    agent.read(asked)
    played.turn(read=0)
    agent.cut(0)
    agent.connect()
    for _ in range(3):
        played.turn()
    assert agent.running == {job(1)}


def test_samples_that_were_never_asked_for_prove_nothing() -> None:
    """A tag of other digits ended the program, one beyond all that were asked for spoilt every proof."""
    played = Linked()
    agent = played.agent
    played.step(news.Sampled("²", []), news.Sampled("9" * 5000, []), news.Sampled("999999", []))
    played.step(played.call(1))
    agent.cut(0)
    agent.connect()
    for _ in range(3):
        played.turn()
    assert agent.running == {job(1)}


@settings(derandomize=True, deadline=None, max_examples=150)
@given(st.randoms(use_true_random=False))
def test_no_course_of_the_link_runs_an_order_twice_or_keeps_a_place(chance: Random) -> None:
    """Links that end at any command, are made twice in a row, agents that restart, in any order."""
    played, orders = Linked(), set[str]()
    agent = played.agent
    for request in range(1, 41):
        call = played.call(request, chance.randint(0, 1), allow=chance.choice([400, 1500, 3000]) * MS)
        orders |= {call.job} if call.operation == 1 else set()
        played.step(call)
        for _ in range(chance.randint(1, 4)):
            what = chance.choice(["read", "deliver", "end", "time", "cut", "connect", "restart", "left"])
            if what == "read":
                agent.read(chance.randint(1, 9))
            elif what == "deliver":
                played.step(*agent.deliver(chance.randint(1, 9)))
            elif what == "end" and agent.running:
                agent.end(chance.choice(sorted(agent.running)), chance.choice(["good", "bad"]))
            elif what == "time":
                played.step(after=chance.choice([5, 50, 200]) * MS)
            elif what == "cut":
                agent.cut(chance.randint(0, 9))
            elif what == "connect":
                agent.cut(chance.randint(0, 9))
                agent.connect()
            elif what == "restart" and chance.random() < 0.2:
                agent.restart()
            elif what == "left":
                played.step(news.CallerLeft(played.hands, chance.randint(1, request)))
    agent.cut(0)
    agent.connect()
    for _ in range(200):
        for running in sorted(agent.running):
            agent.end(running)
        played.turn(after=50 * MS)
    assert all(agent.runs[order] <= 1 for order in orders) and not list(played.owner.invocations)
    assert all(len(played.status(request)) <= 1 for request in range(1, 41))


def test_a_notice_of_an_unknown_type_ends_nothing_and_is_not_asked_for_again() -> None:
    """It ended the link, was told again on the next one, and so no run was ever heard of."""
    with Host() as host:
        sidecar, agent = host.serving(), host.agent
        sidecar.send(sidecar.call(1) + sidecar.call(2))
        agent.until(lambda: len(agent.launches) == 2)
        agent.notify(type="unheard-of", job=job(1))
        agent.finish(job(2), result=b"two")
        assert sidecar.answer(2).body == b"two"
        agent.finish(job(1), result=b"one")
        assert sidecar.answer(1).body == b"one"
        assert "'unheard-of'" in host.line("agent tells what this program does not know")
        agent.cut_link(b"")
        sidecar.send(sidecar.call(3))
        agent.until(lambda: bool(agent.launched(job(3))))
        assert [c["n"] for c in agent.commands if c["type"] == "subscribe"] == [0, 3]
