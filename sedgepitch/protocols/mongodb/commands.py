"""Parse one command: its kind, the fields that routing needs, and the sections to forward to an endpoint.

The body is walked, not decoded. Nested documents are walked only for a field that routing needs, and for the
stages of an aggregate, since one of them may write. Sources: MongoDB's command reference; driver
specifications for sessions, retryable writes and read preference.
"""

from __future__ import annotations

from dataclasses import dataclass, field

import bson

from sedgepitch.decisions.positions import OpTime
from sedgepitch.decisions.request_classes import CommandFacts
from sedgepitch.errors import ClientError
from sedgepitch.protocols.mongodb import bsonwalk
from sedgepitch.protocols.mongodb.bsonwalk import Element, MalformedDocument
from sedgepitch.protocols.mongodb.codec import SECTION_BODY, SECTION_SEQUENCE, Message
from sedgepitch.protocols.mongodb.command_table import COMMANDS, UNSUPPORTED, CommandKind

Fields = dict[bytes, Element]

WRITING_STAGES = (b"$out", b"$merge")
WITHOUT_COLLECTION = ("listCollections", "listDatabases")
READ_PREFERENCE = b"\x03$readPreference\0" + bson.encode({"mode": "primaryPreferred"})
COMMENT_CHARACTERS_MAX = 200
SHOWN_NAME_CHARACTERS_MAX = 80
SETTING_CHARACTERS_MAX = 80  # of a read preference or a read concern, whose known values are shorter
NAMESPACE_CHARACTERS_MAX = 255  # database and collection, as in MongoDB
SESSION_ID_BYTES_MAX = 64  # a UUID with its header takes 21
MS_PER_S = 1000.0
BODY_SECTION = bytes([SECTION_BODY])
SEQUENCE_SECTION = bytes([SECTION_SEQUENCE])
SEQUENCE_LENGTH_BYTES = 4


class CommandError(ClientError):
    """A command that is invalid or not supported: MongoDB error code, code name, and a one-line text."""

    def __init__(self, code: int, name: str, text: str) -> None:
        """Take the error as it is returned to the client."""
        super().__init__(text)
        self.code = code
        self.name = name
        self.text = text


@dataclass(slots=True)
class Command:
    """One command; the sections to forward are built from `message` on demand."""

    message: Message
    name: str
    kind: CommandKind
    database: str
    collection: str
    facts: CommandFacts
    session: str = ""  # the session's id in hexadecimal, "" if there is none
    after: OpTime | None = None  # the commit that a read must observe
    time_left: float | None = None  # s, from maxTimeMS
    cursor_ids: tuple[int, ...] = ()
    shard: object = None  # the shard key value, which selects the replica group
    _sections: bytes = field(default=b"", repr=False)

    @property
    def writes(self) -> bool:
        """Return whether the command may change data."""
        return self.facts.writes

    @property
    def namespace(self) -> str:
        """Return the namespace: database and collection, joined by a dot."""
        return f"{self.database}.{self.collection}"

    def sections(self) -> bytes:
        """Return the sections to forward.

        They are unchanged, except that a read without a read preference gets primaryPreferred: a replica
        rejects reads that have none.
        """
        if not self._sections:
            is_read = self.kind is CommandKind.READ and not self.facts.writes
            if is_read and not self.facts.read_preference:
                body = bsonwalk.append(self.message.body, READ_PREFERENCE)
                self._sections = BODY_SECTION + body + _encode_sequences(self.message)
            else:
                self._sections = self.message.raw
        return self._sections

    def next_batch(self, endpoint_cursor_id: int) -> bytes:
        """Return the sections of a getMore with the cursor id of the endpoint."""
        cursor_id = bsonwalk.elements(self.message.body)[0]
        body = bsonwalk.replace_int64(self.message.body, cursor_id, endpoint_cursor_id)
        return BODY_SECTION + body + _encode_sequences(self.message)


