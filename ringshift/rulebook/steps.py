"""Where a rulebook can't follow the one in force in one publication: the publications that lead to it.

Decisions only. `alone` changes in two publications of nothing else (version.py tells why), so a document in
which it differs is reached by way of others: what else differs first, then the new `alone` announced, then
made the `alone`, then the one that the document itself announces. Each step is made from what is in force, so
a plan that was broken off is simply made anew.
"""

from __future__ import annotations

from dataclasses import dataclass

from msgspec.structs import replace

from ringshift.rulebook.document import Rulebook, Rules, digest
from ringshift.rulebook.version import PublicationError, check_step

MOST_STEPS = 5  # the rest, one announcement dropped, one made, one made the alone, the next announced


@dataclass(frozen=True)
class Step:
    """`by_all`: every reader must acknowledge it; those that are no more must be forgotten."""

    book: Rulebook
    what: str
    by_all: bool


def plan(now: Rulebook, wanted: Rulebook) -> list[Step]:
    """The publications from `now` to `wanted`, in order; empty where the two say the same. Each of them may
    be published after the one before."""
    out = list[Step]()
    at = now
    while digest(at) != digest(wanted):
        assert len(out) < MOST_STEPS, "a plan that doesn't end"
        step = next_step(at, wanted)
        out.append(step)
        at = step.book
    return out


def next_step(now: Rulebook, wanted: Rulebook) -> Step:
    """The first of them. `now` and `wanted` differ."""
    try:
        return Step(wanted, "the document as it is", check_step(now, wanted))
    except PublicationError:
        pass  # in more than one step then
    rest = replace(wanted, alone=now.alone, alone_next=now.alone_next)
    if digest(rest) != digest(now):
        return made(now, rest, "all but `alone`, which stays as it is")
    if same(now.alone, wanted.alone):  # only alone_next differs, and that is one step: check_step took it
        raise AssertionError("alone_next alone is one step")
    if not same(now.alone_next, wanted.alone):
        return made(now, replace(now, alone_next=wanted.alone), "the new `alone` announced as `alone_next`")
    return made(now, replace(now, alone=wanted.alone, alone_next=None), "the announced one made the `alone`")


def made(now: Rulebook, book: Rulebook, what: str) -> Step:
    return Step(book, what, check_step(now, book))


def same(a: Rules | None, b: Rules | None) -> bool:
    return (a is None) == (b is None) and (a is None or b is None or digest(a) == digest(b))
