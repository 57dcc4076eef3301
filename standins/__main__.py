"""`python -m standins`: one backend on its machine, one call to it, then until Ctrl-C."""

from __future__ import annotations

import signal
import sys

import gevent
from gevent.event import Event

from standins.agent import Agent
from standins.host import Host


def at_work(job: str, kind: str, body: bytes) -> tuple[float, str, bytes]:
    return 0.05, "good", body.upper()


def main() -> int:
    stop = Event()
    for number in (signal.SIGINT, signal.SIGTERM):
        gevent.signal_handler(number, stop.set)
    with Host(Agent(at_work), echo=True) as host:
        sidecar = host.serving()
        sidecar.send(sidecar.call(1, "look", b"hello"))
        answer = sidecar.answer(1)
        print(f"/call/look 'hello' -> {answer.status} {answer.body.decode()!r} {answer.fields}", flush=True)
        print("FastCGI on {}:{}; Ctrl-C tells the backend to leave".format(*host.address()), flush=True)
        stop.wait()
        host.process.terminate()
        return host.ended()


if __name__ == "__main__":
    sys.exit(main())
