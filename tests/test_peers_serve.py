"""Proxy instances as processes that gossip: they find each other, lose one, and serve on without peers."""

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
    with socket.socket() as bound:
        bound.bind(("127.0.0.1", 0))
        return bound.getsockname()[1]


@contextmanager
def gossiping_instances(tmp_path, **parts):
    """Three instances before one emulated fleet; yields them and the address of each one's status."""
    new_key_file(tmp_path / "key")
    status_addresses = {}
    seeds = []
    with stage(example(), tmp_path) as instances:
        for name in ("n0", "n1", "n2"):
            metrics = f"127.0.0.1:{free_port()}"
            instances.settings["metrics"] = metrics
            peers = {"listen": "127.0.0.1:0", "key_file": str(tmp_path / "key"), "seeds": list(seeds)}
            instances.driver(name, peers=peers, **parts)
            log = tmp_path / f"{name}.log"
            wait_until(lambda log=log: "peers.listening" in log.read_text())
            plain = re.sub(r"\x1b\[[0-9;]*m", "", log.read_text())
            seeds.append(re.search(r"peers\.listening\s+address=(\S+)", plain)[1])
            status_addresses[name] = metrics
        yield instances, status_addresses


@pytest.fixture
def gossiping(tmp_path):
    """Three instances that gossip, and the address of each one's status."""
    with gossiping_instances(tmp_path) as started:
        yield started


def member_states(address: str) -> dict[str, str]:
    """Return the state of each member that an instance knows."""
    with urllib.request.urlopen(f"http://{address}/peers", timeout=60) as answer:
        return {p["name"]: p["life"] for p in json.load(answer)["peers"]}


def test_instances_find_each_other_and_a_killed_one_is_dead_while_all_serve(gossiping, tmp_path):
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
    ran = subprocess.run(
        [sys.executable, "-m", "sedgepitch", "peers", "status", "--config", str(tmp_path / "n0.yaml")],
        capture_output=True,
        text=True,
        cwd=ROOT,
    )
    assert (
        ran.returncode == 0 and re.search(r"n1\s+dead", ran.stdout) and re.search(r"n2\s+alive", ran.stdout)
    )
    instances.driver("n1")
    wait_until(
        lambda: member_states(addresses["n0"])["n1"] == "alive"
        and member_states(addresses["n2"])["n1"] == "alive"
    )


def test_an_instance_without_peers_opens_no_socket_and_imports_nothing_of_it(calm):
    pid = calm.drivers["calm-1"].process.pid
    with open("/proc/net/udp", encoding="ascii") as table:
        inodes = {line.split()[9] for line in table.readlines()[1:]}
    import os

    open_files = {os.readlink(f"/proc/{pid}/fd/{n}") for n in os.listdir(f"/proc/{pid}/fd")}
    assert not {f"socket:[{n}]" for n in inodes} & open_files
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


def test_settings_of_peers_that_cannot_be_used_are_reported_in_one_line(tmp_path):
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
