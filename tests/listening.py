"""A listening socket with its connections and no program behind it: what comes is noted."""

from __future__ import annotations

from collections.abc import Iterator
from contextlib import contextmanager

import gevent

from ringshift.runtime.bounds import MIB, bounds
from ringshift.wire import sidecars
from ringshift.wire.connection import Post
from ringshift.wire.news import News

Here = tuple[sidecars.Sidecars, list[News]]


@contextmanager
def listening(post: Post | None = None) -> Iterator[Here]:
    """The listener and what it posted; with `post`, that gets it instead of the list."""
    heard: list[News] = []
    door = sidecars.Sidecars(("127.0.0.1", 0), {"look": 0}, post or heard.append, bounds(192 * MIB, 1024))
    try:
        yield door, heard
    finally:
        gevent.killall([door.accepting, door.sweeping, *(one.reader for one in door.connections)])
        door.sock.close()
