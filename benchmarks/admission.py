"""Benchmarks admission control: its data structures against plain ones, and its cost before the router.

`python -m benchmarks.admission` takes about a minute. Times are microseconds per operation, comparable only
within one run.
"""

from __future__ import annotations

import heapq
import random
import time
import tracemalloc
from collections import deque
from importlib.resources import files

from benchmarks.rig import Rig
from sedgepitch.config.load import parse
from sedgepitch.decisions.admission.controller import AdmissionController
from sedgepitch.decisions.admission.messages import AdmissionRequest, Admit
from sedgepitch.decisions.admission.settings import AdmissionSettings
from sedgepitch.routing import messages as api
from sedgepitch.routing.router import Router
from sedgepitch.structures.sketch import DecayingSketch
from sedgepitch.structures.wheel import TimingWheel

SIZES = (1_000, 10_000, 100_000, 1_000_000)


def timed(call, count: int) -> float:
    """Return microseconds per operation of a call that performs `count` operations."""
    began = time.perf_counter()
    call()
    return (time.perf_counter() - began) / count * 1e6


def wheels(count: int) -> tuple[float, float]:
    """Insert timers, cancel nine in ten and expire the rest, with the wheel and with a heap.

    The heap skips cancelled entries when it pops them.
    """
    rng = random.Random(1)
    times = [rng.uniform(0.0, 2.0) for _ in range(count)]

    def wheel() -> None:
        timers: TimingWheel[int] = TimingWheel(0.005, 0.0)
        entries = [timers.put(at, n) for n, at in enumerate(times)]
        for n, entry in enumerate(entries):
            if n % 10:
                timers.cancel(entry)
        assert sum(1 for _ in timers.advance(3.0)) == (count + 9) // 10

    def heap() -> None:
        timers: list[tuple[float, int]] = []
        for n, at in enumerate(times):
            heapq.heappush(timers, (at, n))
        cancelled = {n for n in range(count) if n % 10}
        due = 0
        while timers:
            due += heapq.heappop(timers)[1] not in cancelled
        assert due == (count + 9) // 10

    return timed(wheel, count), timed(heap, count)


def sketches(count: int) -> tuple[float, float, float, float, float]:
    """Add once for each of `count` keys: time and KiB of sketch and dictionary, the sketch's mean error."""
    keys = [f"tenant-{n}" for n in range(count)]

    def size_of(make):
        tracemalloc.start()
        made = make()
        size = tracemalloc.get_traced_memory()[0]
        tracemalloc.stop()
        return made, size

    def sketch():
        counts = DecayingSketch(4096, 16, 10.0, 1, 0.0)
        for key in keys:
            counts.add(key, 1.0, 0.0)
        return counts

    def plain():
        counts: dict[str, float] = {}
        for key in keys:
            counts[key] = counts.get(key, 0.0) + 1.0
        return counts

    times = timed(sketch, count), timed(plain, count)
    made, sketch_bytes = size_of(sketch)
    _, plain_bytes = size_of(plain)
    error = sum(made.estimate(k, 0.0) - 1.0 for k in keys[:1000]) / min(1000, count) / count
    return *times, sketch_bytes / 1024, plain_bytes / 1024, error


def controller_call(clients: int, saturated: bool) -> tuple[float, float]:
    """Time a request's arrival, send and end for `clients` tenants; and a plain dictionary of deques.

    With `saturated`, 1000 requests are queued behind the 8 in the router.
    """
    count = 20_000
    controller = AdmissionController(AdmissionSettings(max_queued=2000), 1, 0.0)
    if saturated:
        for n in range(8 + 1000):
            controller.arrive(
                AdmissionRequest(n, f"t{n % clients}", "c", "x", 1.0, 1e6, 0, False, str(n)), 0.0
            )

    def call() -> None:
        admitted = deque(range(8)) if saturated else deque()
        for n in range(10_000, 10_000 + count):
            now = n * 1e-6
            name = f"t{n % clients}"
            out = controller.arrive(AdmissionRequest(n, name, "c", "x", 1.0, 1e6, 0, False, name), now)
            admitted += [d.id for d in out if isinstance(d, Admit)]
            if admitted:
                number = admitted.popleft()
                more = controller.sent(number, now) + controller.ended(number, now + 1e-6, True)
                admitted += [d.id for d in more if isinstance(d, Admit)]

    queues: dict[str, deque[int]] = {}
    order: deque[str] = deque()

    def plain_queues() -> None:
        for n in range(count):
            name = f"t{n % clients}"
            queue = queues.get(name)
            if queue is None:
                queue = queues[name] = deque()
                order.append(name)
            queue.append(n)
            next_tenant = order.popleft()
            queues[next_tenant].popleft()
            if queues[next_tenant]:
                order.append(next_tenant)
            else:
                del queues[next_tenant]

    return timed(call, count), timed(plain_queues, count)


