"""Signals, lists and leavings that meet one driver process at the wrong instant, forced by order."""

from __future__ import annotations

import json
import os
import re
import signal
import socket
import subprocess
import sys
import threading
import time

import pytest

from sedgepitch.protocols.postgresql import codec
from tests.support.platform import ROOT, SETUP, WITHIN, Agent, Client, Platform, change, look


def until(what, within: float = WITHIN):
    """Wait for a condition; its value is returned."""
    end = time.monotonic() + within
    while time.monotonic() < end:
        if found := what():
            return found
        time.sleep(0.02)
    raise AssertionError("it never came about")


class Mute(Agent):
    """Discovery that accepts, and says nothing or only that it will."""

    def __init__(self, head: bytes = b"") -> None:
        super().__init__()
        self.head = head
        outer = self

        def serve(handler) -> None:
            outer.asked.append(handler.request.recv(1024).decode(errors="replace").split()[1])
            outer.watches.append(handler.request)
            handler.request.sendall(outer.head)
            while handler.request.recv(1024):
                pass

        self.server.RequestHandlerClass.handle = serve


# The list


def test_lists_may_come_indented_and_in_pieces(platform):
    told = json.dumps(json.loads(platform.version(2, complete=False, s_2="draining")), indent=4)
    for at in range(0, len(told), 7):
        platform.agent.say(told[at : at + 7].encode())
    platform.wait_for("endpoint_list.updated revision=2")
    assert "discovery.lost" not in platform.log.read_text()


def test_a_watch_that_falls_silent_is_heard_until_another_has_spoken(platform):
    (first,) = platform.agent.watches
    mute = platform.agent.first
    platform.agent.first = b""  # whoever asks now is answered, and then hears nothing
    until(lambda: len(platform.agent.watches) > 1)
    first.sendall(b"%x\r\n%b\r\n" % (len(told := platform.version(2, complete=False)), told))
    platform.wait_for("endpoint_list.updated revision=2")
    platform.agent.first = mute


def test_a_reload_ends_no_watch_before_the_new_place_has_spoken(platform):
    new = Mute()
    platform.configure(new)
    platform.signal(signal.SIGHUP)
    until(lambda: len(new.asked) > 2)  # more than a second later: the old one is all there is
    platform.agent.say(platform.version(2, complete=False, s_2="draining"))
    platform.wait_for("endpoint_list.updated revision=2")
    assert len(new.watches) - new.asked.count("") <= len(new.asked)
    new.close()


def test_two_reloads_in_a_row_end_at_the_last_place_and_its_lower_version_counts(platform):
    platform.agent.say(platform.version(50, complete=False))
    platform.wait_for("endpoint_list.updated revision=50")
    never, new = Mute(), Agent()
    new.first = platform.version(7)
    platform.configure(never)
    platform.signal(signal.SIGHUP)
    until(lambda: never.asked)
    platform.configure(new)
    platform.signal(signal.SIGHUP)
    platform.wait_for("endpoint_list.updated revision=7 complete=True")
    platform.agent.say(platform.version(51, complete=False, s_2="draining"))  # the old one, late
    new.say(platform.version(8, complete=False, s_2="draining"))
    platform.wait_for("endpoint_list.updated revision=8")
    assert "revision=51" not in platform.log.read_text()
    never.close()
    new.close()


