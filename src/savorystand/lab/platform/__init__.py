"""Stand-in of the platform's table service and object store."""
