"""A bad client uses one number for several requests; the backend must stay up and answer the others."""

from __future__ import annotations

import asyncio
import contextlib
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from common_2 import ABORT, TROUBLE, Sidecar, World, call_fields, good, main, record, settings, whole

SECONDS = 15.0
EVERY = 0.05
"""Seconds between two requests of the sound sidecars together: 20 a second."""
NUMBERS = range(1, 9)
"""Used by the bad client, under half of the 32 that a connection may have open."""


def bad(world: World, number: int, job: str) -> bytes:
    """A whole request that no sidecar sent: a new id, or the id of an open request with another body."""
    fields = call_fields(
        job or f"{world.random.getrandbits(64):016x}", "tank-lookup", 9, 3000, int(time.time() * 1000)
    )
    return whole(number, fields, b"another body")


async def bad_client(world: World, until: float) -> None:
    """Under each number the id of an open request with another body, taken back at once, and a request with
    an unknown id; then one more under the same number. It reads what is sent to it and comes again if its
    connection ends."""
    while world.alive() and time.monotonic() < until:
        with contextlib.suppress(OSError):
            reader, writer = await asyncio.open_connection(*world.address)
            reading = asyncio.ensure_future(discard(reader))
            while not reading.done() and time.monotonic() < until:
                job = next((call.job for call in world.calls.values() if call.runs and not call.over), "")
                first = [bad(world, n, job) + record(ABORT, n) + bad(world, n, "") for n in NUMBERS]
                writer.write(b"".join(first))
                await asyncio.sleep(0.002)
                writer.write(b"".join(bad(world, n, "") for n in NUMBERS))
                world.record.write(f"bad client: {len(first)} times three requests under one number")
                await asyncio.sleep(0.02)
            writer.close()
        await asyncio.sleep(0.1)


async def discard(reader: asyncio.StreamReader) -> None:
    with contextlib.suppress(OSError):
        while await reader.read(65536):
            pass


async def play(world: World) -> None:
    sidecars = [Sidecar(world, number) for number in range(3)]
    until = time.monotonic() + SECONDS
    clients = [asyncio.ensure_future(bad_client(world, until - 2))] if TROUBLE else []
    asking = []
    while time.monotonic() < until and world.alive():
        asking.append(asyncio.ensure_future(sidecars[len(asking) % 3].ask(world.call())))
        await asyncio.sleep(EVERY)
    await asyncio.gather(*asking, *clients)


main(World(Path(__file__).parent, settings(), good(0.15)), play)
