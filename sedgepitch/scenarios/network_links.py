"""Relays on loopback that lose, duplicate, delay or block the traffic between two processes."""

from __future__ import annotations

import contextlib
import heapq
import random
import select
import socket
import threading
import time

MAX_OPEN_SOCKETS = 256  # sockets open at once in one link
STREAM_IDLE_TIMEOUT_S = 60.0
MAX_KEPT_DATAGRAMS = 1000  # kept for replay


class Streams:
    """A relay of TCP connections to one address; while cut, it accepts connections and forwards nothing."""

    def __init__(self, to: tuple[str, int], listener: socket.socket) -> None:
        self.to, self.listener = to, listener
        self.cut = self.closed = False
        self.open_sockets: set[socket.socket] = set()
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self) -> None:
        while not self.closed:
            try:
                incoming, _ = self.listener.accept()
            except OSError:
                return
            if len(self.open_sockets) >= MAX_OPEN_SOCKETS:
                incoming.close()
                continue
            self.open_sockets.add(incoming)
            if not self.cut:
                threading.Thread(target=self._relay, args=(incoming,), daemon=True).start()

    def _relay(self, incoming: socket.socket) -> None:
        try:
            outgoing = socket.create_connection(self.to, timeout=STREAM_IDLE_TIMEOUT_S)
        except OSError:
            self._close_socket(incoming)
            return
        self.open_sockets.add(outgoing)
        back = threading.Thread(target=self._pump, args=(outgoing, incoming), daemon=True)
        back.start()
        self._pump(incoming, outgoing)
        back.join()
        self._close_socket(incoming)
        self._close_socket(outgoing)

    def _pump(self, source: socket.socket, sink: socket.socket) -> None:
        source.settimeout(STREAM_IDLE_TIMEOUT_S)
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

    def _close_socket(self, sock: socket.socket) -> None:
        self.open_sockets.discard(sock)
        sock.close()

    def close(self) -> None:
        """Stop accepting and shut all connections down."""
        self.closed = True
        self.listener.close()
        for sock in list(self.open_sockets):
            with contextlib.suppress(OSError):
                sock.shutdown(socket.SHUT_RDWR)


def bind_udp_and_tcp() -> tuple[socket.socket, socket.socket]:
    """Return a UDP socket and a TCP listener on the same free port."""
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
    raise OSError("no port was free for both UDP and TCP in 100 attempts")


def _split_address(address: str) -> tuple[str, int]:
    host, _, port = address.rpartition(":")
    return host, int(port)


class Link:
    """A relay of UDP datagrams and TCP connections to one address.

    Datagrams can be lost, duplicated, delayed (which reorders them) or blocked; connections stall while
    `set_streams_cut` has cut them. `loss` and `duplication` are probabilities, and the delay of a datagram is
    uniform between 0 and `delay` seconds.
    """

    def __init__(self, to: str, seed: int = 1) -> None:
        self.to = _split_address(to)
        self.random = random.Random(seed)
        self.loss = self.duplication = self.delay = 0.0
        self.cut = False
        self.kept: list[bytes] = []
        self.passed = self.lost = 0
        self.socket, listener = bind_udp_and_tcp()
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
                    if len(self.kept) < MAX_KEPT_DATAGRAMS:
                        self.kept.append(data)
                    if self.cut or self.random.random() < self.loss:
                        self.lost += 1
                    else:
                        for _ in range(1 + (self.random.random() < self.duplication)):
                            count += 1
                            due = time.monotonic() + self.delay * self.random.random()
                            heapq.heappush(waiting, (due, count, data))
                while waiting and waiting[0][0] <= time.monotonic():
                    self.send(heapq.heappop(waiting)[2])
            except (OSError, ValueError):
                if self.closed:
                    return

    def send(self, data: bytes) -> None:
        """Forward one datagram."""
        self.passed += 1
        self.socket.sendto(data, self.to)

    def redirect(self, to: str) -> None:
        """Change the destination, for a process that restarted on other ports."""
        self.to = self.streams.to = _split_address(to)

    def set_streams_cut(self, cut: bool) -> None:
        """Stall the TCP connections, or let them continue."""
        self.streams.cut = cut

    def close(self) -> None:
        """Close the relay."""
        self.closed = True
        self.socket.close()
        self.streams.close()
