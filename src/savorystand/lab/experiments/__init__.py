"""Experiments, one file each."""
