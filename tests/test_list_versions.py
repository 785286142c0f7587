"""Endpoint list versions: which apply, ids of names, removal, wire format; and the descriptor budget."""

from __future__ import annotations

import json

import pytest
from hypothesis import given
from hypothesis import strategies as st

from sedgepitch.decisions.connections.descriptor_budget import DescriptorBudget
from sedgepitch.decisions.discovery.list_versions import DiscoveredEndpoint, EndpointListVersions, ListVersion
from sedgepitch.discovery.errors import MalformedListError
from sedgepitch.discovery.list_format import read_version
from sedgepitch.routing.messages import EndpointState


def entry(name: str, state: EndpointState = EndpointState.UP, port: int = 1) -> DiscoveredEndpoint:
    return DiscoveredEndpoint(name, ("127.0.0.1", port), "a", 1, state, 1.0, 0.0, False)


def version(revision: int, complete: bool, *entries: DiscoveredEndpoint) -> ListVersion:
    return ListVersion(revision, complete, entries)


def test_a_change_applies_once_and_a_complete_list_always_applies():
    versions = EndpointListVersions()
    assert versions.apply(version(5, True, entry("a"))).complete
    assert versions.apply(version(5, False, entry("b"))) is None
    assert versions.apply(version(6, False, entry("b"))) is not None
    assert versions.apply(version(2, True, entry("c"))) is not None, "the source may have lost its state"
    assert versions.revision == 2 and len(versions.present) == 1


def applied_states(versions: EndpointListVersions, *args) -> dict[str, EndpointState]:
    """Apply a version; return the states in the update for the router, by endpoint name."""
    return {versions.names[x.endpoint]: x.state for x in versions.apply(version(*args)).entries}


def test_an_older_complete_list_does_not_revoke_a_drain():
    versions = EndpointListVersions()
    versions.apply(version(1, True, entry("a"), entry("b")))
    versions.apply(version(7, False, entry("a", EndpointState.DRAINING)))
    assert applied_states(versions, 5, True, entry("a"), entry("b")) == {
        "a": EndpointState.DRAINING,
        "b": EndpointState.UP,
    }
    assert applied_states(versions, 6, False, entry("a")) == {"a": EndpointState.DRAINING}
    assert applied_states(versions, 8, False, entry("a")) == {
        "a": EndpointState.UP
    }, "a newer change revokes it"


def test_a_restarted_endpoint_is_up_even_in_an_older_list():
    versions = EndpointListVersions()
    versions.apply(version(7, True, entry("a", EndpointState.DRAINING)))
    restarted = DiscoveredEndpoint("a", ("127.0.0.1", 1), "a", 1, EndpointState.UP, 1.0, 5.0, False)
    assert applied_states(versions, 3, True, restarted) == {"a": EndpointState.UP}
    assert len(versions.departures) == 0


def test_a_newer_complete_list_revokes_a_drain():
    versions = EndpointListVersions()
    versions.apply(version(7, True, entry("a", EndpointState.DRAINING)))
    assert applied_states(versions, 8, True, entry("a")) == {"a": EndpointState.UP}


def test_a_cached_list_applies_without_its_revision():
    versions = EndpointListVersions()
    assert versions.apply(version(41, True, entry("a")), cached=True).remembered
    assert versions.revision == 0


def test_a_name_keeps_its_id_when_its_address_changes():
    versions, other = EndpointListVersions(), EndpointListVersions()
    first = versions.apply(version(1, True, entry("a", port=1))).entries[0].endpoint
    second = versions.apply(version(2, False, entry("a", port=2))).entries[0].endpoint
    assert first == second == other.apply(version(9, True, entry("a"))).entries[0].endpoint
    assert versions.addresses[first] == ("127.0.0.1", 2)


def test_only_a_removed_endpoint_is_forgotten():
    versions = EndpointListVersions()
    endpoint_id = versions.apply(version(1, True, entry("a"))).entries[0].endpoint
    versions.forget(endpoint_id)
    assert endpoint_id in versions.names
    versions.apply(version(2, False, entry("a", EndpointState.GONE)))
    versions.forget(endpoint_id)
    assert not (versions.names or versions.ids or versions.addresses or versions.present)


def test_forgetting_a_hundred_thousand_names_leaves_no_entries():
    versions = EndpointListVersions()
    for n in range(100_000):
        update = versions.apply(version(2 * n + 1, False, entry(f"s-{n}")))
        versions.apply(version(2 * n + 2, False, entry(f"s-{n}", EndpointState.GONE)))
        versions.forget(update.entries[0].endpoint)
    assert not (versions.names or versions.ids or versions.addresses or versions.present)


GOOD = {
    "revision": 43,
    "complete": False,
    "members": [
        {
            "id": "s-5be2",
            "host_port": "127.1.0.18:6432",
            "locality": "a",
            "cell": 3,
            "phase": "draining",
            "size": 1.5,
            "up_since_ms": 1001000500,
            "access": "writer",
        }
    ],
}


def test_a_list_object_is_converted_to_the_proxys_units():
    parsed = read_version(GOOD, unix_offset=1_000_000.0)
    (endpoint,) = parsed.entries
    assert (parsed.revision, parsed.complete) == (43, False)
    assert (endpoint.name, endpoint.address, endpoint.state) == (
        "s-5be2",
        ("127.1.0.18", 6432),
        EndpointState.DRAINING,
    )
    assert (endpoint.group, endpoint.size, endpoint.primary) == (3, 1.5, True)
    assert endpoint.started_at == pytest.approx(1000.5)


def malformed(**changes):
    return {**GOOD, "members": [{**GOOD["members"][0], **changes}]}


@pytest.mark.parametrize(
    "raw",
    [
        [],
        {},
        {**GOOD, "revision": "x"},
        {**GOOD, "revision": True},
        {**GOOD, "members": {}},
        {**GOOD, "members": [3]},
        malformed(id=5),
        malformed(phase="odd"),
        malformed(host_port="db.example:1"),
        malformed(host_port="127.0.0.1:99999"),
        malformed(host_port="127.0.0.1"),
        malformed(size="big"),
        malformed(up_since_ms=float("inf")),
        malformed(cell=None),
    ],
)
def test_a_malformed_list_raises_an_error_that_names_the_place(raw):
    with pytest.raises(MalformedListError, match="discovery"):
        read_version(raw, 0.0)


@given(
    st.recursive(
        st.none() | st.booleans() | st.floats() | st.text(max_size=9),
        lambda c: st.lists(c)
        | st.dictionaries(
            st.sampled_from(["revision", "complete", "members", "id", "host_port", "phase"]), c
        ),
    )
)
def test_any_json_is_parsed_or_raises_malformed_list_error(raw):
    try:
        read_version(json.loads(json.dumps(raw)), 0.0)
    except MalformedListError:
        pass


def test_clients_cannot_exhaust_the_descriptors_of_endpoints():
    budget = DescriptorBudget(256)
    granted = [budget.client_accepted() for _ in range(500)]
    assert granted.count(True) == budget.max_clients
    assert [budget.acquire() for _ in range(500)].count(True) == budget.max_endpoints
    assert budget.max_clients + budget.max_endpoints < 256 and budget.refused
    budget.release()
    assert budget.acquire()
