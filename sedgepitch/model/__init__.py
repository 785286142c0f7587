"""Simulations of many instances in virtual time that run the program's own decision code."""
