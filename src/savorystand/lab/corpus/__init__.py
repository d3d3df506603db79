"""Tests decoders and a running node with malformed messages."""
