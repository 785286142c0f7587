"""Twisted's own log events are forwarded to the log of the process, one limited line per event."""

from __future__ import annotations

import pytest
from twisted.logger import LogLevel
from twisted.python.failure import Failure

from sedgepitch.node.twisted_log import MAX_TEXT_CHARS, TwistedLogForwarder


@pytest.fixture
def forwarded():
    lines = []
    forwarder = TwistedLogForwarder(lambda event, **fields: lines.append((event, fields)))
    return forwarder, lines


def test_a_failure_is_logged_on_one_line_with_its_place(forwarded):
    forwarder, lines = forwarded
    try:
        raise ValueError("two\nlines " + "x" * 1000)
    except ValueError:
        failure = Failure()
    forwarder({"log_level": LogLevel.critical, "log_failure": failure, "isError": 1})
    event, fields = lines[0]
    assert event == "twisted.failure"
    assert fields["place"].startswith("test_twisted_log.py:")
    assert fields["error"].startswith("ValueError: two lines") and len(fields["error"]) == MAX_TEXT_CHARS


def test_a_failed_accept_is_logged_though_twisted_reports_it_at_level_info(forwarded):
    forwarder, lines = forwarded
    forwarder(
        {
            "log_level": LogLevel.info,
            "log_namespace": "twisted.internet.tcp",
            "log_format": "Could not accept new connection ({acceptError})",
            "acceptError": "ENFILE",
        }
    )
    assert lines == [("twisted", {"level": "info", "text": "Could not accept new connection (ENFILE)"})]


def test_other_events_at_level_info_or_debug_are_not_forwarded(forwarded):
    forwarder, lines = forwarded
    forwarder({"log_level": LogLevel.info, "log_namespace": "twisted.internet.tcp", "log_format": "starting"})
    forwarder({"log_level": LogLevel.debug, "log_namespace": "other", "log_format": "EMFILE"})
    assert lines == []
