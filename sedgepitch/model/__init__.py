"""Fleets in virtual time, run by the program's own decisions."""
