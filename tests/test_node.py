"""One proxy process with scripted endpoints and a scripted discovery agent, over real sockets."""

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
from tests.support.platform import (
    ROOT,
    TIMEOUT_S,
    Client,
    DiscoveryAgent,
    Platform,
    read_statement,
    value_of,
    write_statement,
)


# Guards against a proxy process that keeps running after its start has failed in a test.
def test_a_process_that_never_listens_is_ended_when_its_start_fails(tmp_path, monkeypatch):
    platform = Platform(tmp_path)
    platform.configure()

    def fail(self, pattern):
        raise AssertionError(f"never logged {pattern!r}")

    monkeypatch.setattr(Platform, "wait_for", fail)
    with pytest.raises(AssertionError):
        platform.start()
    assert platform.process.poll() is not None
    platform.close()


def test_reads_and_writes_are_served_and_only_d_changes_in_forwarded_statements(platform):
    client = platform.client()
    assert client.query(b"") == ("closed", None)  # an empty query has no row
    assert client.query(read_statement(0x1A)) == ("value", b"value of 1a")
    assert client.query(write_statement(0x2B)) == ("value", b"value of 2b")
    writer, reader = platform.endpoints
    (write,) = [s for s in writer.statements if s.startswith("INSERT")]
    digits = re.search(r",d=(\d+)", write)[1]
    assert write == write_statement(0x2B).decode().replace("d=15000", f"d={digits}") and int(digits) <= 15000
    assert not any(s.startswith("INSERT") for s in reader.statements)


def test_a_malformed_response_is_never_forwarded_and_the_read_is_retried_elsewhere(platform):
    malformed = codec.row_description() + struct.pack("!ci", b"D", 2**31 - 1) + b"x" * 1000
    for endpoint in platform.endpoints:
        endpoint.script = (
            lambda s: malformed if sum(len(e.statements) for e in platform.endpoints) == 1 else None
        )
    client = platform.client()
    for number in range(1, 30):
        assert client.query(read_statement(number)) == ("value", f"value of {number:x}".encode())


def test_a_keyed_write_is_retried_after_its_endpoint_closed_the_connection(platform):
    writer = platform.endpoints[0]
    writer.script = (
        lambda s: b"HANG UP" if len([x for x in writer.statements if "INSERT" in x]) == 1 else None
    )
    kind, reply = platform.client().query(write_statement(5))
    writes = [s for s in writer.statements if "INSERT" in s]
    assert (kind, reply) == ("value", b"value of 5") or (kind == "error" and reply["C"] != "53300")
    assert 1 <= len(writes) <= 6 and len({re.search(r"k=\w+", s)[0] for s in writes}) == 1


def test_extra_bytes_after_a_response_are_never_used_as_the_next_response(platform):
    for endpoint in platform.endpoints:
        endpoint.script = lambda s, e=endpoint: e.row(value_of(s)) + e.row(b"not asked for")
    client = platform.client()
    for number in range(1, 40):
        assert client.query(read_statement(number)) == ("value", f"value of {number:x}".encode())


def test_malformed_client_input_is_answered_or_closed_and_reaches_no_endpoint(platform):
    inputs = [
        b"GET / HTTP/1.1\r\n\r\n",
        struct.pack("!ii", 2**31 - 1, 196608),
        codec.startup("web", "orders") + struct.pack("!ci", b"Q", 60_000_000) + b"x" * 100_000,
        codec.startup("web", "orders") + codec.message(b"P", b"\0select 1\0\0\0"),
        codec.startup("web", "orders") + 50 * codec.query(b"SELECT 1"),
        codec.startup("web", "orders") + codec.query(read_statement(1).replace(b"d=15000", b"d=nan")),
        codec.startup("web", "orders") + codec.query(read_statement(1))[:-9],
        b"",
    ]
    bad = [Client(platform.port, startup=False) for _ in inputs]
    for client, data in zip(bad, inputs, strict=True):
        try:
            client.socket.sendall(data)
        except ConnectionError:
            pass  # closed already, which is a valid reaction
    for client in bad:
        received = b""
        try:
            while b"E\0" not in received and (more := client.socket.recv(65536)):
                received += more
        except ConnectionError:
            pass
        client.close()
    assert platform.client().query(read_statement(7)) == ("value", b"value of 7")
    assert {s.split("id=")[1][0] for e in platform.endpoints for s in e.statements} == {"7"}


