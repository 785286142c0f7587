"""Proxy instances as processes that gossip: discovery, failure detection, and service without peers."""

from __future__ import annotations

import json
import re
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


@contextmanager
def gossiping_instances(tmp_path, ports, **parts):
    """Start three instances with one emulated fleet; yields the stage and the metrics addresses by name."""
    new_key_file(tmp_path / "key")
    status_addresses = {}
    seeds = []
    with stage(example(), tmp_path) as instances:
        for name in ("n0", "n1", "n2"):
            metrics = f"127.0.0.1:{ports.reserve()}"
            instances.settings["metrics"] = metrics
            peers = {"listen": "127.0.0.1:0", "key_file": str(tmp_path / "key"), "seeds": list(seeds)}
            instances.driver(name, peers=peers, **parts)
            log = tmp_path / f"{name}.log"
            wait_until(lambda log=log: "peers.listening" in log.read_text())
            text = re.sub(r"\x1b\[[0-9;]*m", "", log.read_text())
            seeds.append(re.search(r"peers\.listening\s+address=(\S+)", text)[1])
            status_addresses[name] = metrics
        yield instances, status_addresses


@pytest.fixture
def gossiping(tmp_path, ports):
    """Three gossiping instances, and their metrics addresses by name."""
    with gossiping_instances(tmp_path, ports) as started:
        yield started


def member_states(address: str) -> dict[str, str]:
    """Return the state of each member that the instance reports."""
    with urllib.request.urlopen(f"http://{address}/peers", timeout=60) as response:
        return {p["name"]: p["life"] for p in json.load(response)["peers"]}


def test_instances_discover_each_other_and_serve_while_a_killed_one_is_declared_dead(gossiping, tmp_path):
    instances, addresses = gossiping
    wait_until(lambda: all(list(member_states(a).values()) == ["alive", "alive"] for a in addresses.values()))
    instances.drivers["n1"].kill()
    wait_until(
        lambda: member_states(addresses["n0"])["n1"] == "dead"
        and member_states(addresses["n2"])["n1"] == "dead"
    )
    for name in ("n0", "n2"):
        host, port = instances.addresses[name]
        with pymongo.MongoClient(host, port) as client:
            client.sky.readings.insert_one({"_id": name})
            assert client.sky.readings.find_one({"_id": name}) == {"_id": name}
    result = subprocess.run(
        [sys.executable, "-m", "sedgepitch", "peers", "status", "--config", str(tmp_path / "n0.yaml")],
        capture_output=True,
        text=True,
        cwd=ROOT,
    )
    assert (
        result.returncode == 0
        and re.search(r"n1\s+dead", result.stdout)
        and re.search(r"n2\s+alive", result.stdout)
    )
    instances.driver("n1")
    wait_until(
        lambda: member_states(addresses["n0"])["n1"] == "alive"
        and member_states(addresses["n2"])["n1"] == "alive"
    )


def test_instance_without_peers_opens_no_udp_socket_and_imports_no_peer_modules(calm):
    pid = calm.drivers["calm-1"].process.pid
    with open("/proc/net/udp", encoding="ascii") as table:
        inodes = {line.split()[9] for line in table.readlines()[1:]}
    import os

    open_files = {os.readlink(f"/proc/{pid}/fd/{n}") for n in os.listdir(f"/proc/{pid}/fd")}
    assert not {f"socket:[{n}]" for n in inodes} & open_files
    code = (
        "import sedgepitch.cli.daemon, sys; print([m for m in sys.modules if 'peers' in m or 'msgspec' in m])"
    )
    result = subprocess.run(
        [sys.executable, "-c", code], capture_output=True, text=True, cwd=ROOT, check=True
    )
    assert result.stdout == "[]\n"


def serve(path, *arguments: str) -> subprocess.CompletedProcess[str]:
    return subprocess.run(
        [sys.executable, "-m", "sedgepitch", "serve", "--config", str(path), *arguments],
        capture_output=True,
        text=True,
        cwd=ROOT,
        timeout=120,
    )


def test_invalid_peer_settings_are_reported_without_traceback(tmp_path):
    import yaml

    settings = example()
    settings["listen"] = "127.0.0.1:0"
    path = tmp_path / "s.yaml"
    for peers, arguments, expected in (
        ({"listen": "127.0.0.1:0", "key_file": str(tmp_path / "none")}, (), "none: No such file"),
        ({"listen": "127.0.0.1:0", "key_file": "x"}, ("--workers", "2"), "workers share one address"),
        ({"listen": "127.0.0.1:0"}, (), "key_file"),
        ({"listen": "127.0.0.1:0", "key_file": "x", "period": "1 ms"}, (), "period must be"),
    ):
        path.write_text(yaml.safe_dump(settings | {"peers": peers}))
        result = serve(path, *arguments)
        assert (
            result.returncode == 1 and expected in result.stderr and "Traceback" not in result.stderr
        ), result.stderr
