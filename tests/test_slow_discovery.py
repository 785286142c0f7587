"""A discovery that answers late, hangs, trickles, or serves one call at a time is heard.

In virtual time, and on a real process at the end.
"""

from __future__ import annotations

import random
import signal
import time
from pathlib import Path

import pytest

from sedgepitch.decisions.connections.descriptor_budget import RESERVED_DESCRIPTORS
from sedgepitch.decisions.discovery.watch_streams import (
    BACKOFF_MAX_S,
    CANDIDATE_LIFETIME_MIN_S,
    HEARTBEAT_TIMEOUT_S,
    MAX_CANDIDATES,
    RETRY_INTERVAL_MAX_S,
)
from tests.support.platform import TIMEOUT_S, DiscoveryAgent, Platform
from tests.support.slow_discovery import HANGS, EmulatedSource, SlowDiscovery

LONGEST_DELAY_S = 10.0
DELAY_STEP_S = 0.25
DELAYS_S = [DELAY_STEP_S * n for n in range(int(LONGEST_DELAY_S / DELAY_STEP_S) + 1)]
NOTIFIED_WITHIN_S = 6.0  # the platform: a change counts as notified at the latest this long after a silence
RELOADED_WITHIN_S = 4.0  # the platform: and this long after SIGHUP
QUIET_S = 60.0
PATTERNS = {
    "constant": lambda delay, rng: lambda n: delay,
    "growing": lambda delay, rng: lambda n: min(LONGEST_DELAY_S, delay + DELAY_STEP_S * n),
    "shrinking": lambda delay, rng: lambda n: max(0.0, delay - DELAY_STEP_S * n),
    "drawn anew": lambda delay, rng: lambda n: rng.uniform(0.0, delay),
}
PATHS = ("start", "reset", "silence", "move")


def play_until_asked(discovery: SlowDiscovery, path: str, source: EmulatedSource) -> float:
    """Bring a client to the point where it has to hear from a slow source; return that time."""
    slow = discovery.add("slow", source)
    if path == "start":
        discovery.start(slow)
        return 0.0
    prompt = discovery.add("prompt", EmulatedSource(discovery.clock))
    discovery.start(slow if path != "move" else prompt)
    if path == "move":
        discovery.run_until(5.0)
        source.revision = 2
        discovery.client.set_address(slow)
        return 5.0
    discovery.run_until(60.0)
    source.revision = 2
    if path == "reset":
        source.reset_all()
        return 60.0
    source.silence_all()
    return 60.0


def slow_source(discovery: SlowDiscovery, path: str, pattern: str, delay_s: float) -> EmulatedSource:
    """Return a source whose calls take times of a pattern; its first list is prompt unless it starts."""
    later = PATTERNS[pattern](delay_s, random.Random(f"{path}/{pattern}/{delay_s}"))
    return EmulatedSource(discovery.clock, later)


# Guards against a watch that is given up before a slow discovery begins its answer: no drain is known.
@pytest.mark.parametrize("pattern", PATTERNS)
@pytest.mark.parametrize("path", PATHS)
def test_a_slow_discovery_is_heard_within_its_delay(monkeypatch, path, pattern):
    for delay_s in DELAYS_S:
        discovery = SlowDiscovery(monkeypatch)
        source = slow_source(discovery, path, pattern, delay_s)
        asked_at = play_until_asked(discovery, path, source)
        discovery.run_until(asked_at + QUIET_S)
        revision = 1 if path == "start" else 2
        silence_s = HEARTBEAT_TIMEOUT_S if path == "silence" else 0.0
        longest_s = LONGEST_DELAY_S if pattern == "growing" else delay_s
        assert discovery.known_at(revision) <= asked_at + silence_s + longest_s + 0.01, (delay_s, pattern)
        assert discovery.most_open <= MAX_CANDIDATES + 1


