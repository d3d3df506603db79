"""What operators see: counters, decisions, reports, logs, metrics."""
