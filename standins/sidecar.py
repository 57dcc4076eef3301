"""A sidecar: one FastCGI connection that asks and reads answers, in any order."""

from __future__ import annotations

import struct
import time
from dataclasses import dataclass

import gevent
from gevent import socket

from ringshift.wire import fastcgi


@dataclass
class Answer:
    status: int
    fields: dict[str, str]
    body: bytes
    protocol: int


class Sidecar:
    def __init__(self, address: tuple[str, int]) -> None:
        self.sock = socket.create_connection(address, 10)
        self.sock.settimeout(10)
        self.out: dict[int, bytes] = {}
        self.ended: dict[int, int] = {}
        self.other: list[tuple[int, bytes]] = []
        self.rest = b""

    def send(self, data: bytes) -> None:
        self.sock.sendall(data)

    def begin(self, request: int, role: int = fastcgi.RESPONDER, keep: bool = True) -> bytes:
        return fastcgi.record(fastcgi.BEGIN, request, struct.pack("!HB5x", role, keep))

    def call(
        self,
        request: int,
        operation: str = "look",
        body: bytes = b"body",
        keep: bool = True,
        **other: str | None,
    ) -> bytes:
        """The bytes of one call. A field given as None is left out."""
        told: dict[str, str | None] = {
            "REQUEST_METHOD": "POST",
            "SCRIPT_NAME": f"/call/{operation}",
            "HTTP_X_JOB_ID": f"{request:016x}",
            "HTTP_X_DOOR_TIME": str(time.time_ns() // 1_000_000),
            "HTTP_X_SENDER": "4",
            "HTTP_X_ALLOW_MS": "3000",
            "HTTP_X_RAM_KB": "24.5",
            "HTTP_X_PRECEDENCE": "0.6250",
            **other,
        }
        return self.whole(request, {k: v for k, v in told.items() if v is not None}, body, keep)

    def whole(self, request: int, params: dict[str, str], body: bytes = b"", keep: bool = True) -> bytes:
        record, pairs = fastcgi.record, fastcgi.write_pairs(params)
        parts = [self.begin(request, keep=keep), record(fastcgi.PARAMS, request, pairs)]
        parts += [record(fastcgi.PARAMS, request), record(fastcgi.STDIN, request, body)]
        return b"".join(parts + [record(fastcgi.STDIN, request)] * bool(body))

    def check(self, request: int = 1, deep: bool = False) -> bytes:
        return self.whole(request, {"SCRIPT_NAME": "/ping", "QUERY_STRING": f"all={int(deep)}"}, keep=False)

    def read(self) -> bool:
        """One more piece; False at the end of the connection."""
        data = self.sock.recv(65536)
        self.rest += data
        while len(self.rest) >= 8:
            _, kind, request, size, padding = fastcgi.HEADER.unpack_from(self.rest)
            if len(self.rest) < 8 + size + padding:
                break
            content, self.rest = self.rest[8 : 8 + size], self.rest[8 + size + padding :]
            if kind == fastcgi.STDOUT:
                self.out[request] = self.out.get(request, b"") + content
            elif kind == fastcgi.END:
                assert request not in self.ended, "a second answer to one request"
                self.ended[request] = content[4]
            else:
                self.other.append((kind, content))
        return bool(data)

    def answer(self, request: int, seconds: float = 10.0) -> Answer:
        with gevent.Timeout(seconds):
            while request not in self.ended:
                assert self.read(), "the connection ended without an answer"
        head, _, body = self.out.pop(request, b"").partition(b"\r\n\r\n")
        fields = dict(line.split(": ", 1) for line in head.decode().split("\r\n") if line)
        return Answer(int(fields.pop("Status", "0")), fields, body, self.ended.pop(request))

    def until_end(self, seconds: float = 10.0) -> None:
        """Reads to the end of the connection; it may come as a reset."""
        with gevent.Timeout(seconds):
            try:
                while self.read():
                    pass
            except ConnectionError:
                pass
