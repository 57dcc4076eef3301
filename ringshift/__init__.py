"""Overload control inside each server of a fleet: what it takes, runs and turns away."""
