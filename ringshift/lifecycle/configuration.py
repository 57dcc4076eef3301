"""What the platform tells a backend, read from the environment; checked whole at start and each SIGHUP."""

from __future__ import annotations

import ipaddress
import os
from collections.abc import Mapping
from dataclasses import dataclass, replace
from pathlib import Path
from typing import Any

import orjson

from ringshift.interface import Below, Machine
from ringshift.machine import Malformed, maybe, need, ns, read_machine
from ringshift.runtime.bounds import MIB, Bounds, bounds

Address = tuple[str, int]


@dataclass(frozen=True, slots=True)
class Backend:
    name: str
    listen: Address
    agent: Address
    announce: Address
    seed: int
    stop: int
    bounds: Bounds
    machine: Machine
    deep_checks: bool


def read_address(text: str, where: str) -> Address:
    host, _, port = text.rpartition(":")
    try:
        ipaddress.ip_address(host)
        number = int(port)
    except ValueError:
        raise Malformed(f"{where}: expected an IP address and a port, not {text!r}") from None
    if not 0 <= number < 65536:
        raise Malformed(f"{where}: port {number} is none")
    return host, number


def read_seed(told: Any) -> int:
    if isinstance(told, int) and not isinstance(told, bool):
        return told
    try:
        return int(str(told), 16)
    except ValueError:
        raise Malformed(f"seed: expected hexadecimal digits, not {told!r}") from None


def read_backend(environ: Mapping[str, str] = os.environ) -> Backend:
    path = environ.get("PROXY_CONFIG", "")
    if not path:
        raise Malformed("PROXY_CONFIG: missing")
    try:
        told = orjson.loads(Path(path).read_bytes())
    except OSError as wrong:
        raise Malformed(f"PROXY_CONFIG: {path}: {wrong.strerror}") from None
    except orjson.JSONDecodeError as wrong:
        raise Malformed(f"PROXY_CONFIG: {path}: not JSON: {wrong}") from None
    if not isinstance(told, dict):
        raise Malformed(f"PROXY_CONFIG: {path}: expected an object")
    return read_told(told, environ)


FIXED = ("name", "listen")  # sidecars and the announce service know it by them


def reread(old: Backend, environ: Mapping[str, str] = os.environ) -> Backend:
    """Checked as at a start, so that a file half written or contradictory changes nothing."""
    new = read_backend(environ)
    for field in FIXED:
        if getattr(new, field) != getattr(old, field):
            raise Malformed(f"{field}: can't change while the program runs")
    return new


def as_told_on_sockets(machine: Machine) -> Machine:
    """The machine as this protocol shows it.

    Calls at a dependency are part of the runs of the agent: nothing is heard of them and none can be placed.
    """
    operations = tuple(replace(operation, calls=False) for operation in machine.operations)
    return replace(machine, operations=operations, dependency=replace(machine.dependency, kind=Below.NONE))


def read_told(told: Mapping[str, Any], environ: Mapping[str, str]) -> Backend:
    limits = maybe(told, "limits", "configuration", dict, {})
    env = need(told, "settings", "configuration", dict)
    try:
        machine = read_machine(env)
    except ValueError as wrong:
        raise Malformed(f"settings: {wrong}") from None
    for limit in ("memory_mb", "sockets"):
        if maybe(limits, limit, "limits", float, 1.0) <= 0:
            raise Malformed(f"limits: {limit}: must be above 0")
    listen = environ.get("PROXY_LISTEN") or need(told, "listen", "configuration", str)
    return Backend(
        name=environ.get("PROXY_NAME") or need(told, "name", "configuration", str),
        listen=read_address(listen, "listen"),
        agent=read_address(need(told, "agent", "configuration", str), "agent"),
        announce=read_address(need(told, "announce", "configuration", str), "announce"),
        seed=read_seed(told.get("seed", 0)),
        stop=ns(maybe(told, "stop_ms", "configuration", float, 3000.0)),
        bounds=bounds(
            round(maybe(limits, "memory_mb", "limits", float, 192.0) * MIB),
            maybe(limits, "sockets", "limits", int, 1024),
        ),
        machine=as_told_on_sockets(machine),
        deep_checks=bool(env["extra"].get("real_checks", False)),
    )
