"""TCP transports that say when bytes arrived and write at once. Knows no protocol and decides nothing."""
