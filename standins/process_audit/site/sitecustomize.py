"""Loaded by PYTHONPATH into a backend under measurement: on SIGUSR2 it writes what its structures hold.

The file named by RINGSHIFT_CENSUS gets one JSON object: resident memory now, the program's objects by type,
and what the containers (dict, list, set, deque, bytearray) held by its objects hold, summed by the attribute
that holds them. It says `audit written` on standard error when done.
Signal and file are the measurement's, not the backend's, which has neither.
"""

from __future__ import annotations

import gc
import json
import os
import signal
import sys
from collections import Counter, deque
from typing import Any

SIZED = (dict, list, set, deque, bytearray)
MOST = 15


def attributes(owner: object) -> list[tuple[str, object]]:
    found = list(getattr(owner, "__dict__", {}).items())
    for kind in type(owner).__mro__:
        slots = kind.__dict__.get("__slots__", ())
        found += [(name, getattr(owner, name, None)) for name in (slots,) if isinstance(slots, str)]
        found += [(name, getattr(owner, name, None)) for name in slots if not isinstance(slots, str)]
    return found


def ours(thing: object) -> bool:
    """Whether an object's class is the program's. Some classes' `__module__` is a descriptor, not a name."""
    module = type(thing).__dict__.get("__module__", "")
    return isinstance(module, str) and module.startswith("ringshift")


def audit(*_: Any) -> None:
    """Writes the audit or, if it fails, why: a handler that raises would raise inside the backend."""
    try:
        told = count()
    except Exception as error:  # noqa: BLE001  the measurement must not end what it measures
        told = {"error": repr(error)}
    with open(os.environ["RINGSHIFT_CENSUS"], "w") as out:
        json.dump(told, out)
    sys.stderr.write("audit written\n")  # the measurer waits for this line, not for the file
    sys.stderr.flush()


def count() -> dict[str, Any]:
    """Each container that an object of the program holds, summed by `Class.attribute` over all of them."""
    objects = gc.get_objects()
    kinds = Counter(type(o).__qualname__ for o in objects if ours(o))
    held: dict[str, list[int]] = {}
    for owner in objects:
        if not ours(owner) or isinstance(owner, type):
            continue
        for name, value in attributes(owner):
            if isinstance(value, SIZED):
                entry = held.setdefault(f"{type(owner).__qualname__}.{name}", [0, 0, 0])
                entry[0] += 1
                entry[1] += len(value)
                entry[2] = max(entry[2], len(value))
    largest = sorted(held.items(), key=lambda item: item[1][1], reverse=True)[:MOST]
    with open(f"/proc/{os.getpid()}/status") as status:
        rss = next(int(line.split()[1]) for line in status if line.startswith("VmRSS"))
    return {
        "rss_kb": rss,
        "objects": len(objects),
        "kinds": kinds.most_common(MOST),
        "largest": [
            {"held_by": name, "holders": n, "length": total, "most": most}
            for name, (n, total, most) in largest
        ],
    }


if os.environ.get("RINGSHIFT_CENSUS"):
    signal.signal(signal.SIGUSR2, audit)
