"""Benchmarks the parts of the proxy's time per request, and the memory of an idle client connection.

`python -m benchmarks.shares`. Each part runs alone on the messages of the throughput benchmark. The remainder
(sockets, reactor, glue code) is the time of a whole request minus their sum. Takes about ten seconds.
"""

from __future__ import annotations

import resource
import socket
import time
from collections.abc import Callable
from pathlib import Path

import bson

from benchmarks.peer import REPLY, REQUEST
from benchmarks.rig import Rig
from sedgepitch.cli.group_lookup import group_finder
from sedgepitch.config.load import parse
from sedgepitch.observe.metrics import Metrics
from sedgepitch.protocols.mongodb import codec
from sedgepitch.protocols.mongodb.commands import read
from sedgepitch.protocols.mongodb.reply import summarize
from sedgepitch.routing import messages as api
from sedgepitch.routing.router import Router

REPEAT = 20_000


def time_of(call: Callable[[], object]) -> float:
    """Return microseconds per call, the best of three runs."""
    best = float("inf")
    for _ in range(3):
        began = time.perf_counter()
        for _ in range(REPEAT):
            call()
        best = min(best, time.perf_counter() - began)
    return best / REPEAT * 1e6


def router_call(settings, endpoint_count: int = 6) -> Callable[[], object]:
    """Return a function that passes one request and its answer through the router, with advancing time."""
    router = Router(settings.module_settings(), 1)
    entries = tuple(
        api.EndpointEntry(n + 1, 0, api.EndpointState.UP, "north", n == 0) for n in range(endpoint_count)
    )
    router.handle(10.0, [api.EndpointListUpdate(entries, complete=True)])
    state = [10.0, 0]

    def call() -> None:
        state[0] += 0.0005
        state[1] += 1
        number = state[1]
        actions = router.handle(state[0], [api.RequestReceived(number, "history-read", 0, 0.5)])
        endpoint = next(a.endpoint for a in actions if isinstance(a, api.SendAttempt))
        end = api.AttemptFinished(
            number, 0, endpoint, api.AttemptResult.OK, 0.002, True, None, None, api.LoadReport(state[0], None)
        )
        router.handle(state[0] + 0.0002, [end])

    return call


def main() -> None:
    """Print the table."""
    from importlib.resources import files

    settings = parse(files("sedgepitch.config").joinpath("example.yaml").read_text(), "example")
    frame, reply = codec.build(REQUEST, 1, 0), codec.build_raw(REPLY, 1, 1)
    message, answer = codec.parse(frame), codec.parse(reply)
    request = read(message)
    classifier, find_group, metrics = settings.classifier(), group_finder(settings), Metrics()
    del metrics

    def classify() -> None:
        find_group(request)
        cls = classifier.find(request.facts)
        assert cls is not None
        classifier.place(cls, request.facts, 0.5, None)

    def upstream() -> None:
        request._sections = b""
        codec.build_raw(request.sections(), 1, 0)
        summarize(answer)

    parts = {
        "codec: frame in, reply in, reply out": lambda: (
            codec.parse(frame),
            codec.parse(reply),
            codec.build(answer.body, 1, 1),
        ),
        "command: read fields": lambda: read(message),
        "classify": classify,
        "router": router_call(settings),
        "upstream: build message, summarize reply": upstream,
    }
    durations = {name: time_of(call) for name, call in parts.items()}
    rig = Rig()
    try:
        address = rig.start_proxy("one")
        whole = 1e6 / rig.load(address, 32, 3.0)["rate"]
        print(f"{'part':42}{'us':>8}{'share':>8}")
        for name, duration in durations.items():
            print(f"{name:42}{duration:>8.1f}{duration / whole:>8.0%}")
        rest = whole - sum(durations.values())
        print(f"{'sockets, reactor, engine, pool, metrics':42}{rest:>8.1f}{rest / whole:>8.0%}")
        print(f"{'one request (32 connections)':42}{whole:>8.1f}")
        print(f"{'(bson.decode of the command, to compare)':42}{time_of(lambda: bson.decode(REQUEST)):>8.1f}")
        idle(rig, address)
    finally:
        rig.stop()


def idle(rig: Rig, address: str) -> None:
    """Measure the memory of idle client connections and the throughput beside them."""
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (hard, hard))
    pid = rig.proxies[0].process.pid

    def resident() -> int:
        return int(Path(f"/proc/{pid}/statm").read_text().split()[1]) * resource.getpagesize()

    host, _, port = address.rpartition(":")
    before, connections = resident(), []
    count = 10_000
    for _ in range(count):
        connections.append(socket.create_connection((host, int(port))))
    connections[-1].sendall(codec.build(REQUEST, 1, 0))
    assert connections[-1].recv(1000)
    print(f"\n{count} idle connections: {(resident() - before) / count / 1024:.1f} KiB each")
    rate = rig.load(address, 32, 2.0)["rate"]
    for connection in connections:
        connection.close()
    time.sleep(1.0)
    print(f"requests/s at 32 beside them: {rate / rig.load(address, 32, 2.0)['rate']:.2f} of without")


if __name__ == "__main__":
    main()
