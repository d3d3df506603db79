"""Stand-ins and experiments; not part of the deployed system."""
