"""The proxy processes of a soak: configuration file, starts, signals, and the kill after the grace period."""

from __future__ import annotations

import asyncio
import json
import os
import re
import signal
import subprocess
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from sedgepitch.scenarios.errors import ScenarioError
from sedgepitch.scenarios.soak.script import FileState, Reload, RestartPlan

READY_TIMEOUT_S = 30.0
POLL_INTERVAL_S = 0.005
KILL_MARGIN_S = 0.7  # past the longest deadline: the platform's earliest SIGKILL after SIGTERM
MAX_DEADLINE_S = 3.0  # a longer deadline does not extend the grace period
LEVEL_AFTER_S = 2.5  # after ready, when memory and descriptors are measured
MEMORY_INTERVAL_S = 0.02  # between measurements of the memory of all processes
BYTES_PER_KB, BYTES_PER_MB = 1024, 1_000_000
FILE_REPAIRED_AFTER_S = 0.08  # until a half-written or missing file is complete again
_PRIVATE_MEMORY = re.compile(r"(?:RssAnon|RssShmem):\s+(\d+) kB")
_LAG = re.compile(r"max_lag_ms=([0-9.]+)")


@dataclass(slots=True)
class ResourceLevel:
    """Resource usage of one process, LEVEL_AFTER_S after it was ready."""

    descriptors: int
    memory_mb: float


@dataclass(slots=True)
class ProxyProcess:
    """One proxy process. Times are on the monotonic clock, 0 for not yet."""

    number: int
    process: subprocess.Popen[bytes]
    log: Path
    started_at: float
    ready_at: float = 0.0
    terminated_at: float = 0.0
    killed: bool = False
    peak_memory_mb: float = 0.0
    level: ResourceLevel | None = None

    @property
    def running(self) -> bool:
        """Return whether the process is running."""
        return self.process.poll() is None

    def signal(self, number: int) -> None:
        """Send the process a signal if it is running."""
        if self.running:
            self.process.send_signal(number)

    def text(self) -> str:
        """Return the log so far."""
        return self.log.read_text(encoding="utf-8", errors="replace")

    def longest_lag(self) -> float:
        """Return the longest event loop lag in the log, in seconds."""
        return max((float(found) for found in _LAG.findall(self.text())), default=0.0) / 1000.0

    def private_memory_mb(self) -> float:
        """Return the memory that the process does not share with files, 0 if it has ended."""
        try:
            status = Path(f"/proc/{self.process.pid}/status").read_text(encoding="ascii")
        except OSError:
            return 0.0
        kilobytes = sum(int(found) for found in _PRIVATE_MEMORY.findall(status))
        return kilobytes * BYTES_PER_KB / BYTES_PER_MB

    def measure(self) -> None:
        """Measure open descriptors and resident memory."""
        try:
            descriptors = len(os.listdir(f"/proc/{self.process.pid}/fd"))
            status = Path(f"/proc/{self.process.pid}/status").read_text(encoding="ascii")
        except OSError:
            return
        resident = re.search(r"VmRSS:\s+(\d+) kB", status)
        if resident is not None:
            self.level = ResourceLevel(descriptors, int(resident[1]) / 1024.0)


