"""Supervises several worker processes that share one client port."""

from __future__ import annotations

import signal
import subprocess
import sys
import time
from types import FrameType
from typing import Any

import click

from sedgepitch.config.models import Settings

RESTART_BACKOFF_S = 1.0  # before the first restart; doubles after each
RESTART_BACKOFF_MAX_S = 30.0
POLL_INTERVAL_S = 0.05


def worker_settings(settings: Settings, worker: int, workers: int) -> Settings:
    """Return the settings of one worker: its own name and metrics port, and the number of all instances."""
    name = f"{settings.driver.name}/{worker}"
    changes: dict[str, Any] = {
        "driver": settings.driver.model_copy(update={"name": name}),
        "module": settings.module.model_copy(update={"drivers": settings.module.drivers * workers}),
    }
    if settings.metrics is not None and settings.metrics[1]:
        changes["metrics"] = (settings.metrics[0], settings.metrics[1] + worker - 1)
    return settings.model_copy(update=changes)


def supervise(path: str, workers: int) -> int:
    """Run the workers until SIGTERM or SIGINT, restart those that exit, and return the exit code."""
    shutdown_requested = False
    running: dict[int, subprocess.Popen[bytes]] = {}

    def start(number: int) -> None:
        arguments = ["serve", "--config", path, "--workers", str(workers), "--worker", str(number)]
        running[number] = subprocess.Popen([sys.executable, "-m", "sedgepitch", *arguments])

    def on_signal(_number: int, _frame: FrameType | None) -> None:
        nonlocal shutdown_requested
        shutdown_requested = True
        for process in running.values():
            process.terminate()

    signal.signal(signal.SIGTERM, on_signal)
    signal.signal(signal.SIGINT, on_signal)
    for number in range(1, workers + 1):
        start(number)
    backoff_s = RESTART_BACKOFF_S
    while running:
        for number, process in list(running.items()):
            code = process.poll()
            if code is None:
                continue
            del running[number]
            if not shutdown_requested:
                click.echo(f"worker {number} ended with {code}; restarting it", err=True)
                time.sleep(backoff_s)
                backoff_s = min(backoff_s * 2.0, RESTART_BACKOFF_MAX_S)
                if not shutdown_requested:
                    start(number)
        time.sleep(POLL_INTERVAL_S)
    return 0
