"""A small document store: name spaces of documents by _id, and the few operators that clients here need.

Writes are worked out to effects (put or remove one document by its id), which are what the log carries, so a
replica applies them without looking at the command again.
"""

from __future__ import annotations

import copy
from collections.abc import Callable, Iterable
from typing import Any

import bson

Document = dict[str, Any]
Effect = tuple[str, Any, Document | None]  # name space, _id, the new document or None where it is removed

_COMPARE: dict[str, Callable[[Any, Any], bool]] = {
    "$eq": lambda a, b: a == b,
    "$ne": lambda a, b: a != b,
    "$gt": lambda a, b: a > b,
    "$gte": lambda a, b: a >= b,
    "$lt": lambda a, b: a < b,
    "$lte": lambda a, b: a <= b,
    "$in": lambda a, b: a in b,
    "$nin": lambda a, b: a not in b,
}


class CommandError(Exception):
    """The command's own error: code, code name, text."""

    def __init__(self, code: int, name: str, text: str) -> None:
        super().__init__(text)
        self.code, self.name, self.text = code, name, text


def value_at(document: Any, path: str) -> Any:
    """Return the value at a dotted path, None where there is none."""
    for part in path.split("."):
        if not isinstance(document, dict):
            return None
        document = document.get(part)
    return document


def matches(document: Document, query: Document) -> bool:
    """Whether the document fits the query; raises CommandError for an operator that is not known."""
    for key, wanted in query.items():
        if key == "$and":
            if not all(matches(document, part) for part in wanted):
                return False
        elif key == "$or":
            if not any(matches(document, part) for part in wanted):
                return False
        elif key.startswith("$"):
            raise CommandError(2, "BadValue", f"unknown operator: {key}")
        elif not _fits(value_at(document, key), wanted):
            return False
    return True


def _fits(value: Any, wanted: Any) -> bool:
    if not isinstance(wanted, dict) or not any(k.startswith("$") for k in wanted):
        return bool(value == wanted or (isinstance(value, list) and wanted in value))
    for operator, operand in wanted.items():
        if operator == "$exists":
            if (value is not None) != bool(operand):
                return False
        elif operator not in _COMPARE:
            raise CommandError(2, "BadValue", f"unknown operator: {operator}")
        else:
            try:
                if not _COMPARE[operator](value, operand):
                    return False
            except TypeError:
                return False
    return True


def changed(document: Document, update: Document) -> Document:
    """Return the document after an update or replacement."""
    if not any(key.startswith("$") for key in update):
        return {"_id": document.get("_id"), **{k: v for k, v in update.items() if k != "_id"}}
    out = copy.deepcopy(document)
    for operator, fields in update.items():
        for path, operand in fields.items():
            *parents, last = path.split(".")
            spot = out
            for part in parents:
                spot = spot.setdefault(part, {})
            if operator in ("$set", "$setOnInsert"):
                spot[last] = operand
            elif operator == "$unset":
                spot.pop(last, None)
            elif operator == "$inc":
                spot[last] = spot.get(last, 0) + operand
            elif operator == "$push":
                spot.setdefault(last, []).append(operand)
            else:
                raise CommandError(9, "FailedToParse", f"unknown modifier: {operator}")
    return out


def sorted_by(documents: list[Document], order: Document) -> list[Document]:
    """Return the documents in order; missing values come first."""
    for path, direction in reversed(list(order.items())):

        def key(document: Document, path: str = path) -> tuple[bool, str, Any]:
            value = value_at(document, path)
            return (value is not None, "" if isinstance(value, (int, float)) else type(value).__name__, value)

        documents = sorted(documents, key=key, reverse=direction < 0)
    return documents


def projected(document: Document, projection: Document) -> Document:
    """Return the document with the fields that are asked for."""
    if not projection:
        return document
    shown = {k for k, v in projection.items() if v and k != "_id"}
    if shown:
        keep = shown | ({"_id"} if projection.get("_id", 1) else set())
        return {k: v for k, v in document.items() if k in keep}
    return {k: v for k, v in document.items() if k not in projection}


