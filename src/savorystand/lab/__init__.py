"""Stand-ins and experiments, which are not part of the deployed system."""
