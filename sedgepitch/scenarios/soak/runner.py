"""Runs the script of one soak: the proxy program as processes, the load, the faults, and the verdict."""

from __future__ import annotations

import asyncio
import json
import random
import signal
import subprocess
import sys
import time
from collections.abc import Callable, Coroutine
from pathlib import Path
from typing import Any

from sedgepitch.audit.records import Record
from sedgepitch.emulator.discovery_agent import SERVING_MODES
from sedgepitch.scenarios.port_reservations import PortReservations
from sedgepitch.scenarios.soak.clients import SharedState, SoakClient
from sedgepitch.scenarios.soak.crowd import CONNECT_SPREAD_S, Crowd
from sedgepitch.scenarios.soak.emulated_platform import EmulatedPlatform
from sedgepitch.scenarios.soak.misbehaving_clients import CrowdKind
from sedgepitch.scenarios.soak.proxy_processes import ProxyProcess, ProxyProcesses
from sedgepitch.scenarios.soak.script import Action, SoakScript, Step
from sedgepitch.scenarios.soak.traffic import platform_settings
from sedgepitch.scenarios.soak.verdict import SoakResult, Verdict

CLIENTS = 12
LAG_INTERVAL_S = 0.02  # between measurements of this process's own event loop lag
RELOADED_WITHIN_S = 6.0  # after the last SIGHUP, the proxy must have a watch at the configured agent
DRAINED_AFTER_S = 1.0  # past the longest deadline, to wait for the last responses
PROGRAM = [sys.executable, "-m", "sedgepitch.node"]
CROWD_PROGRAM = [sys.executable, "-m", "sedgepitch.scenarios.soak.crowd_process"]
CROWD_ENDS_WITHIN_S = 5.0
BUSY = "import os; parent = os.getppid()\nwhile os.getppid() == parent: pass"


