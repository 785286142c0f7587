"""Code shared by the protocols: back-pressure, connection numbering and arrival times of received bytes."""
