"""Links of the project's own on loopback, so that what passes between two processes can be harmed."""

from __future__ import annotations

import heapq
import random
import select
import socket
import threading
import time

KEPT = 1000  # datagrams remembered, for those who replay them


class Datagrams:
    """Datagrams to one address go through here: lost, doubled, delayed (so disordered), or cut off.

    Shares are between 0 and 1, the delay is drawn evenly up to `delay` seconds. One thread; `close` ends it.
    """

    def __init__(self, to: str, seed: int = 1) -> None:
        host, _, port = to.rpartition(":")
        self.to = (host, int(port))
        self.random = random.Random(seed)
        self.loss = self.doubled = self.delay = 0.0
        self.cut = False
        self.kept: list[bytes] = []
        self.passed = self.lost = 0
        self.socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.socket.bind(("127.0.0.1", 0))
        self.address = "{}:{}".format(*self.socket.getsockname())
        self.closed = False
        threading.Thread(target=self._run, daemon=True).start()

    def _run(self) -> None:
        waiting: list[tuple[float, int, bytes]] = []
        count = 0
        while not self.closed:
            wait = max(0.0, waiting[0][0] - time.monotonic()) if waiting else 0.2
            try:
                ready, _, _ = select.select([self.socket], [], [], wait)
                if ready:
                    data = self.socket.recv(65536)
                    if len(self.kept) < KEPT:
                        self.kept.append(data)
                    if self.cut or self.random.random() < self.loss:
                        self.lost += 1
                    else:
                        for _ in range(1 + (self.random.random() < self.doubled)):
                            count += 1
                            due = time.monotonic() + self.delay * self.random.random()
                            heapq.heappush(waiting, (due, count, data))
                while waiting and waiting[0][0] <= time.monotonic():
                    self.send(heapq.heappop(waiting)[2])
            except (OSError, ValueError):
                if self.closed:
                    return

    def send(self, data: bytes) -> None:
        """Pass one on."""
        self.passed += 1
        self.socket.sendto(data, self.to)

    def close(self) -> None:
        """End it."""
        self.closed = True
        self.socket.close()