@pytest.mark.parametrize("delay_s", [0.0, 1.2, 2.5, 3.0])
@pytest.mark.parametrize("path", PATHS)
def test_a_change_is_known_in_the_time_that_the_platform_allows(monkeypatch, path, delay_s):
    discovery = SlowDiscovery(monkeypatch)
    source = EmulatedSource(discovery.clock, lambda number: delay_s)
    asked_at = play_until_asked(discovery, path, source)
    discovery.run_until(asked_at + QUIET_S)
    allowed_s = RELOADED_WITHIN_S if path == "move" else NOTIFIED_WITHIN_S
    assert discovery.known_at(1 if path == "start" else 2) <= asked_at + allowed_s + 0.01


# Guards against a call that hangs and keeps the calls beside it from being heard.
@pytest.mark.parametrize("hanging", [1, 2, 3])
@pytest.mark.parametrize("path", PATHS)
def test_slow_calls_beside_hanging_ones_are_heard(monkeypatch, path, hanging):
    for delay_s in DELAYS_S:
        discovery = SlowDiscovery(monkeypatch)
        source = EmulatedSource(discovery.clock)
        asked_at = play_until_asked(discovery, path, source)
        first = len(source.calls) - 1 if path in ("start", "move") else len(source.calls)
        source.delay_s = lambda number, first=first, late=delay_s: HANGS if number < first + hanging else late
        discovery.run_until(asked_at + QUIET_S)
        retries_s = sum((1.0, 2.0, 2.5)[:hanging])
        silence_s = HEARTBEAT_TIMEOUT_S if path == "silence" else 0.0
        known_at = discovery.known_at(1 if path == "start" else 2)
        assert known_at <= asked_at + silence_s + retries_s + delay_s + 0.01, delay_s


def test_a_source_that_hangs_is_tried_at_a_bounded_rate_and_heard_when_it_answers_again(monkeypatch):
    discovery = SlowDiscovery(monkeypatch)
    source = EmulatedSource(discovery.clock, lambda number: HANGS)
    discovery.start(discovery.add("slow", source))
    discovery.run_until(QUIET_S)
    assert len(source.calls) <= 3 + QUIET_S / RETRY_INTERVAL_MAX_S
    assert discovery.most_open <= MAX_CANDIDATES
    source.delay_s = lambda number: 0.0
    discovery.run_until(2.0 * QUIET_S)
    assert discovery.known_at(1) <= QUIET_S + RETRY_INTERVAL_MAX_S + 0.01


def test_no_candidate_is_closed_before_its_lifetime(monkeypatch):
    discovery = SlowDiscovery(monkeypatch)
    source = EmulatedSource(discovery.clock, lambda number: CANDIDATE_LIFETIME_MIN_S - 0.01)
    discovery.start(discovery.add("slow", source))
    discovery.run_until(QUIET_S)
    assert discovery.known_at(1) <= CANDIDATE_LIFETIME_MIN_S
    assert CANDIDATE_LIFETIME_MIN_S > LONGEST_DELAY_S


# Guards against a watch that was heard and is replaced again and again, as long as answers take over 1 s.
@pytest.mark.parametrize("one_by_one", [False, True])
@pytest.mark.parametrize("path", PATHS)
def test_no_watch_is_opened_beside_one_that_was_heard(monkeypatch, path, one_by_one):
    for delay_s in DELAYS_S:
        discovery = SlowDiscovery(monkeypatch)
        source = EmulatedSource(discovery.clock, lambda number, late=delay_s: late, one_by_one)
        asked_at = play_until_asked(discovery, path, source)
        discovery.run_until(asked_at + QUIET_S)
        calls = len(source.calls)
        discovery.run_until(asked_at + 2.0 * QUIET_S)
        assert len(source.calls) == calls and source.open_calls == 1, delay_s
        assert calls <= 2 * MAX_CANDIDATES


# Guards against calls that are given up and hold up all later ones, where discovery serves one at a time.
@pytest.mark.parametrize("delay_s", [0.5, 1.2, 2.5, 3.0])
@pytest.mark.parametrize("path", PATHS)
def test_a_discovery_that_serves_one_call_at_a_time_is_heard_in_time(monkeypatch, path, delay_s):
    discovery = SlowDiscovery(monkeypatch)
    source = EmulatedSource(discovery.clock, lambda number: delay_s, one_by_one=True)
    asked_at = play_until_asked(discovery, path, source)
    discovery.run_until(asked_at + QUIET_S)
    allowed_s = RELOADED_WITHIN_S if path == "move" else NOTIFIED_WITHIN_S
    assert discovery.known_at(1 if path == "start" else 2) <= asked_at + allowed_s + 0.01


