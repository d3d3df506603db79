"""Commands of the lab, one to a module."""
