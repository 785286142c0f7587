"""Kinds of state entries that proxy instances publish; the values are sent on the wire."""

ZONE_DIGEST = "zones"
ZONE_COMMANDS = "orders"
