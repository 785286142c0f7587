"""Operator commands on zones, sent from the command line to one of several processes of the program."""

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
def fleet(tmp_path, ports):
    """Three gossiping instances with zone failover, and the status address of each."""
    with gossiping_instances(tmp_path, ports, zones={}, driver={"zone": "north"}) as (instances, addresses):
        wait_until(lambda: all(len(zone_status(a)["drivers"]) == 3 for a in addresses.values()))
        yield instances, addresses


def zone_status(address: str) -> dict:
    """Return the zone status of an instance."""
    with urllib.request.urlopen(f"http://{address}/zones", timeout=60) as response:
        return json.load(response)


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


def test_command_reaches_all_instances_reports_unreached_ones_and_is_withdrawn(fleet, tmp_path):
    instances, addresses = fleet
    leave = run_zone_command(tmp_path, "leave", "south", "--reach", "60")
    assert leave.returncode == 0 and "reached 3" in leave.stdout, leave.stderr
    wait_until(lambda: all(state(a) == "left" for a in addresses.values()))
    status = run_zone_command(tmp_path, "status")
    assert re.search(r"south\s+left\s+0%", status.stdout) and "order 1 by n0: leave south" in status.stdout
    instances.drivers["n2"].process.send_signal(signal.SIGSTOP)
    try:
        return_command = run_zone_command(tmp_path, "return", "south", "--reach", "1")
        assert return_command.returncode == 1 and "not known to have reached n2" in return_command.stderr
        wait_until(lambda: state(addresses["n1"]) == "returning")
    finally:
        instances.drivers["n2"].process.send_signal(signal.SIGCONT)
    wait_until(lambda: state(addresses["n2"]) in ("returning", "normal"))
    wait_until(lambda: all(state(a) == "normal" for a in addresses.values()))


def test_rejected_commands_are_reported_in_one_line(fleet, tmp_path):
    instances, addresses = fleet
    for arguments, expected_error in (
        (("leave", "west"), "no member of a zone 'west'"),
        (("leave", ""), "zone ''"),
    ):
        result = run_zone_command(tmp_path, *arguments)
        assert (
            result.returncode == 1 and expected_error in result.stderr and "Traceback" not in result.stderr
        ), result.stderr
    number = zone_status(addresses["n1"])["number"]
    command = json.dumps({"zone": "south", "what": "leave", "number": number}).encode()
    new_key_file(tmp_path / "other")
    sealed = load_keys(tmp_path / "key").seal(command)
    sealed_with_other_key = load_keys(tmp_path / "other").seal(command)

    def post(data: bytes) -> int:
        try:
            with urllib.request.urlopen(
                urllib.request.Request(f"http://{addresses['n1']}/zones", data=data, method="POST"),
                timeout=60,
            ) as response:
                return response.status
        except urllib.error.HTTPError as error:
            assert "error" in json.load(error)
            return error.code

    assert [post(sealed_with_other_key), post(b""), post(b"x" * 9000), post(sealed), post(sealed)] == [
        400,
        400,
        400,
        200,
        400,
    ]
    assert post(load_keys(tmp_path / "key").seal(b'{"number": [], "zone": 3}')) == 400


def test_zones_without_peers_and_invalid_zone_settings_are_rejected(tmp_path, calm):
    import yaml

    path = tmp_path / "s.yaml"
    path.write_text(yaml.safe_dump(example() | {"zones": {}}))
    result = serve(path)
    assert result.returncode == 1 and "there is no part 'peers'" in result.stderr
    new_key_file(tmp_path / "key")
    peers_settings = {"listen": "127.0.0.1:0", "key_file": str(tmp_path / "key")}
    for wrong, expected_error in (
        ({"headroom": 0.5}, "headroom"),
        ({"triers": 0}, "triers"),
        ({"weight": 1}, "weight"),
    ):
        path.write_text(yaml.safe_dump(example() | {"peers": peers_settings, "zones": wrong}))
        result = serve(path)
        assert result.returncode == 1 and expected_error in result.stderr and "Traceback" not in result.stderr
