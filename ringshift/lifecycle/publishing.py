"""Leads a rulebook into force at the keeper, or takes one back: looks, does the next write, looks again.

`Publishing` drives an `Errand` (ringshift/rulebook/errand.py, which decides) against the keeper's link. Its
calls block, so it is for a process or a thread of its own. It may be killed at any point: what it proposed
stands at the keeper, and another's `settle` leads it on, or its `withdraw` takes it back. One `Publishing`
may do many errands in turn, but not two at once.
"""

from __future__ import annotations

import time
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field, replace
from typing import TYPE_CHECKING, Any, Protocol

from ringshift.rulebook.bound import MS, ReadingTerms, S
from ringshift.rulebook.document import Rulebook, digest
from ringshift.rulebook.errand import Errand, State
from ringshift.rulebook.version import NOTHING, Effect, Stamp, Version
from ringshift.rulebook.wish import Memory, Wish, as_kept, numbered, undoing
from ringshift.schedule.plan import undone

if TYPE_CHECKING:
    from ringshift.wire.rules import Held

WITHIN = 30 * S  # a publication's time: more than three reading leases of 8 s
LOOK_EVERY = 200 * MS  # at most: five reads a second of all readers' rows, by one process


class Link(Protocol):
    """The part of RulesLink (ringshift/wire/rules.py) that is used here."""

    def read(self) -> Held: ...
    def do(self, effect: Effect, held: Held) -> bool: ...
    def begin(self, version: Version) -> bool: ...
    def versions(self) -> list[Version]: ...


@dataclass(frozen=True)
class Outcome:
    """How an errand ended. `done`: what was asked for is so. `state`: IN_FORCE, REFUSED (by a reader),
    WITHDRAWN, BEATEN (by another publisher), NOTHING (there was nothing to do) or LATE (what was proposed
    stands on). `stands`: what the keeper held at the last look, None where it never answered. `waited`: the
    readers that were still waited for -> nanoseconds of this process's clock until their lease surely ended,
    -1 where only their own word counts."""

    state: State
    version: Version | None
    done: bool
    why: str = ""
    stands: Held | None = None
    waited: dict[str, int] = field(default_factory=dict)

    @property
    def in_force(self) -> bool:
        return self.state is State.IN_FORCE

    def told(self) -> dict[str, Any]:
        """For programs: stamps as [epoch, number]."""
        told = self.stands.told if self.stands is not None else None
        one = self.version
        return {
            "state": self.state.name,
            "why": self.why,
            "version": None if one is None else brief(one),
            "in_force": None if told is None else brief(told.in_force),
            "proposed": None if told is None or told.proposed is None else brief(told.proposed),
            "waiting": {name: left / 1e9 if left >= 0 else None for name, left in self.waited.items()},
        }


def brief(one: Version) -> dict[str, Any]:
    return {
        "number": numbered(one.stamp),
        "stamp": list(one.stamp),
        "digest": one.digest,
        "author": one.author,
        "reason": one.reason,
    }


def nothing(*said: object) -> None:
    return None


def check_size(wish: Wish) -> None:
    """Raises ValueError, naming the field, for a version that the keeper couldn't take. In `Publishing.do` it
    would count as a write that was not answered, and be tried again until the errand's time is over."""
    from ringshift.wire.rules import write_version

    write_version(Version(NOTHING, wish.book, digest(wish.book), wish.author, wish.reason))


