"""Run the emulated servers and the proxies as processes, and use the emulator's control socket."""

from __future__ import annotations

import contextlib
import copy
import json
import os
import queue
import socket
import subprocess
import sys
import threading
import time
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import yaml

READY_TIMEOUT_S = 60.0  # s; long, because the machine may be shared


class ProcessError(Exception):
    """A process did not start (the message is its last log line), or the emulator rejected a fault."""


class Process:
    """One `python -m sedgepitch` process, which prints `ready host:port` when it listens."""

    def __init__(self, arguments: list[str], log: Path, module: str = "sedgepitch") -> None:
        self.log = log
        self.log_file = log.open("ab")
        self.process = subprocess.Popen(
            [sys.executable, "-u", "-m", module, *arguments],
            stdout=subprocess.PIPE,
            stderr=self.log_file,
            text=True,
        )
        self.lines: queue.Queue[str] = queue.Queue()
        threading.Thread(target=self._read, daemon=True).start()

    def _read(self) -> None:
        assert self.process.stdout is not None
        for line in self.process.stdout:
            self.lines.put(line)
        self.lines.put("")

    def ready(self) -> tuple[str, int]:
        """Wait until the process listens and return its address; raise ProcessError if it does not."""
        end = time.monotonic() + READY_TIMEOUT_S
        while time.monotonic() < end:
            try:
                line = self.lines.get(timeout=0.2)
            except queue.Empty:
                continue
            if line.startswith("ready "):
                host, _, port = line.split()[1].rpartition(":")
                return host, int(port)
            if not line:
                break
        self.stop()
        lines = self.log.read_text(errors="replace").strip().splitlines()
        raise ProcessError(lines[-1] if lines else "the process ended without output before it was ready")

    def kill(self) -> None:
        """Kill the process."""
        self.process.kill()
        self.process.wait()

    def stop(self) -> int:
        """Terminate the process, kill it if it has not exited after 20 s, and return its exit code."""
        if self.process.poll() is None:
            self.process.terminate()
            try:
                self.process.wait(timeout=20.0)
            except subprocess.TimeoutExpired:
                self.process.kill()
                self.process.wait()
        self.log_file.close()
        return self.process.returncode


class CpuLoad:
    """Emulates a slow machine: busy loops on the core of a process, which end after `lasts` seconds."""

    def __init__(self, lasts: float) -> None:
        self.lasts = lasts
        self.running: list[subprocess.Popen[bytes]] = []

    def beside(self, pid: int, number: int, count: int) -> None:
        """Pin a process to core `number`, counted from the last, and start `count` busy loops there."""
        cores = sorted(os.sched_getaffinity(0))
        core = {cores[-number % len(cores)]}
        os.sched_setaffinity(pid, core)
        text = f"import time\nend = time.monotonic() + {self.lasts}\nwhile time.monotonic() < end: pass"
        for _ in range(count):
            process = subprocess.Popen([sys.executable, "-c", text])
            os.sched_setaffinity(process.pid, core)
            self.running.append(process)

    def stop(self) -> None:
        """Kill all busy loops."""
        for process in self.running:
            process.kill()
            process.wait()
        self.running = []


class Control:
    """A client of the emulator's control socket."""

    def __init__(self, address: tuple[str, int]) -> None:
        self.socket = socket.create_connection(address, timeout=10.0)
        self.file = self.socket.makefile("rb")
        self.lock = threading.Lock()  # one request at a time, from any thread

    def ask(self, op: str, **fields: Any) -> dict[str, Any]:
        """Send one request and return the response."""
        with self.lock:
            self.socket.sendall(json.dumps({"op": op, **fields}).encode() + b"\n")
            response: dict[str, Any] = json.loads(self.file.readline())
        return response

    def close(self) -> None:
        """Close the connection."""
        self.file.close()
        self.socket.close()


class Stage:
    """An emulated fleet and its proxies as processes, on ephemeral loopback ports.

    `settings` is the content of a settings file.
    """

    def __init__(self, settings: dict[str, Any], directory: Path, module: str = "sedgepitch") -> None:
        self.settings = copy.deepcopy(settings)
        self.directory, self.module = directory, module
        self.drivers: dict[str, Process] = {}
        self.addresses: dict[str, tuple[str, int]] = {}
        self.driver_settings: dict[str, dict[str, Any]] = {}
        self.record = directory / "members.jsonl"
        self.settings["standins"] |= {"control": "127.0.0.1:0", "record": str(self.record)}
        for member in self.settings["members"]:
            member["address"] = "127.0.0.1:0"
        self.fleet = Process(
            ["emulator", "--config", self._write("fleet", self.settings)], directory / "fleet.log"
        )
        try:
            self.control_address = self.fleet.ready()
            self.control = Control(self.control_address)
        except BaseException:  # the caller has no Stage yet on which it could call stop
            self.fleet.stop()
            raise

    def _write(self, name: str, settings: dict[str, Any]) -> str:
        path = self.directory / f"{name.replace('/', '_')}.yaml"
        path.write_text(yaml.safe_dump(settings), encoding="utf-8")
        return str(path)

    def driver(self, name: str, **changes: dict[str, Any]) -> tuple[str, int]:
        """Start a proxy, or restart it at its former address; `changes` override settings by section."""
        settings = self.driver_settings.get(name)
        if settings is None:
            settings = copy.deepcopy(self.settings)
            host, port = self.control_address
            settings["follow"] = {"control": f"{host}:{port}"}
            settings["listen"] = "127.0.0.1:0"
            settings.setdefault("driver", {})["name"] = name
            for part, values in changes.items():
                settings[part] = {**settings.get(part, {}), **values}
            self.driver_settings[name] = settings
        arguments = ["serve", "--config", self._write(name, settings)]
        process = Process(arguments, self.directory / f"{name}.log", self.module)
        self.drivers[name] = process
        address = self.addresses[name] = process.ready()
        settings["listen"] = f"{address[0]}:{address[1]}"
        return address

    def fault(self, do: str, **fields: Any) -> None:
        """Inject a fault; raise ProcessError if the emulator rejects it."""
        response = self.control.ask("fault", do=do, **fields)
        if not response["ok"]:
            raise ProcessError(f"fault {do}: {response['error']}")

    def members(self) -> list[dict[str, Any]]:
        """Return the status of each emulated server."""
        rows: list[dict[str, Any]] = self.control.ask("status")["members"]
        return rows

    def stop(self) -> None:
        """Stop the proxies and the emulator."""
        try:
            for process in self.drivers.values():
                process.stop()
        finally:
            self.control.close()
            self.fleet.stop()


@contextlib.contextmanager
def stage(settings: dict[str, Any], directory: Path) -> Iterator[Stage]:
    """Start a Stage and stop it at the end of the block."""
    running = Stage(settings, directory)
    try:
        yield running
    finally:
        running.stop()
