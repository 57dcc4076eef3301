"""One sidecar's connection: bytes in, whole requests to the owner's queue, answers out. No decisions."""

from __future__ import annotations

import fcntl
import select
import struct
import termios
import time
from collections.abc import Callable, Iterator, Mapping
from contextlib import suppress

import gevent
from gevent import socket
from gevent.event import Event
from gevent.socket import wait_read
from loguru import logger

from ringshift.runtime.bounds import Budget
from ringshift.runtime.logs import counted
from ringshift.wire import calls, fastcgi
from ringshift.wire.connection_table import ConnectionTable
from ringshift.wire.fair_turn import FairTurn
from ringshift.wire.half_sent import HalfSent
from ringshift.wire.news import CallerLeft, News
from ringshift.wire.outbox import Outbox
from ringshift.wire.responder import Responder

UNREAD_ANSWERS = 256 * 1024  # bytes: more than all answers to open requests, so that only no reader fills it
KERNELS_PART = 128 * 1024  # bytes of them that the kernel may hold, which otherwise grows to megabytes
LOOKS = 4  # after which one who sent half a request, or none at all, is given up: an end is owed in 3 s
LAST_READ = 0.2  # seconds for the other side's end, as unread bytes would reset what was written
MOST_DISCARDED = 1024 * 1024  # bytes read to no end in that time; a flood beyond it may be reset
Post = Callable[[News], None]


