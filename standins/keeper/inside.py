"""The keeper's gateway without a process: a client's call to a store here, by way of the bytes of its bodies.

For runs in emulated time and for measurements: what is counted is what HTTP would carry, without its headers.
"""

from __future__ import annotations

from typing import Any

import orjson

from standins.keeper.server import decoded, encoded
from standins.keeper.store import Store


def asked(store: Store, path: str, body: dict[str, Any], now: int = 0) -> tuple[dict[str, Any], int, int]:
    """The answer, the bytes sent and those that came back. `now`: ns of the store's clock. Raises
    KeeperError, and ValueError for a call that is not played here."""
    sent = orjson.dumps(body)
    told = decoded(orjson.loads(sent))
    answer: dict[str, Any]
    if path == "/kv/txn":
        held, answers = store.txn(now, told["compare"], told["success"], told["failure"])
        answer = {"succeeded": held, "responses": answers}
    elif path == "/kv/range":
        answer = store.ranged(now, told)
    elif path == "/kv/put":
        store.put(now, told["key"], told.get("value", b""), told.get("lease", 0))
        answer = {}
    elif path == "/kv/deleterange":
        answer = {"deleted": store.delete(now, told["key"], told.get("range_end", b""))}
    else:
        raise ValueError(f"{path}: not a call that is played here")
    back = orjson.dumps(encoded({"header": {"revision": store.revision}, **answer}))
    return dict(orjson.loads(back)), len(sent), len(back)
