"""Stateful fuzzing of complete nodes, checked by an oracle."""