# Guards against a backlog of given-up calls in which no call is waited for until it is served.
@pytest.mark.parametrize("stalled_s", [0.0, 5.0, 30.0])
def test_a_discovery_that_stalls_and_then_serves_all_calls_in_order_is_heard_first_of_all(
    monkeypatch, stalled_s
):
    for delay_s in DELAYS_S:
        discovery = SlowDiscovery(monkeypatch)
        source = EmulatedSource(discovery.clock, lambda number, late=delay_s: late, one_by_one=True)
        source.free_at = stalled_s
        discovery.start(discovery.add("slow", source))
        discovery.run_until(stalled_s + QUIET_S)
        assert discovery.known_at(1) <= stalled_s + delay_s + 0.01, delay_s
        assert discovery.most_open <= MAX_CANDIDATES + 1


def test_a_candidate_that_hangs_beside_a_heard_watch_is_closed(monkeypatch):
    discovery = SlowDiscovery(monkeypatch)
    source = EmulatedSource(discovery.clock, lambda number: HANGS if number else 1.2)
    discovery.start(discovery.add("slow", source))
    discovery.run_until(QUIET_S)
    assert len(source.calls) == 2 and source.open_calls == 1


# Guards against a watch that is replaced for good, though it is heard again, where new calls hang.
@pytest.mark.parametrize("silent_s", [HEARTBEAT_TIMEOUT_S + 0.5, 6.0, 30.0])
def test_a_watch_that_is_heard_again_after_a_silence_is_not_replaced(monkeypatch, silent_s):
    discovery = SlowDiscovery(monkeypatch)
    source = EmulatedSource(discovery.clock, lambda number: HANGS if number else 0.0)
    discovery.start(discovery.add("slow", source))
    discovery.run_until(QUIET_S)
    source.silence_all()
    discovery.run_until(QUIET_S + silent_s)
    calls = len(source.calls)
    assert calls > 1, "called while it was silent"
    source.resume_all()
    discovery.run_until(2.0 * QUIET_S + silent_s)
    assert len(source.calls) == calls and source.open_calls == 1


# Guards against calls without a pause while discovery refuses new connections and one call hangs.
def test_a_source_that_refuses_calls_beside_one_that_hangs_is_tried_at_a_bounded_rate(monkeypatch):
    discovery = SlowDiscovery(monkeypatch)
    source = EmulatedSource(discovery.clock, lambda number: HANGS)
    discovery.start(discovery.add("slow", source))
    discovery.run_until(0.5)
    source.refused = True
    discovery.run_until(QUIET_S)
    assert QUIET_S / RETRY_INTERVAL_MAX_S <= len(source.calls) <= 10 + QUIET_S / BACKOFF_MAX_S
    assert "Connection was refused by other side" in "".join(discovery.lost)


# Lists that come byte by byte, and connections that come up late

TRICKLE_S = 0.2  # for each byte; a list takes some 25 s


# Guards against a list that is given up while its bytes arrive, because a call before it hangs.
@pytest.mark.parametrize("hanging", [0, 1, 2])
@pytest.mark.parametrize("path", PATHS)
def test_a_list_that_comes_byte_by_byte_is_heard(monkeypatch, path, hanging):
    discovery = SlowDiscovery(monkeypatch)
    source = EmulatedSource(discovery.clock)
    asked_at = play_until_asked(discovery, path, source)
    first = len(source.calls) - 1 if path in ("start", "move") else len(source.calls)
    source.byte_interval_s = TRICKLE_S
    source.delay_s = lambda number: HANGS if number < first + hanging else 0.0
    discovery.run_until(asked_at + QUIET_S)
    assert discovery.known_at(1 if path == "start" else 2) <= asked_at + 40.0
    assert discovery.most_open <= MAX_CANDIDATES + 1


