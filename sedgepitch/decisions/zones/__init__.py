"""Zone failover: what instances observe of each zone, how it is weighed, and operator commands."""
