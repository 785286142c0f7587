"""The platform's log: the limit of lines per second, and the events exempt from it."""

from __future__ import annotations

import io

from sedgepitch.node.structured_log import MAX_LINES_PER_SECOND, StructuredLog


# Guards against the rate limit dropping the "stopped" line, which carries the statistics, when a process
# shuts down while many clients disconnect.
def test_process_lifecycle_events_are_exempt_from_the_rate_limit():
    sink = io.StringIO()
    log = StructuredLog("n1", sink)
    for number in range(4 * MAX_LINES_PER_SECOND):
        log.log_event("client.closed", connection=number)
    for event in ("listening", "stopping", "stopped"):
        log.log_event(event)
    lines = sink.getvalue().splitlines()
    assert sum("client.closed" in line for line in lines) <= 2 * MAX_LINES_PER_SECOND, "two seconds at most"
    assert [line.split()[2] for line in lines[-3:]] == ["listening", "stopping", "stopped"]


# Guards against a flood of one kind of line that hides the line about a lost request (incident a29244).
def test_one_kind_of_line_leaves_room_for_the_others():
    sink = io.StringIO()
    log = StructuredLog("n1", sink)
    for number in range(4 * MAX_LINES_PER_SECOND):
        log.log_event("client.closed", reason="bad_message", connection=number)
    log.log_event("client.closed", reason="too_slow", connection=-1)
    assert "reason=too_slow" in sink.getvalue()
