"""A client uses a request's id again while the owner has not heard that the request before is over."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from contextlib import suppress
from random import Random

import gevent
import pytest

from ringshift.wire import calls, fastcgi, news
from ringshift.wire.fastcgi import ABORT, record
from standins.sidecar import Sidecar
from tests.listening import Here, listening
from tests.simulation import MS
from tests.test_owner import Played

OPEN_JOB = f"{77:016x}"
"""The id of a request that another client has open."""


@pytest.fixture
def here() -> Iterator[Here]:
    with listening() as listener_and_heard:
        yield listener_and_heard


def until(test: Callable[[], bool]) -> None:
    with gevent.Timeout(10):
        while not test():
            gevent.sleep(0)


def called(heard: list[news.News]) -> list[news.Called]:
    return [item for item in heard if isinstance(item, news.Called)]


def test_the_answer_to_an_aborted_request_is_not_sent_as_the_next_ones(here: Here) -> None:
    """It went out under the same id, to a request that had not run, and closed that one."""
    listener, heard = here
    client = Sidecar(listener.sock.getsockname())
    client.send(client.call(1) + record(ABORT, 1))
    assert client.answer(1).status == 0
    client.send(client.call(1))
    until(lambda: len(heard) == 3)
    first, second = called(heard)
    first.door.send(1, calls.succeeded(1, {}, b"first"))
    second.door.send(1, calls.succeeded(1, {}, b"second"))
    assert client.answer(1).body == b"second"


def test_the_end_of_an_aborted_request_leaves_the_next_one_with_its_id_open(here: Here) -> None:
    """Beside the one above: what is told of the first never counts for the second."""
    listener, heard = here
    client = Sidecar(listener.sock.getsockname())
    client.send(client.call(1) + record(ABORT, 1) + client.call(1))
    until(lambda: len(heard) == 3)
    first, second = called(heard)
    left = [item.door for item in heard if isinstance(item, news.CallerLeft)]
    assert left == [first.door] and left != [second.door]


def test_an_id_used_for_several_requests_ends_neither_the_owner_nor_their_answers(here: Here) -> None:
    """One client that did so with the id of an open request ended the process (`review/6`): the answer to the
    aborted request closed the second, the third took its entry, which was then deleted twice."""
    listener, heard = here
    played = Played()
    played.step(played.call(77))
    client = Sidecar(listener.sock.getsockname())
    in_use, second = client.call(1, HTTP_X_JOB_ID=OPEN_JOB), client.call(1, HTTP_X_JOB_ID="a" * 16)
    client.send(in_use + record(ABORT, 1) + second)
    assert client.answer(1).status == 0
    until(lambda: len(heard) == 3)
    played.step(*heard)
    heard.clear()
    client.send(client.call(1, HTTP_X_JOB_ID="b" * 16))
    until(lambda: bool(heard) or any(one.deaf for one in listener.connections))
    played.step(*heard)
    for job in ("a" * 16, "b" * 16, OPEN_JOB):
        played.step(news.RunEnded(job, "good", MS, job.encode()))
    assert played.status(77) == [200] and not played.owner.invocations.owed


class Repeating:
    """A client that uses three ids again and again, and checks that each answer is for its own request.

    Requests under one id end in the order in which they began, each with one END_REQUEST."""

    def __init__(self, address: tuple[str, int], chance: Random) -> None:
        self.address, self.chance, self.results = address, chance, 0
        self.connect()

    def connect(self) -> None:
        """Anew, once it broke the protocol by an id that was open."""
        self.sidecar, self.rest = Sidecar(self.address), b""
        self.sidecar.sock.settimeout(0.0)
        self.begun: dict[int, list[str]] = {1: [], 2: [], 3: []}
        self.out: dict[int, bytes] = {}

    def send(self) -> None:
        """Some requests, most of them behind an abort of the one before, some with an open request's job."""
        for _ in range(self.chance.randint(1, 6)):
            number = self.chance.randint(1, 3)
            job = self.chance.choice([OPEN_JOB, f"{self.chance.getrandbits(64):016x}"])
            abort = record(ABORT, number) if self.chance.random() < 0.9 else b""
            self.begun[number].append(job)
            self.sidecar.send(abort + self.sidecar.call(number, HTTP_X_JOB_ID=job))

    def read(self) -> None:
        """All that has come."""
        try:
            while data := self.sidecar.sock.recv(65536):
                self.rest += data
                self.check()
        except BlockingIOError:
            return
        except OSError:
            pass
        self.connect()

    def check(self) -> None:
        while len(self.rest) >= fastcgi.HEADER.size:
            _, kind, number, size, _ = fastcgi.HEADER.unpack_from(self.rest)
            content, self.rest = self.rest[8 : 8 + size], self.rest[8 + size :]
            if kind == fastcgi.STDOUT:
                self.out[number] = self.out.get(number, b"") + content
                continue
            job, answer = self.begun[number].pop(0), self.out.pop(number, b"")
            if b"Status: 200" in answer:
                assert answer.endswith(b"\r\n\r\n" + job.encode())
                self.results += 1


def end_some(played: Played, chance: Random) -> None:
    """The agent tells ends of runs, each with its job as the result."""
    running = [inv.job for inv in played.owner.invocations if inv.launched and inv.job != OPEN_JOB]
    for job in chance.sample(running, min(len(running), 3)):
        played.step(news.RunEnded(job, "good", MS, job.encode()))


@pytest.mark.parametrize("seed", range(8))
def test_random_requests_under_few_ids_get_no_answers_but_their_own(here: Here, seed: int) -> None:
    """The owner hears of requests and aborts late, in batches cut at random."""
    listener, heard = here
    played, chance = Played(), Random(seed)
    played.step(played.call(77))
    client = Repeating(listener.sock.getsockname(), chance)
    for _ in range(300):
        if chance.random() < 0.5:
            with suppress(OSError):
                client.send()
        for _ in range(chance.randint(0, 100)):
            gevent.sleep(0)
        batch = [heard.pop(0) for _ in range(chance.randint(0, len(heard)))]
        played.step(*batch, after=MS)
        end_some(played, chance)
        client.read()
    played.step(news.RunEnded(OPEN_JOB, "good", MS, b"own"))
    assert client.results > 5 and played.status(77) == [200]
