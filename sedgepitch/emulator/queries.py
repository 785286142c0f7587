"""Reads and writes of an emulated server's documents, with the optimes that each reply carries."""

from __future__ import annotations

from typing import TYPE_CHECKING

import bson

from sedgepitch.emulator.query_language import CommandError, Document
from sedgepitch.emulator.replica_group import WriteKey
from sedgepitch.emulator.requests import CommandKind, ReceivedCommand

if TYPE_CHECKING:
    from sedgepitch.emulator.server import EmulatedServer

FIRST_CURSOR_ID = 1000
BATCH_DOCUMENTS = 101
DATABASE_BYTES = 4096  # size of each database in listDatabases
ERROR_CHARACTERS_MAX = 200
SIGNATURE = {"hash": bytes(20), "keyId": bson.Int64(0)}


class ServerCursors:
    """The open cursors of one server, each with its remaining documents."""

    def __init__(self) -> None:
        """Start without open cursors."""
        self._open: dict[int, tuple[str, list[Document]]] = {}  # id -> (namespace, documents)
        self._last_id = FIRST_CURSOR_ID

    def open(self, namespace: str, documents: list[Document]) -> int:
        """Open a cursor and return its id."""
        self._last_id += 1
        self._open[self._last_id] = (namespace, documents)
        return self._last_id

    def take(self, cursor_id: int) -> tuple[str, list[Document]] | None:
        """Close a cursor; return its namespace and remaining documents, None if the id is unknown."""
        return self._open.pop(cursor_id, None)

    def put_back(self, cursor_id: int, namespace: str, documents: list[Document]) -> None:
        """Reopen a cursor after a batch."""
        self._open[cursor_id] = (namespace, documents)

    def clear(self) -> None:
        """Close all cursors."""
        self._open.clear()


class Queries:
    """Runs commands on the documents of one server."""

    def __init__(self, server: EmulatedServer) -> None:
        """Run commands on the documents of this server."""
        self._server = server
        self.cursors = ServerCursors()

    def run(self, request: ReceivedCommand) -> Document:
        """Run a read or a write and return the body of its reply, which may be an error."""
        try:
            return self._write(request) if request.kind is CommandKind.WRITE else self._read(request)
        except CommandError as error:
            return self.error(error.code, error.name, error.text)
        except (KeyError, TypeError, AttributeError, IndexError, ValueError) as error:
            text = f"{request.name}: {error!r}"[:ERROR_CHARACTERS_MAX]
            return self.error(9, "FailedToParse", text)

    def error(self, code: int, name: str, text: str) -> Document:
        """Return the body of an error reply."""
        return {"ok": 0.0, "errmsg": text, "code": code, "codeName": name, **self._optimes()}

    def _optimes(self) -> Document:
        """Return the fields of every reply: optimes, and for the audit the server and its log position."""
        server = self._server
        optime = bson.Timestamp(*server.last_stamp())
        return {
            "$member": {"id": server.id, "applied": server.applied},
            "operationTime": optime,
            "$clusterTime": {"clusterTime": optime, "signature": SIGNATURE},
        }

    # Writes

    def _write(self, request: ReceivedCommand) -> Document:
        server = self._server
        group = server.group
        if not server.is_primary():
            return self.error(11602, "InterruptedDueToReplStateChange", "lost its role meanwhile")
        key = _write_key(request.command)
        if key is not None:
            previous = group.remembered_reply(key)
            if previous is not None:
                server.record("repeat", m=server.id, rid=request.request_id)
                return previous
        reply, effects = server.store.write(request.command)
        entry = group.append(server, effects, server.wall())
        server.record(
            "commit", m=server.id, g=group.number, rid=request.request_id, i=len(group.log), key=key
        )
        body = {**reply, "ok": 1.0, **self._optimes()}
        body["operationTime"] = bson.Timestamp(*entry.stamp)
        if key is not None:
            group.remember(key, body)
        return body

    # Reads

    def _read(self, request: ReceivedCommand) -> Document:
        server = self._server
        server.advance()
        server.record(
            "read",
            m=server.id,
            g=server.group.number,
            d=request.connection.proxy,
            rid=request.request_id,
            i=server.applied,
        )
        if request.name == "count":
            reply: Document = {"n": len(self._select(request.command, "count"))}
        elif request.name == "distinct":
            reply = self._distinct(request.command)
        elif request.name == "listDatabases":
            reply = self._list_databases()
        else:
            reply = self._first_batch(request.command)
        return {**reply, "ok": 1.0, **self._optimes()}

    def _select(self, command: Document, name: str) -> list[Document]:
        namespace = f"{command['$db']}.{command[name]}"
        return self._server.store.select(namespace, command.get("query") or {})

    def _distinct(self, command: Document) -> Document:
        documents = self._select(command, "distinct")
        found = (document.get(command["key"]) for document in documents)
        values = {repr(value): value for value in found if value is not None}
        return {"values": list(values.values())}

    def _list_databases(self) -> Document:
        names = sorted({namespace.split(".", 1)[0] for namespace in self._server.store.spaces})
        rows = [{"name": name, "sizeOnDisk": bson.Int64(DATABASE_BYTES), "empty": False} for name in names]
        return {"databases": rows, "totalSize": bson.Int64(DATABASE_BYTES * len(rows))}

    # Cursors

    def _first_batch(self, command: Document) -> Document:
        namespace, documents = self._server.store.read(command)
        cursor = command.get("cursor") or {}
        size = command.get("batchSize", cursor.get("batchSize", BATCH_DOCUMENTS))
        size = BATCH_DOCUMENTS if size is None else int(size)
        rest = documents[size:]
        cursor_id = 0
        if rest and not command.get("singleBatch"):
            cursor_id = self.cursors.open(namespace, rest)
        return {"cursor": {"id": bson.Int64(cursor_id), "ns": namespace, "firstBatch": documents[:size]}}

    def get_more(self, command: Document) -> Document:
        """Return the reply to a getMore."""
        cursor_id = int(command["getMore"])
        remaining = self.cursors.take(cursor_id)
        if remaining is None:
            return self.error(43, "CursorNotFound", f"cursor id {cursor_id} not found")
        namespace, documents = remaining
        size = int(command.get("batchSize") or BATCH_DOCUMENTS)
        rest = documents[size:]
        if rest:
            self.cursors.put_back(cursor_id, namespace, rest)
        cursor = {
            "id": bson.Int64(cursor_id if rest else 0),
            "ns": namespace,
            "nextBatch": documents[:size],
        }
        return {"cursor": cursor, "ok": 1.0, **self._optimes()}

    def kill_cursors(self, command: Document) -> Document:
        """Return the reply to a killCursors."""
        for cursor_id in command.get("cursors") or []:
            self.cursors.take(int(cursor_id))
        return {"ok": 1.0}


def _write_key(command: Document) -> WriteKey | None:
    """Return the idempotency key of a retryable write, None for other commands."""
    if "lsid" not in command or "txnNumber" not in command:
        return None
    return bytes(command["lsid"]["id"]).hex(), int(command["txnNumber"])
