"""`python -m standins.fleet SCRIPT.toml [--plant BUG]`: plays a script of faults again and tells the verdict.

Of leases, budgets or rulebooks, whichever the file is; histories go to a new folder, whose name is printed.
"""

from __future__ import annotations

import argparse
import sys
import tempfile
import tomllib
from pathlib import Path

from standins.checkers import budgets as of_budgets
from standins.checkers import leases as of_leases
from standins.checkers import rules as of_rules
from standins.fleet.budgets import BudgetFleet, BudgetScript
from standins.fleet.harness import Fleet, Script
from standins.fleet.rules import RulesFleet
from standins.fleet.rulescript import RulesScript


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("script", type=Path)
    parser.add_argument("--plant", default="", help="a bug of planted.py or planted_rules.py, or no_fence")
    told = parser.parse_args()
    folder = Path(tempfile.mkdtemp(prefix="fleet-"))
    print(f"histories in {folder}")
    verdict: of_budgets.Verdict | of_leases.Verdict | of_rules.Verdict
    names = tomllib.loads(told.script.read_text())
    if "publishers" in names:
        RulesFleet(RulesScript.read(told.script), folder, told.plant).play()
        verdict = of_rules.check(folder)
    elif "whole" in names:
        BudgetFleet(BudgetScript.read(told.script), folder, told.plant).play()
        verdict = of_budgets.check(folder)
    else:
        Fleet(Script.read(told.script), folder, told.plant).play()
        verdict = of_leases.check(folder)
    print(verdict)
    return 0 if verdict.right else 1


if __name__ == "__main__":
    sys.exit(main())
