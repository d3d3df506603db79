"""Parses TOML and keeps the line numbers of its entries."""
