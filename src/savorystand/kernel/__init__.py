"""Registry that starts and stops services and finds them by name."""
