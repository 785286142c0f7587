"""The kinds of state entries that instances publish; the names are on the wire."""

ZONE_DIGEST = "zones"
ZONE_COMMANDS = "orders"