def _identity(value: Any) -> Any:
    return repr(value) if isinstance(value, (dict, list)) else value


class Store:
    """The documents of one member as of what it has applied."""

    def __init__(self) -> None:
        self.spaces: dict[str, dict[Any, Document]] = {}

    def apply(self, effects: Iterable[Effect]) -> None:
        """Apply one log entry's effects."""
        for namespace, identity, document in effects:
            space = self.spaces.setdefault(namespace, {})
            if document is None:
                space.pop(identity, None)
            else:
                space[identity] = document

    def select(self, namespace: str, query: Document) -> list[Document]:
        """Return the documents that fit."""
        space = self.spaces.get(namespace, {})
        identity = query.get("_id")
        if identity is not None and not isinstance(identity, dict):
            found = space.get(_identity(identity))
            return [found] if found is not None and matches(found, query) else []
        return [d for d in space.values() if matches(d, query)]

    def read(self, command: Document) -> tuple[str, list[Document]]:
        """Answer find or aggregate: name space and documents."""
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
        return namespace, self.staged(namespace, command["pipeline"])

    def staged(self, namespace: str, pipeline: list[Document]) -> list[Document]:
        """Run an aggregate's reading stages."""
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
                documents = _grouped(documents, spec)
            elif operator not in ("$out", "$merge"):
                raise CommandError(40324, "Location40324", f"Unrecognized pipeline stage name: '{operator}'")
        return documents

    # Writes

    def write(self, command: Document) -> tuple[Document, list[Effect]]:
        """Work out a write: its reply and its effects. Nothing is applied here."""
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
                new = changed(document, spec["u"])
                matched += 1
                modified += new != document
                draft.put(new["_id"], new)
            if not found and spec.get("upsert"):
                plain = {k: v for k, v in (spec.get("q") or {}).items() if not isinstance(v, dict)}
                new = changed({**plain}, spec["u"])
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
            new = changed(old if old is not None else base, command.get("update") or {})
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
        documents = self.staged(namespace, command["pipeline"])
        if operator == "$out":
            for identity in list(self.spaces.get(draft.namespace, {})):
                draft.effects.append((draft.namespace, identity, None))
        for document in documents:
            draft.put(document.get("_id"), document)
        return {"cursor": {"id": bson.Int64(0), "ns": draft.namespace, "firstBatch": []}}, draft.effects


class _Draft:
    """A write under way: the store with the effects so far laid over it."""

    def __init__(self, store: Store, namespace: str) -> None:
        self.store, self.namespace = store, namespace
        self.effects: list[Effect] = []
        self.over: dict[Any, Document | None] = {}

    def get(self, identity: Any) -> Document | None:
        key = _identity(identity)
        return self.over[key] if key in self.over else self.store.spaces.get(self.namespace, {}).get(key)

    def put(self, identity: Any, document: Document | None) -> None:
        key = _identity(identity)
        self.over[key] = document
        self.effects.append((self.namespace, key, document))

    def select(self, query: Document) -> list[Document]:
        kept = [d for d in self.store.select(self.namespace, query) if _identity(d["_id"]) not in self.over]
        return kept + [d for d in self.over.values() if d is not None and matches(d, query)]


def _grouped(documents: list[Document], spec: Document) -> list[Document]:
    groups: dict[Any, Document] = {}
    path = spec.get("_id")
    for document in documents:
        key = value_at(document, path[1:]) if isinstance(path, str) and path.startswith("$") else path
        row = groups.setdefault(_identity(key), {"_id": key})
        for name, accumulator in spec.items():
            if name == "_id":
                continue
            operator, operand = next(iter(accumulator.items()))
            if operator != "$sum":
                raise CommandError(15952, "Location15952", f"unknown group operator '{operator}'")
            text = isinstance(operand, str) and operand.startswith("$")
            value = value_at(document, operand[1:]) if text else operand
            row[name] = row.get(name, 0) + (value or 0)
    return list(groups.values())
