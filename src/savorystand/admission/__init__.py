"""Admission control and concurrency limit of the local target."""
