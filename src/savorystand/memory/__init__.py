"""Memory that a node holds for callers, peers and its target."""
