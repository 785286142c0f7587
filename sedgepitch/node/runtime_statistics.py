"""Runtime statistics of one proxy instance, logged every few seconds."""

from __future__ import annotations

import time
from dataclasses import asdict, dataclass

from sedgepitch.core.engine import Engine
from sedgepitch.decisions.connections.descriptor_budget import DescriptorBudget
from sedgepitch.net.process_memory import private_bytes
from sedgepitch.protocols.postgresql.client_listener import ClientListener
from sedgepitch.protocols.postgresql.upstream import PostgresUpstream

MS_PER_S = 1000.0
BYTES_PER_MB = 1_000_000


@dataclass(slots=True, frozen=True)
class RuntimeStatistics:
    """Counts since the process started, except for current values, marked `now`."""

    requests_completed: int
    requests_pending: int  # now
    requests_tracked: int  # now: pending, or answered with attempts still in flight
    client_connections: int  # now
    connections_accepted: int
    idle: int  # now: client connections by state, as are the next two
    awaiting_first_byte: int
    receiving: int
    endpoint_connections: int  # now
    descriptors_refused: int  # endpoint connections refused by the descriptor budget
    protocol_errors: int  # malformed messages and unsupported statements of clients
    timed_out: int  # client connections closed, as is the next one
    evicted: int
    malformed_responses: int  # from endpoints
    unreadable_load_reports: int
    deadline_margin_ms: float  # now: how much deadlines are brought forward for event loop lag
    max_lag_ms: float
    rejected_for_load: int  # by this process
    rejected_for_lag: int
    rejected_for_shutdown: int  # statements read after the drain deadline
    answered_early: int  # because of event loop lag
    overdue: int  # answered by the engine's last guard; above 0 indicates a defect
    callback_errors: int  # above 0 indicates a defect
    cpu_s: float  # CPU time of the process
    private_memory_mb: float  # now
    client_bytes: int  # now: input, pending statements and responses that client connections hold
    client_bytes_max: int  # now: the budget for these
    buffers_reclaimed: int  # times that a client connection had to give back what it held
    rejected_for_memory: int  # statements

    def log_fields(self) -> dict[str, object]:
        """Return the fields for a log event, in order of declaration."""
        return asdict(self)


def collect_statistics(
    engine: Engine,
    clients: ClientListener,
    upstream: PostgresUpstream,
    descriptors: DescriptorBudget,
    now: float,
) -> RuntimeStatistics:
    """Collect the statistics at `now` (monotonic seconds)."""
    requests = engine.request_table
    connections = clients.activity
    lag = engine.event_loop_lag
    return RuntimeStatistics(
        requests_completed=requests.completed,
        requests_pending=requests.pending,
        requests_tracked=len(requests.requests),
        client_connections=descriptors.clients,
        connections_accepted=clients.accepted,
        idle=len(connections.idle),
        awaiting_first_byte=len(connections.awaiting_first_byte),
        receiving=len(connections.receiving),
        endpoint_connections=descriptors.endpoints,
        descriptors_refused=descriptors.refused,
        protocol_errors=clients.bad_messages + clients.bad_statements,
        timed_out=connections.timed_out,
        evicted=connections.evicted,
        malformed_responses=upstream.malformed_responses,
        unreadable_load_reports=upstream.unreadable_load_reports,
        deadline_margin_ms=round(lag.deadline_margin(now) * MS_PER_S, 1),
        max_lag_ms=round(lag.longest * MS_PER_S, 1),
        rejected_for_load=engine.rejected_for_load,
        rejected_for_lag=engine.rejected_for_lag,
        rejected_for_shutdown=clients.rejected_for_shutdown,
        answered_early=engine.answered_early,
        overdue=engine.answered_by_last_guard,
        callback_errors=engine.callbacks.errors,
        cpu_s=round(time.process_time(), 2),
        private_memory_mb=round(private_bytes() / BYTES_PER_MB, 1),
        client_bytes=clients.buffers.budget.total_bytes,
        client_bytes_max=clients.buffers.budget.max_bytes,
        buffers_reclaimed=clients.buffers.reclaimed,
        rejected_for_memory=clients.buffers.rejected,
    )
