"""Decisions of the daemon's subsystems: pure, without I/O, and without a clock except the time passed in."""
