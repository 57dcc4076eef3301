"""Loaded by PYTHONPATH into a process before anything of its own: the calls that the full-size bench refuses.

That bench runs each backend under a system-call filter (its page: no fork, no other programs, TCP and UDP
over IPv4 only, nobody at a Unix socket). Here each such call is written on standard error as
`guard: refused ...` and fails as the filter would fail it, with ENOSYS, so that a test without the bench sees
what the bench would do.
Python's audit events (PEP 578) name every way the standard library has to these calls.
"""

from __future__ import annotations

import errno
import os
import socket
import sys
from typing import Any

# Every way to a second process or another program; `os.exec` covers the whole execv* family.
PROCESSES = frozenset(
    {
        "os.fork",
        "os.forkpty",
        "os.posix_spawn",
        "os.spawn",
        "os.exec",
        "os.system",
        "subprocess.Popen",
        "pty.spawn",
    }
)
FAMILIES = frozenset({socket.AF_INET})
KINDS = frozenset({socket.SOCK_STREAM, socket.SOCK_DGRAM})


def refuse(event: str, detail: object) -> None:
    # os.write, not print: a hook must not run into the buffers of the stream that it may be called from.
    os.write(2, f"guard: refused {event} {detail!r}\n".encode(errors="replace"))
    raise OSError(errno.ENOSYS, f"refused by the guard: {event}")


def hook(event: str, args: tuple[Any, ...]) -> None:
    if event in PROCESSES:
        refuse(event, args[:1])
    elif event == "socket.__new__":
        _, family, kind, _ = args
        # -1 comes from a socket made around a descriptor that exists already; it was judged when made.
        if family != -1 and (family not in FAMILIES or (kind & 0xF) not in KINDS):
            refuse(event, (family, kind))  # a Unix socket is refused here, before any address is given


sys.addaudithook(hook)
