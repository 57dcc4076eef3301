"""The guarded resource of the fault harness: takes a task's steps with their fencing tokens, and says so.

Speaks the line protocol of ringshift/wire/fenced.py on loopback. Each task has a `Fence`
(ringshift/fleet/fence.py) unless `fenced` is off, for the planted bug that the checker must find. Every
step, accepted or refused, is a history line with the true monotonic time of its arrival: the resource's own
view of tokens, which the checker (standins/checkers/leases.py) holds against the keeper's and the holders'.
"""

from __future__ import annotations

import time
from typing import IO

import orjson
from gevent import socket
from gevent.server import StreamServer

from ringshift.fleet.fence import Fence

MOST_LINE = 512  # bytes of one request line; a longer one ends the connection


class Resource:
    def __init__(self, history: IO[bytes], fenced: bool = True) -> None:
        self.history, self.fenced = history, fenced
        self.fences: dict[str, Fence] = {}
        self.last_token = 0
        self.last_holder = ""  # who had the last step accepted: the harness aims faults at it
        self.server = StreamServer(("127.0.0.1", 0), self.serve)

    def start(self) -> int:
        self.server.start()
        port = self.server.server_port
        assert port is not None
        return int(port)

    def stop(self) -> None:
        self.server.stop(timeout=1)

    def serve(self, sock: socket.socket, _: object) -> None:
        pending = b""
        try:
            while True:
                part = sock.recv(4096)
                if not part:
                    return
                pending += part
                while b"\n" in pending:
                    line, _, pending = pending.partition(b"\n")
                    sock.sendall(self.answer(line.decode(errors="replace").split()).encode() + b"\n")
                if len(pending) > MOST_LINE:
                    return
        except OSError:
            return
        finally:
            sock.close()

    def answer(self, words: list[str]) -> str:
        if len(words) == 2 and words[0] == "LAST":
            fence = self.fences.setdefault(words[1], Fence())
            return f"AT {fence.highest} {fence.step}"
        if len(words) != 5 or words[0] != "STEP" or not words[2].isdigit() or not words[3].isdigit():
            return "NO 0 0"
        task, token, step, holder = words[1], int(words[2]), int(words[3]), words[4]
        fence = self.fences.setdefault(task, Fence())
        if self.fenced:
            accepted = fence.admit(token, step)
        else:  # the planted bug: nothing checked, whatever comes is taken
            accepted = True
            fence.highest, fence.step = max(fence.highest, token), max(fence.step, step)
        self.history.write(
            orjson.dumps(
                {
                    "t": time.monotonic_ns(),
                    "ev": "resource",
                    "task": task,
                    "token": token,
                    "step": step,
                    "holder": holder,
                    "accepted": accepted,
                }
            )
            + b"\n"
        )
        self.history.flush()
        if accepted:
            self.last_holder, self.last_token = holder, token
        return f"OK {step}" if accepted else f"NO {fence.highest} {fence.step}"
