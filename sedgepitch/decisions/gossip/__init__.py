"""Gossip membership: failure detection, dissemination of updates, and replay protection.

SWIM (Das, Gupta, Motivala 2002) with Lifeguard's local health (Dadgar et al. 2018). Nothing here reads a
clock or a socket: times are passed in, in seconds on the caller's monotonic clock, and each step returns the
actions that the caller carries out.
"""