def test_silent_connections_do_not_block_other_clients_and_are_closed(platform):
    silent = [Client(platform.port, startup=False) for _ in range(300)]
    assert platform.client().query(read_statement(3)) == ("value", b"value of 3")
    for client in silent:
        try:
            while client.socket.recv(4096):
                pass
        except ConnectionError:
            pass
        client.close()


def test_a_draining_endpoint_gets_no_request_and_the_watch_resumes_from_its_revision(platform):
    client, (writer, reader) = platform.client(), platform.endpoints
    platform.agent.send(platform.version(2, complete=False, s_2="draining"))
    platform.wait_for("endpoint_list.updated revision=2")
    before = len(reader.statements)
    for number in range(1, 20):
        assert client.query(read_statement(number))[0] == "value"
    assert len(reader.statements) == before and writer.statements
    platform.agent.watches[0].close()
    platform.agent.server.shutdown_request(platform.agent.watches[0])
    end = time.monotonic() + TIMEOUT_S
    while len(platform.agent.targets) < 2 and time.monotonic() < end:
        time.sleep(0.02)
    assert platform.agent.targets[-1].endswith("index=2")


@pytest.mark.parametrize("malformed", [b"not json\n", b'{"revision": "x"}\n', b"[]\n"])
def test_the_complete_list_is_requested_after_a_malformed_object(platform, malformed):
    platform.agent.send(malformed)
    platform.wait_for("discovery.lost reason=discovery")
    end = time.monotonic() + TIMEOUT_S
    while len(platform.agent.targets) < 2 and time.monotonic() < end:
        time.sleep(0.02)
    assert platform.agent.targets[-1].endswith("index=0")
    assert platform.client().query(read_statement(9)) == ("value", b"value of 9")


def test_sighup_switches_discovery_and_an_invalid_file_is_ignored(platform):
    (platform.folder / "config.json").write_text("{")
    platform.signal(signal.SIGHUP)
    platform.wait_for("config.invalid reason=the file is not JSON active=previous")
    other = DiscoveryAgent()
    other.first_object = platform.version(7)
    platform.configure(other)
    platform.signal(signal.SIGHUP)
    platform.wait_for("endpoint_list.updated revision=7")
    assert other.targets[0].endswith("index=1")
    assert platform.client().query(read_statement(4)) == ("value", b"value of 4")
    other.close()


def test_sigterm_answers_pending_requests_serves_new_connections_and_exits(platform):
    for endpoint in platform.endpoints:
        endpoint.script = lambda s: time.sleep(0.3)
    pending = platform.client()
    pending.socket.sendall(codec.query(read_statement(1)))
    platform.signal(signal.SIGTERM)
    platform.wait_for("stopping")
    late = platform.client()
    assert late.query(read_statement(2)) == ("value", b"value of 2")
    assert any(kind == b"D" for kind, _ in pending.read_until_ready())
    assert platform.process.wait(timeout=TIMEOUT_S) == 0


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
def test_an_invalid_configuration_is_reported_on_one_line_with_the_position(tmp_path, config, place):
    environment = {"PYTHONPATH": str(ROOT), "PATH": ""}
    if config is not None:
        (tmp_path / "c.json").write_text(config)
        environment["RELAY_CONFIG"] = str(tmp_path / "c.json")
    completed = subprocess.run(
        [sys.executable, "-m", "sedgepitch.node"], env=environment, capture_output=True, text=True, cwd=ROOT
    )
    assert completed.returncode == 2 and completed.stderr.count("\n") == 1 and place in completed.stderr


def test_the_program_does_not_import_large_or_unused_modules():
    code = (
        "import sys, json; import sedgepitch.node.__main__ as m; m.install_reactor();"
        "import sedgepitch.node.proxy; print(json.dumps(sorted(sys.modules)))"
    )
    completed = subprocess.run(
        [sys.executable, "-c", code], capture_output=True, text=True, cwd=ROOT, check=True
    )
    loaded = set(json.loads(completed.stdout))
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
    own_modules = {name for name in loaded if name.startswith("sedgepitch.")}
    too_heavy = ("mongo", "emulator", "admission.controller", "scenarios")
    assert not [name for name in own_modules if any(part in name for part in too_heavy)]
    # Peers are not allowed on the platform, so no module that could open a socket to one is imported.
    assert not any("peers" in n or "gossip" in n or "replay" in n for n in own_modules)
