"""Reasons given in answers. Clients and logs see these texts, so they are part of the wire format."""

from __future__ import annotations

STOPPING = "stopping"
OUT_OF_MEMORY = "no memory for this statement now"
TOO_MANY_IN_FLIGHT = "too many requests in flight"
NO_TIME_LEFT = "no time left"
PROCESS_OVERLOADED = "this driver carries {pending} requests and can no more"
EVENT_LOOP_LAG = "this driver is {lag:.3f} s late"
ADMISSION = "at the door: {why}"
NO_CAPACITY_IN_TIME = "no member had room in time"
NO_ANSWER_YET = "no answer yet"
NO_ANSWER_BY_DEADLINE = "no answer in the client's time"
NO_DECISION = "overdue: no decision came"
ENDPOINT_ERROR = "member {endpoint}: {why}"

# Why an attempt was withdrawn or could not be made.
LIST_CHANGED = "the list changed before it left"
ATTEMPT_TIMEOUT = "time-out of the attempt"
CANCELLED = "called off"
UPSTREAM_SEND_RAISED = "the front could not send"
UPSTREAM_HEALTH_CHECK_RAISED = "the front could not probe"
