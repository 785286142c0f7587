"""Benchmarks requests per second through sedgepitch, through a plain port forward, and sent directly.

`python -m benchmarks.throughput [--rounds N] [--seconds S]`. The targets take turns within one run.
Takes about two minutes with the defaults.
"""

from __future__ import annotations

import click

from benchmarks.rig import Rig, medians

WIDTHS = (12, 16, 12, 9, 9, 9, 12)


@click.command()
@click.option("--rounds", default=3)
@click.option("--seconds", default=2.0)
def main(rounds: int, seconds: float) -> None:
    """Print the tables."""
    rig = Rig()
    try:
        targets = {"direct": rig.direct, "port forward": rig.forward, "sedgepitch": rig.start_proxy("one")}
        header = ("connections", "target", "requests/s", "p50 ms", "p99 ms", "refused", "of forward")
        print("".join(f"{name:>{width}}" for name, width in zip(header, WIDTHS, strict=True)))
        for connections in (1, 32, 256):
            rows: dict[str, list[dict]] = {target: [] for target in targets}
            for _ in range(rounds):
                for target, address in targets.items():
                    rows[target].append(rig.load(address, connections, seconds))
            forward = medians(rows["port forward"])["rate"]
            for target, measured in rows.items():
                row = medians(measured)
                share = f"{row['rate'] / forward:.2f}"
                line = (
                    f"{connections:>12}{target:>16}{row['rate']:>12.0f}"
                    f"{row['p50_ms']:>9.2f}{row['p99_ms']:>9.2f}"
                )
                print(line + f"{row['refused']:>9.2%}{share:>12}", flush=True)
        print(f"\n{'reactor':>12}{'requests/s at 32':>20}{'of uvloop':>12}")
        reactors = {name: rig.start_proxy(name, reactor=name) for name in ("uvloop", "asyncio", "epoll")}
        rates: dict[str, list[dict]] = {name: [] for name in reactors}
        for _ in range(rounds):
            for name, address in reactors.items():
                rates[name].append(rig.load(address, 32, seconds))
        uvloop_rate = medians(rates["uvloop"])["rate"]
        for name, measured in rates.items():
            rate = medians(measured)["rate"]
            print(f"{name:>12}{rate:>20.0f}{rate / uvloop_rate:>12.2f}", flush=True)
        print(f"\n{'workers':>12}{'requests/s at 256':>20}{'of one':>12}")
        counts = {n: rig.start_proxy(f"workers-{n}", workers=n) for n in (1, 2, 3)}
        shared: dict[int, list[dict]] = {n: [] for n in counts}
        for _ in range(rounds):
            for n, address in counts.items():
                shared[n].append(rig.load(address, 256, seconds, loaders=2))
        one_worker = medians(shared[1])["rate"]
        for n, measured in shared.items():
            rate = medians(measured)["rate"]
            print(f"{n:>12}{rate:>20.0f}{rate / one_worker:>12.2f}", flush=True)
    finally:
        rig.stop()


if __name__ == "__main__":
    main()
