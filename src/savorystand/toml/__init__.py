"""Reading of TOML texts with the lines of their entries."""
