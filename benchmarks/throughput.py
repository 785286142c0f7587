"""Requests a second through sedgepitch, a bare port forward and direct, in turn within one run.

`python -m benchmarks.throughput [--rounds N] [--seconds S]`. About two minutes with the defaults.
"""

from __future__ import annotations

import click

from benchmarks.rig import Rig, middle

WIDTHS = (12, 16, 12, 9, 9, 9, 12)


@click.command()
@click.option("--rounds", default=3)
@click.option("--seconds", default=2.0)
def main(rounds: int, seconds: float) -> None:
    """Print the tables."""
    rig = Rig()
    try:
        ways = {"direct": rig.direct, "port forward": rig.forward, "sedgepitch": rig.driver("one")}
        head = ("connections", "way", "requests/s", "p50 ms", "p99 ms", "refused", "of forward")
        print("".join(f"{name:>{width}}" for name, width in zip(head, WIDTHS, strict=True)))
        for connections in (1, 32, 256):
            rows: dict[str, list[dict]] = {way: [] for way in ways}
            for _ in range(rounds):
                for way, address in ways.items():
                    rows[way].append(rig.load(address, connections, seconds))
            forward = middle(rows["port forward"])["rate"]
            for way, measured in rows.items():
                m = middle(measured)
                share = f"{m['rate'] / forward:.2f}"
                line = f"{connections:>12}{way:>16}{m['rate']:>12.0f}{m['p50_ms']:>9.2f}{m['p99_ms']:>9.2f}"
                print(line + f"{m['refused']:>9.2%}{share:>12}", flush=True)
        print(f"\n{'reactor':>12}{'requests/s at 32':>20}{'of uvloop':>12}")
        reactors = {name: rig.driver(name, reactor=name) for name in ("uvloop", "asyncio", "epoll")}
        rates: dict[str, list[dict]] = {name: [] for name in reactors}
        for _ in range(rounds):
            for name, address in reactors.items():
                rates[name].append(rig.load(address, 32, seconds))
        best = middle(rates["uvloop"])["rate"]
        for name, measured in rates.items():
            rate = middle(measured)["rate"]
            print(f"{name:>12}{rate:>20.0f}{rate / best:>12.2f}", flush=True)
        print(f"\n{'workers':>12}{'requests/s at 256':>20}{'of one':>12}")
        counts = {n: rig.driver(f"workers-{n}", workers=n) for n in (1, 2, 3)}
        shared: dict[int, list[dict]] = {n: [] for n in counts}
        for _ in range(rounds):
            for n, address in counts.items():
                shared[n].append(rig.load(address, 256, seconds, loaders=2))
        one = middle(shared[1])["rate"]
        for n, measured in shared.items():
            rate = middle(measured)["rate"]
            print(f"{n:>12}{rate:>20.0f}{rate / one:>12.2f}", flush=True)
    finally:
        rig.stop()


if __name__ == "__main__":
    main()
