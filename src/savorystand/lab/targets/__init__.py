"""Stand-in targets."""
