"""Malformed messages against the real decoders and a real node."""
