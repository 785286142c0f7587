"""Gossip peers as processes (`python -m sedgepitch.peers`) on loopback, controlled through pipes."""

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

TIMEOUT_S = 90.0  # long: only reached if something is broken
POLL_INTERVAL_S = 0.05
MAX_SEEDS = 2
USER_TIME_FIELD = 11  # of /proc/PID/stat, counted after the command's name
SYSTEM_TIME_FIELD = 12

Event = dict[str, Any]  # one line that a peer printed


class PeerProcess:
    """One gossip peer process."""

    def __init__(self, name: str, key: Path, *arguments: str) -> None:
        """Start the process."""
        self.name = name
        self.process = subprocess.Popen(
            [sys.executable, "-u", "-m", "sedgepitch.peers", "--name", name, "--key", str(key), *arguments],
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            stderr=subprocess.STDOUT,
            text=True,
        )
        self.lines: list[Event] = []
        self._status_answers: queue.Queue[Event] = queue.Queue()
        threading.Thread(target=self._read, daemon=True).start()

    def _read(self) -> None:
        assert self.process.stdout is not None
        for line in self.process.stdout:
            event = json.loads(line) if line.startswith("{") else {"what": "text", "text": line}
            if event["what"] == "status":
                self._status_answers.put(event)
            else:
                self.lines.append(event)

    def address(self) -> str:
        """Wait until the peer listens and return its address."""
        wait_until(lambda: any(line["what"] in ("ready", "text") for line in self.lines))
        return str(self.lines[0].get("address"))

    def command(self, text: str) -> None:
        """Write a command to the process (see `sedgepitch.peers.__main__`)."""
        assert self.process.stdin is not None
        self.process.stdin.write(text + "\n")
        self.process.stdin.flush()

    def status(self, *kinds: str) -> Event:
        """Return the peer's status, with the state entries of these kinds."""
        self.command(" ".join(("status", *kinds)))
        return self._status_answers.get(timeout=TIMEOUT_S)

    def alive(self) -> set[str]:
        """Return the names of the members that are alive or suspect, the peer itself included."""
        members = self.status()["peers"]
        return {self.name} | {m["name"] for m in members if m["life"] in ("alive", "suspect")}

    def events(self, kind: str, member: str | None = None) -> list[Event]:
        """Return the printed events of one kind, about one member or about all."""
        return [line for line in self.lines if line["what"] == kind and member in (None, line.get("peer"))]

    def signal(self, number: int) -> None:
        """Send the process a signal."""
        self.process.send_signal(number)

    def kill(self) -> None:
        """Kill the process, also while it is suspended."""
        if self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
        self.process.wait()


class PeerCluster:
    """Several peers named `d0`, `d1`, ...; each uses up to MAX_SEEDS of the earlier ones as seeds."""

    def __init__(self, folder: Path, count: int, *arguments: str) -> None:
        """Start `count` peers with a new key."""
        self.peers: dict[str, PeerProcess] = {}
        self._arguments = arguments
        self._key = folder / "key"
        new_key_file(self._key)
        try:
            for number in range(count):
                self.start(f"d{number}")
        except BaseException:  # the caller has no cluster yet on which it could call kill
            self.kill()
            raise

    def start(self, name: str, *arguments: str, key: Path | None = None) -> PeerProcess:
        """Start or restart a peer."""
        seeds = [peer.address() for other, peer in self.peers.items() if other != name][:MAX_SEEDS]
        options = [option for seed in seeds for option in ("--seed", seed)]
        peer = PeerProcess(name, key or self._key, *options, *self._arguments, *arguments)
        self.peers[name] = peer
        peer.address()
        return peer

    def agree(self, names: set[str]) -> bool:
        """Return whether each of these peers sees exactly these members as alive."""
        return all(self.peers[name].alive() == names for name in names)

    def kill(self) -> None:
        """Kill all peers."""
        for peer in self.peers.values():
            peer.kill()


def wait_until(condition: Callable[[], object], timeout: float = TIMEOUT_S) -> None:
    """Wait until a condition holds; raise AssertionError after `timeout` seconds."""
    end = time.monotonic() + timeout
    while not condition():
        assert time.monotonic() < end, f"the condition was not met within {timeout} s"
        time.sleep(POLL_INTERVAL_S)


def processor_time(pid: int) -> float:
    """Return the processor time that a process has used, in seconds."""
    with open(f"/proc/{pid}/stat", encoding="ascii") as file:
        fields = file.read().rpartition(")")[2].split()
    ticks = int(fields[USER_TIME_FIELD]) + int(fields[SYSTEM_TIME_FIELD])
    return ticks / os.sysconf("SC_CLK_TCK")
