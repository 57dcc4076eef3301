"""The operators' settings, as they are told at a start, read into a Machine: for simulator and sockets."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

from ringshift import interface as face

NS_PER_MS = 1_000_000
MOST = 1e15  # of any figure: beyond it sums in nanoseconds are no longer exact, or no number


class Malformed(Exception):
    """The wire broke its own rules; the text names the message and the field."""


def ns(ms: float) -> int:
    return round(ms * NS_PER_MS)


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
    int: "a whole number",
    float: "a number",
    str: "text",
    dict: "an object",
    list: "an array",
}


def need(fields: Mapping[str, Any], key: str, message: str, kind: type) -> Any:
    value = fields.get(key)
    if value is None:
        raise Malformed(f"{message}: {key}: missing")
    accepted = (int, float) if kind is float else kind
    if not isinstance(value, accepted) or (isinstance(value, bool) and kind is not bool):
        raise Malformed(f"{message}: {key}: expected {KINDS.get(kind, kind.__name__)}")
    # Not of whole numbers: a seed has 64 bits.
    if kind is float and isinstance(value, (int, float)) and abs(value) > MOST:
        raise Malformed(f"{message}: {key}: out of any range")
    return value


def maybe(fields: Mapping[str, Any], key: str, message: str, kind: type, default: Any) -> Any:
    return default if fields.get(key) is None else need(fields, key, message, kind)


def rows(fields: Mapping[str, Any], key: str, message: str) -> list[Mapping[str, Any]]:
    told = maybe(fields, key, message, list, [])
    for row in told:
        if not isinstance(row, dict):
            raise Malformed(f"{message}: {key}: expected objects")
    return list(told)


def choice(table: Mapping[str, Any], value: str, where: str) -> Any:
    if value not in table:
        raise Malformed(f"{where}: unknown value {value!r}")
    return table[value]


def read_operation(row: Mapping[str, Any], index: int, extra: Mapping[str, Any]) -> face.Operation:
    where = "env: classes"
    calls = maybe(extra, "calls_by_class", "env: extra", list, [])
    skips = maybe(extra, "degraded_worth", "env: extra", list, [])
    skip = skips[index] if index < len(skips) else 0.0
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
        degraded_share=need({"degraded_worth": skip}, "degraded_worth", "env: extra", float),
    )


def read_machine(env: Mapping[str, Any]) -> face.Machine:
    extra = need(env, "extra", "env", dict)
    rules = need(env, "rules", "env", dict)
    limits = maybe(env, "limits", "env", dict, {})
    classes = rows(env, "classes", "env")
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
            for row in rows(env, "tenants", "env")
        ),
        dependency=face.Dependency(
            kind=choice(BELOWS, maybe(extra, "below", "env: extra", str, "none"), "env: extra: below"),
            share=maybe(extra, "dep_share", "env: extra", float, 0.0),
            window=ns(maybe(extra, "dep_window", "env: extra", float, 0.0)),
            linger=ns(maybe(extra, "lingers", "env: extra", float, 0.0)),
        ),
        gauges=tuple(maybe(extra, "gauges", "env: extra", list, [])),
    )
