"""The simulator's names, units and shapes against ours; its settings are read in machine.py."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from typing import Any, Protocol

import orjson

from ringshift import interface as face
from ringshift.benchlink.ids import Ids
from ringshift.machine import NS_PER_MS, Malformed, choice, maybe, need, ns


class HasInv(Protocol):
    inv: int


def ms(span: int) -> float:
    return span / NS_PER_MS


OUTCOMES = {
    "S": face.Outcome.SUCCEEDED,
    "E": face.Outcome.ERRORED,
    "F": face.Outcome.REJECTED,
    "T": face.Outcome.TIMED_OUT,
    "C": face.Outcome.UNREACHABLE,
    "R": face.Outcome.BROKEN,
    "X": face.Outcome.STOPPED,
    "N": face.Outcome.MOOT,
}


def read_batch(line: bytes) -> tuple[int, list[tuple[str, int, dict[str, Any]]]]:
    try:
        batch = orjson.loads(line)
    except orjson.JSONDecodeError as broken:
        raise Malformed(f"batch: not JSON: {broken}") from None
    if not isinstance(batch, dict):
        raise Malformed("batch: expected an object")
    now = ns(need(batch, "moment", "batch", float))
    events = []
    for message in need(batch, "input", "batch", list):
        if not isinstance(message, dict) or len(message) != 1:
            raise Malformed("batch: input: each message must be an object with one key")
        ((name, fields),) = message.items()
        if name not in READERS and name not in ("Create", "Stop"):
            raise Malformed(f"{name}: unknown message")
        if not isinstance(fields, dict):
            raise Malformed(f"{name}: expected an object")
        events.append((name, need(fields, "who", name, int), fields))
    return now, events


def write_reply(output: list[dict[str, Any]]) -> bytes:
    return orjson.dumps({"output": output}) + b"\n"


def read_arrived(
    fields: Mapping[str, Any], ids: Ids, operations: Mapping[str, int], customers: Mapping[str, int]
) -> face.Input:
    name = "NewRequest"
    operation = choice(operations, need(fields, "priority", name, str), f"{name}: priority")
    project = fields.get("project")
    left = fields.get("left")
    original = fields.get("original")
    return face.Arrived(
        inv=ids.new(need(fields, "job", name, str)),
        operation=operation,
        customer=choice(customers, project, f"{name}: project") if project else -1,
        patience=ns(need(fields, "left", name, float)) if left else None,
        cost=maybe(fields, "cost", name, float, 0.0),
        kb=need(fields, "kb", name, float),
        rank=maybe(fields, "precedence", name, float, 0.0),
        keyed_read=bool(fields.get("resource") is not None and not fields.get("write")),
        caller=maybe(fields, "src", name, int, 0),
        unread=ns(maybe(fields, "lay", name, float, 0.0)),
        repeats=ids.by_id.get(original, -1) if original else None,
    )


Maker = Callable[[int, Mapping[str, Any]], face.Input]


def read_by_id(name: str, make: Maker) -> Callable[..., face.Input | None]:
    def read(fields: Mapping[str, Any], ids: Ids, *_: Any) -> face.Input | None:
        index = ids.by_id.get(need(fields, "job", name, str))
        return None if index is None else make(index, fields)

    return read


READERS: dict[str, Callable[..., face.Input | None]] = {
    "NewRequest": read_arrived,
    "Finished": read_by_id(
        "Finished",
        lambda inv, f: face.Finished(
            inv,
            choice(OUTCOMES, need(f, "ending", "Finished", str), "Finished: ending"),
            ns(need(f, "latency", "Finished", float)),
        ),
    ),
    "Hangup": read_by_id("Hangup", lambda inv, f: face.CallerGone(inv)),
    "WantsCall": read_by_id("WantsCall", lambda inv, f: face.CallWanted(inv)),
    "CallEnded": read_by_id(
        "CallEnded",
        lambda inv, f: face.CallEnded(
            inv,
            choice(OUTCOMES, need(f, "ending", "CallEnded", str), "CallEnded: ending"),
            ns(need(f, "latency", "CallEnded", float)),
        ),
    ),
    "WindDown": lambda f, *_: face.Leaving(ns(need(f, "left", "WindDown", float))),
    "TickDue": lambda f, *_: face.TimerFired(
        need(f, "name", "TickDue", int), maybe(f, "stats", "TickDue", list, [])
    ),
}


def read_input(
    name: str,
    fields: Mapping[str, Any],
    ids: Ids,
    operations: Mapping[str, int],
    customers: Mapping[str, int],
) -> face.Input | None:
    return READERS[name](fields, ids, operations, customers)


WRITERS: dict[type, tuple[str, Callable[[Any], dict[str, Any]]]] = {
    face.Start: ("Process", lambda a: {}),
    face.Halted: ("AbortWork", lambda a: {}),
    face.Throttle: ("TurnAway", lambda a: {"pause": ms(a.pause), "give_up": a.give_up}),
    face.Fail: ("Fail", lambda a: {}),
    face.PlaceCall: ("CallDep", lambda a: {"expire_at": ms(a.expires_at)}),
    face.SkipCall: ("DoWithout", lambda a: {}),
    face.Remember: ("Memo", lambda a: {"ttl": ms(a.ttl)}),
    face.Forget: ("Forget", lambda a: {}),
    face.Reuse: ("Reuse", lambda a: {}),
    face.Readiness: ("Status", lambda a: {"enable": a.good, "light": a.stored}),
    face.Advertise: ("Publish", lambda a: {"amount": a.amount}),
    face.CloseIdle: ("IdleLimit", lambda a: {"ttl": ms(a.after)}),
    face.Wake: ("Sleep", lambda a: {"name": a.name, "sleep_for": ms(a.after)}),
    face.Log: ("WriteLog", lambda a: {"reason_text": a.text}),
}


def write_action(who: int, action: face.Action, jobs: Mapping[int, str]) -> dict[str, Any]:
    name, rest = WRITERS[type(action)]
    fields: dict[str, Any] = {"who": who}
    inv = getattr(action, "inv", None)
    if inv is not None:
        fields["job"] = jobs[inv]
    fields.update(rest(action))
    return {name: fields}
