"""Stand-in callers."""
