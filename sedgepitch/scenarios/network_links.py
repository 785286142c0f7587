"""Links of the project's own on loopback, so that what passes between two processes can be harmed."""

from __future__ import annotations

import contextlib
import heapq
import random
import select
import socket
import threading
import time

MOST_STREAMS = 256  # open at once through one link
STREAM_IDLE = 60.0  # s
KEPT = 1000  # datagrams remembered, for those who replay them


class Streams:
    """Streams to one address go through here: passed on, refused, or taken and left silent when cut."""

    def __init__(self, to: tuple[str, int], listener: socket.socket) -> None:
        self.to, self.listener = to, listener
        self.cut = self.closed = False
        self.held: set[socket.socket] = set()
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self) -> None:
        while not self.closed:
            try:
                one, _ = self.listener.accept()
            except OSError:
                return
            if len(self.held) >= MOST_STREAMS:
                one.close()
                continue
            self.held.add(one)
            if not self.cut:
                threading.Thread(target=self._pass, args=(one,), daemon=True).start()

    def _pass(self, one: socket.socket) -> None:
        try:
            other = socket.create_connection(self.to, timeout=STREAM_IDLE)
        except OSError:
            self._drop(one)
            return
        self.held.add(other)
        back = threading.Thread(target=self._pump, args=(other, one), daemon=True)
        back.start()
        self._pump(one, other)
        back.join()
        self._drop(one)
        self._drop(other)

    def _pump(self, source: socket.socket, sink: socket.socket) -> None:
        source.settimeout(STREAM_IDLE)
        try:
            while data := source.recv(65536):
                while self.cut and not self.closed:
                    time.sleep(0.02)
                sink.sendall(data)
            sink.shutdown(socket.SHUT_WR)
        except OSError:
            for end in (source, sink):
                with contextlib.suppress(OSError):
                    end.shutdown(socket.SHUT_RDWR)

    def _drop(self, one: socket.socket) -> None:
        self.held.discard(one)
        one.close()

    def close(self) -> None:
        """End all of them."""
        self.closed = True
        self.listener.close()
        for one in list(self.held):
            with contextlib.suppress(OSError):
                one.shutdown(socket.SHUT_RDWR)


def both_ports() -> tuple[socket.socket, socket.socket]:
    """A datagram socket and a listener on one port that the system chose."""
    for _ in range(100):
        listener = socket.socket()
        listener.bind(("127.0.0.1", 0))
        datagrams = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        try:
            datagrams.bind(listener.getsockname())
        except OSError:
            listener.close()
            datagrams.close()
            continue
        listener.listen(64)
        return datagrams, listener
    raise OSError("no port is free for both")


def _place(address: str) -> tuple[str, int]:
    host, _, port = address.rpartition(":")
    return host, int(port)


class Link:
    """Datagrams and streams to one address go through here.

    Datagrams are lost, doubled, delayed (so disordered) or cut off; streams pass, or go silent where
    `cut_streams` is called. Shares are between 0 and 1, the delay is drawn evenly up to `delay` seconds.
    """

    def __init__(self, to: str, seed: int = 1) -> None:
        self.to = _place(to)
        self.random = random.Random(seed)
        self.loss = self.doubled = self.delay = 0.0
        self.cut = False
        self.kept: list[bytes] = []
        self.passed = self.lost = 0
        self.socket, listener = both_ports()
        self.streams = Streams(self.to, listener)
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

    def lead(self, to: str) -> None:
        """Lead to another address from now on: its process was started anew."""
        self.to = self.streams.to = _place(to)

    def cut_streams(self, cut: bool) -> None:
        """Have streams go silent, or go on."""
        self.streams.cut = cut

    def close(self) -> None:
        """End it."""
        self.closed = True
        self.socket.close()
        self.streams.close()
