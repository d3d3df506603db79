"""Measured costs against size."""
