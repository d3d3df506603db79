"""Adapter to the platform on which the users' services run."""
