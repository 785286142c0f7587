"""Benchmarks gossip: detection time of a killed peer, false suspicions, traffic and processor time.

`python -m benchmarks.peers [--sizes 8,16,32] [--losses 0,5,20] [--calm 15]`: processes on loopback, every
datagram through a relay that drops a share. Detection times run from the kill to the first and the last peer
that declares it dead, on the machine's monotonic clock; processor time is the share of one core per peer.
"""

from __future__ import annotations

import argparse
import tempfile
import time
from contextlib import ExitStack, closing
from dataclasses import dataclass
from pathlib import Path

from sedgepitch.peers.keys import new_key_file
from sedgepitch.scenarios.network_links import Link
from sedgepitch.scenarios.peer_processes import PeerProcess, processor_time, wait_until
from sedgepitch.scenarios.port_reservations import PortReservations

TIMEOUT_S = 240.0
SECONDS_PER_HOUR = 3600.0
SEEDS = 2  # number of peers whose addresses the others start with


@dataclass(slots=True, frozen=True)
class Costs:
    """Per peer: false suspicions and deaths per hour, bytes sent per second, share of a core."""

    suspicions: float
    deaths: float
    bytes: float
    cores: float


@dataclass(slots=True, frozen=True)
class Measurement:
    """One row of the table. Detection times in seconds."""

    first_detection: float
    last_detection: float
    costs: Costs


def measure(count: int, loss: float, calm: float, seed: int) -> Measurement:
    """Run one cluster: wait until all peers see all alive, measure `calm` seconds, then kill one peer."""
    with tempfile.TemporaryDirectory() as folder, ExitStack() as stack:
        ports = stack.enter_context(closing(PortReservations()))
        addresses = [f"127.0.0.1:{ports.reserve()}" for _ in range(count)]
        relays = [Link(address, seed + number) for number, address in enumerate(addresses)]
        peers = start_peers(Path(folder) / "key", addresses, relays, stack)
        for relay in relays:
            stack.callback(relay.close)
        everyone = set(peers)
        wait_until(lambda: all(peer.alive() == everyone for peer in peers.values()), TIMEOUT_S)
        for relay in relays:
            relay.loss = loss
        costs = measure_costs(peers, calm)
        victim = peers.pop(f"d{count - 1}")
        killed_at = time.monotonic()
        victim.kill()
        wait_until(lambda: all(peer.events("dead", victim.name) for peer in peers.values()), TIMEOUT_S)
        detected = [peer.events("dead", victim.name)[0]["at"] - killed_at for peer in peers.values()]
        return Measurement(min(detected), max(detected), costs)


def start_peers(
    key: Path, addresses: list[str], relays: list[Link], stack: ExitStack
) -> dict[str, PeerProcess]:
    """Start a peer at each address; peers reach each other through the relays."""
    new_key_file(key)
    routes = [x for number, relay in enumerate(relays) for x in ("--route", f"d{number}={relay.address}")]
    peers: dict[str, PeerProcess] = {}
    for number, address in enumerate(addresses):
        seeds = [x for seed in addresses[: min(number, SEEDS)] for x in ("--seed", seed)]
        peer = PeerProcess(f"d{number}", key, "--listen", address, *seeds, *routes)
        peers[peer.name] = peer
        stack.callback(peer.kill)
    return peers


def measure_costs(peers: dict[str, PeerProcess], calm: float) -> Costs:
    """Measure the costs of running peers over `calm` seconds without failures."""
    before = {name: peer.status() for name, peer in peers.items()}
    processor_before = {name: processor_time(peer.process.pid) for name, peer in peers.items()}
    began = time.monotonic()
    time.sleep(calm)
    elapsed = time.monotonic() - began
    after = {name: peer.status() for name, peer in peers.items()}
    used = sum(processor_time(peer.process.pid) - processor_before[name] for name, peer in peers.items())

    def rate(field: str) -> float:
        increase = sum(after[name][field] - before[name][field] for name in peers)
        return float(increase) / elapsed / len(peers)

    return Costs(
        rate("suspicions") * SECONDS_PER_HOUR,
        rate("deaths") * SECONDS_PER_HOUR,
        rate("sent_bytes"),
        used / elapsed / len(peers),
    )


def main() -> None:
    """Print the table."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--sizes", default="8,16,32")
    parser.add_argument("--losses", default="0,5,20", help="percent")
    parser.add_argument("--calm", default=15.0, type=float, help="seconds")
    options = parser.parse_args()
    print("peers  loss  first dead s  last s  suspected/h  false dead/h  bytes/s  core %", flush=True)
    for count in map(int, options.sizes.split(",")):
        for loss in map(float, options.losses.split(",")):
            row = measure(count, loss / 100.0, options.calm, seed=count)
            costs = row.costs
            print(
                f"{count:5}{loss:5.0f}%{row.first_detection:14.2f}{row.last_detection:8.2f}"
                f"{costs.suspicions:13.1f}{costs.deaths:14.1f}{costs.bytes:9.0f}{100 * costs.cores:8.2f}",
                flush=True,
            )


if __name__ == "__main__":
    main()
