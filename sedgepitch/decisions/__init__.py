"""Decisions of the daemon's own subsystems: pure, no input or output, no clock but the time passed in."""
