"""Soak test of the proxy program: restarts, signals, client crowds and faults from a seed, with an audit."""
