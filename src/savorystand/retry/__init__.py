"""Bounds on retries, end to end and for each pool."""
