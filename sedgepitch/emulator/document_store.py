"""A small document store: documents by namespace and _id.

A write is reduced to effects (put or remove one document by its id). The replication log carries the effects,
so a replica applies them without evaluating the command again.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any

import bson

from sedgepitch.emulator.query_language import (
    CommandError,
    Document,
    Value,
    document_key,
    grouped,
    matches,
    projected,
    sorted_by,
    updated,
)

Effect = tuple[str, Any, Document | None]  # namespace, key, new document (None: removed)


class Store:
    """The documents of one server, up to the log entry that it applied last."""

    def __init__(self) -> None:
        """Create an empty store."""
        self.spaces: dict[str, dict[Any, Document]] = {}  # namespace -> key -> document

    def apply(self, effects: Iterable[Effect]) -> None:
        """Apply the effects of one log entry."""
        for namespace, key, document in effects:
            space = self.spaces.setdefault(namespace, {})
            if document is None:
                space.pop(key, None)
            else:
                space[key] = document

    def select(self, namespace: str, query: Document) -> list[Document]:
        """Return the documents that match the query."""
        space = self.spaces.get(namespace, {})
        identity = query.get("_id")
        if identity is not None and not isinstance(identity, dict):
            found = space.get(document_key(identity))
            return [found] if found is not None and matches(found, query) else []
        return [d for d in space.values() if matches(d, query)]

    def read(self, command: Document) -> tuple[str, list[Document]]:
        """Run find, aggregate or listCollections; return the namespace and the documents."""
        name, database = next(iter(command)), command["$db"]
        if name == "listCollections":
            found = sorted(n.split(".", 1)[1] for n in self.spaces if n.startswith(database + "."))
            rows: list[Document] = [
                {"name": n, "type": "collection", "options": {}, "info": {"readOnly": False}} for n in found
            ]
            return f"{database}.$cmd.listCollections", rows
        namespace = f"{database}.{command[name]}"
        if name == "find":
            documents = self.select(namespace, command.get("filter") or {})
            documents = sorted_by(documents, command.get("sort") or {})
            skip, limit = int(command.get("skip") or 0), abs(int(command.get("limit") or 0))
            documents = documents[skip : skip + limit if limit else None]
            return namespace, [projected(d, command.get("projection") or {}) for d in documents]
        return namespace, self.run_pipeline(namespace, command["pipeline"])

    def run_pipeline(self, namespace: str, pipeline: list[Document]) -> list[Document]:
        """Run the stages of an aggregate; $out and $merge are left to `write`."""
        documents = list(self.spaces.get(namespace, {}).values())
        for stage in pipeline:
            operator, spec = next(iter(stage.items()))
            if operator == "$match":
                documents = [d for d in documents if matches(d, spec)]
            elif operator == "$sort":
                documents = sorted_by(documents, spec)
            elif operator == "$limit":
                documents = documents[: int(spec)]
            elif operator == "$skip":
                documents = documents[int(spec) :]
            elif operator == "$project":
                documents = [projected(d, spec) for d in documents]
            elif operator == "$count":
                documents = [{spec: len(documents)}] if documents else []
            elif operator == "$group":
                documents = grouped(documents, spec)
            elif operator not in ("$out", "$merge"):
                raise CommandError(40324, "Location40324", f"Unrecognized pipeline stage name: '{operator}'")
        return documents

    # Writes

    def write(self, command: Document) -> tuple[Document, list[Effect]]:
        """Return the reply and the effects of a write, without applying them."""
        name = next(iter(command))
        if name == "aggregate":
            return self._out(command)
        namespace = f"{command['$db']}.{command[name]}"
        draft = _Draft(self, namespace)
        if name == "insert":
            return self._insert(draft, command.get("documents") or [])
        if name == "update":
            return self._update(draft, command.get("updates") or [])
        if name == "delete":
            removed = 0
            for spec in command.get("deletes") or []:
                found = draft.select(spec.get("q") or {})
                for document in found[:1] if spec.get("limit") else found:
                    draft.put(document["_id"], None)
                    removed += 1
            return {"n": removed}, draft.effects
        return self._find_and_modify(draft, command)

    def _insert(self, draft: _Draft, documents: list[Document]) -> tuple[Document, list[Effect]]:
        inserted, errors = 0, []
        for index, document in enumerate(documents):
            document.setdefault("_id", bson.ObjectId())
            if draft.get(document["_id"]) is not None:
                text = f"E11000 duplicate key error collection: {draft.namespace}"
                errors.append({"index": index, "code": 11000, "errmsg": text, "keyPattern": {"_id": 1}})
                break
            draft.put(document["_id"], document)
            inserted += 1
        reply: Document = {"n": inserted}
        return ({**reply, "writeErrors": errors} if errors else reply), draft.effects

    def _update(self, draft: _Draft, updates: list[Document]) -> tuple[Document, list[Effect]]:
        matched = modified = 0
        upserted = []
        for index, spec in enumerate(updates):
            found = draft.select(spec.get("q") or {})
            for document in found if spec.get("multi") else found[:1]:
                new = updated(document, spec["u"])
                matched += 1
                modified += new != document
                draft.put(new["_id"], new)
            if not found and spec.get("upsert"):
                equalities = {k: v for k, v in (spec.get("q") or {}).items() if not isinstance(v, dict)}
                new = updated({**equalities}, spec["u"])
                if new.get("_id") is None:
                    new["_id"] = bson.ObjectId()
                draft.put(new["_id"], new)
                matched += 1
                upserted.append({"index": index, "_id": new["_id"]})
        reply: Document = {"n": matched, "nModified": modified}
        return ({**reply, "upserted": upserted} if upserted else reply), draft.effects

    def _find_and_modify(self, draft: _Draft, command: Document) -> tuple[Document, list[Effect]]:
        found = sorted_by(draft.select(command.get("query") or {}), command.get("sort") or {})
        old = found[0] if found else None
        new: Document | None = None
        if command.get("remove"):
            if old is not None:
                draft.put(old["_id"], None)
        elif old is not None or command.get("upsert"):
            base = {k: v for k, v in (command.get("query") or {}).items() if not isinstance(v, dict)}
            new = updated(old if old is not None else base, command.get("update") or {})
            if new.get("_id") is None:
                new["_id"] = bson.ObjectId()
            draft.put(new["_id"], new)
        last = {"n": int(old is not None or new is not None), "updatedExisting": old is not None}
        return {"lastErrorObject": last, "value": new if command.get("new") else old}, draft.effects

    def _out(self, command: Document) -> tuple[Document, list[Effect]]:
        namespace = f"{command['$db']}.{command['aggregate']}"
        operator, target = next(iter(command["pipeline"][-1].items()))
        name = target if isinstance(target, str) else target.get("into") or target.get("coll")
        draft = _Draft(self, f"{command['$db']}.{name}")
        documents = self.run_pipeline(namespace, command["pipeline"])
        if operator == "$out":
            for identity in list(self.spaces.get(draft.namespace, {})):
                draft.effects.append((draft.namespace, identity, None))
        for document in documents:
            draft.put(document.get("_id"), document)
        return {"cursor": {"id": bson.Int64(0), "ns": draft.namespace, "firstBatch": []}}, draft.effects


class _Draft:
    """A write in progress: a view of the store with the effects collected so far."""

    def __init__(self, store: Store, namespace: str) -> None:
        self.store = store
        self.namespace = namespace
        self.effects: list[Effect] = []
        self.changes: dict[Any, Document | None] = {}  # by key

    def get(self, identity: Value) -> Document | None:
        key = document_key(identity)
        return (
            self.changes[key] if key in self.changes else self.store.spaces.get(self.namespace, {}).get(key)
        )

    def put(self, identity: Value, document: Document | None) -> None:
        key = document_key(identity)
        self.changes[key] = document
        self.effects.append((self.namespace, key, document))

    def select(self, query: Document) -> list[Document]:
        unchanged = [
            d for d in self.store.select(self.namespace, query) if document_key(d["_id"]) not in self.changes
        ]
        return unchanged + [d for d in self.changes.values() if d is not None and matches(d, query)]
