"""Drivers that know each other, as processes: they find each other, lose one, and serve on without peers."""

from __future__ import annotations

import json
import re
import socket
import subprocess
import sys
import urllib.request
from contextlib import contextmanager

import pymongo
import pytest

from sedgepitch.peers.keys import new_key_file
from sedgepitch.scenarios.peer_processes import wait_until
from sedgepitch.scenarios.processes import stage
from tests.conftest import example
from tests.support.platform import ROOT


def free_port() -> int:
    with socket.socket() as held:
        held.bind(("127.0.0.1", 0))
        return held.getsockname()[1]


@contextmanager
def together(tmp_path, **parts):
    """Three drivers before one fleet of stand-ins that know each other; where each shows what it knows."""
    new_key_file(tmp_path / "key")
    shown, seeds = {}, []
    with stage(example(), tmp_path) as held:
        for name in ("n0", "n1", "n2"):
            metrics = f"127.0.0.1:{free_port()}"
            held.settings["metrics"] = metrics
            peers = {"listen": "127.0.0.1:0", "key_file": str(tmp_path / "key"), "seeds": list(seeds)}
            held.driver(name, peers=peers, **parts)
            log = tmp_path / f"{name}.log"
            wait_until(lambda log=log: "peers.listening" in log.read_text())
            plain = re.sub(r"\x1b\[[0-9;]*m", "", log.read_text())
            seeds.append(re.search(r"peers\.listening\s+address=(\S+)", plain)[1])
            shown[name] = metrics
        yield held, shown


@pytest.fixture
def drivers(tmp_path):
    """Three drivers that know each other, and where each shows its peers."""
    with together(tmp_path) as made:
        yield made


def known(address: str) -> dict[str, str]:
    """Whom a driver knows, and how."""
    with urllib.request.urlopen(f"http://{address}/peers", timeout=60) as answer:
        return {p["name"]: p["life"] for p in json.load(answer)["peers"]}


def test_drivers_know_each_other_and_one_killed_is_dead_while_all_serve(drivers, tmp_path):
    held, shown = drivers
    wait_until(
        lambda: all(len(known(a)) == 2 and set(known(a).values()) == {"alive"} for a in shown.values())
    )
    held.drivers["n1"].kill()
    wait_until(lambda: known(shown["n0"])["n1"] == "dead" and known(shown["n2"])["n1"] == "dead")
    for name in ("n0", "n2"):
        host, port = held.addresses[name]
        with pymongo.MongoClient(host, port) as client:
            client.sky.readings.insert_one({"_id": name})
            assert client.sky.readings.find_one({"_id": name}) == {"_id": name}
    ran = subprocess.run(
        [sys.executable, "-m", "sedgepitch", "peers", "status", "--config", str(tmp_path / "n0.yaml")],
        capture_output=True,
        text=True,
        cwd=ROOT,
    )
    assert (
        ran.returncode == 0 and re.search(r"n1\s+dead", ran.stdout) and re.search(r"n2\s+alive", ran.stdout)
    )
    held.driver("n1")
    wait_until(lambda: known(shown["n0"])["n1"] == "alive" and known(shown["n2"])["n1"] == "alive")


def test_a_driver_without_peers_opens_no_socket_and_imports_nothing_of_it(calm):
    pid = calm.drivers["calm-1"].process.pid
    with open("/proc/net/udp", encoding="ascii") as table:
        inodes = {line.split()[9] for line in table.readlines()[1:]}
    import os

    held = {os.readlink(f"/proc/{pid}/fd/{n}") for n in os.listdir(f"/proc/{pid}/fd")}
    assert not {f"socket:[{n}]" for n in inodes} & held
    code = (
        "import sedgepitch.cli.daemon, sys; print([m for m in sys.modules if 'peers' in m or 'msgspec' in m])"
    )
    ran = subprocess.run([sys.executable, "-c", code], capture_output=True, text=True, cwd=ROOT, check=True)
    assert ran.stdout == "[]\n"


def serve(path, *arguments: str) -> subprocess.CompletedProcess[str]:
    return subprocess.run(
        [sys.executable, "-m", "sedgepitch", "serve", "--config", str(path), *arguments],
        capture_output=True,
        text=True,
        cwd=ROOT,
        timeout=120,
    )


def test_settings_of_peers_that_cannot_be_used_are_one_line(tmp_path):
    import yaml

    settings = example()
    settings["listen"] = "127.0.0.1:0"
    path = tmp_path / "s.yaml"
    for part, arguments, why in (
        ({"listen": "127.0.0.1:0", "key_file": str(tmp_path / "none")}, (), "none: No such file"),
        ({"listen": "127.0.0.1:0", "key_file": "x"}, ("--workers", "2"), "workers share one address"),
        ({"listen": "127.0.0.1:0"}, (), "key_file"),
        ({"listen": "127.0.0.1:0", "key_file": "x", "period": "1 ms"}, (), "period must be"),
    ):
        path.write_text(yaml.safe_dump(settings | {"peers": part}))
        ran = serve(path, *arguments)
        assert ran.returncode == 1 and why in ran.stderr and "Traceback" not in ran.stderr, ran.stderr
