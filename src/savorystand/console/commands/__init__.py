"""Commands of the operators' program, one per module."""
