"""How soon a killed peer is known dead, what is suspected falsely, and what knowing each other costs.

`python -m benchmarks.peers [--sizes 8,16,32] [--losses 0,5,20] [--calm 15]`: processes on loopback, every
datagram through a relay that loses a share. Times are from the kill to the first and the last that took it
for dead, on the one monotonic clock of the machine; processor time is a share of one core, a peer.
"""

from __future__ import annotations

import argparse
import socket
import tempfile
import time
from contextlib import ExitStack
from pathlib import Path

from sedgepitch.peers.keys import new_key_file
from sedgepitch.scenarios.network_links import Link
from sedgepitch.scenarios.peer_processes import Peer, processor_time, until


def free_ports(count: int) -> list[int]:
    """Ports that nobody holds now."""
    with ExitStack() as stack:
        held = [stack.enter_context(socket.socket()) for _ in range(count)]
        for one in held:
            one.bind(("127.0.0.1", 0))
        return [one.getsockname()[1] for one in held]


def cell(count: int, loss: float, calm: float, seed: int) -> dict[str, float]:
    """One fleet: it finds itself, is left alone for a while, then loses one."""
    with tempfile.TemporaryDirectory() as folder, ExitStack() as stack:
        key = Path(folder) / "key"
        new_key_file(key)
        addresses = [f"127.0.0.1:{port}" for port in free_ports(count)]
        relays = [Link(a, seed + n) for n, a in enumerate(addresses)]
        routes = [x for n, r in enumerate(relays) for x in ("--route", f"d{n}={r.address}")]
        peers: dict[str, Peer] = {}
        for n, own in enumerate(addresses):
            seeds = [x for a in addresses[: min(n, 2)] for x in ("--seed", a)]
            peers[f"d{n}"] = Peer(f"d{n}", key, "--listen", own, *seeds, *routes)
            stack.callback(peers[f"d{n}"].end)
        for relay in relays:
            stack.callback(relay.close)
        everyone = set(peers)
        until(lambda: all(p.alive() == everyone for p in peers.values()), 240.0)
        for relay in relays:
            relay.loss = loss
        before = {n: p.status() for n, p in peers.items()}
        used = {n: processor_time(p.process.pid) for n, p in peers.items()}
        began = time.monotonic()
        time.sleep(calm)
        spent = time.monotonic() - began
        after = {n: p.status() for n, p in peers.items()}
        cores = sum(processor_time(p.process.pid) - used[n] for n, p in peers.items()) / spent / count

        def grown(field: str) -> float:
            return float(sum(after[n][field] - before[n][field] for n in peers))

        victim = peers.pop(f"d{count - 1}")
        killed = time.monotonic()
        victim.end()
        until(lambda: all(p.heard("dead", victim.name) for p in peers.values()), 240.0)
        dead = [p.heard("dead", victim.name)[0]["at"] - killed for p in peers.values()]
        return {
            "first": min(dead),
            "last": max(dead),
            "suspected": grown("suspicions") / spent / count * 3600.0,
            "dead": grown("deaths") / spent / count * 3600.0,
            "bytes": grown("sent_bytes") / spent / count,
            "cores": cores,
        }


def main() -> None:
    """Print the table."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--sizes", default="8,16,32")
    parser.add_argument("--losses", default="0,5,20", help="percent")
    parser.add_argument("--calm", default=15.0, type=float, help="seconds")
    told = parser.parse_args()
    print("peers  loss  first dead s  last s  suspected/h  false dead/h  bytes/s  core %", flush=True)
    for count in map(int, told.sizes.split(",")):
        for loss in map(float, told.losses.split(",")):
            row = cell(count, loss / 100.0, told.calm, seed=count)
            print(
                f"{count:5}{loss:5.0f}%{row['first']:14.2f}{row['last']:8.2f}{row['suspected']:13.1f}"
                f"{row['dead']:14.1f}{row['bytes']:9.0f}{100 * row['cores']:8.2f}",
                flush=True,
            )


if __name__ == "__main__":
    main()
