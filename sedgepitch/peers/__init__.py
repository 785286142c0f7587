"""Gossip and zone failover on sockets, for settings with a section `peers`; the logic is in `decisions`."""