class SoakRun:
    """One run. `command` starts the proxy program; tests of the soak itself pass a faulty program."""

    def __init__(self, script: SoakScript, directory: Path, command: list[str] | None = None) -> None:
        """Prepare a run; records and logs are written to `directory`."""
        rng = random.Random(f"soak run/{script.seed}")
        self._script = script
        self._directory = directory
        self._records: list[Record] = []
        self._ports = PortReservations()
        self._platform = EmulatedPlatform(self._record, rng, self._ports)
        self._port = self._ports.reserve()
        self._processes = ProxyProcesses(
            directory, command or PROGRAM, {}, self._configuration, script.longest_deadline
        )
        self._shared = SharedState(rng, self._record, script.longest_deadline, lambda: self._port)
        self._crowds = 0  # of misbehaving clients, so far
        self._crowd_output: list[bytes] = []  # their records, read after the load
        self._crowd = Crowd(lambda: self._port, rng)
        self._own_delay = 0.0
        self._played: list[Step] = []
        self._tasks: set[asyncio.Task[Any]] = set()
        self._task_errors: list[str] = []
        self._moves = 0  # changes of the configured discovery agent, by reloads

    def run(self) -> SoakResult:
        """Run the script; raise ScenarioError if the proxy cannot be started."""
        self._directory.mkdir(parents=True, exist_ok=True)
        return asyncio.run(self._play())

    def _record(self, kind: str, **fields: Any) -> None:
        self._records.append({"e": kind, "t": time.monotonic(), **fields})

    def _configuration(self) -> dict[str, Any]:
        platform = self._platform
        limits = self._script.limits
        return {
            "name": "n1",
            "listen": f"127.0.0.1:{self._port}",
            "discovery": f"127.0.0.1:{platform.agents[platform.agent_index].port}",
            "seed": f"{self._script.seed:016x}",
            "limits": {"cores": 1.0, "memory_mb": limits.memory_mb, "sockets": limits.sockets},
            "known": platform.complete_list(),
            "settings": platform_settings(self._script.longest_deadline),
        }

    # The run

    async def _play(self) -> SoakResult:
        busy = [subprocess.Popen([sys.executable, "-c", BUSY]) for _ in range(self._script.busy_processes)]
        try:
            await self._platform.start()
            first = self._processes.start()
            await self._processes.wait_ready(first)
            began = time.monotonic()
            await self._load(began)
        finally:
            self._processes.kill_all()
            self._platform.stop()
            self._ports.close()
            for process in busy:
                process.kill()
                process.wait()
        result = self._judge(began)
        self._write_result(result)
        return result

    async def _load(self, began: float) -> None:
        self._spawn(self._watch_own_delay())
        self._spawn(self._processes.watch_level(self._processes.current))
        self._spawn(self._processes.enforce_memory_limit(self._script.limits.memory_mb))
        clients = [asyncio.create_task(SoakClient(self._shared).run()) for _ in range(CLIENTS)]
        for step in self._script.steps:
            await asyncio.sleep(max(0.0, began + step.at - time.monotonic()))
            self._played.append(step)
            self._spawn(self._run_step(step))
        await asyncio.sleep(max(0.0, began + self._script.length - time.monotonic()))
        self._shared.stopping = True
        await asyncio.wait(clients, timeout=self._script.longest_deadline + DRAINED_AFTER_S)
        self._task_errors += [f"client: {task.exception()!r}" for task in clients if _failed(task)]
        await self._processes.stop()
        for task in [*clients, *self._tasks]:
            task.cancel()
        await asyncio.gather(*clients, *self._tasks, return_exceptions=True)

    def _spawn(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._task_done)

    def _task_done(self, task: asyncio.Task[Any]) -> None:
        self._tasks.discard(task)
        if _failed(task):
            self._task_errors.append(f"the soak runner: {task.exception()!r}")

    async def _watch_own_delay(self) -> None:
        while True:
            due = time.monotonic() + LAG_INTERVAL_S
            await asyncio.sleep(LAG_INTERVAL_S)
            self._own_delay = max(self._own_delay, time.monotonic() - due)

    # Steps

    async def _run_step(self, step: Step) -> None:
        handlers: dict[Action, Callable[[Step], Coroutine[Any, Any, None]]] = {
            Action.RESTART: self._restart,
            Action.RELOAD_SERIES: self._reload_series,
            Action.SUSPEND: self._suspend,
            Action.CROWD: self._play_crowd,
        }
        await handlers.get(step.action, self._platform.inject)(step)

    async def _play_crowd(self, step: Step) -> None:
        self._processes.crowd_ends_at = time.monotonic() + step.duration + CONNECT_SPREAD_S
        if step.crowd is CrowdKind.MIXED:
            await self._crowd.play(step.duration)
            return
        self._crowds += 1
        arguments = [step.crowd, str(self._port), str(step.duration), f"c{self._crowds}x"]
        process = await asyncio.create_subprocess_exec(
            *CROWD_PROGRAM, *arguments, stdout=asyncio.subprocess.PIPE
        )
        try:
            output, _ = await asyncio.wait_for(process.communicate(), step.duration + CROWD_ENDS_WITHIN_S)
        finally:
            if process.returncode is None:
                process.kill()
        self._crowd_output.append(output)

    async def _restart(self, step: Step) -> None:
        self._platform.delay_notifications()

        def started(proxy: ProxyProcess) -> None:
            self._spawn(self._processes.watch_level(proxy))

        await self._processes.restart(step.restart, started)

    async def _reload_series(self, step: Step) -> None:
        proxy = self._processes.current

        def move() -> None:
            self._moves += 1
            self._platform.move_discovery()

        await self._processes.reload_series(step.reloads, move)
        moves = self._moves
        await asyncio.sleep(RELOADED_WITHIN_S)
        agent = self._platform.agents[self._platform.agent_index]
        undisturbed = moves == self._moves and proxy is self._processes.current and not proxy.terminated_at
        if undisturbed and agent.mode in SERVING_MODES and not agent.watch_count:
            self._processes.findings.append(
                f"process {proxy.number} has no watch at its new discovery agent; after {step.describe()}"
            )

    async def _suspend(self, step: Step) -> None:
        proxy = self._processes.current
        if proxy.terminated_at:
            return
        self._record("frozen", d="n1")
        proxy.signal(signal.SIGSTOP)
        await asyncio.sleep(step.duration)
        proxy.signal(signal.SIGCONT)
        self._record("woken", d="n1")

    # The verdict

    def _judge(self, began: float) -> SoakResult:
        self._records += self._platform.notified
        self._records += [json.loads(line) for output in self._crowd_output for line in output.splitlines()]
        verdict = Verdict(self._script, self._records, self._shared, began)
        findings = [*self._processes.findings, *self._task_errors]
        result = verdict.judge(self._processes.processes, findings, self._own_delay)
        result.steps_played = self._played
        return result

    def _write_result(self, result: SoakResult) -> None:
        """Write records and result to the directory of the logs."""
        lines = (json.dumps(record) for record in self._records)
        (self._directory / "records.jsonl").write_text("\n".join(lines) + "\n", encoding="utf-8")
        (self._directory / "result.json").write_text(json.dumps(result.as_dict(), indent=1), encoding="utf-8")


def _failed(task: asyncio.Task[Any]) -> bool:
    return task.done() and not task.cancelled() and task.exception() is not None
