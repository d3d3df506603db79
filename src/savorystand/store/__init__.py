"""Storage interfaces, errors and connections, whatever the protocol."""
