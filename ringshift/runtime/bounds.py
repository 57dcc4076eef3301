"""What the program's parts may hold, so that all of it at its worst fits into the memory it is given."""

from __future__ import annotations

from dataclasses import dataclass

MIB, KIB = 1024 * 1024, 1024
OWN = 20 * MIB  # the program with nothing in hand, 17 as measured, and what the heap loses to its holes
MOST_COMMANDS = 1 * MIB  # bytes, at any limit: a link that takes no more is made anew
LEAST = 4 * MIB  # below that it could not serve at all
OWN_DESCRIPTORS = 24  # loop, log, agent, announce service and what they need while they are made anew
CONNECTION = 12 * KIB  # a reader's stack and frames, as measured, and sockets' objects
IN_HAND = 6 * KIB  # a try with a body of 2 KiB in the wire's, the owner's and the module's words
NEWS = 4 * KIB  # one in the queue, body included
JOB = 144  # bytes: the id of a request that is over, in a set that has just grown
GENERATIONS = 2  # of such ids
GROWN = 9, 8  # memory of an array that grows, to the bytes that are in it


@dataclass(frozen=True, slots=True)
class Bounds:
    connections: int
    in_hand: int
    news: int
    unread: int
    """Bytes of answers that no one has read, of all connections together."""
    coming: int
    """Bytes of requests that are not whole, of all connections together."""
    results: int
    """Bytes of results kept for repeats."""
    finished_jobs: int
    """Ids of requests that are over, in each generation of them."""
    commands: int
    """Bytes of commands that the agent has not read."""


class Budget:
    """Bytes that many connections may hold together, so that slow readers do not fill the memory."""

    def __init__(self, left: int) -> None:
        self.left = left


def bounds(memory: int, sockets: int) -> Bounds:
    spare = max(memory - OWN, LEAST)
    grown, held = GROWN
    return Bounds(
        connections=max(min(sockets - OWN_DESCRIPTORS, spare * 3 // 8 // CONNECTION), 1),
        in_hand=spare // 8 // IN_HAND,
        news=spare * 7 // 64 // NEWS,
        unread=spare // 8 * held // grown,
        coming=spare // 8,
        results=spare // 16,
        finished_jobs=spare // 64 // GENERATIONS // JOB,
        commands=min(spare // 16 * held // grown, MOST_COMMANDS),
    )
