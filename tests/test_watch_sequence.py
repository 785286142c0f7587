"""Versions that do not continue what is held or what their watch sent before, in virtual time.

The source's watches ask for changes after a revision; a source that lags behind or lost its state may make
that revision one that is not held any more, or one that the source itself has not reached.
"""

from __future__ import annotations

import json

import pytest

from sedgepitch.routing.messages import EndpointState
from tests.support.slow_discovery import EmulatedCall, EmulatedSource, SlowDiscovery, chunk

UP, DRAINING = EndpointState.UP, EndpointState.DRAINING
SILENCE_AT_S = 60.0
QUIET_S = 30.0


def version_bytes(revision: int, complete: bool, **phases: str) -> bytes:
    """Return one list version as discovery sends it."""
    members = [{"id": name, "host_port": "10.0.0.1:1", "phase": phase} for name, phase in phases.items()]
    return json.dumps({"revision": revision, "complete": complete, "members": members}).encode() + b"\n"


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
