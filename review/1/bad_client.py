"""A client that is none of the usual sidecars: ids that no agent knows, sent as fast as they are answered.

It speaks whole FastCGI requests and reads each answer. Told on the command line: host, port, the text of its
X-Allow-Ms, and for how many seconds it goes on.
"""

from __future__ import annotations

import socket
import struct
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
from common import END, call, new_job

AT_ONCE = 32


def ask(sock: socket.socket, allow: str) -> int:
    """One burst; how many of it were answered."""
    numbers = range(1, AT_ONCE + 1)
    sock.sendall(b"".join(call(number, "tank-lookup", new_job(), allow, 77) for number in numbers))
    answered, pending = 0, b""
    while answered < AT_ONCE:
        data = sock.recv(65536)
        if not data:
            return answered
        pending += data
        while len(pending) >= 8:
            _, kind, _, size, padding = struct.unpack_from("!BBHHB", pending)
            if len(pending) < 8 + size + padding:
                break
            pending = pending[8 + size + padding :]
            answered += kind == END
    return answered


def main() -> None:
    host, port, allow, seconds = sys.argv[1], int(sys.argv[2]), sys.argv[3], float(sys.argv[4])
    until, sent, answered = time.monotonic() + seconds, 0, 0
    while time.monotonic() < until:
        try:
            with socket.create_connection((host, port), 5) as sock:
                while time.monotonic() < until:
                    sent += AT_ONCE
                    answered += ask(sock, allow)
        except OSError:
            time.sleep(0.05)
    print(f"sent {sent} answered {answered}")


if __name__ == "__main__":
    main()
