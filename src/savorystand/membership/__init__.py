"""Which nodes exist, where they are and whether they serve."""
