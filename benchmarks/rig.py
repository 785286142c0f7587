"""Processes for the measurements: quick members, a driver before them, a port forward, and load."""

from __future__ import annotations

import json
import subprocess
import sys
import tempfile
from importlib.resources import files
from pathlib import Path
from statistics import median

import yaml

from sedgepitch.scenarios.processes import Process

MEMBERS = 6


class Rig:
    """Members, a port forward to the first replica, and drivers; ends all of them."""

    def __init__(self) -> None:
        self.directory = tempfile.TemporaryDirectory()
        self.place = Path(self.directory.name)
        self.processes: list[subprocess.Popen] = []
        self.drivers: list[Process] = []
        self.ports = self._peer("member", str(MEMBERS))
        self.direct = f"127.0.0.1:{self.ports[1]}"
        self.forward = f"127.0.0.1:{self._peer('forward', self.direct)[0]}"

    def _peer(self, *arguments: str) -> list[int]:
        process = subprocess.Popen(
            [sys.executable, "-m", "benchmarks.peer", *arguments], stdout=subprocess.PIPE, text=True
        )
        self.processes.append(process)
        return [int(port) for port in process.stdout.readline().split()[1:]]

    def driver(self, name: str, workers: int = 1, reactor: str = "uvloop", door: bool = False) -> str:
        """Start a driver; returns its address."""
        settings = yaml.safe_load(files("sedgepitch.config").joinpath("example.yaml").read_text())
        for part in ("follow", "standins", *(() if door else ("door",))):
            settings.pop(part)
        settings["driver"] = {"name": name, "zone": "north", "reactor": reactor}
        settings["listen"] = "127.0.0.1:0"
        settings["members"] = [
            {"id": n + 1, "address": f"127.0.0.1:{port}", "zone": "north", "primary": n == 0}
            for n, port in enumerate(self.ports)
        ]
        if workers > 1:
            import socket

            with socket.socket() as free:
                free.bind(("127.0.0.1", 0))
                settings["listen"] = f"127.0.0.1:{free.getsockname()[1]}"
        path = self.place / f"{name}.yaml"
        path.write_text(yaml.safe_dump(settings))
        process = Process(
            ["serve", "--config", str(path), "--workers", str(workers)], self.place / f"{name}.log"
        )
        self.drivers.append(process)
        address = "{}:{}".format(*process.ready())
        for _ in range(workers - 1):
            process.ready()
        return address

    def load(self, address: str, connections: int, seconds: float, loaders: int = 1) -> dict:
        """Load one address from so many processes; rates add up, latencies are the worst loader's."""
        arguments = [address, str(max(1, connections // loaders)), str(seconds)]
        running = [
            subprocess.Popen(
                [sys.executable, "-m", "benchmarks.peer", "load", *arguments],
                stdout=subprocess.PIPE,
                text=True,
            )
            for _ in range(loaders)
        ]
        results = [json.loads(process.communicate()[0]) for process in running]
        out = {name: max(r[name] for r in results) for name in ("p50_ms", "p99_ms", "refused")}
        return {"rate": sum(r["rate"] for r in results), **out}

    def stop(self) -> None:
        """End all."""
        for process in self.drivers:
            process.stop()
        for process in self.processes:
            process.terminate()
            process.wait()
        self.directory.cleanup()


def middle(rows: list[dict]) -> dict:
    """The median of each figure over rounds."""
    return {name: median(row[name] for row in rows) for name in rows[0]}
