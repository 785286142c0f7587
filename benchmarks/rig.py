"""Processes for the benchmarks: fast endpoints, proxies before them, a port forward and load generators."""

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

ENDPOINTS = 6


class Rig:
    """Endpoints, a port forward to the first replica, and proxies; `stop` ends all of them."""

    def __init__(self) -> None:
        self.directory = tempfile.TemporaryDirectory()
        self.directory_path = Path(self.directory.name)
        self.processes: list[subprocess.Popen] = []
        self.proxies: list[Process] = []
        self.ports = self._start_peer("member", str(ENDPOINTS))
        self.direct = f"127.0.0.1:{self.ports[1]}"
        self.forward = f"127.0.0.1:{self._start_peer('forward', self.direct)[0]}"

    def _start_peer(self, *arguments: str) -> list[int]:
        process = subprocess.Popen(
            [sys.executable, "-m", "benchmarks.peer", *arguments], stdout=subprocess.PIPE, text=True
        )
        self.processes.append(process)
        return [int(port) for port in process.stdout.readline().split()[1:]]

    def start_proxy(
        self, name: str, workers: int = 1, reactor: str = "uvloop", admission: bool = False
    ) -> str:
        """Start a proxy and return its address."""
        settings = yaml.safe_load(files("sedgepitch.config").joinpath("example.yaml").read_text())
        for part in ("follow", "standins", *(() if admission else ("door",))):
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
        path = self.directory_path / f"{name}.yaml"
        path.write_text(yaml.safe_dump(settings))
        process = Process(
            ["serve", "--config", str(path), "--workers", str(workers)], self.directory_path / f"{name}.log"
        )
        self.proxies.append(process)
        address = "{}:{}".format(*process.ready())
        for _ in range(workers - 1):
            process.ready()
        return address

    def load(self, address: str, connections: int, seconds: float, loaders: int = 1) -> dict:
        """Load one address from `loaders` processes; adds up rates, returns the worst of other figures."""
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
        """Stop all processes and remove their files."""
        for process in self.proxies:
            process.stop()
        for process in self.processes:
            process.terminate()
            process.wait()
        self.directory.cleanup()


def medians(rows: list[dict]) -> dict:
    """Return the median of each figure over the rounds."""
    return {name: median(row[name] for row in rows) for name in rows[0]}
