"""Structured logs and metrics of the daemon."""