def _encode_sequences(message: Message) -> bytes:
    encoded = b""
    for section in message.sections:
        name = section.name.encode() + b"\0"
        length = SEQUENCE_LENGTH_BYTES + len(name) + len(section.documents)
        encoded += SEQUENCE_SECTION + length.to_bytes(SEQUENCE_LENGTH_BYTES, "little") + name
        encoded += section.documents
    return encoded


def read(message: Message, app_name: str = "", shard_field: tuple[bytes, ...] = ()) -> Command:
    """Parse one command; raises CommandError with the error to return to the client.

    `shard_field` is the path of field names to the shard key value; empty if there is none.
    """
    try:
        return _read(message, app_name, shard_field)
    except MalformedDocument as error:
        raise CommandError(22, "InvalidBSON", f"command: {error}") from None


def _read(message: Message, app_name: str, shard_field: tuple[bytes, ...]) -> Command:
    body = message.body
    first, fields = _fields(body)
    name = first.name.decode("utf-8", "replace")
    kind = _kind(name)
    if b"startTransaction" in fields or b"autocommit" in fields:
        raise CommandError(263, "OperationNotSupportedInTransaction", "transactions are not supported")
    database, collection = _database_and_collection(message, name, kind, first, fields)
    read_preference, max_staleness = _read_preference(body, fields.get(b"$readPreference"))
    read_concern, after = _read_concern(body, fields.get(b"readConcern"))
    writes = kind is CommandKind.WRITE or (name == "aggregate" and _may_write(body, fields.get(b"pipeline")))
    facts = CommandFacts(
        database=database,
        collection=collection,
        command=name,
        writes=writes,
        keyed=writes and b"lsid" in fields and b"txnNumber" in fields,
        comment=_comment(body, fields.get(b"comment")),
        read_preference=read_preference,
        read_concern=read_concern,
        max_staleness=max_staleness,
        app_name=app_name,
    )
    time_limit_ms = bsonwalk.number(body, fields.get(b"maxTimeMS"))
    return Command(
        message=message,
        name=name,
        kind=kind,
        database=database,
        collection=collection,
        facts=facts,
        session=_session(body, fields.get(b"lsid")),
        after=after,
        time_left=time_limit_ms / MS_PER_S if time_limit_ms and time_limit_ms > 0 else None,
        cursor_ids=_cursor_ids(body, kind, first, fields),
        shard=_value_at(body, shard_field) if shard_field else None,
    )


def _fields(body: bytes) -> tuple[Element, Fields]:
    """Return the first element, which names the command, and the first element of each name."""
    elements = bsonwalk.elements(body)
    if not elements:
        raise CommandError(59, "CommandNotFound", "the command is empty")
    fields: Fields = {}
    for element in elements:
        fields.setdefault(element.name, element)
    return elements[0], fields


def _kind(name: str) -> CommandKind:
    kind = COMMANDS.get(name)
    if kind is not None:
        return kind
    if name in UNSUPPORTED:
        raise CommandError(115, "CommandNotSupported", f"the command '{name}' is not supported")
    shown = name[:SHOWN_NAME_CHARACTERS_MAX]
    raise CommandError(59, "CommandNotFound", f"no such command: '{shown}'")


def _database_and_collection(
    message: Message, name: str, kind: CommandKind, first: Element, fields: Fields
) -> tuple[str, str]:
    body = message.body
    database = bsonwalk.text(body, fields.get(b"$db")) or ""
    if not database and not message.legacy:
        raise CommandError(40571, "Location40571", "OP_MSG requests require a $db argument")
    collection = bsonwalk.text(body, first) or bsonwalk.text(body, fields.get(b"collection")) or ""
    if not collection and kind is not CommandKind.LOCAL and name not in WITHOUT_COLLECTION:
        raise CommandError(73, "InvalidNamespace", f"{name}: the collection must be a string")
    if len(database) + len(collection) > NAMESPACE_CHARACTERS_MAX:
        raise CommandError(73, "InvalidNamespace", f"{name}: the namespace is too long")
    return database, collection


