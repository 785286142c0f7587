"""The start-up of a PostgreSQL client connection: negotiation of encryption, then the startup message.

As in PostgreSQL, a client may ask once for each kind of encryption. Else one read of a socket could hold
thousands of requests, each answered with a write.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from sedgepitch.protocols.postgresql import codec
from sedgepitch.protocols.postgresql.client_state import ClientState
from sedgepitch.protocols.postgresql.close_reasons import CloseReason
from sedgepitch.protocols.postgresql.codec import MalformedMessage

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
            if code in connection.refused_encryption:
                raise MalformedMessage("encryption was refused before")
            connection.refused_encryption.append(code)
            connection.transport.write(b"N")
            continue
        codec.startup_parameters(body)
        connection.state = ClientState.READY
        key_data = codec.key_data(connection.number)
        connection.transport.write(codec.STARTUP_RESPONSE + key_data + codec.READY)
        return
