"""A fleet-wide budget's asks and ledger at the keeper: what ringshift/fleet/budget.py decides, as etcd v3
calls.

Under `/ringshift/budgets/NAME/` lie `asks/BACKEND`, one key a backend, and `ledger`. A backend's refresh is
one transaction: its ask put, the ledger read. The divider reads all of it in one range, and writes the ledger
in a transaction that holds only while the lease's key is at the divider's token and the ledger as it was
read: so the keeper itself is the fence, and a divider that was stalled writes nothing. Blocking calls, for
threads.
"""

from __future__ import annotations

import base64
import time
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Any

import orjson

from ringshift.fleet.budget import Ask, Grant, Ledger
from ringshift.wire.keeper import KeeperLink, b64

MOST_DELETED = 100  # keys in one transaction: etcd takes 128 operations
MOST_NAME = 200  # characters of a backend's name in an ask


def write_ask(ask: Ask) -> bytes:
    return orjson.dumps([ask.n, ask.want, ask.use, ask.round, ask.weight, ask.leaving])


def read_ask(backend: str, data: bytes) -> Ask | None:
    """None for what is no ask: whoever wrote it stays at its safe share."""
    try:
        n, want, use, number, weight, leaving = orjson.loads(data)
        if len(backend) > MOST_NAME or not (isinstance(n, int) and isinstance(number, int)):
            return None
        return Ask(backend, n, float(want), float(use), number, float(weight), bool(leaving))
    except (ValueError, TypeError):
        return None


def write_ledger(ledger: Ledger, at: float = 0.0) -> bytes:
    """`at`: Unix seconds, for those who look; 0 for not known. Older texts pass over it and `left`."""
    rows = {name: [grant.n, grant.extra, grant.held] for name, grant in ledger.rows.items()}
    return orjson.dumps(
        {
            "round": ledger.round,
            "whole": ledger.whole,
            "life": ledger.life,
            "rows": rows,
            "left": ledger.left,
            "at": at,
        }
    )


def read_ledger(data: bytes) -> Ledger:
    """Raises ValueError: a ledger that can't be read is never taken for an empty one."""
    try:
        told = orjson.loads(data)
        rows = {
            str(name): Grant(int(n), float(extra), float(held))
            for name, (n, extra, held) in told["rows"].items()
        }
        left = {str(name): int(span) for name, span in told.get("left", {}).items()}
        return Ledger(int(told["round"]), float(told["whole"]), rows, int(told["life"]), left)
    except (KeyError, TypeError, AttributeError) as wrong:
        raise ValueError(f"ledger: {wrong!r}") from None


def written_at(data: bytes) -> float:
    """Unix seconds at which a ledger was written, by its divider's clock; 0 where it does not say."""
    at = orjson.loads(data).get("at", 0.0)
    return float(at) if isinstance(at, int | float) else 0.0


@dataclass(frozen=True)
class Held:
    """All that the keeper has of one budget, read at one revision."""

    asks: list[Ask]
    ledger: Ledger | None
    revision: int
    """At which the ledger was last written, 0 where there is none."""
    at: float = 0.0
    """When, in Unix seconds by its divider's clock; 0 for not known."""


class BudgetLink(KeeperLink):
    """Raises whatever the client raises where the keeper does not answer, ValueError where it answers
    oddly."""

    @staticmethod
    def prefix(name: str) -> str:
        return f"/ringshift/budgets/{name}/"

    def ask(self, name: str, ask: Ask) -> Ledger | None:
        """The ask put, the ledger as it is then."""
        key, ledger = f"{self.prefix(name)}asks/{ask.backend}", f"{self.prefix(name)}ledger"
        answer = self.call(
            "/kv/txn",
            {
                "compare": [],
                "failure": [],
                "success": [
                    {"request_put": {"key": b64(key.encode()), "value": b64(write_ask(ask))}},
                    {"request_range": {"key": b64(ledger.encode())}},
                ],
            },
        )
        found = answer["responses"][1]["response_range"].get("kvs", [])
        return read_ledger(base64.b64decode(found[0]["value"])) if found else None

    def read(self, name: str) -> Held:
        prefix = self.prefix(name)
        end = prefix[:-1] + chr(ord(prefix[-1]) + 1)
        body = {"key": b64(prefix.encode()), "range_end": b64(end.encode())}
        asks, ledger, revision, at = list[Ask](), None, 0, 0.0
        for kv in self.call("/kv/range", body).get("kvs", []):
            key, value = base64.b64decode(kv["key"]).decode(), base64.b64decode(kv.get("value", ""))
            place = key.removeprefix(prefix)
            if place == "ledger":
                ledger, revision, at = read_ledger(value), int(kv["mod_revision"]), written_at(value)
            elif place.startswith("asks/") and (ask := read_ask(place.removeprefix("asks/"), value)):
                asks.append(ask)
        return Held(asks, ledger, revision, at)

    def divider(self, name: str) -> str:
        """Who holds the lease of this budget's divider, as its key has it, the name first; empty: nobody."""
        key = f"/ringshift/tasks/budget-{name}".encode()
        found = self.call("/kv/range", {"key": b64(key)}).get("kvs", [])
        return base64.b64decode(found[0].get("value", "")).decode(errors="replace") if found else ""

    def write(
        self, name: str, task_key: bytes, token: int, revision: int, ledger: Ledger, gone: Iterable[str]
    ) -> int:
        """The revision at which the ledger was written, 0 where the lease or the ledger is another's by
        now."""
        prefix = self.prefix(name)
        key = b64(f"{prefix}ledger".encode())
        data = b64(write_ledger(ledger, time.time()))
        writes: list[dict[str, Any]] = [{"request_put": {"key": key, "value": data}}]
        for backend in list(gone)[:MOST_DELETED]:
            writes.append({"request_delete_range": {"key": b64(f"{prefix}asks/{backend}".encode())}})
        answer = self.call(
            "/kv/txn",
            {
                "compare": [
                    {
                        "key": b64(task_key),
                        "result": "EQUAL",
                        "target": "CREATE",
                        "create_revision": str(token),
                    },
                    {"key": key, "result": "EQUAL", "target": "MOD", "mod_revision": str(revision)},
                ],
                "success": writes,
                "failure": [],
            },
        )
        return int(answer["header"]["revision"]) if answer.get("succeeded") else 0
