"""A TCP proxy on loopback between one process and the keeper, that puts faults on the way.

Faults, set while it runs: `delay_ns` (each piece waits so long before it goes on), `blackhole` (pieces going
`up`, to the keeper, or `down`, back, or both, are dropped without a word: the connection seems to hang),
`cut()` (every open connection ends now), `cut_mid` (the next piece either way goes on in half, then its
connection ends: a message cut in its middle), `refuse` (new connections are closed at once).
"""

from __future__ import annotations

from dataclasses import dataclass, field

import gevent
from gevent import socket
from gevent.server import StreamServer

UP, DOWN = "up", "down"


@dataclass
class Faults:
    delay_ns: int = 0
    blackhole: set[str] = field(default_factory=set)
    cut_mid: bool = False
    refuse: bool = False


class Proxy:
    def __init__(self, upstream: tuple[str, int]) -> None:
        self.upstream, self.faults = upstream, Faults()
        self.open: set[socket.socket] = set()
        self.server = StreamServer(("127.0.0.1", 0), self.serve)

    def start(self) -> str:
        self.server.start()
        return f"127.0.0.1:{self.server.server_port}"

    def stop(self) -> None:
        self.server.stop(timeout=1)
        self.cut()

    def cut(self) -> None:
        for sock in list(self.open):
            sock.close()
        self.open.clear()

    def serve(self, down: socket.socket, _: object) -> None:
        if self.faults.refuse:
            down.close()
            return
        try:
            up = socket.create_connection(self.upstream, timeout=5)
            up.settimeout(None)  # the time was for the connection alone: a quiet stream must not end by it
        except OSError:
            down.close()
            return
        for sock in (up, down):
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)  # it adds no delay of its own
        self.open |= {up, down}
        pumps = [gevent.spawn(self.pump, down, up, UP), gevent.spawn(self.pump, up, down, DOWN)]
        gevent.joinall(pumps, count=1)
        for sock in (up, down):
            sock.close()
            self.open.discard(sock)
        gevent.killall(pumps, block=False)

    def pump(self, source: socket.socket, sink: socket.socket, way: str) -> None:
        try:
            while True:
                part = source.recv(65536)
                if not part:
                    return
                if self.faults.delay_ns:
                    gevent.sleep(self.faults.delay_ns / 1e9)
                if way in self.faults.blackhole:
                    continue
                if self.faults.cut_mid:
                    self.faults.cut_mid = False
                    sink.sendall(part[: len(part) // 2])
                    return
                sink.sendall(part)
        except OSError:
            return
