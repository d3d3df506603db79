"""Connections between nodes and the calls made on them."""
