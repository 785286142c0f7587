"""Endpoint lists that are older than what is known already do not revoke a drain or a removal.

By properties, and on a real process at the end.
"""

from __future__ import annotations

import signal
import time
from dataclasses import replace

import pytest
from hypothesis import example, given
from hypothesis import strategies as st

from sedgepitch.decisions.discovery.departures import MAX_FORGOTTEN_DEPARTURES
from sedgepitch.decisions.discovery.list_versions import (
    DiscoveredEndpoint,
    EndpointListVersions,
    ListVersion,
)
from sedgepitch.routing.messages import EndpointState
from tests.support.newest_reports import NewestReports
from tests.support.platform import DiscoveryAgent, Platform, read_statement

UP, DRAINING, GONE = EndpointState.UP, EndpointState.DRAINING, EndpointState.GONE


def entry(name: str, state: EndpointState = UP, started_at: float = 0.0) -> DiscoveredEndpoint:
    return DiscoveredEndpoint(name, ("127.0.0.1", 1), "a", 1, state, 1.0, started_at, False)


def complete_list(revision: int, *entries: DiscoveredEndpoint) -> ListVersion:
    return ListVersion(revision, True, entries)


def change(revision: int, *entries: DiscoveredEndpoint) -> ListVersion:
    return ListVersion(revision, False, entries)


class RouterView:
    """The states that the router was notified of, by endpoint name."""

    def __init__(self) -> None:
        self.versions = EndpointListVersions()
        self.states: dict[str, EndpointState] = {}

    def apply(self, version: ListVersion, cached: bool = False) -> bool:
        """Apply a version as the proxy does; return whether it applied."""
        update = self.versions.apply(version, cached)
        if update is None:
            return False
        listed = {self.versions.names[each.endpoint]: each.state for each in update.entries}
        if update.complete:
            self.states = dict.fromkeys(self.states, GONE)
        self.states |= listed
        return True

    def forget_removed(self) -> None:
        """Drop endpoints that are not listed any more, as the proxy does without connections to them."""
        for endpoint_id in list(self.versions.names):
            self.versions.forget(endpoint_id)


# Guards against a drain that is revoked by an older list that arrives twice: the first set the revision.
def test_an_older_list_that_arrives_twice_does_not_revoke_a_drain():
    view = RouterView()
    view.apply(complete_list(6, entry("a"), entry("b")))
    view.apply(change(7, entry("a", DRAINING)))
    for _ in range(3):
        view.apply(complete_list(5, entry("a"), entry("b")))
        assert view.states == {"a": DRAINING, "b": UP}


# Guards against a drain that is revoked by a change that is older than the drain, after an older list.
def test_a_change_that_is_older_than_a_drain_does_not_revoke_it():
    view = RouterView()
    view.apply(change(7, entry("a", DRAINING)))
    view.apply(complete_list(5, entry("a")))
    view.apply(change(6, entry("a")))
    assert view.states == {"a": DRAINING}
    view.apply(change(7, entry("a", DRAINING)))
    view.apply(change(8, entry("a")))
    assert view.states == {"a": UP}


# Guards against an endpoint that stays draining for good after a source lost its state and never names it.
def test_an_older_list_that_counts_on_beyond_the_drain_revokes_it():
    view = RouterView()
    view.apply(complete_list(6, entry("a"), entry("b")))
    view.apply(change(7, entry("a", DRAINING)))
    view.apply(complete_list(5, entry("a"), entry("b")))
    for revision in (6, 7):
        view.apply(change(revision, entry("b")))
        assert view.states["a"] is DRAINING
    view.apply(change(8, entry("b")))
    assert view.states == {"a": UP, "b": UP}


# Guards against a drain that is revoked by a list older than the changes that came after the drain.
def test_a_list_that_is_newer_than_a_drain_but_older_than_the_list_held_does_not_revoke_it():
    view = RouterView()
    view.apply(change(7, entry("a", DRAINING)))
    view.apply(change(9, entry("b")))
    view.apply(complete_list(8, entry("a"), entry("b")))
    assert view.states == {"a": DRAINING, "b": UP}
    view.apply(change(9, entry("b")))
    assert view.states["a"] is DRAINING
    view.apply(change(10, entry("b")))
    assert view.states["a"] is UP


