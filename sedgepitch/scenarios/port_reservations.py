"""Ports of one run that no other run, and no other listener of the same run, is given meanwhile."""

from __future__ import annotations

import random
import socket

PORTS = (20_000, 32_000)  # below the range from which the system chooses (ip_local_port_range)


class PortReservations:
    """Ports that are held by a bound socket each. A listener with SO_REUSEADDR can use such a port."""

    def __init__(self) -> None:
        self._sockets: list[socket.socket] = []

    def reserve(self) -> int:
        """Return a port that is in use nowhere, and hold it until `close`."""
        while True:
            port = random.SystemRandom().randrange(*PORTS)
            holder = socket.socket()
            try:
                holder.bind(("127.0.0.1", port))
            except OSError:  # in use, or reserved
                holder.close()
                continue
            # Only now: two holders that had it before could bind the same port.
            holder.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            self._sockets.append(holder)
            return port

    def close(self) -> None:
        """Release all ports."""
        for holder in self._sockets:
            holder.close()
        self._sockets.clear()
