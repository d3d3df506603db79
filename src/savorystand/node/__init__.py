"""The node process: its programs, its services and their shutdown."""
