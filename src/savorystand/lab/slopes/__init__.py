"""Measured costs of a node as linear functions of the system size."""
