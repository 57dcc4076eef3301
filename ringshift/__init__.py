"""Overload control inside each server of a fleet: what it takes, runs and turns away."""

__version__ = "0.2.0"