@dataclass(slots=True)
class ProxyProcesses:
    """All proxy processes of one run; the last one is current. `command` starts the program."""

    directory: Path
    command: list[str]
    environment: dict[str, str]
    configuration: Callable[[], dict[str, Any]]
    longest_deadline: float
    processes: list[ProxyProcess] = field(default_factory=list)
    findings: list[str] = field(default_factory=list)
    crowd_ends_at: float = 0.0  # of the last crowd, on the monotonic clock
    file_repairs: set[asyncio.Task[None]] = field(default_factory=set)

    @property
    def current(self) -> ProxyProcess:
        """Return the process that was started last."""
        return self.processes[-1]

    @property
    def path(self) -> Path:
        """Return the configuration file's path."""
        return self.directory / "config.json"

    def write_configuration(self) -> None:
        """Replace the configuration file atomically."""
        temporary = self.path.with_suffix(".new")
        temporary.write_text(json.dumps(self.configuration()), encoding="utf-8")
        temporary.replace(self.path)

    # Starting

    def start(self) -> ProxyProcess:
        """Start the next process; raise ScenarioError if it cannot be started."""
        self.write_configuration()
        number = len(self.processes) + 1
        log = self.directory / f"proxy-{number}.log"
        environment = {**os.environ, **self.environment, "RELAY_CONFIG": str(self.path), "RELAY_NAME": "n1"}
        try:
            with log.open("wb") as output:
                process = subprocess.Popen(self.command, env=environment, stdout=output, stderr=output)
        except OSError as error:
            raise ScenarioError(f"proxy process {number}: {self.command[0]}: {error.strerror}") from None
        self.processes.append(ProxyProcess(number, process, log, time.monotonic()))
        return self.current

    async def wait_ready(self, proxy: ProxyProcess) -> None:
        """Wait until a process listens; add a finding if it does not."""
        end = proxy.started_at + READY_TIMEOUT_S
        while "listening address=" not in proxy.text():
            if not proxy.running or time.monotonic() > end:
                if not proxy.terminated_at:
                    last_line = proxy.text().strip().splitlines()[-1:]
                    self.findings.append(f"process {proxy.number} never listened: {''.join(last_line)}")
                return
            await asyncio.sleep(POLL_INTERVAL_S)
        proxy.ready_at = time.monotonic()

    async def watch_level(self, proxy: ProxyProcess) -> None:
        """Measure a process LEVEL_AFTER_S after it is ready and the last crowd has left."""
        await self.wait_ready(proxy)
        await asyncio.sleep(LEVEL_AFTER_S)
        while (left := self.crowd_ends_at + LEVEL_AFTER_S - time.monotonic()) > 0.0:
            await asyncio.sleep(left)
        proxy.measure()

    async def enforce_memory_limit(self, limit_mb: float) -> None:
        """Kill each process that uses more than the limit, as the platform does; add a finding."""
        while True:
            for proxy in [each for each in self.processes[-2:] if each.running]:
                used = proxy.private_memory_mb()
                proxy.peak_memory_mb = max(proxy.peak_memory_mb, used)
                if used > limit_mb:
                    proxy.process.kill()
                    proxy.process.wait()
                    self.findings.append(
                        f"process {proxy.number} used {used:.1f} of {limit_mb:g} MB and was killed for it"
                    )
            await asyncio.sleep(MEMORY_INTERVAL_S)

    # Signals

    async def restart(self, plan: RestartPlan, on_started: Callable[[ProxyProcess], None]) -> None:
        """Terminate the current process, kill it after the grace period, and start its successor."""
        old = self.current
        if plan.reload_before:
            old.signal(signal.SIGHUP)
            await asyncio.sleep(plan.reload_before)
        if plan.suspension:
            old.signal(signal.SIGSTOP)
        old.signal(signal.SIGTERM)
        old.terminated_at = time.monotonic()
        kill = asyncio.create_task(self._kill_after_grace_period(old))
        if plan.suspension:
            await asyncio.sleep(plan.suspension)
            old.signal(signal.SIGCONT)
        if plan.reload_after:
            await asyncio.sleep(plan.reload_after)
            old.signal(signal.SIGHUP)
        if plan.repeat_after:
            await asyncio.sleep(plan.repeat_after)
            old.signal(signal.SIGTERM)
        if not plan.successor_at_once:
            await kill
        on_started(self.start())
        await kill

    async def _kill_after_grace_period(self, proxy: ProxyProcess) -> None:
        """Wait for a process to exit, and kill it at the earliest time at which the platform may."""
        end = proxy.terminated_at + min(self.longest_deadline, MAX_DEADLINE_S) + KILL_MARGIN_S
        while proxy.running and time.monotonic() < end:
            await asyncio.sleep(POLL_INTERVAL_S)
        if proxy.running:
            proxy.killed = True
            proxy.process.kill()
        proxy.process.wait()

    async def reload_series(self, reloads: tuple[Reload, ...], move: Callable[[], None]) -> None:
        """Send a series of SIGHUPs; `move` changes the configuration before each."""
        for reload in reloads:
            await asyncio.sleep(reload.gap)
            move()
            self._write_in_state(reload.file)
            self.current.signal(signal.SIGHUP)

    def _write_in_state(self, state: FileState) -> None:
        self.write_configuration()
        if state is FileState.COMPLETE:
            return
        if state is FileState.MISSING:
            self.path.unlink()
        else:
            text = self.path.read_text(encoding="utf-8")
            self.path.write_text(text[: len(text) // 2], encoding="utf-8")
        task = asyncio.create_task(self._repair_file())
        self.file_repairs.add(task)
        task.add_done_callback(self.file_repairs.discard)

    async def _repair_file(self) -> None:
        await asyncio.sleep(FILE_REPAIRED_AFTER_S)
        self.write_configuration()

    # Stopping

    async def stop(self) -> None:
        """Terminate the current process as a restart does, and kill any other that still runs."""
        if self.processes and self.current.running:
            self.current.signal(signal.SIGTERM)
            self.current.terminated_at = time.monotonic()
            await self._kill_after_grace_period(self.current)
        self.kill_all()

    def kill_all(self) -> None:
        """Kill all processes that still run."""
        for proxy in self.processes:
            if proxy.running:
                proxy.process.kill()
                proxy.process.wait()
