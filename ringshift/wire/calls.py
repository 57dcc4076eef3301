"""The protocol's own names: CGI parameters of a request, status and fields of an answer."""

from __future__ import annotations

import math
import re
from collections.abc import Mapping
from hashlib import blake2b
from urllib.parse import parse_qs

from ringshift.machine import MOST, NS_PER_MS, ns
from ringshift.wire import fastcgi
from ringshift.wire.news import Called, Checked, Door

CALL, CHECK = "/call/", "/ping"
SUCCEEDED, THROTTLED, ERRORED = 200, 429, 500
MOST_KB = 2000.0
LONGEST_KEY = 128  # characters of an idempotency key
LONGEST_ITEM = 64  # characters of an item that is kept as it was told
PLAIN_NUMBER = re.compile(r"-?[0-9]+(\.[0-9]+)?([eE][+-]?[0-9]+)?").fullmatch
Fields = Mapping[str, str]


class Wrong(Exception):
    """The request can't be taken; the text names the field."""


def number(params: Fields, name: str, least: float = -math.inf, below: float = math.inf) -> float:
    told = params.get(name)
    if told is None:
        raise Wrong(f"{name} missing")
    if not PLAIN_NUMBER(told):  # float takes more than the protocol has: spaces, underscores, words
        raise Wrong(f"{name} is no number")
    value = float(told)
    if not (math.isfinite(value) and least <= value < below):
        raise Wrong(f"{name} out of its range")
    return value


def read(request: fastcgi.Request, door: Door, operations: Mapping[str, int]) -> Called | Checked:
    params = request.params or {}
    path = params.get("SCRIPT_NAME", "")
    if request.wrong:
        raise Wrong(request.wrong)
    if path == CHECK:
        query = parse_qs(params.get("QUERY_STRING", ""))
        return Checked(door, request.id, query.get("all", ["0"])[-1] == "1")
    if not path.startswith(CALL):
        raise Wrong("SCRIPT_NAME unknown")
    if params.get("REQUEST_METHOD") != "POST":
        raise Wrong("REQUEST_METHOD is not POST")
    operation = operations.get(path[len(CALL) :])
    if operation is None:
        raise Wrong("operation unknown")
    job = params.get("HTTP_X_JOB_ID", "")
    if len(job) != 16 or not set(job) <= set("0123456789abcdefABCDEF"):
        raise Wrong("HTTP_X_JOB_ID is not 16 hex digits")
    size = params.get("CONTENT_LENGTH", "")
    if size and size != str(len(request.body)):
        raise Wrong("CONTENT_LENGTH is not the length of the body")
    allow = number(params, "HTTP_X_ALLOW_MS", 0.0, MOST) if "HTTP_X_ALLOW_MS" in params else None
    return Called(
        door=door,
        request=request.id,
        job=job,
        operation=operation,
        body=request.body,
        item=item(params),
        came=round(number(params, "HTTP_X_DOOR_TIME", 0.0, MOST) * NS_PER_MS),
        allow=None if allow is None else ns(allow),
        kb=number(params, "HTTP_X_RAM_KB", 1e-9, MOST_KB),
        rank=number(params, "HTTP_X_PRECEDENCE", 0.0, 1.0),
        caller=int(number(params, "HTTP_X_SENDER", 0.0, 2.0**53)),
        sent=sent(params) if "HTTP_X_SENT_TIME" in params else None,
        key=idempotency_key(params),
    )


def item(params: Fields) -> str:
    """What a read is about, empty where that is not told; a long one by its digest, as tables of items are
    bounded by their number."""
    told = params.get("HTTP_X_ITEM", "")
    if len(told) <= LONGEST_ITEM:
        return told
    return blake2b(told.encode("latin-1"), digest_size=LONGEST_ITEM // 2).hexdigest()


def idempotency_key(params: Fields) -> str:
    """The key that all tries of one invocation share, empty where none is told."""
    key = params.get("HTTP_X_UNIQUE", "")
    if len(key) > LONGEST_KEY:
        raise Wrong(f"HTTP_X_UNIQUE longer than {LONGEST_KEY} characters")
    return key


def sent(params: Fields) -> int:
    """Beyond the protocol: a sender may tell its own clock too. The door time is the machine's."""
    return round(number(params, "HTTP_X_SENT_TIME", 0.0, MOST) * NS_PER_MS)


def advice(amount: float | None) -> dict[str, str]:
    return {} if amount is None else {"X-Advice": f"{amount:.6f}"}


def succeeded(request: int, fields: Fields, result: bytes) -> bytes:
    return fastcgi.reply(request, SUCCEEDED, fields, result)


def throttled(request: int, fields: Fields, pause: int, give_up: bool) -> bytes:
    """Promises that this try never ran."""
    more = dict(fields)
    if pause > 0:
        more["X-Wait-Ms"] = str(-(-pause // NS_PER_MS))
    if give_up:
        more["X-Terminal"] = "1"
    return fastcgi.reply(request, THROTTLED, more)


def errored(request: int, fields: Fields, status: int = ERRORED) -> bytes:
    """Promises nothing, so it never has a status that does."""
    return fastcgi.reply(request, status, fields)


def checked(request: int, fields: Fields, good: bool) -> bytes:
    return fastcgi.reply(request, SUCCEEDED if good else 503, fields)
