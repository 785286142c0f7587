"""Unit tests of role evidence: responses, load reports and the endpoint list, which arrives late."""

from __future__ import annotations

from sedgepitch.routing.messages import EndpointState
from sedgepitch.routing.primary_discovery import role_listed, role_reported
from sedgepitch.routing.records import EjectionReason
from tests.support.router_harness import make_endpoint, make_state


def make_group():
    """Return a group without a primary, and its two endpoints."""
    state = make_state()
    first, second = make_endpoint(state, 1), make_endpoint(state, 2)
    return state.groups[1], first, second


def test_most_recent_role_report_wins():
    group, first, second = make_group()
    assert role_reported(group, first, True, 10.0) and group.primary is first
    assert not role_reported(group, second, True, 9.0) and group.primary is first
    assert role_reported(group, second, True, 11.0) and group.primary is second
    assert not role_reported(group, second, False, 10.5) and group.primary is second
    assert not role_reported(group, second, False, 12.0) and group.primary is None


def test_listed_role_counts_only_while_no_primary_serves():
    group, first, second = make_group()
    role_reported(group, first, True, 10.0)
    role_listed(group, second, True)
    assert group.primary is first
    first.ejection_reason = EjectionReason.SILENT
    role_listed(group, second, True)
    assert group.primary is first, "the second endpoint was already listed as primary before"
    role_listed(group, second, False)
    role_listed(group, second, True)
    assert group.primary is second and not second.role_unconfirmed


def test_listed_role_that_contradicts_the_endpoint_stays_unconfirmed_until_it_reports_the_role():
    group, first, _ = make_group()
    role_reported(group, first, False, 10.0)
    role_listed(group, first, True)
    assert group.primary is first and first.role_unconfirmed
    role_reported(group, first, True, 11.0)
    assert not first.role_unconfirmed


def test_listed_primary_replaces_a_primary_that_is_gone():
    group, first, second = make_group()
    role_reported(group, first, True, 10.0)
    first.state = EndpointState.GONE
    role_listed(group, second, True)
    assert group.primary is second