# Guards against a removal that is revoked by an older list, since it was forgotten with the last connection.
@pytest.mark.parametrize("forgotten", [False, True])
@pytest.mark.parametrize(
    "removal",
    [
        pytest.param(change(7, entry("a", GONE)), id="by a change"),
        pytest.param(complete_list(7, entry("b")), id="by a list without it"),
    ],
)
def test_an_older_list_does_not_revoke_a_removal(removal, forgotten):
    view = RouterView()
    view.apply(complete_list(6, entry("a"), entry("b")))
    view.apply(removal)
    if forgotten:
        view.forget_removed()
    for _ in range(2):
        view.apply(complete_list(5, entry("a"), entry("b")))
        assert view.states == {"a": DRAINING, "b": UP}
    view.apply(complete_list(8, entry("a"), entry("b")))
    assert view.states == {"a": UP, "b": UP}


# Guards against a cached list whose drains are revoked by a discovery that lags behind it.
def test_a_list_older_than_the_cached_one_does_not_revoke_its_drains():
    view = RouterView()
    view.apply(complete_list(41, entry("a", DRAINING), entry("b")), cached=True)
    view.apply(complete_list(40, entry("a"), entry("b")))
    assert view.states == {"a": DRAINING, "b": UP}
    view.apply(complete_list(42, entry("a"), entry("b")))
    assert view.states["a"] is UP


def test_an_endpoint_that_a_cached_list_does_not_contain_is_up_when_it_is_listed():
    view = RouterView()
    view.apply(complete_list(41, entry("b")), cached=True)
    view.apply(complete_list(40, entry("a"), entry("b")))
    assert view.states == {"a": UP, "b": UP}


def test_the_memory_of_removed_endpoints_is_bounded():
    view = RouterView()
    for number in range(2 * MAX_FORGOTTEN_DEPARTURES):
        view.versions.apply(change(2 * number + 1, entry(f"s-{number}")))
        view.versions.apply(change(2 * number + 2, entry(f"s-{number}", GONE)))
        view.forget_removed()
    assert len(view.versions.departures) == MAX_FORGOTTEN_DEPARTURES


NAMES = "abc"
STEP = st.one_of(
    st.tuples(st.just("change"), st.sampled_from(NAMES), st.sampled_from([UP, DRAINING, GONE])),
    st.tuples(st.just("restart"), st.sampled_from(NAMES), st.none()),
    st.tuples(st.just("list"), st.integers(0, 12), st.none()),
    st.tuples(st.just("changes"), st.none(), st.none()),
    st.tuples(st.just("state lost"), st.integers(0, 12), st.none()),
    st.tuples(st.just("forget"), st.none(), st.none()),
)


class ListHistory:
    """All versions of a source's list, from the present one back to those before it lost its state."""

    def __init__(self) -> None:
        self.history = [complete_list(3, *(entry(name) for name in NAMES))]
        self.starts = 0

    @property
    def present(self) -> ListVersion:
        """Return the present list."""
        return self.history[-1]

    def set_endpoint(self, changed: DiscoveredEndpoint) -> None:
        """Add a version in which one endpoint is changed, added or removed."""
        others = tuple(each for each in self.present.entries if each.name != changed.name)
        listed = others if changed.state is GONE else (*others, changed)
        self.history.append(complete_list(self.present.revision + 1, *listed))

    def set_state(self, name: str, state: EndpointState) -> None:
        """Change the state of an endpoint."""
        known = next((each for each in self.present.entries if each.name == name), entry(name))
        self.set_endpoint(replace(known, state=state))

    def restart_endpoint(self, name: str) -> None:
        """Restart an endpoint, which is up after that."""
        self.starts += 1
        self.set_endpoint(entry(name, UP, float(self.starts)))

    def lose_state(self, steps: int) -> None:
        """Return to an earlier version; revisions count on from there."""
        self.history.append(self.history[-1 - min(steps, len(self.history) - 1)])

    def changes_after(self, held: ListVersion | None) -> ListVersion:
        """Return what a watch from a held list sends: its changes, or the complete list."""
        if held is None or held.revision >= self.present.revision:
            return self.present
        changed = [each for each in self.present.entries if each not in held.entries]
        listed = {each.name for each in self.present.entries}
        removed = [replace(each, state=GONE) for each in held.entries if each.name not in listed]
        return change(self.present.revision, *changed, *removed)


