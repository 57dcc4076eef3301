"""The emulation's words that the tests of this package share."""

from __future__ import annotations

from standins.fleet.emulated_rules import BASE, FIRST, TERMS, B, Keeper, held, world

__all__ = ["BASE", "FIRST", "TERMS", "B", "Keeper", "held", "world"]
