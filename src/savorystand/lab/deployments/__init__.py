"""Deployments sized to one machine and their launcher."""
