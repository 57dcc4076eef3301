"""The guarded resource's client: a step with its fencing token, one line over TCP, its answer one line.

`STEP TASK TOKEN STEP HOLDER` is answered `OK STEP` or `NO HIGHEST LAST`; `LAST TASK` is answered
`AT HIGHEST LAST`. The resource's side is standins/fleet/resource.py. Blocking, with a timeout: an answer
not heard is not known to be refused, and the step is asked about before it is sent again.
"""

from __future__ import annotations

import socket


class FencedLink:
    def __init__(self, address: str, timeout_s: float) -> None:
        host, _, port = address.rpartition(":")
        self.address, self.timeout_s = (host, int(port)), timeout_s
        self.sock: socket.socket | None = None
        self.pending = b""

    def ask(self, line: str) -> list[str]:
        """One line out, one back; raises OSError on any failure, and the next call links anew."""
        try:
            if self.sock is None:
                self.sock = socket.create_connection(self.address, self.timeout_s)
            self.sock.sendall(line.encode() + b"\n")
            while b"\n" not in self.pending:
                part = self.sock.recv(4096)
                if not part:
                    raise ConnectionResetError("the resource closed")
                self.pending += part
                if len(self.pending) > 4096:
                    raise ConnectionError("the resource's answer has no end")
            answer, _, self.pending = self.pending.partition(b"\n")
            return answer.decode().split()
        except OSError:
            self.close()
            raise

    def close(self) -> None:
        if self.sock is not None:
            self.sock.close()
        self.sock, self.pending = None, b""

    def step(self, task: str, token: int, step: int, holder: str) -> tuple[bool, int]:
        """Whether the step was accepted, and the resource's last accepted step."""
        told = self.ask(f"STEP {task} {token} {step} {holder}")
        if told[0] == "OK":
            return True, int(told[1])
        return False, int(told[2])

    def last(self, task: str) -> int:
        told = self.ask(f"LAST {task}")
        return int(told[2])
