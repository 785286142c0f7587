"""Small stand-ins for database members, on loopback, to try the driver and its rules on."""
