"""Deduplication: runs each non-idempotent request at most once."""
