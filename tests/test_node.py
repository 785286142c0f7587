"""One driver process on the platform's sockets, between scripted members and a scripted discovery agent."""

from __future__ import annotations

import json
import re
import signal
import struct
import subprocess
import sys
import time

import pytest

from sedgepitch.protocols.postgresql import codec
from tests.support.platform import ROOT, WITHIN, Agent, Client, change, look, value_of


def test_reads_and_writes_go_through_and_statements_arrive_unchanged_but_for_d(platform):
    client = platform.client()
    assert client.ask(b"") == ("closed", None)  # an empty query has no row
    assert client.ask(look(0x1A)) == ("value", b"value of 1a")
    assert client.ask(change(0x2B)) == ("value", b"value of 2b")
    writer, reader = platform.endpoints
    (write,) = [s for s in writer.statements if s.startswith("INSERT")]
    digits = re.search(r",d=(\d+)", write)[1]
    assert write == change(0x2B).decode().replace("d=15000", f"d={digits}") and int(digits) <= 15000
    assert not any(s.startswith("INSERT") for s in reader.statements)


def test_a_spoilt_answer_is_never_passed_on_and_the_read_is_tried_elsewhere(platform):
    spoilt = codec.row_description() + struct.pack("!ci", b"D", 2**31 - 1) + b"x" * 1000
    for endpoint in platform.endpoints:
        endpoint.script = (
            lambda s: spoilt if sum(len(m.statements) for m in platform.endpoints) == 1 else None
        )
    client = platform.client()
    for number in range(1, 30):
        assert client.ask(look(number)) == ("value", f"value of {number:x}".encode())


def test_a_member_that_hangs_up_under_a_keyed_write_gets_it_again(platform):
    writer = platform.endpoints[0]
    writer.script = (
        lambda s: b"HANG UP" if len([x for x in writer.statements if "INSERT" in x]) == 1 else None
    )
    kind, told = platform.client().ask(change(5))
    writes = [s for s in writer.statements if "INSERT" in s]
    assert (kind, told) == ("value", b"value of 5") or (kind == "error" and told["C"] != "53300")
    assert 1 <= len(writes) <= 6 and len({re.search(r"k=\w+", s)[0] for s in writes}) == 1


def test_dirt_behind_an_answer_never_becomes_the_next_answer(platform):
    for endpoint in platform.endpoints:
        endpoint.script = lambda s, m=endpoint: m.row(value_of(s)) + m.row(b"not asked for")
    client = platform.client()
    for number in range(1, 40):
        assert client.ask(look(number)) == ("value", f"value of {number:x}".encode())


def test_bad_clients_get_an_error_or_a_close_and_members_nothing_of_it(platform):
    sends = [
        b"GET / HTTP/1.1\r\n\r\n",
        struct.pack("!ii", 2**31 - 1, 196608),
        codec.startup("web", "orders") + struct.pack("!ci", b"Q", 60_000_000) + b"x" * 100_000,
        codec.startup("web", "orders") + codec.message(b"P", b"\0select 1\0\0\0"),
        codec.startup("web", "orders") + 50 * codec.query(b"SELECT 1"),
        codec.startup("web", "orders") + codec.query(look(1).replace(b"d=15000", b"d=nan")),
        codec.startup("web", "orders") + codec.query(look(1))[:-9],
        b"",
    ]
    bad = [Client(platform.port, greet=False) for _ in sends]
    for client, data in zip(bad, sends, strict=True):
        try:
            client.held.sendall(data)
        except ConnectionError:
            pass  # closed already, which is an answer
    for client in bad:
        told = b""
        try:
            while b"E\0" not in told and (more := client.held.recv(65536)):
                told += more
        except ConnectionError:
            pass
        client.close()
    assert platform.client().ask(look(7)) == ("value", b"value of 7")
    assert {s.split("id=")[1][0] for m in platform.endpoints for s in m.statements} == {"7"}


def test_hundreds_of_silent_connections_leave_room_and_go(platform):
    silent = [Client(platform.port, greet=False) for _ in range(300)]
    assert platform.client().ask(look(3)) == ("value", b"value of 3")
    for client in silent:
        try:
            while client.held.recv(4096):
                pass
        except ConnectionError:
            pass
        client.close()


