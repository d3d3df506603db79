"""Sample deployments that fit on one machine, and their launcher."""
