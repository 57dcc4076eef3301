"""No new handshakes at a listening socket that is about to close.

A connection that completes between the last `accept` and the listener's close is reset, with what its client
had sent. A socket filter that drops each SYN keeps them from beginning: all that began can be accepted.
"""

from __future__ import annotations

import socket
import struct
from array import array
from contextlib import suppress
from typing import Protocol

SO_ATTACH_FILTER = 26
"""Of Linux; `socket` has no name for it. It needs no rights."""

FLAGS_AT = 13
"""Offset in bytes of the flags in a TCP header, at which a TCP socket's filter begins to read."""
SYN, ACK = 0x02, 0x10

LOAD_BYTE, AND, JUMP_IF_EQUAL, RETURN = 0x30, 0x54, 0x15, 0x06
DROP, PASS = 0, 0xFFFFFFFF
DROP_EACH_SYN = (
    (LOAD_BYTE, 0, 0, FLAGS_AT),
    (AND, 0, 0, SYN | ACK),
    (JUMP_IF_EQUAL, 0, 1, SYN),
    (RETURN, 0, 0, DROP),
    (RETURN, 0, 0, PASS),
)
"""Classic BPF: code, instructions to skip if true and if false, operand. The ACK of a handshake passes."""


class Listener(Protocol):
    """A listening socket, as far as it takes options."""

    def setsockopt(self, level: int, option: int, value: bytes, /) -> None: ...


def refuse_handshakes(listener: Listener) -> None:
    """Drops SYNs from now on: clients send them again after a second, when nobody listens, and are refused.

    Where the platform takes no such filter nothing changes.
    """
    code = array("B", b"".join(struct.pack("=HBBI", *instruction) for instruction in DROP_EACH_SYN))
    address, _ = code.buffer_info()
    with suppress(OSError):
        listener.setsockopt(
            socket.SOL_SOCKET, SO_ATTACH_FILTER, struct.pack("@HP", len(DROP_EACH_SYN), address)
        )
