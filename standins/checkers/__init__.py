"""Checkers: what a run told against what is known to have happened."""