# Guards against a crowded discovery whose connections come up after 1 s and were given up each time.
@pytest.mark.parametrize("path", PATHS)
def test_a_discovery_whose_connections_come_up_late_is_heard(monkeypatch, path):
    for delay_s in DELAYS_S:
        discovery = SlowDiscovery(monkeypatch)
        source = EmulatedSource(discovery.clock)
        asked_at = play_until_asked(discovery, path, source)
        if path in ("start", "move"):
            source.reset_all()  # the call that is out: what follows comes up late
        source.connect_delay_s = delay_s
        discovery.run_until(asked_at + QUIET_S)
        silence_s = HEARTBEAT_TIMEOUT_S if path == "silence" else 0.0
        known_at = discovery.known_at(1 if path == "start" else 2)
        assert known_at <= asked_at + silence_s + delay_s + 0.5, delay_s


# Configurations that follow each other faster than discovery answers

MOVES = 12
OLD_CLOSES_S = 1.5  # the platform: a former address closes its watches this long after SIGHUP


def move_in_series(
    discovery: SlowDiscovery, sources: list[EmulatedSource], gap_s: float, closes: bool
) -> float:
    """Move from address to address in a series, and return the time of the last move."""
    addresses = [discovery.add(f"source {number}", source) for number, source in enumerate(sources)]
    discovery.start(addresses[0])
    discovery.run_until(20.0)
    for source in sources:
        source.revision = 2
    for number in range(MOVES):
        discovery.run_until(20.0 + number * gap_s)
        former = sources[number % len(sources)]
        discovery.client.set_address(addresses[(number + 1) % len(sources)])
        if closes:
            discovery.clock.callLater(OLD_CLOSES_S, former.reset_all)
    return discovery.clock.seconds()


# Guards against configurations in quick succession of which each closes the call that would have been heard.
@pytest.mark.parametrize("gap_s", [0.1, 0.3, 1.0, 2.0])
@pytest.mark.parametrize("addresses", [2, MOVES + 1])
@pytest.mark.parametrize("one_by_one", [False, True])
def test_the_first_call_of_a_series_of_moves_is_heard(monkeypatch, gap_s, addresses, one_by_one):
    for delay_s in (0.25, 0.5, 1.2, 2.5, 3.5):
        discovery = SlowDiscovery(monkeypatch)
        sources = [
            EmulatedSource(discovery.clock, lambda n, late=delay_s: late, one_by_one)
            for _ in range(addresses)
        ]
        last_move = move_in_series(discovery, sources, gap_s, closes=False)
        discovery.run_until(last_move + QUIET_S)
        assert discovery.known_at(2) <= 20.0 + delay_s + 0.01, delay_s
        assert discovery.most_open <= MAX_CANDIDATES + 1
        assert [source.open_calls for source in sources if source.open_calls] == [1]
        assert sources[MOVES % addresses].open_calls == 1, "the watch at the last address remains"


@pytest.mark.parametrize("gap_s", [0.1, 0.3, 1.0, 2.0])
@pytest.mark.parametrize("delay_s", [0.0, 1.2, 2.5, 3.5])
def test_a_change_is_known_in_time_after_a_series_of_moves_whose_old_addresses_close(
    monkeypatch, gap_s, delay_s
):
    discovery = SlowDiscovery(monkeypatch)
    sources = [EmulatedSource(discovery.clock, lambda number: delay_s) for _ in range(MOVES + 1)]
    last_move = move_in_series(discovery, sources, gap_s, closes=True)
    discovery.run_until(last_move + QUIET_S)
    assert discovery.known_at(2) <= last_move + RELOADED_WITHIN_S
    assert sources[-1].open_calls == 1 and discovery.most_open <= MAX_CANDIDATES + 1


# Guards against an older list from a former address that is applied over the list of the present one.
def test_a_list_from_a_former_address_is_not_applied_beside_the_present_one(monkeypatch):
    discovery = SlowDiscovery(monkeypatch)
    present, former = EmulatedSource(discovery.clock), EmulatedSource(discovery.clock, lambda number: 2.5)
    present.revision = 2
    address, other = discovery.add("present", present), discovery.add("former", former)
    discovery.start(address)
    discovery.run_until(5.0)
    present.delay_s = lambda number: 3.5
    discovery.client.set_address(other)
    discovery.client.set_address(address)
    discovery.run_until(QUIET_S)
    assert {revision for _, revision in discovery.heard} == {2}
    assert present.open_calls == 1 and former.open_calls == 0


