"""Endpoints, load generator and port forward for benchmarks, fast enough not to be the bottleneck.

`python -m benchmarks.peer member COUNT` serves COUNT endpoints that answer every command at once with 300
bytes, and hello with a role (the first is the primary).
`python -m benchmarks.peer load HOST:PORT CONNECTIONS SECONDS` keeps that many connections busy, one request
each, and prints throughput and latencies as JSON.
`python -m benchmarks.peer forward HOST:PORT` runs a plain Twisted port forward.
"""

from __future__ import annotations

import asyncio
import json
import struct
import sys
import time

import bson
import uvloop

from sedgepitch.protocols.mongodb import codec

STAMP = bson.Timestamp(1_000_000, 1)
REPLY = b"\0" + bson.encode(
    {
        "cursor": {"id": bson.Int64(0), "ns": "sky.readings", "firstBatch": [{"_id": 1, "pad": "x" * 130}]},
        "ok": 1.0,
        "operationTime": STAMP,
    }
)
REQUEST = bson.encode(
    {
        "find": "history",
        "filter": {"station": 17, "pad": "y" * 110},
        "limit": 1,
        "lsid": {"id": bson.Binary(bytes(16), 4)},
        "maxTimeMS": 5000,
        "comment": "history-read",
        "$db": "sky",
    }
)
_HEADER = struct.Struct("<iiiiI")


class Endpoint(asyncio.Protocol):
    """One connection to an endpoint; answers each command immediately."""

    def __init__(self, primary: bool) -> None:
        hello = {
            "isWritablePrimary": primary,
            "secondary": not primary,
            "lastWrite": {"opTime": {"ts": STAMP, "t": 1}},
            "maxWireVersion": 21,
            "ok": 1.0,
        }
        self.hello = b"\0" + bson.encode(hello)
        self.buffer = b""

    def connection_made(self, transport) -> None:
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        data = self.buffer + data
        at, out = 0, []
        while len(data) - at >= 16:
            length, number = struct.unpack_from("<ii", data, at)
            if len(data) - at < length:
                break
            reply = self.hello if data.find(b"hello\0", at, at + 40) >= 0 else REPLY
            out.append(_HEADER.pack(20 + len(reply), number, number, 2013, 0) + reply)
            at += length
        self.buffer = data[at:]
        self.transport.write(b"".join(out))


class Client(asyncio.Protocol):
    """One client connection; sends the next request when the previous one is answered."""

    def __init__(self, times: list[float], refused: list[int], stop: list[bool]) -> None:
        self.times, self.refused, self.stop = times, refused, stop
        self.frame = codec.build(REQUEST, 1, 0)
        self.buffer = b""

    def connection_made(self, transport) -> None:
        self.transport = transport

    def begin(self) -> None:
        self.began = time.perf_counter()
        if not self.transport.is_closing():
            self.transport.write(self.frame)

    def data_received(self, data: bytes) -> None:
        self.buffer += data
        if len(self.buffer) < 4 or len(self.buffer) < struct.unpack_from("<i", self.buffer)[0]:
            return
        if b"firstBatch" not in self.buffer:
            self.refused.append(1)  # counted separately, and retried after 20 ms as a client would
            self.buffer = b""
            asyncio.get_running_loop().call_later(0.02, self.begin)
            return
        self.buffer = b""
        self.times.append(time.perf_counter() - self.began)
        if not self.stop:
            self.begin()


async def load(host: str, port: int, connections: int, seconds: float) -> dict:
    """Keep the connections busy; returns requests per second and latencies in milliseconds."""
    loop, times, refused, stop = asyncio.get_running_loop(), [], [], []
    clients = [
        (await loop.create_connection(lambda: Client(times, refused, stop), host, port))[1]
        for _ in range(connections)
    ]
    for client in clients:
        client.begin()
    await asyncio.sleep(0.5)  # warm-up
    times.clear()
    refused.clear()
    began = time.perf_counter()
    await asyncio.sleep(seconds)
    elapsed, latencies = time.perf_counter() - began, sorted(times)
    stop.append(True)
    await asyncio.sleep(0.1)
    for client in clients:
        client.transport.close()
    if not latencies:
        return {"rate": 0.0, "p50_ms": 0.0, "p99_ms": 0.0, "refused": 1.0}
    return {
        "rate": len(latencies) / elapsed,
        "p50_ms": latencies[len(latencies) // 2] * 1e3,
        "p99_ms": latencies[len(latencies) * 99 // 100] * 1e3,
        "refused": len(refused) / (len(refused) + len(latencies)),
    }


async def serve_endpoints(count: int) -> None:
    """Serve `count` endpoints, each on a port of its own; the first is the primary."""
    loop = asyncio.get_running_loop()
    ports = []
    for number in range(count):
        server = await loop.create_server(lambda n=number: Endpoint(n == 0), "127.0.0.1", 0, backlog=1024)
        ports.append(server.sockets[0].getsockname()[1])
    print("ready", *ports, flush=True)
    await asyncio.sleep(3600.0)


def forward(host: str, port: int) -> None:
    """Run a plain Twisted port forward on the same kind of reactor as the proxy."""
    from sedgepitch.cli.reactors import install

    reactor = install("uvloop")
    from twisted.protocols.portforward import ProxyFactory

    factory = ProxyFactory(host, port)
    factory.noisy = False
    print("ready", reactor.listenTCP(0, factory, interface="127.0.0.1").getHost().port, flush=True)
    reactor.run()


def main() -> None:
    """Run the role named by the first argument."""
    role, *rest = sys.argv[1:]
    if role == "member":
        uvloop.run(serve_endpoints(int(rest[0])))
    elif role == "load":
        host, _, port = rest[0].rpartition(":")
        print(json.dumps(uvloop.run(load(host, int(port), int(rest[1]), float(rest[2])))))
    else:
        host, _, port = rest[0].rpartition(":")
        forward(host, int(port))


if __name__ == "__main__":
    main()
