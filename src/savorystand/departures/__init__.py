"""Departures of targets: memory, encoding and where they are kept."""
