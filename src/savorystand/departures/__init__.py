"""Departures of targets: what a node remembers and saves."""
