"""The program that the deploy file starts runs under the restrictions of the fleet bench.

The bench allows one process, without fork and io_uring, and IPv4 sockets only.
"""

from __future__ import annotations

import os
import signal
import subprocess
import sys
import tomllib

import pytest

from tests.support.platform import ROOT, TIMEOUT_S, Platform, read_statement, write_statement
from tests.support.syscall_filter import supported

ATTEMPTED_CALLS = """
import os, socket, sys
from tests.support.syscall_filter import confine
confine()
read_end, write_end = os.pipe()
for name, call in {
    "fork": os.fork,
    "exec": lambda: os.execv(sys.executable, [sys.executable, "-c", ""]),
    "sendfile": lambda: os.sendfile(write_end, read_end, 0, 1),
    "splice": lambda: os.splice(read_end, write_end, 1),
    "ipv6": lambda: socket.socket(socket.AF_INET6),
    "unix": lambda: socket.socket(socket.AF_UNIX),
}.items():
    try:
        call()
        print(name, "was allowed")
    except OSError as error:
        print(name, error.errno)
socket.socket(socket.AF_INET).close()
"""

pytestmark = pytest.mark.skipif(not supported(), reason="the filter needs Linux on x86_64 or aarch64")


def test_the_filter_denies_the_listed_calls():
    completed = subprocess.run(
        [sys.executable, "-c", ATTEMPTED_CALLS], capture_output=True, text=True, cwd=ROOT, check=True
    )
    assert completed.stdout.split("\n")[:-1] == [
        "fork 38", "exec 38", "sendfile 38", "splice 22", "ipv6 97", "unix 97",
    ]  # fmt: skip


def test_the_program_starts_serves_reloads_and_shuts_down_under_the_filter(tmp_path):
    platform = Platform(tmp_path)
    platform.program = "tests.support.syscall_filter"
    platform.configure()
    platform.start()
    try:
        platform.wait_for("endpoint_list.updated revision=1 complete=True cached=False")
        client = platform.client()
        for number in range(1, 10):
            assert client.query(read_statement(number)) == ("value", f"value of {number:x}".encode())
        assert client.query(write_statement(0x2B)) == ("value", b"value of 2b")
        platform.signal(signal.SIGHUP)
        platform.wait_for("reloaded")
        assert client.query(read_statement(99)) == ("value", b"value of 63")
        assert platform.process is not None
        assert not children(platform.process.pid)
        platform.signal(signal.SIGTERM)
        assert platform.process.wait(timeout=TIMEOUT_S) == 0
        assert "engine.fault" not in platform.log.read_text()
    finally:
        platform.close()


def children(pid: int) -> list[str]:
    """Return the ids of the child processes that any thread of the process has started."""
    found = []
    for thread in os.listdir(f"/proc/{pid}/task"):
        with open(f"/proc/{pid}/task/{thread}/children", encoding="ascii") as lines:
            found += lines.read().split()
    return found


def test_the_deploy_file_s_run_command_executes_the_program_by_exec():
    deploy = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())
    assert deploy["run"].startswith("exec ") and not set(deploy["run"]) & set(";&|<>`$\n")


def test_the_interpreter_is_linked_dynamically_against_the_c_library(tmp_path):
    platform = Platform(tmp_path)
    platform.configure()
    platform.start()
    try:
        assert platform.process is not None
        with open(f"/proc/{platform.process.pid}/maps", encoding="ascii", errors="replace") as maps:
            names = {line.rpartition("/")[2].strip() for line in maps}
        assert any(name.startswith("ld-linux") or name.startswith("ld-musl") for name in names), names
    finally:
        platform.close()
