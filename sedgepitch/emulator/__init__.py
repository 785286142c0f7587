"""Emulated database servers on loopback, to test the proxy and its rules against."""
