"""One file for each command."""
