"""Commands of the operators, one to a module."""
