"""Endpoint list versions: what applies, ids for names, what is forgotten; and the descriptor budget."""

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


def test_a_change_applies_once_and_a_complete_list_always():
    held = EndpointListVersions()
    assert held.apply(version(5, True, entry("a"))).complete
    assert held.apply(version(5, False, entry("b"))) is None
    assert held.apply(version(6, False, entry("b"))) is not None
    assert held.apply(version(2, True, entry("c"))) is not None, "a source that lost its memory"
    assert held.revision == 2 and len(held.present) == 1


def told(held: EndpointListVersions, *args) -> dict[str, EndpointState]:
    """Return the states of the update for the router, by name."""
    return {held.names[x.endpoint]: x.state for x in held.apply(version(*args)).entries}


def test_an_older_complete_list_does_not_take_back_a_drain():
    held = EndpointListVersions()
    held.apply(version(1, True, entry("a"), entry("b")))
    held.apply(version(7, False, entry("a", EndpointState.DRAINING)))
    assert told(held, 5, True, entry("a"), entry("b")) == {"a": EndpointState.DRAINING, "b": EndpointState.UP}
    assert told(held, 6, False, entry("a")) == {"a": EndpointState.UP}, "a change names it"


def test_a_restarted_endpoint_is_up_whatever_the_revision():
    held = EndpointListVersions()
    held.apply(version(7, True, entry("a", EndpointState.DRAINING)))
    again = DiscoveredEndpoint("a", ("127.0.0.1", 1), "a", 1, EndpointState.UP, 1.0, 5.0, False)
    assert told(held, 3, True, again) == {"a": EndpointState.UP}
    assert not held.departing


def test_a_newer_complete_list_is_applied_as_it_is():
    held = EndpointListVersions()
    held.apply(version(7, True, entry("a", EndpointState.DRAINING)))
    assert told(held, 8, True, entry("a")) == {"a": EndpointState.UP}


def test_a_cached_list_gives_endpoints_but_no_revision():
    held = EndpointListVersions()
    assert held.apply(version(41, True, entry("a")), cached=True).remembered
    assert held.revision == 0


def test_a_name_keeps_its_id_and_gets_its_new_address():
    held, other = EndpointListVersions(), EndpointListVersions()
    first = held.apply(version(1, True, entry("a", port=1))).entries[0].endpoint
    again = held.apply(version(2, False, entry("a", port=2))).entries[0].endpoint
    assert first == again == other.apply(version(9, True, entry("a"))).entries[0].endpoint
    assert held.addresses[first] == ("127.0.0.1", 2)


def test_a_removed_endpoint_is_forgotten_and_a_listed_one_is_not():
    held = EndpointListVersions()
    number = held.apply(version(1, True, entry("a"))).entries[0].endpoint
    held.forget(number)
    assert number in held.names
    held.apply(version(2, False, entry("a", EndpointState.GONE)))
    held.forget(number)
    assert not (held.names or held.ids or held.addresses or held.present)


def test_a_hundred_thousand_names_leave_nothing_behind():
    held = EndpointListVersions()
    for n in range(100_000):
        told = held.apply(version(2 * n + 1, False, entry(f"s-{n}")))
        held.apply(version(2 * n + 2, False, entry(f"s-{n}", EndpointState.GONE)))
        held.forget(told.entries[0].endpoint)
    assert not (held.names or held.ids or held.addresses or held.present)


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


def test_an_object_is_translated_into_the_proxys_units():
    told = read_version(GOOD, unix_offset=1_000_000.0)
    (one,) = told.entries
    assert (told.revision, told.complete) == (43, False)
    assert (one.name, one.address, one.state) == ("s-5be2", ("127.1.0.18", 6432), EndpointState.DRAINING)
    assert (one.group, one.size, one.primary) == (3, 1.5, True)
    assert one.started_at == pytest.approx(1000.5)


def broken(**changes):
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
        broken(id=5),
        broken(phase="odd"),
        broken(host_port="db.example:1"),
        broken(host_port="127.0.0.1:99999"),
        broken(host_port="127.0.0.1"),
        broken(size="big"),
        broken(up_since_ms=float("inf")),
        broken(cell=None),
    ],
)
def test_a_malformed_list_is_an_error_that_names_the_place(raw):
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
def test_any_json_is_a_list_or_an_error(raw):
    try:
        read_version(json.loads(json.dumps(raw)), 0.0)
    except MalformedListError:
        pass


def test_clients_cannot_use_up_the_descriptors_of_endpoints():
    account = DescriptorBudget(256)
    came = [account.client_accepted() for _ in range(500)]
    assert came.count(True) == account.max_clients
    assert [account.acquire() for _ in range(500)].count(True) == account.max_endpoints
    assert account.max_clients + account.max_endpoints < 256 and account.refused
    account.release()
    assert account.acquire()
