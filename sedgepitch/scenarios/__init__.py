"""Scripted fault scenarios, fleet scenarios and soaks over loopback sockets."""
