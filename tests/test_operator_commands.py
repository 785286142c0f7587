"""Orders on zones, given to one of several processes of the program by the command line."""

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
from tests.test_peers_serve import serve, together


@pytest.fixture
def fleet(tmp_path):
    """Three drivers that act on zones together; where each shows them."""
    with together(tmp_path, zones={}, driver={"zone": "north"}) as (held, shown):
        wait_until(lambda: all(len(zones(a)["drivers"]) == 3 for a in shown.values()))
        yield held, shown


def zones(address: str) -> dict:
    """What a driver shows."""
    with urllib.request.urlopen(f"http://{address}/zones", timeout=60) as answer:
        return json.load(answer)


def say(tmp_path, *arguments: str) -> subprocess.CompletedProcess[str]:
    return subprocess.run(
        [sys.executable, "-m", "sedgepitch", "zone", *arguments, "--config", str(tmp_path / "n0.yaml")],
        capture_output=True,
        text=True,
        cwd=ROOT,
        timeout=120,
    )


def state(address: str, zone: str = "south") -> str:
    """What a driver does with a zone."""
    return next(z["state"] for z in zones(address)["zones"] if z["zone"] == zone)


def test_an_order_reaches_all_says_whom_not_and_is_taken_back(fleet, tmp_path):
    held, shown = fleet
    left = say(tmp_path, "leave", "south", "--reach", "60")
    assert left.returncode == 0 and "reached 3" in left.stdout, left.stderr
    wait_until(lambda: all(state(a) == "left" for a in shown.values()))
    seen = say(tmp_path, "status")
    assert re.search(r"south\s+left\s+0%", seen.stdout) and "order 1 by n0: leave south" in seen.stdout
    held.drivers["n2"].process.send_signal(signal.SIGSTOP)
    try:
        back = say(tmp_path, "return", "south", "--reach", "1")
        assert back.returncode == 1 and "not known to have reached n2" in back.stderr
        wait_until(lambda: state(shown["n1"]) == "returning")
    finally:
        held.drivers["n2"].process.send_signal(signal.SIGCONT)
    wait_until(lambda: state(shown["n2"]) in ("returning", "normal"))
    wait_until(lambda: all(state(a) == "normal" for a in shown.values()))


def test_orders_that_are_not_taken_are_one_line(fleet, tmp_path):
    held, shown = fleet
    for arguments, why in ((("leave", "west"), "no member of a zone 'west'"), (("leave", ""), "zone ''")):
        ran = say(tmp_path, *arguments)
        assert ran.returncode == 1 and why in ran.stderr and "Traceback" not in ran.stderr, ran.stderr
    number = zones(shown["n1"])["number"]
    order = json.dumps({"zone": "south", "what": "leave", "number": number}).encode()
    new_key_file(tmp_path / "other")
    sealed, strange = load_keys(tmp_path / "key").seal(order), load_keys(tmp_path / "other").seal(order)

    def post(data: bytes) -> int:
        try:
            with urllib.request.urlopen(
                urllib.request.Request(f"http://{shown['n1']}/zones", data=data, method="POST"), timeout=60
            ) as answer:
                return answer.status
        except urllib.error.HTTPError as error:
            assert "error" in json.load(error)
            return error.code

    assert [post(strange), post(b""), post(b"x" * 9000), post(sealed), post(sealed)] == [
        400,
        400,
        400,
        200,
        400,
    ]
    assert post(load_keys(tmp_path / "key").seal(b'{"number": [], "zone": 3}')) == 400


def test_zones_without_peers_are_said_and_a_driver_without_them_shows_none(tmp_path, calm):
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
