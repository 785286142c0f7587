"""Peers as processes (`python -m sedgepitch.peers`), on loopback, with pipes to speak to them."""

from __future__ import annotations

import json
import os
import queue
import signal
import subprocess
import sys
import threading
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

from sedgepitch.peers.keys import new_key_file

WITHIN = 90.0  # s; generous, nothing waits for it unless something is broken


class Peer:
    """One process."""

    def __init__(self, name: str, key: Path, *arguments: str) -> None:
        self.name = name
        self.process = subprocess.Popen(
            [sys.executable, "-u", "-m", "sedgepitch.peers", "--name", name, "--key", str(key), *arguments],
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            stderr=subprocess.STDOUT,
            text=True,
        )
        self.lines: list[dict[str, Any]] = []
        self.answers: queue.Queue[dict[str, Any]] = queue.Queue()
        threading.Thread(target=self._read, daemon=True).start()

    def _read(self) -> None:
        assert self.process.stdout is not None
        for line in self.process.stdout:
            told = json.loads(line) if line.startswith("{") else {"what": "text", "text": line}
            (self.answers.put if told["what"] == "status" else self.lines.append)(told)

    def address(self) -> str:
        """Where it listens, once it does."""
        until(lambda: any(x["what"] in ("ready", "text") for x in self.lines))
        return str(self.lines[0].get("address"))

    def say(self, order: str) -> None:
        """Give an order."""
        assert self.process.stdin is not None
        self.process.stdin.write(order + "\n")
        self.process.stdin.flush()

    def status(self, *kinds: str) -> dict[str, Any]:
        """What it holds."""
        self.say(" ".join(("status", *kinds)))
        return self.answers.get(timeout=WITHIN)

    def alive(self) -> set[str]:
        """Whom it holds for living, itself included."""
        held = self.status()["peers"]
        return {self.name} | {p["name"] for p in held if p["life"] in ("alive", "suspect")}

    def heard(self, what: str, about: str | None = None) -> list[dict[str, Any]]:
        """The changes of one kind that it told."""
        return [x for x in self.lines if x["what"] == what and about in (None, x.get("peer"))]

    def signal(self, number: int) -> None:
        """Send it a signal."""
        self.process.send_signal(number)

    def end(self) -> None:
        """Kill it."""
        if self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
        self.process.wait()


class Peers:
    """Several of them, `d0` and so on; all but the first ask the first."""

    def __init__(self, folder: Path, count: int, *arguments: str) -> None:
        self.folder, self.arguments = folder, arguments
        self.key = folder / "key"
        new_key_file(self.key)
        self.all: dict[str, Peer] = {}
        for number in range(count):
            self.start(f"d{number}")

    def start(self, name: str, *arguments: str, key: Path | None = None) -> Peer:
        """Start one, or one anew."""
        seeds = [x for n, p in self.all.items() if n != name for x in ("--seed", p.address())][:4]
        self.all[name] = Peer(name, key or self.key, *seeds, *self.arguments, *arguments)
        self.all[name].address()
        return self.all[name]

    def agree(self, names: set[str]) -> bool:
        """Whether all of these hold just these for living."""
        return all(self.all[n].alive() == names for n in names)

    def end(self) -> None:
        """Kill all."""
        for peer in self.all.values():
            peer.end()


def until(met: Callable[[], Any], within: float = WITHIN) -> None:
    """Wait until something is so. Raises AssertionError where it never is."""
    end = time.monotonic() + within
    while not met():
        assert time.monotonic() < end, "never so"
        time.sleep(0.05)


def processor_time(pid: int) -> float:
    """Seconds that a process has used."""
    with open(f"/proc/{pid}/stat", encoding="ascii") as file:
        fields = file.read().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")
