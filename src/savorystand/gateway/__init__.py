"""HTTP interface for callers, the local target and operators."""