def _may_write(body: bytes, pipeline: Element | None) -> bool:
    """Return whether any stage may write. Stages that cannot be parsed count as writes.

    MongoDB allows $out and $merge only as the last stage; all stages are checked.
    """
    if pipeline is None or pipeline.kind != bsonwalk.ARRAY:
        return True
    for stage in bsonwalk.elements(body, pipeline.start):
        if stage.kind != bsonwalk.DOCUMENT:
            return True
        if any(part.name in WRITING_STAGES for part in bsonwalk.elements(body, stage.start)):
            return True
    return False


def _read_preference(body: bytes, element: Element | None) -> tuple[str, float | None]:
    """Return the read preference mode and the maximum staleness in seconds."""
    if element is None or element.kind != bsonwalk.DOCUMENT:
        return "", None
    mode = bsonwalk.text(body, bsonwalk.find(body, b"mode", element.start)) or ""
    staleness = bsonwalk.number(body, bsonwalk.find(body, b"maxStalenessSeconds", element.start))
    return mode[:SETTING_CHARACTERS_MAX], float(
        staleness
    ) if staleness is not None and staleness >= 0 else None


def _read_concern(body: bytes, element: Element | None) -> tuple[str, OpTime | None]:
    """Return the read concern level and the commit that the read must observe."""
    if element is None or element.kind != bsonwalk.DOCUMENT:
        return "", None
    level = bsonwalk.text(body, bsonwalk.find(body, b"level", element.start)) or ""
    after = bsonwalk.timestamp(body, bsonwalk.find(body, b"afterClusterTime", element.start))
    return level[:SETTING_CHARACTERS_MAX], after


def _comment(body: bytes, element: Element | None) -> str:
    if element is None:
        return ""
    if element.kind == bsonwalk.DOCUMENT:  # a tagged comment: class rules match its `class` field
        element = bsonwalk.find(body, b"class", element.start)
    return (bsonwalk.text(body, element) or "")[:COMMENT_CHARACTERS_MAX]


def _session(body: bytes, element: Element | None) -> str:
    if element is None or element.kind != bsonwalk.DOCUMENT:
        return ""
    session_id = bsonwalk.find(body, b"id", element.start)
    if session_id is None:
        return ""
    if session_id.end - session_id.start > SESSION_ID_BYTES_MAX:
        raise CommandError(207, "InvalidUUID", "lsid: the id must be a UUID")
    return body[session_id.start : session_id.end].hex()


def _cursor_ids(body: bytes, kind: CommandKind, first: Element, fields: Fields) -> tuple[int, ...]:
    if kind is CommandKind.GET_MORE:
        if first.kind != bsonwalk.INT64:
            raise CommandError(14, "TypeMismatch", "getMore: the cursor id must be a 64-bit integer")
        return (int(bsonwalk.number(body, first) or 0),)
    if kind is not CommandKind.KILL_CURSORS:
        return ()
    cursors = fields.get(b"cursors")
    if cursors is None or cursors.kind != bsonwalk.ARRAY:
        raise CommandError(14, "TypeMismatch", "killCursors: 'cursors' must be an array")
    entries = bsonwalk.elements(body, cursors.start)
    if any(entry.kind != bsonwalk.INT64 for entry in entries):
        raise CommandError(14, "TypeMismatch", "killCursors: a cursor id must be a 64-bit integer")
    return tuple(int(bsonwalk.number(body, entry) or 0) for entry in entries)


def _value_at(body: bytes, path: tuple[bytes, ...]) -> object:
    """Return the string or number at a path of field names, None if there is none."""
    *parents, last = path
    at = 0
    for name in parents:
        element = bsonwalk.find(body, name, at)
        if element is None or element.kind != bsonwalk.DOCUMENT:
            return None
        at = element.start
    value = bsonwalk.find(body, last, at)
    if value is None:
        return None
    string = bsonwalk.text(body, value)
    return string if string is not None else bsonwalk.number(body, value)
