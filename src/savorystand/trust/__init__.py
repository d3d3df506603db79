"""Authentication of nodes and encryption of their connections."""
