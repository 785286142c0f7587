"""Operator commands on zones, given to one of several processes of the program by the command line."""

from __future__ import annotations

import json
import re
import signal
import subprocess
import sys
import urllib.error
import urllib.request

import pytest

from sedgepitch.peers.keys import load_keys, new_key_file
from sedgepitch.scenarios.peer_processes import wait_until
from tests.conftest import example
from tests.support.platform import ROOT
from tests.test_peers_serve import gossiping_instances, serve


@pytest.fixture
def fleet(tmp_path):
    """Three instances that act on zones together, and the address of each one's status."""
    with gossiping_instances(tmp_path, zones={}, driver={"zone": "north"}) as (instances, addresses):
        wait_until(lambda: all(len(zone_status(a)["drivers"]) == 3 for a in addresses.values()))
        yield instances, addresses


def zone_status(address: str) -> dict:
    """Return what an instance knows of zones."""
    with urllib.request.urlopen(f"http://{address}/zones", timeout=60) as answer:
        return json.load(answer)


def run_zone_command(tmp_path, *arguments: str) -> subprocess.CompletedProcess[str]:
    return subprocess.run(
        [sys.executable, "-m", "sedgepitch", "zone", *arguments, "--config", str(tmp_path / "n0.yaml")],
        capture_output=True,
        text=True,
        cwd=ROOT,
        timeout=120,
    )


def state(address: str, zone: str = "south") -> str:
    """Return the state of a zone at an instance."""
    return next(z["state"] for z in zone_status(address)["zones"] if z["zone"] == zone)


def test_a_command_reaches_all_names_whom_not_and_is_withdrawn(fleet, tmp_path):
    instances, addresses = fleet
    left = run_zone_command(tmp_path, "leave", "south", "--reach", "60")
    assert left.returncode == 0 and "reached 3" in left.stdout, left.stderr
    wait_until(lambda: all(state(a) == "left" for a in addresses.values()))
    seen = run_zone_command(tmp_path, "status")
    assert re.search(r"south\s+left\s+0%", seen.stdout) and "order 1 by n0: leave south" in seen.stdout
    instances.drivers["n2"].process.send_signal(signal.SIGSTOP)
    try:
        back = run_zone_command(tmp_path, "return", "south", "--reach", "1")
        assert back.returncode == 1 and "not known to have reached n2" in back.stderr
        wait_until(lambda: state(addresses["n1"]) == "returning")
    finally:
        instances.drivers["n2"].process.send_signal(signal.SIGCONT)
    wait_until(lambda: state(addresses["n2"]) in ("returning", "normal"))
    wait_until(lambda: all(state(a) == "normal" for a in addresses.values()))


def test_commands_that_are_refused_are_reported_in_one_line(fleet, tmp_path):
    instances, addresses = fleet
    for arguments, why in ((("leave", "west"), "no member of a zone 'west'"), (("leave", ""), "zone ''")):
        ran = run_zone_command(tmp_path, *arguments)
        assert ran.returncode == 1 and why in ran.stderr and "Traceback" not in ran.stderr, ran.stderr
    number = zone_status(addresses["n1"])["number"]
    order = json.dumps({"zone": "south", "what": "leave", "number": number}).encode()
    new_key_file(tmp_path / "other")
    sealed = load_keys(tmp_path / "key").seal(order)
    foreign = load_keys(tmp_path / "other").seal(order)

    def post(data: bytes) -> int:
        try:
            with urllib.request.urlopen(
                urllib.request.Request(f"http://{addresses['n1']}/zones", data=data, method="POST"),
                timeout=60,
            ) as answer:
                return answer.status
        except urllib.error.HTTPError as error:
            assert "error" in json.load(error)
            return error.code

    assert [post(foreign), post(b""), post(b"x" * 9000), post(sealed), post(sealed)] == [
        400,
        400,
        400,
        200,
        400,
    ]
    assert post(load_keys(tmp_path / "key").seal(b'{"number": [], "zone": 3}')) == 400


def test_zones_without_peers_are_refused(tmp_path, calm):
    import yaml

    path = tmp_path / "s.yaml"
    path.write_text(yaml.safe_dump(example() | {"zones": {}}))
    ran = serve(path)
    assert ran.returncode == 1 and "there is no part 'peers'" in ran.stderr
    new_key_file(tmp_path / "key")
    part = {"listen": "127.0.0.1:0", "key_file": str(tmp_path / "key")}
    for wrong, why in (({"headroom": 0.5}, "headroom"), ({"triers": 0}, "triers"), ({"weight": 1}, "weight")):
        path.write_text(yaml.safe_dump(example() | {"peers": part, "zones": wrong}))
        ran = serve(path)
        assert ran.returncode == 1 and why in ran.stderr and "Traceback" not in ran.stderr
