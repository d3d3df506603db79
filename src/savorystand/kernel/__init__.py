"""Registry that starts, finds by name and stops services."""
