"""Joins the decisions on a call: route, key, attempts, admission."""
