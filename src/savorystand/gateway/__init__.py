"""HTTP towards callers, the own target and operators."""
