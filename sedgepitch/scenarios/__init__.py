"""Load over sockets and the scripted bad day."""
