"""Turns to read: the order in which they are given, and what hundreds of busy clients cost a sound one."""

from __future__ import annotations

import time
from collections.abc import Iterator
from contextlib import suppress
from random import Random

import gevent
import pytest

from ringshift.wire import calls
from ringshift.wire.connection import Connection
from ringshift.wire.fair_turn import IN_A_ROW, NEW_COST, RECORD_BYTES, REQUEST_COST, FairTurn, Share
from ringshift.wire.fastcgi import PARAMS, STDIN, Message, record
from ringshift.wire.news import Called, News
from ringshift.wire.responder import Responder
from standins.bad_clients import begin, short_fields
from standins.sidecar import Sidecar
from tests.listening import listening

BUSY = 60
"""Clients that always have more to read."""


def holding(turn: FairTurn, share: Share, cost: int, name: str, order: list[str]) -> None:
    with turn.taken(share):
        order.append(name)
        share.charge(cost, 0, 0, False)


def test_whoever_cost_least_is_next_and_equals_come_in_their_order() -> None:
    turn, order = FairTurn(), list[str]()
    shares = {name: turn.new_share() for name in ("costly", "cheap", "first", "second")}
    for name, cost in (("costly", 900), ("cheap", 10)):
        holding(turn, shares[name], cost, name, order)
        gevent.sleep(0)
    order.clear()
    with turn.taken(Share(0)):
        waiting = [gevent.spawn(holding, turn, shares[name], 0, name, order) for name in shares]
        gevent.idle()
    gevent.joinall(waiting, timeout=10)
    assert order == ["first", "second", "cheap", "costly"]


def test_preferred_ones_come_first_but_leave_every_fifth_turn_to_the_others() -> None:
    turn, order = FairTurn(), list[str]()
    with turn.taken(Share()):
        other = [gevent.spawn(holding, turn, Share(), 1, "other", order) for _ in range(2)]
        preferred = [
            gevent.spawn(holding, turn, Share(preferred=True), 0, "preferred", order)
            for _ in range(2 * IN_A_ROW)
        ]
        gevent.idle()
    gevent.joinall(other + preferred, timeout=10)
    assert order == (["preferred"] * IN_A_ROW + ["other"]) * 2


def test_a_stream_of_new_connections_passes_nobody() -> None:
    """Each entered at the virtual time as it stood, which never went on: the sound client was never read."""
    turn, order, old = FairTurn(), list[str](), Share(0)
    old.charge(NEW_COST - 1, 0, 0, False)
    with turn.taken(Share(0)):
        waiting = [gevent.spawn(holding, turn, turn.new_share(), 5, "new", order) for _ in range(20)]
        gevent.idle()
        waiting.append(gevent.spawn(holding, turn, old, 5, "old", order))
        gevent.idle()
    gevent.joinall(waiting, timeout=10)
    assert order == ["old"] + ["new"] * 20


def test_one_that_rested_has_no_claim_to_what_it_did_not_use() -> None:
    """Else a client that was quiet for long could keep all others waiting for as long."""
    turn, order, busy, rested = FairTurn(), list[str](), Share(), Share()
    for _ in range(100):
        holding(turn, busy, 1000, "busy", order)
        gevent.sleep(0)
    holding(turn, rested, 1000, "rested", order)
    assert rested.finish > 99 * 1000


def test_whole_requests_of_one_that_was_served_are_not_charged_up_to_their_allowance() -> None:
    share = Share(0)
    share.charge(12, (3 * REQUEST_COST - 12) * RECORD_BYTES, 3, True)
    assert not share.finish and share.preferred
    share.charge(3 * REQUEST_COST, 0, 1, True)
    assert share.finish == 2 * REQUEST_COST and not share.preferred


def test_requests_of_one_that_was_never_served_are_charged() -> None:
    """Hundreds that asked again as soon as they were turned away had a sound client wait for each of them."""
    share = Share(0)
    share.charge(5, 10 * RECORD_BYTES, 1, False)
    assert share.finish == 15 and not share.preferred


def test_a_pause_of_the_process_in_a_sound_clients_turn_costs_it_nothing(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Charged by the clock, 50 ms of it made a sound client wait for 9 s beside 240 others."""
    handle = Connection.handle

    def pausing(self: Connection, message: Message) -> Iterator[News]:
        until = time.monotonic() + 0.05
        while time.monotonic() < until:
            pass
        yield from handle(self, message)

    monkeypatch.setattr(Connection, "handle", pausing)
    with listening() as (listener, heard):
        client = Sidecar(listener.sock.getsockname())
        client.send(client.call(1))
        with gevent.Timeout(10):
            while not heard:
                gevent.sleep(0)
        (connection,) = listener.connections
        assert connection.share.finish < NEW_COST + REQUEST_COST


@pytest.mark.parametrize("granted", [False, True], ids=["waiting", "granted"])
def test_one_that_is_killed_as_it_waits_holds_nobody_up(granted: bool) -> None:
    """A connection past its bounds is ended wherever its reader stands."""
    turn, order = FairTurn(), list[str]()
    with turn.taken(Share()):
        killed = gevent.spawn(holding, turn, Share(), 0, "killed", order)
        other = gevent.spawn(holding, turn, Share(), 0, "other", order)
        gevent.idle()
        if not granted:
            killed.kill()
    if granted:
        killed.kill(block=False)  # comes to it after the turn did
        turn.grant()
    other.join(10)
    assert order == ["other"]


def endless(number: int) -> bytes:
    """A request that never ends, in the smallest records, or heads of thousands of short fields."""
    if number % 2:
        return (begin(1) + record(PARAMS, 1) + record(STDIN, 1, b"x") * 2000) * 4
    return short_fields(Random(number)) * 2


def pour(client: Sidecar, data: bytes) -> None:
    with suppress(OSError):
        while True:
            client.send(data)
            gevent.sleep(0)


def test_sound_requests_are_read_soon_beside_clients_that_always_have_more(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """All that were ready in one poll of the loop were read before the owner and the agent's link ran again:
    beside 480 such clients a sound request took seconds for each of its steps."""
    take, reads = Connection.take, list[Connection]()

    def counted(self: Connection, size: int) -> None:
        reads.append(self)
        take(self, size)

    monkeypatch.setattr(Connection, "take", counted)
    with listening() as (listener, heard):
        address = listener.sock.getsockname()
        sound, clients = Sidecar(address), [Sidecar(address) for _ in range(BUSY)]
        pouring = [gevent.spawn(pour, client, endless(n)) for n, client in enumerate(clients)]
        with gevent.Timeout(60):
            while len(set(reads)) < BUSY:
                gevent.sleep(0)
            for request in range(1, 21):
                sound.send(sound.call(request))
                since = len(reads)
                while not heard:
                    gevent.sleep(0)
                (called,) = heard
                assert isinstance(called, Called) and isinstance(called.door, Responder)
                before = [one for one in reads[since:] if one is not called.door.connection]
                allowed = 2 * BUSY if request == 1 else 5
                assert len(before) <= allowed, "reads of others before the sound request's"
                called.door.note_served()
                called.door.send(request, calls.succeeded(request, {}, b"done"))
                assert sound.answer(request).status == 200
                heard.clear()
        gevent.killall(pouring)
