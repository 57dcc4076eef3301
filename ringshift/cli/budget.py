"""`ringshift budget`: how fleet-wide budgets are divided now, as the keeper has it."""

from __future__ import annotations

import json
import time
from typing import Any

import click

from ringshift.machine import Malformed


@click.group()
def budget() -> None:
    """Tell how fleet-wide budgets are divided among the backends.

    Example: ringshift budget status --settings fleet.toml
    """


@budget.command()
@click.argument("names", nargs=-1)
@click.option(
    "--settings",
    "path",
    required=True,
    type=click.Path(dir_okay=False, exists=True),
    help="The operators' TOML with [leases] and [[budgets]].",
)
@click.option("--json", "as_json", is_flag=True, help="For programs.")
def status(names: tuple[str, ...], path: str, as_json: bool) -> None:
    """Each budget's whole, who divides it, and every backend's want, use, grant and its end.

    A grant's end is told as of this look, by the Unix clocks of the divider's machine and of this one.

    Example: ringshift budget status database --settings fleet.toml --json
    """
    from ringshift.settings.operators import read_operators

    operators = read_operators(path)
    if operators.leases is None or not operators.budgets:
        raise Malformed(f"{path}: no [[budgets]] with [leases]: budgets are off")
    known = {one.name: one for one in operators.budgets}
    for name in names:
        if name not in known:
            raise click.UsageError(f"no budget {name!r} in {path}; there are: {', '.join(known)}")
    from ringshift.wire.shares import BudgetLink

    leases = operators.leases
    link = BudgetLink(leases.keepers, time.monotonic_ns, leases.answer_within_ms / 1000)
    told = []
    for name in names or known:
        try:
            told.append(look(link, name, known[name].budget()))
        except Exception as wrong:  # whatever a client raises
            raise click.ClickException(f"{name}: the keeper did not answer: {wrong}") from None
    if as_json:
        click.echo(json.dumps(told))
        return
    for one in told:
        show(one)


def look(link: Any, name: str, terms: Any) -> dict[str, Any]:
    held = link.read(name)
    rows, left = (held.ledger.rows, held.ledger.left) if held.ledger else ({}, {})
    since = time.time() - held.at
    asks = {ask.backend: ask for ask in held.asks}
    backends = []
    for backend in sorted({*rows, *asks}):
        ask, grant = asks.get(backend), rows.get(backend)
        backends.append(
            {
                "backend": backend,
                "want": ask.want if ask else 0.0,
                "use": ask.use if ask else 0.0,
                "share": terms.safe + (grant.extra if grant else 0.0),
                "held": grant.held if grant else 0.0,
                "goes_by_round": ask.round if ask else 0,
                # As the divider counts it, which is never before the backend's own end; None: not told.
                "ends_within_ms": within(left.get(backend), since) if held.at else None,
            }
        )
    counted = terms.safe * terms.most + sum(grant.held for grant in rows.values())
    whole, number = (held.ledger.whole, held.ledger.round) if held.ledger else (terms.whole, 0)
    return {
        "budget": name,
        "unit": terms.unit.value,
        "whole": whole,
        "round": number,
        "counted": counted,
        "divider": link.divider(name),
        "most": terms.most,
        "safe": terms.safe,
        "backends": backends,
    }


def within(left: int | None, since: float) -> float:
    """Milliseconds until what was granted `left` ns at a writing `since` seconds ago has ended; 0 if it
    has."""
    return max(round((left or 0) / 1e6 - since * 1000, 1), 0.0)


def show(one: dict[str, Any]) -> None:
    state = f"round {one['round']}" if one["round"] else "not divided yet: every backend has its safe share"
    click.echo(
        f"{one['budget']}: whole {one['whole']:g} {one['unit']}, counted in use at most "
        f"{one['counted']:g} (safe shares of {one['most']} included), {state}, divided by "
        f"{one['divider'] or 'nobody now'}"
    )
    for row in one["backends"]:
        ends = f", ends within {row['ends_within_ms'] / 1000:.1f} s" if row["ends_within_ms"] else ""
        click.echo(
            f"  {row['backend']}: share {row['share']:g}{ends}, wants {row['want']:g}, "
            f"uses {row['use']:g}"
            + (
                f", may still be using {row['held']:g} beyond the safe share"
                if row["held"] > row["share"] - one["safe"]
                else ""
            )
        )
