"""Protocol-independent TCP transports that report when bytes arrived and write immediately."""