class Connection:
    def __init__(
        self,
        sock: socket.socket,
        operations: Mapping[str, int],
        post: Post,
        unread: Budget,
        half_sent: HalfSent,
        buffer: bytearray,
        turn: FairTurn,
        table: ConnectionTable[Connection],
        over: Callable[[Connection], None],
    ) -> None:
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, KERNELS_PART)
        self.sock, self.operations, self.post = sock, operations, post
        self.table, self.over, self.turn, self.share = table, over, turn, turn.new_share()
        self.decoder, self.bound = fastcgi.Decoder(buffer), half_sent
        self.outbox = Outbox(sock, UNREAD_ANSWERS, unread)
        self.finishing: set[int] = set()  # requests after whose answer the connection closes
        self.ended = self.spoken = self.served = self.taking = False
        self.leaving = False  # half-closes at the first moment of rest
        self.retiring = False  # the same to make room for others, unless a request of it is served before
        self.deaf = False  # what still comes is never run
        self.looks = self.records = self.retiring_looks = 0
        """How often the sweep has found it without one whole request, or at the same cut record; and how
        often it was retiring and did not rest."""
        self.accepted = self.touched = time.monotonic()
        self.half_closed = Event()
        self.lingering: gevent.Greenlet[..., None] | None = None
        self.outbox.empty.rawlink(self.flushed)
        self.reader = gevent.spawn(self.run)

    # Called by the owner and the sweep: never waits.

    def serial(self, request: int) -> int | None:
        """That of the open request with this id."""
        return self.decoder.open.get(request)

    def send(self, request: int, data: bytes) -> None:
        """Answers the open request with this id. The owner does so through a `Responder`."""
        if self.ended or request not in self.decoder.open:
            return
        self.decoder.close(request)
        self.touch()
        self.write(data)
        if request in self.finishing:
            self.finishing.discard(request)
            self.leaving = True
        self.end_at_rest()

    def note_served(self) -> None:
        """A request of it was served."""
        if self.served:
            return
        self.served = True
        self.table.use(self)
        if self.retiring:
            self.retiring = False
            self.table.keep(self)

    def retire(self) -> None:
        """Ends after its next answer, to make room, unless that is the result of a run.

        One that was found half sent before is read no more.
        """
        self.retiring = True
        self.table.leave_order(self)
        if self.found_half_sent:
            self.stop_reading()
        else:
            self.end_at_rest()

    def touch(self) -> None:
        self.touched = time.monotonic()
        self.table.use(self)

    def write(self, data: bytes) -> None:
        if not self.outbox.put(data):
            counted.warn("sidecar does not read its answers", "connection closed")
            self.abort()
        elif self.outbox.broken:
            self.abort()  # the other side is gone: what is open is told so

    def abort(self) -> None:
        """Closes at once, whatever is unread: for one that does not read its answers, and past all bounds."""
        self.reader.kill(block=False)

    def half_close(self, seconds: float = LAST_READ) -> None:
        """The one orderly end, in the step that found the connection at rest: nothing that comes later is
        run.
        A lingering close: the reader discards what crosses until the other side's end, as a close over unread
        bytes would reset the connection and take along answers that are not delivered yet."""
        self.deaf = True
        self.half_closed.set()
        self.table.leave_order(self)
        self.lingering = gevent.spawn_later(seconds, self.abort)
        with suppress(OSError):  # reset by the other side, which the reader finds too
            self.sock.shutdown(socket.SHUT_WR)

    def leave(self) -> None:
        """Half-closes now or, as it is called again after each answer, at the first moment of rest."""
        self.leaving = True
        self.end_at_rest()

    def flushed(self, _: Event) -> None:
        self.end_at_rest()

    def end_at_rest(self) -> None:
        """The end of one that is to end, if this is a moment of rest."""
        if (self.leaving or self.retiring) and self.at_rest:
            self.half_close()

    def stop_reading(self) -> None:
        """Before the kill: what is unread or half sent crosses the close, what was read is answered first.
        Answers to a slow reader go to the kernel, which delivers them when this process is gone."""
        if self.half_closed.is_set():
            return
        self.deaf = True
        with suppress(OSError):
            self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, UNREAD_ANSWERS + KERNELS_PART)
        for request in list(self.decoder.coming):
            self.decoder.drop(request)
            self.send(request, calls.throttled(request, {}, 0, False))
        self.hold()
        self.leave()

    @property
    def idle(self) -> bool:
        return not self.decoder.open and self.outbox.empty.is_set()

    @property
    def half_sent(self) -> bool:
        return bool(self.decoder.coming) or self.decoder.partial

    @property
    def found_half_sent(self) -> bool:
        """The sweep has found it within a request or a record, and the rest has not come since."""
        cut = self.decoder.partial and self.looks > 0
        return (cut or any(request.looks for request in self.decoder.coming.values())) and not self.unread()

    @property
    def at_rest(self) -> bool:
        """Nothing is owed, and nothing has come that would still be taken."""
        if self.ended or self.half_closed.is_set() or self.taking or not self.idle:
            return False
        return self.deaf or not (self.half_sent or self.unread())

    def unread(self) -> bool:
        """Bytes lie in the kernel that no one has read: closing now would reset the connection."""
        size = fcntl.ioctl(self.sock.fileno(), termios.FIONREAD, b"\0\0\0\0")
        return bool(struct.unpack("i", size)[0])

    def gone(self) -> bool:
        """The other side has reset the connection, or the kernel has given it up. One that closed its sending
        side alone still gets its answers."""
        poll = select.poll()
        poll.register(self.sock.fileno(), 0)  # an error or a hang-up is told in any case
        return bool(poll.poll(0))

    def quiet(self, seconds: float) -> bool:
        return self.idle and time.monotonic() > self.touched + seconds and self.at_rest

    def look(self) -> None:
        """A client that says nothing, or not all, or goes on without end, is given up: silence was borne for
        30 s and more. Counted in looks and not in time, so that what waited in the kernel while this program
        did not run is read first. Requests that never come whole fail alone; a first one that never comes, or
        a record cut short, takes the connection."""
        if self.half_closed.is_set():
            return  # it ends by itself, and not before what crosses is read, which would reset its answers
        if self.gone():
            self.abort()
            return
        for request in list(self.decoder.coming.values()):
            request.looks += 1
            if request.looks > LOOKS:
                self.fail_coming("request half sent", request.id)
        waits = not self.spoken or (self.decoder.partial and self.decoder.records == self.records)
        self.records = self.decoder.records
        self.looks = self.looks + 1 if waits else 0
        self.retiring_looks = self.retiring_looks + 1 if self.retiring else 0
        if self.retiring and (self.retiring_looks > LOOKS or self.found_half_sent):
            self.stop_reading()  # one that always has more to ask never rests
        if self.looks <= LOOKS or not self.idle or self.taking or self.deaf:
            return
        # What is unread is read first, but once only: a flood has always more.
        if self.looks > LOOKS + 1 or not self.unread():
            self.half_close()

    def fail_coming(self, why: str, *some: int) -> None:
        for request in some or list(self.decoder.coming):
            self.decoder.drop(request)
            self.fail(request, why)
        self.hold()

    def give_half_sent_up(self, why: str) -> None:
        """For the one that holds most, where all together hold too much."""
        self.fail_coming(why)

    def hold(self) -> None:
        """Tells the bound of all connections what is held here now."""
        self.bound.hold(self, 0 if self.ended else self.decoder.held)

    def fail(self, request: int, why: str) -> None:
        counted.warn("request answered as errored", why)
        self.send(request, calls.errored(request, {}, 400))

    # The reader.

    def run(self) -> None:
        try:
            self.read()
        except OSError:
            pass  # reset: what is open is told as gone below
        except gevent.GreenletExit:
            pass
        except Exception as bug:
            logger.exception("bug in a connection, which ends: {}", bug)
        finally:
            self.end()

    def read(self) -> None:
        try:
            while True:
                # A read that finds bytes never waits, and gevent runs dozens of turns (`sleep(0)`) before it
                # looks at sockets again: a flood would be read all that time and nobody else.
                wait_read(self.sock.fileno())
                # One at a time from its read to its last word to the owner, whose queue may be full: hundreds
                # would each hold what they had read until there is room. Where it is deaf since it began to
                # wait, what came crossed the close.
                with self.turn.taken(self.share):
                    if self.deaf:
                        break
                    if (
                        self.gone()
                    ):  # the kernel still gives out what came before a reset: nobody waits for it
                        return
                    if self.read_once():
                        break
        except fastcgi.NotFastCGI as wrong:
            counted.warn("bytes that are not FastCGI", str(wrong))
        # Nothing more is read, yet what came whole is still answered: the sidecar may have closed its sending
        # side only.
        self.deaf = True
        self.fail_coming("connection ended within a request")
        self.leave()
        self.half_closed.wait()
        self.discard()

    def read_once(self) -> bool:
        """Whether the other side has ended. Does not wait for bytes, as others wait for their turn."""
        self.sock.settimeout(0.0)
        try:
            size = self.sock.recv_into(self.decoder.space())
        except BlockingIOError:  # woken for nothing
            return False
        finally:
            self.sock.settimeout(None)
        if size:
            self.touch()
            self.take(size)
        return not size

    def discard(self) -> None:
        """What comes after the half-close, to the other side's end; in time it is bounded by `half_close`."""
        left = MOST_DISCARDED
        while left > 0 and (size := self.sock.recv_into(self.decoder.view)):
            left -= size
            wait_read(self.sock.fileno())

    def take(self, size: int) -> None:
        """All of it before the first word to the owner, which may wait: other connections read into the same
        buffer meanwhile."""
        news: list[News] = []
        self.taking, before = True, self.decoder.records
        try:
            for message in self.decoder.took(size):
                news += self.handle(message)
            self.hold()
            kept = sum(-1 if isinstance(item, CallerLeft) else 1 for item in news)
            self.share.charge(self.decoder.records - before, size, max(kept, 0), self.served)
            self.bound.enforce()
        finally:
            for item in news:
                self.post(item)
            self.taking = False
        self.end_at_rest()

    def handle(self, message: fastcgi.Message) -> Iterator[News]:
        if isinstance(message, fastcgi.Request):
            if not message.keep:
                self.finishing.add(message.id)
            try:
                if not message.wrong and not self.spoken:
                    self.spoken = True
                    self.table.use(self)
                responder = Responder(self, message.id, message.serial)
                yield calls.read(message, responder, self.operations)
            except calls.Wrong as wrong:
                self.fail(message.id, str(wrong))
        elif isinstance(message, fastcgi.Aborted):
            # The specification wants its end told; as an answer that is none of the three.
            self.decoder.close(message.id)
            self.write(fastcgi.end(message.id))
            if message.id in self.finishing:
                self.finishing.discard(message.id)
                self.leaving = True
            yield CallerLeft(Responder(self, message.id, message.serial), message.id)
        else:
            self.write(message.data)
            self.leaving = self.leaving or message.close

    def end(self) -> None:
        if self.ended:
            return
        self.ended = True
        for request, serial in list(self.decoder.open.items()):
            if request not in self.decoder.coming:
                self.post(CallerLeft(Responder(self, request, serial), request))
        if self.lingering is not None:
            self.lingering.kill(block=False)
        self.outbox.empty.unlink(self.flushed)
        self.outbox.close()
        self.hold()
        self.sock.close()
        self.over(self)
