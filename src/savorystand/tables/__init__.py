"""Routes and pools tables, which operators edit as TOML files."""
