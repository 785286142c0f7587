"""Admission control in front of the router: fair queueing, reservations and concurrency limits."""
