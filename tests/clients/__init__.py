"""Tests with clients that do not behave, against real processes."""
