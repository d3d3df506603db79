"""HTTP towards callers, the local target and operators."""
