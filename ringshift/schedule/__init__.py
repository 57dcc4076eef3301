"""Scheduled routing changes that never contradict each other in time: decisions only (docs/schedule.md)."""
