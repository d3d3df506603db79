"""Simulated estate: real decision classes on a controlled clock."""
