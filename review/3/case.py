"""One backend under its memory limit while messages that never end come from hundreds of clients.

Stand-ins: the platform (kills a backend that is over its memory limit), the render farm agent, one usual
sidecar, and the clients of `endless_clients.py`. With TROUBLE=0 these clients are left out.
"""

from __future__ import annotations

import asyncio
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
from common import TROUBLE, Backend, answer, call, new_job, play

HERE = Path(__file__).resolve().parent
SECONDS = 60.0
CLIENTS, PROCESSES = 200, 2
PIECE = 2  # bytes of a record
MEMORY_MB, SOCKETS = 64, 512
USUAL_EVERY = 0.1  # seconds between two calls of the usual sidecar


async def usual(backend: Backend, ends: dict[str, int]) -> None:
    while True:
        try:
            reader, writer = await asyncio.open_connection(*backend.address)
            while True:
                job = new_job()
                backend.agent.known[job] = b"body"
                writer.write(call(1, "tank-lookup", job, "9300", 4))
                ends["sent"] += 1
                backend.record.note(f"{job} sent by the usual sidecar")
                status = str((await answer(reader))[1])
                ends[status] = ends.get(status, 0) + 1
                backend.record.note(f"{job} answered {status}")
                await asyncio.sleep(USUAL_EVERY)
        except (OSError, EOFError):
            ends["connection ended"] = ends.get("connection ended", 0) + 1
            await asyncio.sleep(0.2)


async def case(backend: Backend) -> bool:
    ends, told = {"sent": 0}, backend.record
    sidecar = asyncio.create_task(usual(backend, ends))
    await asyncio.sleep(2)
    told.say(f"serving, memory {backend.memory_mb():.1f} MB; usual sidecar {ends}")
    if TROUBLE:
        told.say(f"{CLIENTS} clients begin messages that never end, in records of {PIECE} bytes")
        for _ in range(PROCESSES):
            words = str(CLIENTS // PROCESSES), str(SECONDS), str(PIECE)
            await backend.start(HERE / "endless_clients.py", *words)
    until, tell_at, broken = time.monotonic() + SECONDS, 0.0, False
    while time.monotonic() < until and not broken:
        await asyncio.sleep(0.25)
        if backend.process.returncode is not None:
            told.say(f"the backend ended with {backend.process.returncode}")
            broken = True
            break
        held = backend.memory_mb()
        if time.monotonic() >= tell_at:
            tell_at = time.monotonic() + 2
            told.say(f"memory {held:.1f} MB, usual sidecar {ends}")
        if held > MEMORY_MB:
            told.say(f"memory {held:.1f} MB is over the limit of {MEMORY_MB} MB: killed")
            backend.process.kill()
            await backend.process.wait()
            broken = True
    sidecar.cancel()
    told.say(f"agent: {len(backend.agent.ran)} run; usual sidecar {ends}")
    return broken


if __name__ == "__main__":
    sys.exit(play(HERE, MEMORY_MB, SOCKETS, case))
