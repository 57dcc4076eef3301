"""A terminal console on textual: many servers live, or a store stepped through."""
