"""Zone failover as a fleet: what instances observe of each zone, how it is weighed, and operator commands.

Nothing here reads a clock or a socket: times are passed in, in seconds on the caller's monotonic clock.
docs/zones.md has the alternatives, the bounds on Byzantine instances and their proofs.
"""
