"""The operators' TOML file, read by msgspec into typed structures; errors name file, line and field."""

from __future__ import annotations

import re
import tomllib
from pathlib import Path
from typing import Literal

import msgspec

from ringshift.interface import Unit
from ringshift.machine import Malformed
from ringshift.settings.rules import RulesReading
from ringshift.settings.terms import MS, Budget, BudgetError, LeaseTerms, LeaseTermsError, S

NAME = re.compile(r"[A-Za-z0-9_-]{1,64}")


class RecordKeeping(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    lines: bool = False
    """JSON lines on standard error."""
    folder: str = ""
    """Where the store of this server's records lies; empty where there is no lasting disk."""
    most_mb: float = 64.0
    """What the store may take; beyond it the oldest records go first."""

    def __post_init__(self) -> None:
        if not 1 <= self.most_mb <= 1_000_000:
            raise ValueError("most_mb must lie from 1 to 1000000")


class Leases(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Leases of fleet-wide tasks at an etcd v3 keeper (docs/leases.md); off where no table names them."""

    keepers: list[str] = []
    """HOST:PORT of the keeper's members, its JSON gateway."""
    ttl_s: int = 10
    """The lease's time to live, whole seconds as etcd grants them."""
    margin_ms: int = 500
    """Taken off each deadline beside the drift: time for a step under way to end."""
    drift_ppm: int = 10_000
    """How much faster the keeper's clock may run than a holder's, in millionths."""
    answer_within_ms: int = 2_000
    """A call to the keeper unanswered this long is given up."""
    grace_ms: int = 4_000
    """From the notice to leave to the kill."""
    leave_share: float = 0.25
    """Of the grace, for letting the lease go."""

    def __post_init__(self) -> None:
        for address in self.keepers:
            host, _, port = address.rpartition(":")
            if not host or not port.isdigit() or not 0 < int(port) < 65536:
                raise ValueError(f"keepers: {address!r} is not HOST:PORT")
        self.terms()  # refused here, by field, rather than when the first lease is sought

    def terms(self) -> LeaseTerms:
        names = {
            "ttl": "ttl_s",
            "margin": "margin_ms",
            "answer_within": "answer_within_ms",
            "grace": "grace_ms",
        }
        try:
            return LeaseTerms(
                ttl=self.ttl_s * S,
                margin=self.margin_ms * MS,
                drift_ppm=self.drift_ppm,
                answer_within=self.answer_within_ms * MS,
                grace=self.grace_ms * MS,
                leave_share=self.leave_share,
            )
        except LeaseTermsError as wrong:
            field, _, told = str(wrong).partition(": ")
            raise ValueError(f"{names.get(field, field)}: {told}") from None


class FleetBudget(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One fleet-wide budget (docs/budgets.md), divided under a lease of the keepers in `[leases]`."""

    name: str
    unit: Literal["calls", "rate", "retries"]
    whole: float
    """Calls under way at once, or invocations or repeated attempts a second, over the whole fleet."""
    most: int
    """The largest fleet that is ever alive at once: the safe shares of that many are set aside."""
    safe: float = 0.0
    """What a backend may use while it has no grant."""
    operation: str = ""
    """Whose invocations a rate counts."""
    weight: float = 1.0
    """This backend's in the division."""
    life_ms: int = 8_000
    """A grant's, from the ask's sending."""
    refresh_ms: int = 1_000
    margin_ms: int = 250
    """Taken off each grant: time for what was begun to arrive at the dependency."""
    longest_ms: int = 2_000
    """How long one call may last; 0 for rate and retries."""
    drift_ppm: int = 10_000
    """How much faster the divider's clock may run than a backend's, in millionths."""

    def __post_init__(self) -> None:
        if not NAME.fullmatch(self.name):
            raise ValueError(f"name: {self.name!r} is not 1 to 64 letters, digits, - or _")
        if (self.unit == "rate") != bool(self.operation):
            raise ValueError("operation: named for a rate, and for a rate only")
        self.budget()  # refused here, by field, rather than when the first share is asked for

    def budget(self) -> Budget:
        longest = self.longest_ms if self.unit == "calls" else 0
        try:
            return Budget(
                self.name,
                Unit(self.unit),
                self.whole,
                self.most,
                self.safe,
                self.weight,
                self.operation,
                self.life_ms * MS,
                self.refresh_ms * MS,
                self.margin_ms * MS,
                longest * MS,
                self.drift_ppm,
            )
        except BudgetError as wrong:
            field, _, told = str(wrong).partition(": ")
            names = {"margin": "margin_ms", "refresh": "refresh_ms"}
            raise ValueError(f"{names.get(field, field)}: {told}") from None


class Operators(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    records: RecordKeeping = RecordKeeping()
    leases: Leases | None = None
    budgets: list[FleetBudget] = []
    rules: RulesReading | None = None

    def __post_init__(self) -> None:
        if self.rules is not None and (self.leases is None or not self.leases.keepers):
            raise ValueError("rules: no [leases] table with keepers, where the rulebook is agreed on")
        if self.budgets and (self.leases is None or not self.leases.keepers):
            raise ValueError("budgets: no [leases] table with keepers, under whose lease they are divided")
        names = [budget.name for budget in self.budgets]
        for place, name in enumerate(names):
            if name in names[:place]:
                raise ValueError(f"budgets: two of the name {name!r}")


def read_operators(path: str) -> Operators:
    """Raises Malformed with one line."""
    try:
        text = Path(path).read_text(encoding="utf-8")
        return msgspec.convert(tomllib.loads(text), Operators)
    except OSError as wrong:
        raise Malformed(f"{path}: {wrong.strerror}") from None
    except UnicodeDecodeError:
        raise Malformed(f"{path}: not UTF-8") from None
    except tomllib.TOMLDecodeError as wrong:
        # At the end of the file the parser names no line.
        told = str(wrong).replace("at end of document", f"at line {len(text.splitlines()) + 1}, the end")
        raise Malformed(f"{path}: {told}") from None
    except msgspec.ValidationError as wrong:
        raise Malformed(f"{path}: {where(text, str(wrong))}") from None


def refused(path: str, table: str, place: int, field: str, told: str) -> Malformed:
    """What one who read the file can't keep, of a field that is right in itself, with its line."""
    text = Path(path).read_text(encoding="utf-8")
    return Malformed(f"{path}: {where(text, f'{told} - at `$.{table}[{place}].{field}`')}")


def where(text: str, wrong: str) -> str:
    """The line of the field that msgspec names by path, or by name where it is unknown."""
    told, _, path = wrong.partition(" - at `$")
    keys = re.findall(r"[A-Za-z_]\w*", path)
    index = re.search(r"\[(\d+)\]", path)
    if not keys and not path or "unknown field" in told:
        keys += re.findall(r"`(\w+)`", told)
    fields = {
        "records": RecordKeeping.__struct_fields__,
        "leases": Leases.__struct_fields__,
        "budgets": FleetBudget.__struct_fields__,
        "rules": RulesReading.__struct_fields__,
    }
    if not keys:
        keys = [word for word in re.findall(r"\w+", told) if word in RecordKeeping.__struct_fields__][:1]
    elif len(keys) == 1:
        keys += [word for word in re.findall(r"\w+", told) if word in fields.get(keys[0], ())][:1]
    field = ".".join(keys)
    if keys and told.startswith(f"{keys[-1]}: "):
        told = told[len(keys[-1]) + 2 :]  # the check named its field itself
    table, number_of, place = "", dict[str, int](), 0
    for number, line in enumerate(text.splitlines(), 1):
        if heading := re.match(r"\s*\[{1,2}\s*([\w.]+)\s*\]", line):
            table = heading[1]
            place = number_of[table] = number_of.get(table, -1) + 1
            if index is not None and place != int(index[1]):
                table = ""  # another of the same array
            found = table == field or (index is not None and len(keys) == 1 and table == keys[0])
        else:
            named = re.match(r"\s*([\w.]+)\s*=", line)
            found = bool(named) and (f"{table}.{named[1]}" if table else named[1]) == field  # type: ignore[index]
        if found:
            return f"line {number}: {field}: {told}"
    return f"{field}: {told}" if field else told
