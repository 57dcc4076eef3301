"""One backend under its memory limit while bad clients tell a figure that is out of any range.

Stand-ins: the platform (kills a backend that is over its memory limit), the render farm agent, one usual
sidecar, and bad clients (`bad_client.py`). With TROUBLE=0 the same clients send the same with a figure within
the range.
"""

from __future__ import annotations

import asyncio
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
from common import TROUBLE, Backend, answer, call, new_job, play

HERE = Path(__file__).resolve().parent
SECONDS = 100.0  # of the bad clients' sending
CLIENTS = 3
MEMORY_MB, SOCKETS = 48, 512
OUT_OF_RANGE, IN_RANGE = "1e300", "9300"
USUAL_EVERY = 0.1  # seconds between two calls of the usual sidecar


async def usual(backend: Backend, ends: dict[str, int]) -> None:
    """The usual sidecar: one call after another, each with its answer."""
    while True:
        try:
            reader, writer = await asyncio.open_connection(*backend.address)
            while True:
                job = new_job()
                backend.agent.known[job] = b"body"
                writer.write(call(1, "tank-lookup", job, IN_RANGE, 4))
                ends["sent"] += 1
                backend.record.note(f"{job} sent by the usual sidecar")
                status = str((await answer(reader))[1])
                ends[status] = ends.get(status, 0) + 1
                backend.record.note(f"{job} answered {status}")
                await asyncio.sleep(USUAL_EVERY)
        except (OSError, EOFError):
            ends["connection ended"] = ends.get("connection ended", 0) + 1
            await asyncio.sleep(0.2)


async def watch(backend: Backend, ends: dict[str, int]) -> bool:
    """The platform: kills a backend that goes over its limit. Whether it did, or the backend ended itself."""
    until, tell_at = time.monotonic() + SECONDS, 0.0
    while time.monotonic() < until:
        await asyncio.sleep(0.25)
        if backend.process.returncode is not None:
            backend.record.say(f"the backend ended with {backend.process.returncode}")
            return True
        held = backend.memory_mb()
        if time.monotonic() >= tell_at:
            tell_at = time.monotonic() + 5
            refused = backend.agent.refused
            backend.record.say(f"memory {held:.1f} MB, launches refused {refused}, usual sidecar {ends}")
        if held > MEMORY_MB:
            backend.record.say(f"memory {held:.1f} MB is over the limit of {MEMORY_MB} MB: killed")
            backend.process.kill()
            await backend.process.wait()
            return True
    return False


async def case(backend: Backend) -> bool:
    ends = {"sent": 0}
    sidecar = asyncio.create_task(usual(backend, ends))
    await asyncio.sleep(2)
    backend.record.say(f"serving, memory {backend.memory_mb():.1f} MB; usual sidecar {ends}")
    allow = OUT_OF_RANGE if TROUBLE else IN_RANGE
    backend.record.say(f"{CLIENTS} bad clients begin: ids unknown to the agent, X-Allow-Ms: {allow}")
    script = HERE / "bad_client.py"
    clients = [await backend.start(script, allow, str(SECONDS)) for _ in range(CLIENTS)]
    broken = await watch(backend, ends)
    if not broken:
        for client in clients:
            backend.record.say(f"bad client: {(await client.communicate())[0].decode().strip()}")
    sidecar.cancel()
    agent = backend.agent
    backend.record.say(f"agent: {len(agent.ran)} run, {agent.refused} launches refused; usual sidecar {ends}")
    return broken


if __name__ == "__main__":
    sys.exit(play(HERE, MEMORY_MB, SOCKETS, case))