def test_a_reload_of_a_file_half_written_is_read_again_without_another_signal(platform):
    new = Agent()
    new.first = platform.version(7)
    whole = platform.folder / "config.json"
    text = whole.read_text()
    whole.write_text(text[: len(text) // 2])
    platform.signal(signal.SIGHUP)
    platform.wait_for("config.invalid")
    platform.configure(new)
    platform.wait_for("endpoint_list.updated revision=7")
    assert platform.log.read_text().count("config.invalid") == 1
    new.close()


def test_what_a_reload_does_not_take_up_is_said(platform):
    settings = json.loads(json.dumps(SETUP))
    settings["limits"]["connectTimeoutS"] = 1.0
    settings["rules"]["drainGraceS"] = 0.1
    platform.configure(settings=settings, limits={**platform.limits, "sockets": 300})
    platform.signal(signal.SIGHUP)
    said = platform.wait_for("reload.ignored fields=(.*) reason")[1]
    assert said == "sockets,settings,connect_within"


@pytest.mark.parametrize(
    "says",
    [b"HTTP/1.1 200 OK\r\n\r\nnot a list", b"HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n", b"junk\r\n\r\n"],
)
def test_discovery_that_answers_with_what_is_no_list_is_asked_with_pauses(platform, says):
    bad = Mute(says)
    platform.configure(bad)
    platform.signal(signal.SIGHUP)
    until(lambda: len(bad.asked) > 6)
    platform.agent.say(platform.version(2, complete=False))
    platform.wait_for("endpoint_list.updated revision=2")
    assert platform.client().ask(look(1)) == ("value", b"value of 1")
    assert "Traceback" not in platform.log.read_text()
    bad.close()


# Signals before the driver stands


class Halted:
    """A driver that has begun to start and waits for its configuration, which is a pipe."""

    def __init__(self, folder) -> None:
        self.platform = Platform(folder)
        self.platform.configure()
        path = folder / "config.json"
        self.text = path.read_text()
        path.unlink()
        os.mkfifo(path)
        environment = {"PATH": "", "RELAY_CONFIG": str(path), "RELAY_NAME": "n1", "PYTHONPATH": str(ROOT)}
        with self.platform.log.open("wb") as log:
            self.process = subprocess.Popen(
                [sys.executable, "-m", "sedgepitch.node"], env=environment, stderr=log, stdout=log, cwd=ROOT
            )
        self.platform.process = self.process
        self.pipe = path.open("w")  # returns when the driver has opened it

    def go_on(self) -> None:
        """Let it read."""
        self.pipe.write(self.text)
        self.pipe.close()


def test_a_reload_before_the_configuration_was_read_ends_nothing_and_is_done_afterwards(tmp_path):
    held = Halted(tmp_path)
    try:
        held.process.send_signal(signal.SIGHUP)
        held.platform.configure()  # a usual file in the place of the pipe that it is reading
        held.go_on()
        held.platform.wait_for("reloaded discovery=")
        assert held.process.poll() is None
    finally:
        held.platform.close()


@pytest.mark.parametrize("count", [1, 2])
def test_the_end_told_before_the_configuration_was_read_is_an_orderly_one(tmp_path, count):
    held = Halted(tmp_path)
    try:
        for _ in range(count):
            held.process.send_signal(signal.SIGTERM)
        held.go_on()
        assert held.process.wait(timeout=WITHIN) == 0
        assert "Traceback" not in held.platform.log.read_text()
    finally:
        held.platform.close()


# The end of a driver


def test_statements_sent_ahead_are_each_answered_before_the_driver_ends(platform):
    hang = threading.Event()
    for endpoint in platform.endpoints:
        endpoint.script = lambda s: hang.wait(WITHIN) and None
    held = platform.client()
    held.held.sendall(codec.query(look(1)) + codec.query(look(2)) + codec.query(look(3)))
    until(lambda: any(m.statements for m in platform.endpoints))
    platform.signal(signal.SIGTERM)
    platform.signal(signal.SIGTERM)
    platform.signal(signal.SIGHUP)
    answers = [held.until_ready() for _ in range(3)]
    assert all(any(kind in (b"E", b"D") for kind, _ in one) and one[-1][0] == b"Z" for one in answers)
    assert held.until_ready() == [], "closed in order"
    assert platform.process.wait(timeout=WITHIN) == 0
    hang.set()
    assert "Traceback" not in platform.log.read_text()


def test_clients_that_send_up_to_the_end_get_an_answer_or_a_close_for_each_request(platform):
    clients = [platform.client() for _ in range(8)]
    unanswered = []

    def go_on(client: Client, base: int) -> None:
        for number in range(base, base + 100_000):
            try:
                kind, _ = client.ask(look(number, d=2000))
            except OSError:
                return  # a close that crossed the request
            if kind == "closed":
                return
            if kind not in ("value", "error"):
                unanswered.append(number)

    threads = [
        threading.Thread(target=go_on, args=(c, 1_000_000 * (i + 1)), daemon=True)
        for i, c in enumerate(clients)
    ]
    for thread in threads:
        thread.start()
    platform.signal(signal.SIGTERM)
    assert platform.process.wait(timeout=WITHIN) == 0
    for thread in threads:
        thread.join(WITHIN)
    statistics = platform.wait_for(r"stopped (.*)")[1]
    assert not unanswered and "requests_pending=0" in statistics and "callback_errors=0" in statistics


# Clients that leave


def test_a_client_that_sends_much_at_once_and_goes_leaves_nothing_that_is_sent_on_later(platform):
    hang = threading.Event()
    for endpoint in platform.endpoints:
        endpoint.script = lambda s: hang.wait(WITHIN) and None
    client = platform.client()
    client.held.sendall(codec.query(look(1)))
    until(lambda: any(m.statements for m in platform.endpoints))
    for number in range(2, 3000):
        client.held.sendall(codec.query(look(number)))
    client.close()
    until(lambda: re.search(r"runtime_statistics .*client_connections=0 ", platform.log.read_text()))
    hang.set()
    other = platform.client()
    for number in range(5000, 5010):
        assert other.ask(look(number))[0] == "value"
    sent = {re.search(r"id=(\w+)", s)[1] for m in platform.endpoints for s in m.statements}
    assert sent - {f"{n:x}" for n in range(5000, 5010)} == {"1"}


def test_a_client_that_left_while_the_driver_stood_still_is_not_served_afterwards(platform):
    client = platform.client()
    platform.process.send_signal(signal.SIGSTOP)
    client.held.sendall(codec.query(change(1)))
    client.close()
    time.sleep(0.3)  # what is tested is a driver that stood still for that long
    platform.process.send_signal(signal.SIGCONT)
    assert platform.client().ask(look(2)) == ("value", b"value of 2")
    assert not [s for m in platform.endpoints for s in m.statements if "id=1," in s]


def test_a_closed_port_cuts_nobody_off_who_was_connected():
    ran = subprocess.run(
        [sys.executable, "-m", "tests.support.transport_case", "uvloop", "accept_all"],
        capture_output=True,
        text=True,
        timeout=120,
        cwd=ROOT,
        check=True,
    )
    assert json.loads(ran.stdout)["accepted"] == 40


def test_a_client_that_trickles_or_floods_costs_its_own_connection_only(platform):
    slow = socket.create_connection(("127.0.0.1", platform.port))
    slow.sendall(codec.startup("web", "orders")[:9])
    flood = Client(platform.port)
    try:
        for _ in range(200):
            flood.held.sendall(b"Q" + b"\x7f\xff\xff\xff" + b"z" * 65536)
    except OSError:
        pass
    assert platform.client().ask(look(7)) == ("value", b"value of 7")
    while slow.recv(4096):
        pass
    slow.close()
    assert "Traceback" not in platform.log.read_text()
