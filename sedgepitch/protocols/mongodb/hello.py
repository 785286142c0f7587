"""The hello command: the proxy's reply to clients, its request to endpoints, and their replies."""

from __future__ import annotations

from dataclasses import dataclass
from datetime import UTC, datetime
from typing import Any

import bson

from sedgepitch.decisions.positions import NO_TERM, OpTime
from sedgepitch.protocols.mongodb.codec import WRITE_BATCH_MAX, Message
from sedgepitch.protocols.mongodb.payload import RawSections

DOCUMENT_BYTES_MAX = 16 * 1024 * 1024
SESSION_TIMEOUT_MIN = 30  # minutes
WIRE_VERSION_MIN = 0
WIRE_VERSION_MAX = 21
BUILD_INFO = {
    "version": "7.0.0",
    "gitVersion": "sedgepitch",
    "versionArray": [7, 0, 0, 0],
    "maxBsonObjectSize": DOCUMENT_BYTES_MAX,
    "modules": ["sedgepitch"],
    "ok": 1.0,
}


@dataclass(slots=True, frozen=True)
class EndpointHello:
    """The state that an endpoint reports about itself."""

    primary: bool
    term: int  # of its last oplog entry
    optime: OpTime | None
    load: float | None  # requests queued at the endpoint


def hello_reply(
    process_id: bson.ObjectId, connection: int, frame_bytes_max: int, compressors: list[str]
) -> dict[str, Any]:
    """Return the hello reply of a mongos to a client; `connection` is the connection's number."""
    return {
        "isWritablePrimary": True,
        "ismaster": True,
        "helloOk": True,
        "msg": "isdbgrid",
        "topologyVersion": {"processId": process_id, "counter": bson.Int64(0)},
        "maxBsonObjectSize": DOCUMENT_BYTES_MAX,
        "maxMessageSizeBytes": frame_bytes_max,
        "maxWriteBatchSize": WRITE_BATCH_MAX,
        "localTime": datetime.now(UTC),
        "logicalSessionTimeoutMinutes": SESSION_TIMEOUT_MIN,
        "connectionId": connection,
        "minWireVersion": WIRE_VERSION_MIN,
        "maxWireVersion": WIRE_VERSION_MAX,
        "readOnly": False,
        "compression": compressors,
        "ok": 1.0,
    }


def hello_command(app_name: str) -> RawSections:
    """Return the hello command that opens connections to endpoints and serves as their health check."""
    client = {
        "application": {"name": app_name},
        "driver": {"name": "sedgepitch", "version": "0.2.0"},
        "os": {"type": "Linux"},
    }
    command = {"hello": 1, "helloOk": True, "client": client, "$db": "admin"}
    return RawSections(b"\0" + bson.encode(command))


def read_hello(message: Message) -> EndpointHello | None:
    """Parse an endpoint's reply to hello; returns None for an error or a malformed reply."""
    try:
        document = bson.decode(message.body)
        if document.get("ok") != 1:
            return None
        optime = (document.get("lastWrite") or {}).get("opTime") or {}
        timestamp = optime.get("ts")
        load = document.get("load")
        return EndpointHello(
            primary=bool(document.get("isWritablePrimary")),
            term=int(optime.get("t", NO_TERM)),
            optime=(timestamp.time, timestamp.inc) if isinstance(timestamp, bson.Timestamp) else None,
            load=float(load) if isinstance(load, int | float) else None,
        )
    except (bson.errors.BSONError, AttributeError, TypeError, ValueError):
        return None
