"""Tests of the memory account."""
