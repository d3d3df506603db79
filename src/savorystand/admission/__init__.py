"""Decides which calls the local target runs, and when."""