def router_with_pending(pending: int, admission: bool) -> float:
    """Time a read's arrival and answer in the router while `pending` writes wait for room at the primary."""
    settings = parse(files("sedgepitch.config").joinpath("example.yaml").read_text(), "example")
    router = Router(settings.module_settings(), 1)
    entries = tuple(api.EndpointEntry(n + 1, 0, api.EndpointState.UP, "north", n == 0) for n in range(8))
    router.handle(10.0, [api.EndpointListUpdate(entries, complete=True)])
    router.endpoints[1].concurrency_limit = 0.0  # the primary admits no write
    controller = AdmissionController(AdmissionSettings(), 1, 10.0) if admission else None
    for n in range(pending):
        number = 1_000_000 + n
        if controller is not None:
            arrival = AdmissionRequest(number, str(n % 50), str(n), "upload", 6.0, 2.0, 0, True, str(n))
            if not any(isinstance(d, Admit) for d in controller.arrive(arrival, 10.0)):
                continue
        router.handle(10.0, [api.RequestReceived(number, "upload", 0, 2.0)])
    count = 100 if pending and not admission else 1000

    def call() -> None:
        for n in range(count):
            now = 10.0 + n * 1e-5
            actions = router.handle(now, [api.RequestReceived(n, "history-read", 0, 0.5)])
            endpoint = next(a.endpoint for a in actions if isinstance(a, api.SendAttempt) and a.request == n)
            router.handle(now, [api.AttemptFinished(n, 0, endpoint, api.AttemptResult.OK, 0.002, True)])

    return timed(call, count)


def main() -> None:
    """Print the tables."""
    print(f"{'items':>10}{'wheel us':>10}{'heap us':>10}")
    for count in SIZES:
        wheel, heap = wheels(count)
        print(f"{count:>10}{wheel:>10.2f}{heap:>10.2f}", flush=True)
    print(
        f"\n{'keys':>10}{'sketch us':>11}{'dict us':>9}{'sketch KiB':>12}{'dict KiB':>10}{'error/total':>13}"
    )
    for count in SIZES:
        sketch, plain, size, plain_size, error = sketches(count)
        print(
            f"{count:>10}{sketch:>11.2f}{plain:>9.2f}{size:>12.0f}{plain_size:>10.0f}{error:>13.5f}",
            flush=True,
        )
    print(f"\n{'clients':>10}{'idle us':>10}{'queued us':>12}{'dict of deques us':>19}")
    for clients in (1, 100, 10_000, 1_000_000):
        idle, plain = controller_call(clients, False)
        saturated, _ = controller_call(clients, True)
        print(f"{clients:>10}{idle:>10.2f}{saturated:>12.2f}{plain:>19.2f}", flush=True)
    idle = router_with_pending(0, False)
    print(f"\none read in the router, 8 endpoints: {idle:.0f} us with nothing pending")
    without, with_admission = router_with_pending(1000, False), router_with_pending(1000, True)
    print(
        f"1000 clients' writes pending: {without:.0f} us without admission control, "
        f"{with_admission:.0f} us with it",
        end="",
    )
    print(f" ({without / with_admission:.0f} times less, {with_admission / idle:.2f} of nothing pending)")
    rig = Rig()
    try:
        targets = {"without": rig.start_proxy("plain"), "with": rig.start_proxy("door", admission=True)}
        rates: dict[str, list[float]] = {target: [] for target in targets}
        for _ in range(4):
            for target, address in targets.items():
                rates[target].append(rig.load(address, 32, 1.5)["rate"])
        medians = {target: sorted(values)[len(values) // 2] for target, values in rates.items()}
        print(
            "throughput at 32 connections with admission control, as a share of without: "
            f"{medians['with'] / medians['without']:.2f}"
        )
    finally:
        rig.stop()


if __name__ == "__main__":
    main()
