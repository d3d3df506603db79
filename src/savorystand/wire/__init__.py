"""Encoding of the messages between nodes."""
