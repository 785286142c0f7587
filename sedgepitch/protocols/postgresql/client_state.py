"""The states of a PostgreSQL client connection.

=========  ======================================================  ========================================
state      meaning                                                 next states
=========  ======================================================  ========================================
STARTUP    waiting for the startup message                         READY
READY      waiting for a statement or for the rest of one          EXECUTING, YIELDING
EXECUTING  a request is pending                                    READY, YIELDING after the response
YIELDING   a pipelined statement is buffered and waits its turn    READY in the next turn of the event loop
CLOSING    the last message was sent; input is discarded           none; reachable from every state
=========  ======================================================  ========================================
"""

from __future__ import annotations

from enum import Enum


class ClientState(Enum):
    """State of a connection; see the table above."""

    STARTUP = "startup"
    READY = "ready"
    EXECUTING = "executing"
    YIELDING = "yielding"
    CLOSING = "closing"


BUSY_STATES = (ClientState.EXECUTING, ClientState.YIELDING)
READING_STATES = (ClientState.STARTUP, ClientState.READY)
