"""Stateful fuzzing of whole nodes against an oracle."""
