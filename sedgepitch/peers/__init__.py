"""Gossip and zone failover on sockets, where the settings have a part `peers`. Nothing here decides."""
