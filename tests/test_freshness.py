"""Unit tests of the freshness rules: positions, staleness bounds and sessions."""

from __future__ import annotations

from dataclasses import replace

import pytest

from sedgepitch.routing import messages as api
from sedgepitch.routing.freshness import FreshnessRules
from sedgepitch.routing.messages import AttemptResult, SessionTracking
from tests.support.router_harness import SETTINGS, make_endpoint, make_request, make_state

TRACKED_BY_PROXY = replace(SETTINGS, session_tracking=SessionTracking.BY_PROXY)


@pytest.mark.parametrize(
    ("name", "lag", "fresh"),
    [
        ("any", 1e6, True),
        ("bounded", 0.498, True),
        ("bounded", 0.5, False),  # positions are rounded to milliseconds
        ("session", 0.298, True),
        ("session", 0.3, False),
        ("fresh", 0.0, False),
        ("write", 0.0, False),
    ],
)
def test_replica_is_fresh_enough_according_to_its_last_known_position(name, lag, fresh):
    rules = FreshnessRules(make_state())
    endpoint = make_endpoint(rules.state, position=rules.state.now - lag)
    request = make_request(rules.state, name)
    rules.set_session_age(request, 0.3)
    assert rules.fresh_enough(endpoint, request) is fresh


@pytest.mark.parametrize(
    ("result", "reported", "required"),
    [
        (AttemptResult.OK, 99.9, 99.9),
        (AttemptResult.OK, None, 100.5),
        (AttemptResult.TIMEOUT, 99.9, 100.5),  # it may have committed at any time until its end
        (AttemptResult.OVERLOADED, None, float("-inf")),
    ],
)
def test_tracked_session_requires_the_present_during_a_write_and_its_commit_afterwards(
    result, reported, required
):
    rules = FreshnessRules(make_state(TRACKED_BY_PROXY))
    write = make_request(rules.state, "write", 1, session="s")
    read = make_request(rules.state, "session", 2, session="s")
    rules.write_started(write)
    rules.state.now = 100.5
    assert rules.required_position(read) == 100.5
    rules.write_finished(write, api.AttemptFinished(1, 0, 1, result, 0.5, True, position=reported))
    assert rules.required_position(read) == required


def test_dropped_session_requires_the_position_that_all_endpoints_had_reached():
    rules = FreshnessRules(make_state(TRACKED_BY_PROXY))
    make_endpoint(rules.state, 1, position=99.0)
    make_endpoint(rules.state, 2, position=98.0)
    group = rules.state.groups[1]
    group.session_commits = {"old": 97.5, "new": 98.5}
    rules.drop_sessions(group)
    assert group.session_commits == {"new": 98.5}
    old, new = (make_request(rules.state, "session", session=name) for name in ("old", "new"))
    assert (rules.required_position(old), rules.required_position(new)) == (98.0, 98.5)
