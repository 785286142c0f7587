"""Maps the reply of an endpoint to the outcome of an attempt, with the endpoint's role and position.

===============================  ============  ==========================================================
reply of the endpoint            outcome       reason
===============================  ============  ==========================================================
a complete row                   OK            served
25006 read_only_sql_transaction  NOT_ELIGIBLE  no primary: the statement had no effect
72000 snapshot_too_old           NOT_ELIGIBLE  the replica is too far behind: the statement had no effect
53300 too_many_connections       OVERLOADED    the endpoint sheds load: the statement had no effect
any other SQLSTATE               ERROR         the statement may have run
malformed                        ERROR         the statement may have run
===============================  ============  ==========================================================
"""

from __future__ import annotations

from sedgepitch.core.types import AttemptOutcome
from sedgepitch.protocols.postgresql.codec import MS_PER_S
from sedgepitch.protocols.postgresql.endpoint_connection import SessionNames
from sedgepitch.protocols.postgresql.reply import Reply
from sedgepitch.routing.messages import AttemptResult

RESULT_OF_SQLSTATE = {
    "": AttemptResult.OK,
    "25006": AttemptResult.NOT_ELIGIBLE,
    "72000": AttemptResult.NOT_ELIGIBLE,
    "53300": AttemptResult.OVERLOADED,
}
POSITION_DIGITS_MAX = 18


def malformed_outcome(reply: Reply) -> AttemptOutcome:
    """Return the outcome of an attempt with a malformed reply."""
    why = f"spoilt answer: {reply.malformed}"
    return AttemptOutcome(AttemptResult.ERROR, why=why, received_at=reply.arrived)


def outcome_of(reply: Reply, names: SessionNames, unix_offset: float) -> AttemptOutcome:
    """Return the outcome of a well-formed reply, with the role and position of the endpoint.

    `unix_offset` is Unix time minus the clock's time, in seconds.
    """
    result = RESULT_OF_SQLSTATE.get(reply.error_code, AttemptResult.ERROR)
    outcome = AttemptOutcome(result, received_at=reply.arrived)
    if reply.error_code:
        outcome.why = f"code {reply.error_code}"
    if reply.role == names.primary:
        outcome.primary = True
    elif reply.role == names.replica:
        outcome.primary = False
    if reply.position.isdigit() and len(reply.position) <= POSITION_DIGITS_MAX:
        outcome.position = int(reply.position) / MS_PER_S - unix_offset
    return outcome
