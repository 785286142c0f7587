"""One case on its own reactor.

`python -m tests.support.transport_case REACTOR CASE` prints what came of it.
"""

from __future__ import annotations

import json
import socket
import struct
import sys
import threading
import time

from sedgepitch.cli.reactors import install

WITHIN = 20.0  # s; nothing here waits so long unless it fails
RESET = struct.pack("ii", 1, 0)


def main(name: str, case: str) -> None:
    """Run one case."""
    reactor = install(name)
    from twisted.internet.protocol import Factory, Protocol

    from sedgepitch.net.listener import listen

    seen: dict = {"lost": 0, "data": 0, "paused": 0, "resumed": 0, "raised": ""}
    held: list = []

    class Served(Protocol):
        def connectionMade(self) -> None:
            held.append(self)
            self.transport.registerProducer(self, True)

        def dataReceived(self, data: bytes) -> None:
            seen["data"] += len(data)
            seen["waited"] = time.monotonic() - self.transport.arrived
            if case == "answer_leaves_at_once":
                self.transport.write(b"answer")
                seen["answered_before_the_turn_ended"] = answered.wait(WITHIN)
            elif case == "stopped_reader":
                self.transport.write(bytes(range(256)) * (1 << 15))

        def pauseProducing(self) -> None:
            seen["paused"] += 1
            go_on.set()

        def resumeProducing(self) -> None:
            seen["resumed"] += 1

        def stopProducing(self) -> None:
            pass

        def connectionLost(self, reason) -> None:
            seen["lost"] += 1

    answered, go_on = threading.Event(), threading.Event()
    port = listen(reactor, 0, Factory.forProtocol(Served), "127.0.0.1", 50)
    client = socket.create_connection(("127.0.0.1", port.getHost().port), timeout=WITHIN)

    def write_later() -> None:
        try:
            held[0].transport.write(b"more")
        except Exception as error:
            seen["raised"] = repr(error)

    def when(condition, then, left: float = WITHIN) -> None:
        if condition() or left <= 0:
            then()
        else:
            reactor.callLater(0.02, when, condition, then, left - 0.02)

    def finish(after: float = 0.1) -> None:
        reactor.callLater(after, reactor.stop)

    def begin() -> None:
        if case in ("reset_behind_data", "reset"):
            if case == "reset_behind_data":
                client.sendall(b"request")
            client.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
            client.close()  # in this very turn: both are there when the server looks

            def over() -> None:
                write_later()
                finish()

            when(lambda: seen["lost"], over)
        elif case == "half_close":
            client.sendall(b"request")
            client.shutdown(socket.SHUT_WR)
            when(lambda: seen["lost"], finish)
        elif case == "arrival":
            client.sendall(b"request")
            time.sleep(0.3)  # the process stands still while the bytes are here
            when(lambda: seen["data"], finish)
        elif case == "answer_leaves_at_once":

            def ask() -> None:
                client.sendall(b"request")
                if client.recv(6) == b"answer":
                    answered.set()

            threading.Thread(target=ask, daemon=True).start()
            when(lambda: seen["data"], finish)
        elif case == "accept_all":
            before = len(held)
            waiting = [socket.create_connection(("127.0.0.1", port.getHost().port)) for _ in range(40)]
            port.accepts_per_turn = 16
            assert port.accept_all()  # in this very turn, all of them wait
            port.stopListening()
            seen["accepted"] = len(held) - before
            for one in waiting:
                one.close()
            finish()
        elif case == "stopped_reader":

            def read() -> None:
                client.sendall(b"request")
                go_on.wait(WITHIN)  # until the server has more than the socket takes
                got = bytearray()
                while len(got) < 256 << 15:
                    got += client.recv(1 << 20)
                seen["whole"] = bytes(got) == bytes(range(256)) * (1 << 15)

            threading.Thread(target=read, daemon=True).start()
            when(lambda: "whole" in seen and seen["resumed"], finish)

    when(lambda: held, begin)
    reactor.callLater(WITHIN * 2, reactor.stop)
    reactor.run()
    print(json.dumps(seen))


if __name__ == "__main__":
    main(sys.argv[1], sys.argv[2])
