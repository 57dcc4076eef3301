"""The simulator's wire before the decisions: JSON lines, units and ids. Nothing here decides."""
