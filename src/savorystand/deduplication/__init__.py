"""Runs each non-idempotent request at most once."""
