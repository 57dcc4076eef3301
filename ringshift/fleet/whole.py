"""The whole of a budget by the fleet's rulebook, which may state another than the settings.

Decisions only. The safe shares of the largest fleet are set aside for good: a backend without a grant uses
its own whatever the rulebook says. So a whole below them can't be kept, and the least that can is divided;
`raised` says so, for people who meant to lower it further.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import replace

from ringshift.fleet.budget import Budget

LEAST_WHOLE = 1.0  # of a budget: none at all is no budget; the rulebook's lists turn things off


def ruled(budget: Budget, wholes: Mapping[str, float]) -> Budget:
    """With the whole of the rulebook, where it has one: in whole units, and never under the safe shares.
    `wholes`: by budget's name."""
    if budget.name not in wholes:
        return budget
    whole = budget.whole_units(wholes[budget.name])
    return replace(budget, whole=max(whole, budget.safe * budget.most, LEAST_WHOLE))


def raised(budget: Budget, wholes: Mapping[str, float]) -> str:
    """Why more is divided than the rulebook states, in one line; empty where it isn't."""
    divided = ruled(budget, wholes).whole
    if budget.name not in wholes or divided <= wholes[budget.name]:
        return ""
    least = f"the safe shares, {budget.safe:g} of each of up to {budget.most} backends, are set aside"
    why = least if divided > LEAST_WHOLE else f"{LEAST_WHOLE:g} is the least"
    return f"budget {budget.name}: {divided:g} is divided, not the rulebook's {wholes[budget.name]:g}: {why}"
