"""The states of a client connection of the PostgreSQL protocol.

=========  ===============================================  ==============================================
state      means                                            next
=========  ===============================================  ==============================================
STARTUP    the startup message has not come                 READY
READY      waits for a statement, or for the rest of one    EXECUTING, YIELDING
EXECUTING  a request is pending                             READY, YIELDING when answered
YIELDING   the next statement, already here, has its turn   READY in the next turn of the event loop
CLOSING    an error or the end was sent; input is dropped   none; reached from every state
=========  ===============================================  ==============================================
"""

from __future__ import annotations

from enum import Enum


class ClientState(Enum):
    """Where a connection stands; see the table above."""

    STARTUP = "startup"
    READY = "ready"
    EXECUTING = "executing"
    YIELDING = "yielding"
    CLOSING = "closing"


BUSY_STATES = (ClientState.EXECUTING, ClientState.YIELDING)
READING_STATES = (ClientState.STARTUP, ClientState.READY)
