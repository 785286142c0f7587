"""The platform's log: its limit per second, and what the limit does not drop."""

from __future__ import annotations

import io

from sedgepitch.node.structured_log import MAX_LINES_PER_SECOND, StructuredLog


# Guards against: a shutdown in a crowd whose last line, with its statistics, is dropped as one too many.
def test_the_events_of_a_process_s_own_life_are_written_beyond_the_limit():
    sink = io.StringIO()
    log = StructuredLog("n1", sink)
    for number in range(4 * MAX_LINES_PER_SECOND):
        log.log_event("client.closed", connection=number)
    for event in ("listening", "stopping", "stopped"):
        log.log_event(event)
    lines = sink.getvalue().splitlines()
    assert sum("client.closed" in line for line in lines) <= 2 * MAX_LINES_PER_SECOND, "two seconds at most"
    assert [line.split()[2] for line in lines[-3:]] == ["listening", "stopping", "stopped"]
