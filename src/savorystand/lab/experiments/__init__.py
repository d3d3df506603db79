"""Load experiments on a cluster of nodes, one per module."""