@given(st.lists(STEP, max_size=30))
@example(
    [
        ("list", 0, None),
        ("change", "a", DRAINING),
        ("changes", None, None),
        ("list", 1, None),
        ("list", 1, None),
    ]
)
@example(
    [("list", 0, None), ("change", "a", GONE), ("list", 0, None), ("forget", None, None), ("list", 1, None)]
)
@example(
    [
        ("list", 0, None),
        ("change", "a", DRAINING),
        ("list", 0, None),
        ("state lost", 1, None),
        ("list", 0, None),
    ]
)
def test_no_endpoint_whose_newest_report_is_a_departure_is_up(steps):
    source, view, newest = ListHistory(), RouterView(), NewestReports()
    held: ListVersion | None = None

    def receive(version: ListVersion, list_after_it: ListVersion) -> None:
        nonlocal held
        if view.apply(version):
            newest.add(version)
            held = list_after_it
        up = {name for name, state in view.states.items() if state is UP}
        assert not up & newest.departed()

    for kind, argument, state in steps:
        if kind == "change":
            source.set_state(argument, state)
        elif kind == "restart":
            source.restart_endpoint(argument)
        elif kind == "state lost":
            source.lose_state(argument)
        elif kind == "forget":
            view.forget_removed()
        elif kind == "changes":
            receive(source.changes_after(held), source.present)
        else:
            listed = source.history[-1 - min(argument, len(source.history) - 1)]
            receive(listed, listed)
    listed = {each.name: each.state for each in held.entries} if held else {}
    receive(change(1_000, entry("new")), source.present)
    assert {name: state for name, state in view.states.items() if state is not GONE} == {
        **listed,
        "new": UP,
    }, "newer changes confirm what is listed"
    last = replace(source.present, revision=1_001)
    receive(last, last)
    assert {name: state for name, state in view.states.items() if state is not GONE} == {
        each.name: each.state for each in last.entries
    }, "a newer list applies as it is"


# On a real process

READS = 40
FORGOTTEN_AFTER_S = 2.5  # its connections are closed and it is forgotten, checked each second


def reads_at(platform: Platform, name: str) -> int:
    """Send reads; return how many of them reached an endpoint."""
    endpoint = next(each for each in platform.endpoints if each.name == name)
    before = len(endpoint.statements)
    client = platform.client()
    for number in range(READS):
        assert client.query(read_statement(number))[0] == "value"
    client.close()
    return len(endpoint.statements) - before


# Guards against reads at a drained or removed endpoint after SIGHUP moved discovery to one that lags behind.
@pytest.mark.parametrize("phase", ["draining", "removed"])
def test_a_process_sends_nothing_to_an_endpoint_whose_departure_a_lagging_discovery_does_not_know(
    platform, phase
):
    lagging = DiscoveryAgent()
    lagging.first_object = platform.version(5)
    try:
        assert reads_at(platform, "s-2")
        platform.agent.send(platform.version(7, complete=False, s_2=phase))
        platform.wait_for("endpoint_list.updated revision=7")
        time.sleep(FORGOTTEN_AFTER_S)
        platform.configure(lagging)
        platform.signal(signal.SIGHUP)
        platform.wait_for("endpoint_list.updated revision=5")
        assert not reads_at(platform, "s-2")
        lagging.server.shutdown_request(lagging.watches[0])
        platform.wait_for("(?s)endpoint_list.updated revision=5.*endpoint_list.updated revision=5")
        assert not reads_at(platform, "s-2")
    finally:
        lagging.close()