class Publishing:
    """`clock`: this process's own, monotonic, in ns. `on(kind, fields)` hears each step, for histories and
    progress: "state" (state, stamp, digest, why), "waiting" (readers, ended, acked), "do" (effect, stamp,
    held: true, false, or None where no answer came) and "unanswered" (why). `pause(place)` is called at
    "before EFFECT" and "after EFFECT" for fault tests. `wait(seconds)` between two looks."""

    def __init__(
        self,
        link: Link,
        terms: ReadingTerms,
        clock: Callable[[], int] = time.monotonic_ns,
        on: Callable[[str, dict[str, Any]], None] = nothing,
        pause: Callable[[str], None] = nothing,
        wait: Callable[[float], None] = time.sleep,
        every: int = LOOK_EVERY,
    ) -> None:
        self.link, self.terms, self.clock = link, terms, clock
        self.on, self.pause, self.wait = on, pause, wait
        self.every = min(every, terms.refresh)
        self.memory = Memory()
        self.held: Held | None = None
        self.unanswered = ""
        self.shown: tuple[Any, ...] = ()
        self.waiting: tuple[Any, ...] = ()

    def publish(
        self,
        book: Rulebook,
        author: str = "",
        reason: str = "",
        undoes: Stamp | None = None,
        within: int = WITHIN,
        base: Stamp | None = None,
    ) -> Outcome:
        """The next version; the first of all is in force at once. `within`: ns until it gives up leading
        (what it proposed stands). `base`: the version that the book was made from; where another is in force
        when the proposal is made, it is BEATEN. Raises PublicationError where it may not be published in one
        step (ringshift/rulebook/steps.py), ValueError where the keeper couldn't take it."""
        wish = Wish(as_kept(book), author, reason, undoes, base)
        check_size(wish)  # refused here, before any look
        return self.run(Errand(self.terms, State.PUBLISHING, wish, self.memory), within)

    def settle(self, within: int = WITHIN) -> Outcome:
        """Leads on what stands proposed, whoever proposed it; and a new epoch where the keeper lost data."""
        return self.run(Errand(self.terms, State.SETTLING, None, self.memory), within)

    def withdraw(self, author: str = "", reason: str = "", within: int = WITHIN) -> Outcome:
        """Takes back what is proposed; with nothing proposed, publishes the book before the one in force
        anew, under a number of its own. Raises PublicationError where none is kept, ValueError where the
        keeper couldn't take that version."""
        end = self.clock() + within
        while (found := self.ask(self.with_versions)) is None:
            if self.clock() >= end:
                return Outcome(State.LATE, None, False, f"the keeper did not answer: {self.unanswered}")
            self.wait(self.every / 1e9)
        told = found[0].told
        if told is None:
            return Outcome(State.NOTHING, None, False, "nothing was ever published", found[0])
        if told.proposed is not None:
            errand = Errand(self.terms, State.TAKING, memory=self.memory, version=told.proposed)
        else:
            wish = undoing(told.in_force, found[1], author, reason)
            wish = replace(wish, book=as_kept(undone(told.in_force.book, wish.book, time.time_ns())))
            check_size(wish)
            errand = Errand(self.terms, State.PUBLISHING, wish, self.memory, found[1])
        return self.run(errand, end - self.clock())

    def with_versions(self) -> tuple[Held, Sequence[Version]]:
        return self.link.read(), self.link.versions()

    def run(self, errand: Errand, within: int) -> Outcome:
        end, self.held, self.shown, self.waiting = self.clock() + within, None, (), ()
        while not errand.ended:
            held = self.ask(self.link.read)
            effect = None
            if held is not None:
                self.held = held
                # After the read: every confirmation that it shows was sent before (Publisher.look).
                effect = errand.hear(held, self.clock())
                self.tell(errand)
            if effect is not None:
                self.do(errand, effect, held)
            if errand.ended:
                break
            if self.clock() >= end:
                errand.late()
            elif effect is None:
                self.wait(min(self.every, max(end - self.clock(), MS)) / 1e9)
        self.tell(errand)
        why = errand.why
        if errand.state is State.LATE and self.unanswered:
            why = f"the keeper did not answer: {self.unanswered}"
        return Outcome(errand.state, errand.version, errand.fulfilled, why, self.held, errand.waited())

    def ask(self, call: Callable[[], Any]) -> Any:
        """None where no answer came: the next look is a new call."""
        try:
            answer = call()
            self.unanswered = ""
            return answer
        except Exception as wrong:  # whatever a client raises
            self.unanswered = str(wrong) or repr(wrong)
            self.on("unanswered", {"why": self.unanswered})
            return None

    def do(self, errand: Errand, effect: Effect, held: Held | None) -> None:
        self.pause(f"before {effect.kind}")
        done: bool | None
        try:
            if effect.kind == "begin":
                done = self.link.begin(effect.version)
            else:
                assert held is not None
                done = self.link.do(effect, held)
        except Exception as wrong:  # whatever a client raises: it may have been carried out all the same
            self.unanswered, done = str(wrong) or repr(wrong), None
        errand.done(effect, done)
        self.on("do", {"effect": effect.kind, "stamp": effect.version.stamp, "held": done})
        self.pause(f"after {effect.kind}")
        if done is not True:
            self.wait(self.every / 1e9 / 4)  # another writes there too, or nobody answers

    def tell(self, errand: Errand) -> None:
        one, led = errand.version, errand.led
        state = errand.state.name if errand.ended or led is None else led.state.name
        shown = state, None if one is None else one.stamp, errand.why
        if shown != self.shown:
            self.shown = shown
            self.on(
                "state",
                {
                    "state": state,
                    "stamp": shown[1],
                    "why": errand.why,
                    "digest": "" if one is None else one.digest,
                },
            )
        waited = errand.waited()
        if waited and led is not None:
            waiting = tuple(waited), tuple(sorted(led.ended)), len(led.acked)
            if waiting != self.waiting:
                self.waiting = waiting
                self.on("waiting", {"readers": waited, "ended": list(waiting[1]), "acked": waiting[2]})
