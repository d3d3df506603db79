"""Chooses the target of a call."""
