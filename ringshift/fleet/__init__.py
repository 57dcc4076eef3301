"""Decisions that several backends of a fleet take together: leases for fleet-wide tasks, fences, budgets."""
