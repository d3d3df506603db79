"""Storage interfaces and errors, independent of the platform's protocol."""
