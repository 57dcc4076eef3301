"""What the owner of the decisions needs from the parts around it, as protocols. None of their calls waits."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from typing import Protocol

from ringshift import interface as face
from ringshift.control import Controller


class Commands(Protocol):
    """The agent, as far as the owner speaks to it. Never waits."""

    def launch(self, job: str, operation: str, body: bytes) -> bool: ...
    def freeze(self, job: str) -> None: ...
    def sample(self, ref: str) -> None: ...
    def exercise(self, ref: str) -> None: ...


class Shared(Protocol):
    """What this server has from the fleet, where the installation lets instances talk: shares of budgets
    (ringshift/lifecycle/sharing.py), the rulebook (ringshift/lifecycle/ruling.py). Never waits."""

    def granted(self, now: int, controller: Controller) -> Sequence[face.Input]: ...
    def leaving(self) -> None: ...
    def leave(self) -> None: ...


class Rulings(Shared, Protocol):
    """The rulebook's retirements, of one caller: its lot, what its answers carry, that one with that was
    sent, and how each of its invocations ended (ringshift/records/watch.py)."""

    def lot(self, operation: int, caller: int) -> int: ...
    def fields(self, operation: int, caller: int) -> Mapping[str, str]: ...
    def answered(self, operation: int, caller: int) -> None: ...
    def ended(self, operation: int, caller: int, how: int) -> None: ...


class Unruled:
    """No rulebook: nothing is asked of anyone."""

    def lot(self, operation: int, caller: int) -> int:
        return -1

    def fields(self, operation: int, caller: int) -> Mapping[str, str]:
        return {}

    def answered(self, operation: int, caller: int) -> None:
        pass

    def ended(self, operation: int, caller: int, how: int) -> None:
        pass
