"""Memory does not grow with new ids; also a silent discovery, a moved endpoint and a truncated object."""

from __future__ import annotations

import signal
import time

from sedgepitch.decisions.discovery import watch_streams
from sedgepitch.routing import messages as api
from sedgepitch.routing.messages import AttemptResult, EndpointState
from tests.support.platform import TIMEOUT_S, EmulatedEndpoint, read_statement
from tests.support.postgresql_harness import PostgresqlProxy, read, write
from tests.support.router_harness import Rig, entry, sends


def count_entries(root: object, visited: set[int] | None = None, depth: int = 4) -> int:
    """Return the number of entries in all containers reachable from an object's attributes."""
    visited = set() if visited is None else visited
    if id(root) in visited or depth < 0:
        return 0
    visited.add(id(root))
    total = 0
    if isinstance(root, (dict, list, set, tuple)):
        total += len(root)
        parts = list(root.values()) if isinstance(root, dict) else list(root)
    else:
        names = [*getattr(root, "__dict__", {}), *getattr(type(root), "__slots__", ())]
        if not type(root).__module__.startswith("sedgepitch"):
            return 0
        parts = [getattr(root, n) for n in names if hasattr(root, n)]
    return total + sum(count_entries(part, visited, depth - 1) for part in parts)


def test_the_router_keeps_no_state_of_a_hundred_thousand_requests_and_sessions():
    rig = Rig()
    names = ("any", "session", "bounded", "write", "fresh")
    sizes = []
    for number in range(100_000):
        rig.receive(names[number % 5], session=f"s{number}", session_age=0.3)
        while rig.log:  # answers and health checks may trigger further actions
            actions, rig.log = rig.log, []
            for action in actions:
                if isinstance(action, api.CheckHealth):
                    report = api.LoadReport(rig.now - 0.01, action.endpoint == 1, 0.0)
                    rig.feed(api.HealthCheckFinished(action.endpoint, AttemptResult.OK, 0.001, report))
                elif isinstance(action, api.SendAttempt):
                    rig.finish(
                        action.request, 0, action.endpoint, AttemptResult.OK, primary=action.endpoint == 1
                    )
        rig.now += 0.02
        rig.timers = []  # every request was answered at once, so no timer has anything to do
        if number in (20_000, 60_000, 99_999):
            rig.now += 20.0
            rig.feed(api.TimerExpired(0))
            sizes.append(count_entries(rig.router))
    assert not rig.router.requests
    assert sizes[2] <= sizes[0] * 1.1 + 50, sizes


def test_the_router_drops_endpoints_that_are_replaced_continuously():
    rig = Rig()
    sizes = []
    for number in range(1, 2_000):
        fresh, old = 1000 + number, 999 + number
        entries = [entry(fresh, primary=False)]
        entries += [entry(old, state=EndpointState.GONE)] if number > 1 else []
        rig.feed(api.EndpointListUpdate(tuple(entries), complete=False))
        request, actions = rig.receive("any")
        for endpoint in sends(actions, request):
            rig.finish(request, 0, endpoint, AttemptResult.OK, primary=endpoint == 1)
        rig.now += 1.0
        rig.timers, rig.log = [], []
        if number in (500, 1_999):
            sizes.append(len(rig.router.endpoints))
    assert sizes[-1] <= sizes[0] + 5 and len(rig.router.groups[1].endpoints) <= sizes[0] + 5


def test_the_client_side_keeps_no_state_of_thousands_of_ids_keys_and_connections():
    proxy = PostgresqlProxy()
    connection, wire = proxy.client()
    sizes = []
    for number in range(1, 30_001):
        if number % 50 == 0:
            connection.connectionLost()
            connection, wire = proxy.client()
        connection.dataReceived(read(number) if number % 9 else write(number))
        proxy.turn(0.01, 2)
        while proxy.endpoints.sent:
            proxy.answer(0)
            proxy.endpoints.sent.pop(0)
        wire.clear()
        if number in (5_000, 30_000):
            proxy.advance_in_steps(3.0)
            sizes.append(count_entries(proxy.engine) + count_entries(proxy.listener))
    assert not proxy.listener.open_request_ids and not proxy.engine.request_table.requests
    assert sizes[1] <= sizes[0] * 1.1 + 50, sizes


def test_a_silent_watch_is_replaced_and_the_endpoint_list_stays_in_use(platform):
    client = platform.client()
    # The heartbeat, an empty line every 2 s, is missing.
    platform.wait_for("discovery.lost reason=discovery is silent")
    assert client.query(read_statement(1)) == ("value", b"value of 1")
    end = time.monotonic() + TIMEOUT_S
    while len(platform.agent.targets) < 2 and time.monotonic() < end:
        time.sleep(0.02)
    assert platform.agent.targets[1].endswith("index=1")


def test_an_endpoint_with_the_same_id_and_a_new_address_is_used_at_that_address(platform):
    old = platform.endpoints[1]
    try:
        client = platform.client()
        for number in range(1, 12):
            assert client.query(read_statement(number))[0] == "value"
        assert old.statements
        moved = platform.endpoints[1] = EmulatedEndpoint("s-2", "reader")
        platform.agent.send(platform.version(2, complete=False))
        platform.wait_for("endpoint_list.updated revision=2")
        before = len(old.statements)
        for number in range(20, 60):
            assert client.query(read_statement(number))[0] == "value"
        assert moved.statements and len(old.statements) == before
    finally:
        old.close()


def test_a_watch_that_ends_within_an_object_ignores_it_and_resumes_from_the_last_revision(platform):
    update = platform.version(2, complete=False, s_2="draining")
    platform.agent.first_object = platform.version(3, complete=False, s_2="draining")
    platform.agent.send(update[: len(update) // 2])
    watch = platform.agent.watches[0]
    time.sleep(0.2)
    platform.agent.server.shutdown_request(watch)
    platform.wait_for("endpoint_list.updated revision=3")
    assert "revision=2" not in platform.log.read_text()
    assert platform.agent.targets[1].endswith("index=1")
    client = platform.client()
    before = len(platform.endpoints[1].statements)
    for number in range(1, 20):
        assert client.query(read_statement(number))[0] == "value"
    assert len(platform.endpoints[1].statements) == before
    platform.signal(signal.SIGTERM)
    assert platform.process.wait(timeout=TIMEOUT_S) == 0


def test_two_more_streams_are_tried_before_a_change_counts_as_notified():
    assert watch_streams.HEARTBEAT_TIMEOUT_S > 1.25 * watch_streams.HEARTBEAT_INTERVAL_S
    # The platform counts a change as notified after 6 s.
    assert watch_streams.HEARTBEAT_TIMEOUT_S + 2.0 * watch_streams.RETRY_INTERVAL_MIN_S < 6.0
