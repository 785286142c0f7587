"""The hello command: what the proxy says of itself, what it asks endpoints, and what they answer."""

from __future__ import annotations

from dataclasses import dataclass
from datetime import UTC, datetime
from typing import Any

import bson

from sedgepitch.decisions.positions import NO_TERM, OpTime
from sedgepitch.protocols.mongodb.codec import Message
from sedgepitch.protocols.mongodb.payload import RawSections

DOCUMENT_BYTES_MAX = 16 * 1024 * 1024
WRITE_BATCH_MAX = 100_000
SESSION_TIMEOUT_MIN = 30
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
    """An endpoint's own report of itself."""

    primary: bool
    term: int  # of its last log entry
    optime: OpTime | None
    load: float | None  # requests that wait there


def hello_reply(
    process_id: bson.ObjectId, connection: int, frame_bytes_max: int, compressors: list[str]
) -> dict[str, Any]:
    """Return what a mongos says of itself to a client; `connection` is the connection's number."""
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
    """Return the hello that opens a connection to an endpoint and is its health check."""
    client = {
        "application": {"name": app_name},
        "driver": {"name": "sedgepitch", "version": "0.2.0"},
        "os": {"type": "Linux"},
    }
    command = {"hello": 1, "helloOk": True, "client": client, "$db": "admin"}
    return RawSections(b"\0" + bson.encode(command))


def read_hello(message: Message) -> EndpointHello | None:
    """Read an endpoint's answer to hello; None where it is an error or cannot be read."""
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
