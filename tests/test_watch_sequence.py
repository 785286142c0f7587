"""Versions that do not continue what is held or what their watch sent before, in virtual time.

The source's watches ask for changes after a revision; a source that lags behind or lost its state may make
that revision one that is not held any more, or one that the source itself has not reached.
"""

from __future__ import annotations

import pytest

from sedgepitch.routing.messages import EndpointState
from tests.support.slow_discovery import EmulatedCall, EmulatedSource, SlowDiscovery, chunk, version_bytes

UP, DRAINING = EndpointState.UP, EndpointState.DRAINING
SILENCE_AT_S = 60.0
QUIET_S = 30.0


class ScriptedSource(EmulatedSource):
    """A source with a given delay and first object for each call."""

    def __init__(self, clock, answers: list[tuple[float, bytes]]) -> None:
        super().__init__(clock, lambda number: answers[number][0])
        self.answers = answers

    def first_object(self, call: EmulatedCall) -> bytes:
        """Return what the call's number is answered with."""
        return self.answers[call.number][1]


# Guards against an endpoint that is never listed again: changes applied on an older list than they continue.
@pytest.mark.parametrize("second_delay_s", [2.0, 3.0])
def test_changes_after_a_revision_that_is_not_held_any_more_are_not_applied(monkeypatch, second_delay_s):
    discovery = SlowDiscovery(monkeypatch)
    source = ScriptedSource(
        discovery.clock,
        [
            (0.0, version_bytes(9, True, a="up", b="up", c="up")),
            (1.5, version_bytes(5, True, a="up", b="up")),
            (second_delay_s, version_bytes(11, False, b="draining")),
        ],
    )
    discovery.start(discovery.add("source", source))
    discovery.run_until(SILENCE_AT_S)
    source.silence_all()
    discovery.run_until(SILENCE_AT_S + QUIET_S)
    lagging, gap = source.calls[1:]
    assert (lagging.index, gap.index) == (9, 9)
    assert lagging.open and not gap.open, "the watch whose changes continue the list is kept"
    lagging.send(chunk(version_bytes(11, False, b="draining", c="up")))
    discovery.run_until(SILENCE_AT_S + 2 * QUIET_S)
    assert discovery.states == {"a": UP, "b": DRAINING, "c": UP}
    assert source.open_calls == 1


# Guards against a drain that is not known, since a source that lost its state counts its revisions anew.
@pytest.mark.parametrize("heartbeat_first", [False, True])
def test_a_change_with_a_revision_below_the_requested_one_leads_to_the_complete_list(
    monkeypatch, heartbeat_first
):
    discovery = SlowDiscovery(monkeypatch)
    anew = version_bytes(3, False, b="draining")
    source = ScriptedSource(
        discovery.clock,
        [
            (0.0, version_bytes(9, True, a="up", b="up")),
            (0.0, b"\n" if heartbeat_first else anew),
            (0.0, version_bytes(3, True, a="up", b="draining")),
        ],
    )
    discovery.start(discovery.add("source", source))
    discovery.run_until(SILENCE_AT_S)
    source.reset_all()
    discovery.run_until(SILENCE_AT_S + 0.1)
    if heartbeat_first:
        source.calls[1].send(chunk(anew))
    discovery.run_until(SILENCE_AT_S + QUIET_S)
    assert [call.index for call in source.calls] == [0, 9, 0]
    assert discovery.states == {"a": UP, "b": DRAINING}
    assert source.open_calls == 1


# Guards against a watch that is replaced since its first object repeats the revision that was asked for.
def test_a_version_with_the_requested_revision_is_no_reason_to_ask_again(monkeypatch):
    discovery = SlowDiscovery(monkeypatch)
    source = ScriptedSource(
        discovery.clock,
        [(0.0, version_bytes(9, True, a="up")), (0.0, version_bytes(9, False))],
    )
    discovery.start(discovery.add("source", source))
    discovery.run_until(SILENCE_AT_S)
    source.reset_all()
    discovery.run_until(SILENCE_AT_S + QUIET_S)
    assert len(source.calls) == 2 and source.open_calls == 1
