"""Where one request's time goes in the driver, part by part, and what an idle client connection holds.

`python -m benchmarks.shares`. Each part runs by itself on the messages of the throughput measurement, so the
rest (sockets, the reactor, glue) is what the whole takes beyond their sum. Some ten seconds.
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
    """Microseconds a call, the best of three runs."""
    best = float("inf")
    for _ in range(3):
        began = time.perf_counter()
        for _ in range(REPEAT):
            call()
        best = min(best, time.perf_counter() - began)
    return best / REPEAT * 1e6


def module_call(settings, members: int = 6) -> Callable[[], object]:
    """One arrival and its answer in the module, the clock running on."""
    router = Router(settings.module_settings(), 1)
    listings = tuple(
        api.EndpointEntry(n + 1, 0, api.EndpointState.UP, "north", n == 0) for n in range(members)
    )
    router.handle(10.0, [api.EndpointListUpdate(listings, complete=True)])
    state = [10.0, 0]

    def call() -> None:
        state[0] += 0.0005
        state[1] += 1
        number = state[1]
        actions = router.handle(state[0], [api.RequestReceived(number, "history-read", 0, 0.5)])
        member = next(a.endpoint for a in actions if isinstance(a, api.SendAttempt))
        end = api.AttemptFinished(
            number, 0, member, api.AttemptResult.OK, 0.002, True, None, None, api.LoadReport(state[0], None)
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
        "command: fields read": lambda: read(message),
        "classify": classify,
        "module": module_call(settings),
        "upstream: message built, reply judged": upstream,
    }
    taken = {name: time_of(call) for name, call in parts.items()}
    rig = Rig()
    try:
        address = rig.driver("one")
        whole = 1e6 / rig.load(address, 32, 3.0)["rate"]
        print(f"{'part':42}{'us':>8}{'share':>8}")
        for name, figure in taken.items():
            print(f"{name:42}{figure:>8.1f}{figure / whole:>8.0%}")
        rest = whole - sum(taken.values())
        print(f"{'sockets, reactor, engine, pool, metrics':42}{rest:>8.1f}{rest / whole:>8.0%}")
        print(f"{'one request (32 connections)':42}{whole:>8.1f}")
        print(f"{'(bson.decode of the command, for scale)':42}{time_of(lambda: bson.decode(REQUEST)):>8.1f}")
        idle(rig, address)
    finally:
        rig.stop()


def idle(rig: Rig, address: str) -> None:
    """Memory of idle client connections."""
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (hard, hard))
    pid = rig.drivers[0].process.pid

    def resident() -> int:
        return int(Path(f"/proc/{pid}/statm").read_text().split()[1]) * resource.getpagesize()

    host, _, port = address.rpartition(":")
    before, held = resident(), []
    count = 10_000
    for _ in range(count):
        held.append(socket.create_connection((host, int(port))))
    held[-1].sendall(codec.build(REQUEST, 1, 0))
    assert held[-1].recv(1000)
    print(f"\n{count} idle connections: {(resident() - before) / count / 1024:.1f} KiB each")
    rate = rig.load(address, 32, 2.0)["rate"]
    for each in held:
        each.close()
    time.sleep(1.0)
    print(f"requests/s at 32 beside them: {rate / rig.load(address, 32, 2.0)['rate']:.2f} of without")


if __name__ == "__main__":
    main()
