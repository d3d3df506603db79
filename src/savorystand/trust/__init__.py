"""Authentication of nodes and protection of their traffic."""
