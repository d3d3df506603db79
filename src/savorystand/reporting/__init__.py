"""Reporting for operators: counters, decisions, reports, logs, metrics."""
