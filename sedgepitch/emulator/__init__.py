"""Emulated database servers on loopback, against which the proxy and its rules are tested."""
