"""The wire's names, units and shapes against ours: the one set of translation tables."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from typing import TYPE_CHECKING, Any, Protocol

import orjson

from ringshift import interface as face

if TYPE_CHECKING:
    from ringshift.benchlink.hosts import Ids

NS_PER_MS = 1_000_000


class Malformed(Exception):
    """The wire broke its own rules; the text names the message and the field."""


class HasInv(Protocol):
    inv: int


def ns(ms: float) -> int:
    return round(ms * NS_PER_MS)


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
EFFECTS = {
    "safe": face.Effect.IDEMPOTENT,
    "keyed": face.Effect.TOKENED,
    "unsafe": face.Effect.NON_IDEMPOTENT,
}
HALTS = {"none": face.Halt.NONE, "drop": face.Halt.DROP, "pause": face.Halt.PAUSE}
ADVERTS = {
    "none": face.Advert.NONE,
    "min_rank": face.Advert.LEVEL,
    "tokens": face.Advert.CREDIT,
    "bias": face.Advert.WEIGHT,
}
BELOWS = {"none": face.Below.NONE, "common": face.Below.SHARED, "next_hop": face.Below.NEXT_TIER}

KINDS: dict[type, str] = {
    int: "a whole number", float: "a number", str: "text", dict: "an object", list: "an array",
}  # fmt: skip


def need(fields: Mapping[str, Any], key: str, message: str, kind: type) -> Any:
    value = fields.get(key)
    if value is None:
        raise Malformed(f"{message}: {key}: missing")
    accepted = (int, float) if kind is float else kind
    if not isinstance(value, accepted) or (isinstance(value, bool) and kind is not bool):
        raise Malformed(f"{message}: {key}: expected {KINDS.get(kind, kind.__name__)}")
    return value


def maybe(fields: Mapping[str, Any], key: str, message: str, kind: type, default: Any) -> Any:
    return default if fields.get(key) is None else need(fields, key, message, kind)


def choice(table: Mapping[str, Any], value: str, where: str) -> Any:
    if value not in table:
        raise Malformed(f"{where}: unknown value {value!r}")
    return table[value]


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


def read_arrived(fields: Mapping[str, Any], ids: Ids, operations: Mapping[str, int],
                 customers: Mapping[str, int]) -> face.Input:  # fmt: skip
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
    "Finished": read_by_id("Finished", lambda inv, f: face.Finished(
        inv, choice(OUTCOMES, need(f, "ending", "Finished", str), "Finished: ending"),
        ns(need(f, "latency", "Finished", float)))),
    "Hangup": read_by_id("Hangup", lambda inv, f: face.CallerGone(inv)),
    "WantsCall": read_by_id("WantsCall", lambda inv, f: face.CallWanted(inv)),
    "CallEnded": read_by_id("CallEnded", lambda inv, f: face.CallEnded(
        inv, choice(OUTCOMES, need(f, "ending", "CallEnded", str), "CallEnded: ending"),
        ns(need(f, "latency", "CallEnded", float)))),
    "WindDown": lambda f, *_: face.Leaving(ns(need(f, "left", "WindDown", float))),
    "TickDue": lambda f, *_: face.TimerFired(
        need(f, "name", "TickDue", int), maybe(f, "stats", "TickDue", list, [])),
}  # fmt: skip


def read_input(name: str, fields: Mapping[str, Any], ids: Ids, operations: Mapping[str, int],
               customers: Mapping[str, int]) -> face.Input | None:  # fmt: skip
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


def read_operation(row: Mapping[str, Any], index: int, extra: Mapping[str, Any]) -> face.Operation:
    where = "env: classes"
    calls = maybe(extra, "calls_by_class", "env: extra", list, [])
    skips = maybe(extra, "degraded_worth", "env: extra", list, [])
    return face.Operation(
        name=need(row, "name", where, str),
        effect=choice(EFFECTS, need(row, "effect", where, str), f"{where}: effect"),
        objective=ns(need(row, "aim", where, float)),
        objective_stretch=maybe(row, "aim_stretch", where, float, 0.0),
        client_timeout=ns(need(row, "hard_limit", where, float)),
        billed_value=maybe(row, "value", where, float, 1.0),
        late_share=maybe(row, "late_worth", where, float, 0.0),
        window=ns(maybe(row, "window", where, float, 0.0)),
        calls=index < len(calls) and bool(calls[index]),
        degraded_share=float(skips[index]) if index < len(skips) else 0.0,
    )


def read_machine(env: Mapping[str, Any]) -> face.Machine:
    extra = need(env, "extra", "env", dict)
    rules = need(env, "rules", "env", dict)
    limits = maybe(env, "limits", "env", dict, {})
    classes = need(env, "classes", "env", list)
    retry_after = bool(limits.get("retry_after", False))
    return face.Machine(
        cores=need(extra, "n_cores", "env: extra", int),
        memory_kb=need(extra, "ram_kb", "env: extra", float),
        run_factor=maybe(extra, "run_factor", "env: extra", float, 1.0),
        entry_kb=maybe(extra, "key_kb", "env: extra", float, 0.0),
        cold=bool(extra.get("cold", False)),
        cold_speed=maybe(rules, "cold_from", "env: rules", float, 1.0),
        ramp=ns(maybe(rules, "ramp_time", "env: rules", float, 1.0)) or 1,
        fall_multiple=need(rules, "fall_multiple", "env: rules", float),
        grace=ns(need(rules, "stop_sending_within", "env: rules", float)),
        tick=ns(maybe(env, "tick", "env", float, 1.0)),
        fleet=maybe(env, "group_size", "env", int, 1),
        callers=maybe(extra, "upstreams", "env: extra", int, 1),
        halt=choice(HALTS, maybe(extra, "halt", "env: extra", str, "none"), "env: extra: halt"),
        advert=choice(ADVERTS, maybe(extra, "advert", "env: extra", str, "none"), "env: extra: advert"),
        heeded=ns(maybe(extra, "heeded", "env: extra", float, 0.0)),
        fresh=ns(maybe(extra, "fresh", "env: extra", float, 0.0)),
        longest_pause=ns(maybe(limits, "max_retry_after", "env: limits", float, 0.0)) if retry_after else 0,
        over_quota_share=maybe(env, "over_share_worth", "env", float, 1.0),
        operations=tuple(read_operation(row, index, extra) for index, row in enumerate(classes)),
        customers=tuple(
            face.Customer(
                name=need(row, "name", "env: tenants", str),
                quota_per_s=maybe(row, "quota_per_s", "env: tenants", float, 0.0),
            )
            for row in maybe(env, "tenants", "env", list, [])
        ),
        dependency=face.Dependency(
            kind=choice(BELOWS, maybe(extra, "below", "env: extra", str, "none"), "env: extra: below"),
            share=maybe(extra, "dep_share", "env: extra", float, 0.0),
            window=ns(maybe(extra, "dep_window", "env: extra", float, 0.0)),
            linger=ns(maybe(extra, "lingers", "env: extra", float, 0.0)),
        ),
        gauges=tuple(maybe(extra, "gauges", "env: extra", list, [])),
    )
