"""Pairs of events in each order that can occur, forced on real sockets."""
