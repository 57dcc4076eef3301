"""Clients whose messages never end, in small pieces.

Each begins four requests on its connection, as FastCGI allows, and sends the parameters of each in records
of some bytes without ever ending one; it reads what is sent to it, and comes again once its connection ends.
Told on the command line: host, port, how many, for how many seconds, and the bytes of a record.
"""

from __future__ import annotations

import asyncio
import sys
import time
from contextlib import suppress
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
from common import PARAMS, begin, record

REQUESTS = 4
BYTES = 8000  # of the parameters of one request
LONGEST = 10.0  # seconds without an end of the connection, after which a client closes by itself


async def read_all(reader: asyncio.StreamReader) -> None:
    with suppress(OSError):
        while await reader.read(65536):
            pass


async def endless(address: tuple[str, int], data: bytes, until: float) -> int:
    """How many times it came."""
    times = 0
    while time.monotonic() < until:
        try:
            reader, writer = await asyncio.open_connection(*address)
            times += 1
            reading = asyncio.create_task(read_all(reader))
            with suppress(OSError, TimeoutError):
                writer.write(data)
                await asyncio.wait_for(writer.drain(), LONGEST)
                await asyncio.wait_for(reading, LONGEST)
            reading.cancel()
            writer.close()
        except OSError:
            await asyncio.sleep(0.05)
    return times


async def main() -> None:
    address, many, seconds = (sys.argv[1], int(sys.argv[2])), int(sys.argv[3]), float(sys.argv[4])
    size = int(sys.argv[5])
    one = b"".join(
        begin(number) + record(PARAMS, number, b"\0" * size) * (BYTES // size)
        for number in range(1, REQUESTS + 1)
    )
    until = time.monotonic() + seconds
    times = await asyncio.gather(*(endless(address, one, until) for _ in range(many)))
    print(f"{sum(times)} connections")


if __name__ == "__main__":
    asyncio.run(main())
