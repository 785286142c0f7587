"""Gossip membership: failure detection, dissemination of updates, and replay protection.

SWIM (Das, Gupta, Motivala 2002) with Lifeguard's local health (Dadgar et al. 2018). This package reads no
clock and no socket: the caller passes times in seconds on its monotonic clock, and each step returns the
actions that the caller carries out.
"""
