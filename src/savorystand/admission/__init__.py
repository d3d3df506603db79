"""Decides which calls the own target runs, and when."""
