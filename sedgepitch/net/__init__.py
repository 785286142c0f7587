"""TCP transports that report when bytes arrived and write at once. Knows no protocol and no endpoints."""