def test_the_same_address_again_does_not_close_or_repeat_the_call_that_is_out(monkeypatch):
    discovery = SlowDiscovery(monkeypatch)
    source = EmulatedSource(discovery.clock, lambda number: 2.5)
    address = discovery.add("slow", source)
    discovery.start(address)
    for number in range(20):
        discovery.run_until(0.1 * number)
        discovery.client.set_address(address)
    discovery.run_until(QUIET_S)
    assert discovery.known_at(1) <= 2.51 and len(source.calls) == 2


# On a real process

SLOW_ANSWER_S = 2.5


# Guards against a drain that is never known because discovery takes 2.5 s to begin its answers.
@pytest.mark.parametrize("path", ["start", "reset", "move"])
def test_a_process_hears_a_discovery_that_begins_its_answers_late(tmp_path, path):
    platform = Platform(tmp_path)
    slow = DiscoveryAgent() if path == "move" else platform.agent
    if path == "start":
        slow.delay_s = SLOW_ANSWER_S
    platform.configure()
    platform.start()
    try:
        if path != "start":
            platform.wait_for("endpoint_list.updated revision=1 complete=True cached=False")
        slow.delay_s = SLOW_ANSWER_S
        slow.first_object = platform.version(2, s_2="draining")
        if path == "reset":
            slow.server.shutdown_request(slow.watches[0])
        elif path == "move":
            platform.configure(slow)
            platform.signal(signal.SIGHUP)
        asked_at = time.monotonic()
        platform.wait_for("endpoint_list.updated revision=2")
        assert time.monotonic() - asked_at < RELOADED_WITHIN_S
        platform.signal(signal.SIGTERM)
        assert platform.process.wait(timeout=TIMEOUT_S) == 0
    finally:
        platform.close()
        if slow is not platform.agent:
            slow.close()


# Guards against a process that calls a slow discovery each second for good, though its watch is heard.
def test_a_process_keeps_the_watch_that_a_slow_discovery_has_answered(tmp_path):
    platform = Platform(tmp_path)
    platform.agent.delay_s = 1.2
    platform.configure()
    platform.start()
    try:
        platform.wait_for("endpoint_list.updated revision=1 complete=True cached=False")
        for _ in range(12):
            time.sleep(0.5)
            platform.agent.send(b"\n")
        assert len(platform.agent.targets) <= 2, "the first call, and one beside it after a second"
    finally:
        platform.close()


# Guards against a series of SIGHUPs with new addresses after which a drain is not known in time.
def test_a_process_hears_slow_discoveries_through_a_series_of_new_configurations(platform):
    agents = [DiscoveryAgent() for _ in range(6)]
    try:
        for agent in agents:
            agent.delay_s = SLOW_ANSWER_S
            agent.first_object = platform.version(2, s_2="draining")
        for agent in agents:
            platform.configure(agent)
            platform.signal(signal.SIGHUP)
            time.sleep(0.7)
        assert (
            "endpoint_list.updated revision=2" in platform.log.read_text()
        ), "known from the first new address"
        agents[-1].first_object = platform.version(3, s_2="draining")
        platform.wait_for("endpoint_list.updated revision=3")
    finally:
        for agent in agents:
            agent.close()


# Guards against watch streams to a hanging discovery for which no descriptors are reserved.
def test_the_reserved_descriptors_of_a_process_cover_the_streams_to_a_hanging_discovery(platform):
    platform.agent.delay_s = 10.0 * QUIET_S  # and the active stream falls silent
    end = time.monotonic() + TIMEOUT_S
    while len(platform.agent.targets) < 1 + MAX_CANDIDATES and time.monotonic() < end:
        time.sleep(0.1)
    assert len(platform.agent.targets) == 1 + MAX_CANDIDATES
    being_accepted = 1
    descriptors = len(list(Path(f"/proc/{platform.process.pid}/fd").iterdir()))
    assert descriptors + being_accepted <= RESERVED_DESCRIPTORS
