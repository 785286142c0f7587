"""The start-up of a PostgreSQL client connection: negotiation of encryption, then the startup message."""

from __future__ import annotations

from typing import TYPE_CHECKING

from sedgepitch.protocols.postgresql import codec
from sedgepitch.protocols.postgresql.client_state import ClientState
from sedgepitch.protocols.postgresql.close_reasons import CloseReason

if TYPE_CHECKING:
    from sedgepitch.protocols.postgresql.client import ClientConnection


def start_up(connection: ClientConnection) -> None:
    """Process the start-up messages that are buffered; raises MalformedMessage."""
    while (message := connection.reader.startup()) is not None:
        code, body = message
        if code == codec.CANCEL_REQUEST:
            connection.end(CloseReason.TERMINATED)
            return
        if code in (codec.SSL_REQUEST, codec.GSS_REQUEST):
            connection.transport.write(b"N")
            continue
        codec.startup_parameters(body)
        connection.state = ClientState.READY
        key_data = codec.key_data(connection.number)
        connection.transport.write(codec.STARTUP_RESPONSE + key_data + codec.READY)
        return
