"""Fleet-wide zone failover: observations of each zone, weighted voting on them, and operator commands.

This package reads no clock and no socket: the caller passes times in seconds on its monotonic clock.
docs/zones.md describes the alternatives considered, the bounds on Byzantine instances and their proofs.
"""
