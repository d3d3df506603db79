"""In-memory stand-in for the platform's table service and object store."""
