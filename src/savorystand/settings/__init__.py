"""Settings of a node and the TOML file that contains them."""
