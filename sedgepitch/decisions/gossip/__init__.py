"""Gossip among proxy instances: membership, failure detection and dissemination (SWIM, Lifeguard)."""