def test_a_drained_member_gets_nothing_more_and_the_watch_goes_on_from_its_version(platform):
    client, (writer, reader) = platform.client(), platform.endpoints
    platform.agent.say(platform.version(2, complete=False, s_2="draining"))
    platform.wait_for("list revision=2")
    before = len(reader.statements)
    for number in range(1, 20):
        assert client.ask(look(number))[0] == "value"
    assert len(reader.statements) == before and writer.statements
    platform.agent.watches[0].close()
    platform.agent.server.shutdown_request(platform.agent.watches[0])
    end = time.monotonic() + WITHIN
    while len(platform.agent.asked) < 2 and time.monotonic() < end:
        time.sleep(0.02)
    assert platform.agent.asked[-1].endswith("index=2")


@pytest.mark.parametrize("noise", [b"not json\n", b'{"revision": "x"}\n', b"[]\n"])
def test_discovery_that_talks_nonsense_is_asked_afresh(platform, noise):
    platform.agent.say(noise)
    platform.wait_for("discovery.lost why=discovery")
    end = time.monotonic() + WITHIN
    while len(platform.agent.asked) < 2 and time.monotonic() < end:
        time.sleep(0.02)
    assert platform.agent.asked[-1].endswith("index=0")
    assert platform.client().ask(look(9)) == ("value", b"value of 9")


def test_sighup_moves_the_watch_and_a_bad_file_changes_nothing(platform):
    (platform.folder / "config.json").write_text("{")
    platform.signal(signal.SIGHUP)
    platform.wait_for("config.bad why=the file is not JSON kept=the old one")
    other = Agent()
    other.first = platform.version(7)
    platform.configure(other)
    platform.signal(signal.SIGHUP)
    platform.wait_for("list revision=7")
    assert other.asked[0].endswith("index=1")
    assert platform.client().ask(look(4)) == ("value", b"value of 4")
    other.close()


def test_sigterm_answers_what_was_taken_serves_what_still_comes_and_exits(platform):
    for endpoint in platform.endpoints:
        endpoint.script = lambda s: time.sleep(0.3)
    held = platform.client()
    held.held.sendall(codec.query(look(1)))
    platform.signal(signal.SIGTERM)
    platform.wait_for("stopping")
    late = platform.client()
    assert late.ask(look(2)) == ("value", b"value of 2")
    assert any(kind == b"D" for kind, _ in held.until_ready())
    assert platform.process.wait(timeout=WITHIN) == 0


@pytest.mark.parametrize(
    ("config", "place"),
    [
        (None, "RELAY_CONFIG"),
        ("{", "JSON"),
        ("{}", "settings"),
        ('{"settings": {}, "listen": "x", "discovery": "127.0.0.1:1"}', "listen"),
        ('{"settings": {}, "listen": "127.0.0.1:1", "discovery": "127.0.0.1:1"}', "classes"),
    ],
)
def test_a_configuration_that_cannot_be_used_is_one_line(tmp_path, config, place):
    environment = {"PYTHONPATH": str(ROOT), "PATH": ""}
    if config is not None:
        (tmp_path / "c.json").write_text(config)
        environment["RELAY_CONFIG"] = str(tmp_path / "c.json")
    ran = subprocess.run(
        [sys.executable, "-m", "sedgepitch.node"], env=environment, capture_output=True, text=True, cwd=ROOT
    )
    assert ran.returncode == 2 and ran.stderr.count("\n") == 1 and place in ran.stderr


def test_the_driver_imports_only_what_it_has_room_for():
    code = (
        "import sys, json; import sedgepitch.node.__main__ as m; m.install_reactor();"
        "import sedgepitch.node.driver; print(json.dumps(sorted(sys.modules)))"
    )
    ran = subprocess.run([sys.executable, "-c", code], capture_output=True, text=True, cwd=ROOT, check=True)
    loaded = set(json.loads(ran.stdout))
    heavy = {
        "pydantic",
        "click",
        "structlog",
        "prometheus_client",
        "bson",
        "pymongo",
        "yaml",
        "xxhash",
        "msgspec",
    }
    assert not loaded & heavy
    own = {name for name in loaded if name.startswith("sedgepitch.")}
    too_heavy = ("mongo", "emulator", "admission.controller", "scenarios")
    assert not [name for name in own if any(part in name for part in too_heavy)]
    # The platform's settings refuse peers: nothing of them is there to open a socket.
    assert not any("peers" in n or "gossip" in n or "replay" in n for n in own)
