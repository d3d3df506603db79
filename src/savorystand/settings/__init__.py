"""Settings of a node and the file that has them."""
