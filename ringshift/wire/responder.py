"""Where the answer to one request goes. An id that its client uses again names another request."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Protocol


class Answering(Protocol):
    """A connection, as far as it has requests open and answers them."""

    def serial(self, request: int) -> int | None:
        """That of the open request with this id."""

    def send(self, request: int, data: bytes) -> None:
        """Answers the open request with this id. Never waits."""

    def note_served(self) -> None:
        """A request of it was served."""


@dataclass(frozen=True, slots=True)
class Responder:
    """One request of a connection. The owner hears of an abort later than the connection, which lets the id
    be used again at once: the answer to the aborted request must not go out as the next one's."""

    connection: Answering
    request: int
    serial: int

    def send(self, request: int, data: bytes) -> None:
        """Answers it, unless it is over."""
        if request == self.request and self.connection.serial(request) == self.serial:
            self.connection.send(request, data)

    def note_served(self) -> None:
        """Its answer is the result of its run."""
        self.connection.note_served()
