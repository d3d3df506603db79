"""Gossip membership: the nodes, their addresses and their states."""
