"""What each command is: a read, a write, a cursor's next batch, or answered here; and what its fields ask.

One table, `COMMANDS`. A command that does not stand there is not supported. The body is walked once, without
being decoded; only an aggregate's stages are looked at, since one of them may write.
Sources: MongoDB's command reference; driver specifications for sessions, retryable writes, read preference.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum

import bson

from sedgepitch.decisions.request_classes import Facts
from sedgepitch.protocols.mongodb import bsonwalk
from sedgepitch.protocols.mongodb.bsonwalk import BadDocument, Element
from sedgepitch.protocols.mongodb.codec import Message

Stamp = tuple[int, int]  # a BSON timestamp: seconds, increment


class Kind(Enum):
    """How a command is handled."""

    READ = "read"
    WRITE = "write"
    GET_MORE = "getMore"
    KILL_CURSORS = "killCursors"
    LOCAL = "local"


COMMANDS = {
    "find": Kind.READ,
    "aggregate": Kind.READ,  # a write with $out or $merge
    "count": Kind.READ,
    "distinct": Kind.READ,
    "listCollections": Kind.READ,
    "listDatabases": Kind.READ,
    "insert": Kind.WRITE,
    "update": Kind.WRITE,
    "delete": Kind.WRITE,
    "findAndModify": Kind.WRITE,
    "findandmodify": Kind.WRITE,
    "getMore": Kind.GET_MORE,
    "killCursors": Kind.KILL_CURSORS,
    "hello": Kind.LOCAL,
    "isMaster": Kind.LOCAL,
    "ismaster": Kind.LOCAL,
    "ping": Kind.LOCAL,
    "buildInfo": Kind.LOCAL,
    "buildinfo": Kind.LOCAL,
    "endSessions": Kind.LOCAL,
}
# What a mongos knows and this subset does not serve (MongoDB manual, "Database Commands"; the commands of
# storage nodes only, and of tests, are not among them). Any other name is not known at all.
UNSERVED = frozenset(
    """
    abortReshardCollection abortTransaction addShard addShardToZone analyze analyzeShardKey appendOplogNote
    authenticate autoSplitVector balancerCollectionStatus balancerStart balancerStatus balancerStop bulkWrite
    checkMetadataConsistency cleanupOrphaned cleanupReshardCollection cleanupStructuredEncryptionData
    clearJumboFlag clusterAbortTransaction clusterAggregate clusterCommitTransaction clusterCount
    clusterDelete clusterFind clusterGetMore clusterInsert clusterUpdate collMod collStats
    commitReshardCollection commitTransaction compact compactStructuredEncryptionData configureFailPoint
    configureQueryAnalyzer connPoolStats connPoolSync connectionStatus convertToCapped
    coordinateCommitTransaction create createIndexes createRole createSearchIndexes createUser currentOp
    dataSize dbHash dbStats
    driverOIDTest drop dropAllRolesFromDatabase dropAllUsersFromDatabase dropConnections dropDatabase
    dropIndexes dropRole dropSearchIndex dropUser enableSharding eval explain features filemd5
    flushRouterConfig fsync fsyncUnlock getAuditConfig getClusterParameter getCmdLineOpts getDatabaseVersion
    getDefaultRWConcern getDiagnosticData getLog getParameter getShardMap getShardVersion getnonce
    grantPrivilegesToRole grantRolesToRole grantRolesToUser hostInfo internalRenameIfOptionsAndIndexesMatch
    invalidateUserCache isdbgrid killAllSessions killAllSessionsByPattern killOp killSessions listCommands
    listIndexes listSearchIndexes listShards lockInfo logApplicationMessage logRotate logout mapReduce
    mergeAllChunksOnShard mergeChunks moveChunk moveCollection movePrimary multicast netstat planCacheClear
    planCacheClearFilters planCacheListFilters planCacheSetFilter prepareTransaction profile
    refineCollectionShardKey refreshLogicalSessionCacheNow refreshSessions reIndex releaseMemory removeShard
    removeShardFromZone renameCollection repairShardedCollectionChunksHistory replSetGetStatus
    reshardCollection resetError revokePrivilegesFromRole revokeRolesFromRole revokeRolesFromUser rolesInfo
    saslContinue saslStart serverStatus setAllowMigrations setAuditConfig setClusterParameter
    setDefaultRWConcern setFeatureCompatibilityVersion setFreeMonitoring setIndexCommitQuorum setParameter
    setProfilingFilterGlobally setQuerySettings shardCollection shardConnPoolStats shutdown split
    splitVector startSession top transitionFromDedicatedConfigServer transitionToDedicatedConfigServer
    unshardCollection untrackUnshardedCollection updateRole updateSearchIndex updateUser updateZoneKeyRange
    usersInfo validate validateDBMetadata waitForFailPoint whatsmyuri
    """.split()
)
WRITING_STAGES = (b"$out", b"$merge")
READ_PREFERENCE = b"\x03$readPreference\0" + bson.encode({"mode": "primaryPreferred"})


class BadCommand(Exception):
    """A command that cannot be taken: code, code name and one line."""

    def __init__(self, code: int, name: str, text: str) -> None:
        super().__init__(text)
        self.code, self.name, self.text = code, name, text


@dataclass(slots=True)
class Request:
    """One command as read off the wire; what is sent on is made of `message` when it is needed."""

    message: Message
    name: str
    kind: Kind
    database: str
    collection: str
    facts: Facts
    session: str = ""
    after: Stamp | None = None
    time_left: float | None = None  # s, as maxTimeMS says
    cursor_ids: tuple[int, ...] = ()
    shard: object = None
    _sections: bytes = field(default=b"", repr=False)

    @property
    def writes(self) -> bool:
        """Whether it may change data."""
        return self.facts.writes

    @property
    def namespace(self) -> str:
        """Database and collection."""
        return f"{self.database}.{self.collection}"

    def sections(self) -> bytes:
        """Return the sections to send on: as they came, but that a read says it may be read at a replica."""
        if not self._sections:
            reads = self.kind is Kind.READ and not self.facts.writes
            if reads and not self.facts.read_preference:
                head = b"\0" + bsonwalk.append(self.message.body, READ_PREFERENCE)
                self._sections = head + _others(self.message)
            else:
                self._sections = self.message.raw
        return self._sections

    def next_batch(self, member_id: int) -> bytes:
        """Return a getMore's sections with the member's own cursor id."""
        first = bsonwalk.elements(self.message.body)[0]
        body = bsonwalk.replace_int64(self.message.body, first, member_id)
        return b"\0" + body + _others(self.message)


def _others(message: Message) -> bytes:
    out = b""
    for section in message.sections:
        name = section.name.encode() + b"\0"
        out += b"\1" + (4 + len(name) + len(section.documents)).to_bytes(4, "little") + name
        out += section.documents
    return out


def read(message: Message, app_name: str = "", shard_field: tuple[bytes, ...] = ()) -> Request:
    """Read one command; raises BadCommand with the error that the client is to get.

    `shard_field` is the path of names to the value that tells the group, empty for none.
    """
    try:
        return _read(message, app_name, shard_field)
    except BadDocument as error:
        raise BadCommand(22, "InvalidBSON", f"command: {error}") from None


def _read(message: Message, app_name: str, shard_field: tuple[bytes, ...]) -> Request:
    body = message.body
    found: dict[bytes, Element] = {}
    first: Element | None = None
    for element in bsonwalk.elements(body):
        first = first or element
        found.setdefault(element.name, element)
    if first is None:
        raise BadCommand(59, "CommandNotFound", "the command is empty")
    name = first.name.decode("utf-8", "replace")
    kind = COMMANDS.get(name)
    if kind is None:
        if name in UNSERVED:
            raise BadCommand(115, "CommandNotSupported", f"the command '{name}' is not supported")
        raise BadCommand(59, "CommandNotFound", f"no such command: '{name[:80]}'")
    if b"startTransaction" in found or b"autocommit" in found:
        raise BadCommand(263, "OperationNotSupportedInTransaction", "transactions are not supported")
    database = bsonwalk.text(body, found.get(b"$db")) or ""
    if not database and not message.legacy:
        raise BadCommand(40571, "Location40571", "OP_MSG requests require a $db argument")
    collection = bsonwalk.text(body, first) or bsonwalk.text(body, found.get(b"collection")) or ""
    if kind not in (Kind.LOCAL,) and not collection and name not in ("listCollections", "listDatabases"):
        raise BadCommand(73, "InvalidNamespace", f"{name}: the collection must be a string")
    writes = kind is Kind.WRITE or (name == "aggregate" and _writes(body, found.get(b"pipeline")))
    preference, staleness = _read_preference(body, found.get(b"$readPreference"))
    concern, after = _read_concern(body, found.get(b"readConcern"))
    keyed = writes and b"lsid" in found and b"txnNumber" in found
    facts = Facts(
        database=database,
        collection=collection,
        command=name,
        writes=writes,
        keyed=keyed,
        comment=_comment(body, found.get(b"comment")),
        read_preference=preference,
        read_concern=concern,
        max_staleness=staleness,
        app_name=app_name,
    )
    limit = bsonwalk.number(body, found.get(b"maxTimeMS"))
    return Request(
        message=message,
        name=name,
        kind=kind,
        database=database,
        collection=collection,
        facts=facts,
        session=_session(body, found.get(b"lsid")),
        after=after,
        time_left=limit / 1000.0 if limit and limit > 0 else None,
        cursor_ids=_cursor_ids(body, kind, first, found),
        shard=_value(body, shard_field) if shard_field else None,
    )


def _writes(body: bytes, pipeline: Element | None) -> bool:
    """Whether any stage writes; only the last may, but what cannot be read is taken for a write."""
    if pipeline is None or pipeline.kind != bsonwalk.ARRAY:
        return True
    for stage in bsonwalk.elements(body, pipeline.start):
        if stage.kind != bsonwalk.DOCUMENT:
            return True
        if any(part.name in WRITING_STAGES for part in bsonwalk.elements(body, stage.start)):
            return True
    return False


def _read_preference(body: bytes, element: Element | None) -> tuple[str, float | None]:
    if element is None or element.kind != bsonwalk.DOCUMENT:
        return "", None
    mode = bsonwalk.text(body, bsonwalk.find(body, b"mode", element.start)) or ""
    staleness = bsonwalk.number(body, bsonwalk.find(body, b"maxStalenessSeconds", element.start))
    return mode, float(staleness) if staleness is not None and staleness >= 0 else None


def _read_concern(body: bytes, element: Element | None) -> tuple[str, Stamp | None]:
    if element is None or element.kind != bsonwalk.DOCUMENT:
        return "", None
    level = bsonwalk.text(body, bsonwalk.find(body, b"level", element.start)) or ""
    after = bsonwalk.timestamp(body, bsonwalk.find(body, b"afterClusterTime", element.start))
    return level, after


def _comment(body: bytes, element: Element | None) -> str:
    if element is None:
        return ""
    if element.kind == bsonwalk.DOCUMENT:  # a tagged comment: its class is what rules match on
        return bsonwalk.text(body, bsonwalk.find(body, b"class", element.start)) or ""
    return (bsonwalk.text(body, element) or "")[:200]


def _session(body: bytes, element: Element | None) -> str:
    if element is None or element.kind != bsonwalk.DOCUMENT:
        return ""
    identity = bsonwalk.find(body, b"id", element.start)
    return body[identity.start : identity.end].hex() if identity is not None else ""


def _cursor_ids(body: bytes, kind: Kind, first: Element, found: dict[bytes, Element]) -> tuple[int, ...]:
    if kind is Kind.GET_MORE:
        if first.kind != bsonwalk.INT64:
            raise BadCommand(14, "TypeMismatch", "getMore: the cursor id must be a 64-bit integer")
        return (int(bsonwalk.number(body, first) or 0),)
    if kind is not Kind.KILL_CURSORS:
        return ()
    cursors = found.get(b"cursors")
    if cursors is None or cursors.kind != bsonwalk.ARRAY:
        raise BadCommand(14, "TypeMismatch", "killCursors: 'cursors' must be an array")
    entries = list(bsonwalk.elements(body, cursors.start))
    if any(entry.kind != bsonwalk.INT64 for entry in entries):
        raise BadCommand(14, "TypeMismatch", "killCursors: a cursor id must be a 64-bit integer")
    return tuple(int(bsonwalk.number(body, entry) or 0) for entry in entries)


def _value(body: bytes, path: tuple[bytes, ...]) -> object:
    at = 0
    for depth, name in enumerate(path):
        element = bsonwalk.find(body, name, at)
        if element is None:
            return None
        if depth == len(path) - 1:
            words = bsonwalk.text(body, element)
            return words if words is not None else bsonwalk.number(body, element)
        if element.kind != bsonwalk.DOCUMENT:
            return None
        at = element.start
    return None
