"""Explores every state that a model can reach, breadth first, to a depth or until nothing new is found.

A model is three functions: `first()` gives the state to begin in, `after(state)` every event that can come
next with the state it leads to, `wrong(state)` what is broken there, empty where nothing is. States are
values: equal ones are met once. The first wrong state ends it, with the shortest chain of events that leads
there.
"""

from __future__ import annotations

from collections.abc import Callable, Hashable, Iterable
from dataclasses import dataclass, field
from typing import Generic, TypeVar

State = TypeVar("State", bound=Hashable)


@dataclass
class Explored(Generic[State]):
    states: int = 0
    moves: int = 0
    depth: int = 0  # events from the first state to the last met
    whole: bool = False  # nothing new is left: every state the model can reach was met
    wrong: str = ""
    trace: list[str] = field(default_factory=list)


def explore(
    first: State,
    after: Callable[[State], Iterable[tuple[str, State]]],
    wrong: Callable[[State], str],
    depth: int,
    most: int = 5_000_000,
) -> Explored[State]:
    """To `depth` events, at most `most` states."""
    told = Explored[State]()
    came: dict[State, tuple[State | None, str]] = {first: (None, "")}
    front = [first]
    while front and told.depth < depth and len(came) < most:
        found: list[State] = []
        told.depth += 1
        for state in front:
            for event, coming in after(state):
                told.moves += 1
                if coming in came:
                    continue
                came[coming] = state, event
                if broken := wrong(coming):
                    told.wrong, told.states = broken, len(came)
                    step: State | None = coming
                    while step is not None:
                        step, name = came[step]
                        told.trace.insert(0, name)
                    told.trace = told.trace[1:]
                    return told
                found.append(coming)
        front = found
    told.states, told.whole = len(came), not front
    return told
