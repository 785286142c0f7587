"""Structured logs and Prometheus metrics of the daemon."""
