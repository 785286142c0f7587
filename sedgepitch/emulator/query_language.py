"""The query language of the emulated servers: the subset of operators that the test clients use."""

from __future__ import annotations

import copy
from collections.abc import Callable
from typing import Any, TypeAlias

from sedgepitch.errors import ClientError

Value: TypeAlias = Any  # a BSON value
Document = dict[str, Any]

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


class CommandError(ClientError):
    """A command failed: MongoDB error code, code name and message."""

    def __init__(self, code: int, name: str, text: str) -> None:
        """Create the error with the fields that the client receives."""
        super().__init__(text)
        self.code = code
        self.name = name
        self.text = text


def value_at(document: Value, path: str) -> Value:
    """Return the value at a dotted path, None if there is none."""
    for part in path.split("."):
        if not isinstance(document, dict):
            return None
        document = document.get(part)
    return document


def matches(document: Document, query: Document) -> bool:
    """Return whether the document matches the query. Raises CommandError for an unknown operator."""
    for key, wanted in query.items():
        if key == "$and":
            if not all(matches(document, part) for part in wanted):
                return False
        elif key == "$or":
            if not any(matches(document, part) for part in wanted):
                return False
        elif key.startswith("$"):
            raise CommandError(2, "BadValue", f"unknown operator: {key}")
        elif not _matches_value(value_at(document, key), wanted):
            return False
    return True


def _matches_value(value: Value, wanted: Value) -> bool:
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


def updated(document: Document, update: Document) -> Document:
    """Return a copy of the document with an update or replacement applied."""
    if not any(key.startswith("$") for key in update):
        replacement = {key: value for key, value in update.items() if key != "_id"}
        return {"_id": document.get("_id"), **replacement}
    result = copy.deepcopy(document)
    for operator, fields in update.items():
        for path, operand in fields.items():
            _apply_modifier(result, operator, path, operand)
    return result


def _apply_modifier(document: Document, operator: str, path: str, operand: Value) -> None:
    *parents, last = path.split(".")
    parent = document
    for part in parents:
        parent = parent.setdefault(part, {})
    if operator in ("$set", "$setOnInsert"):
        parent[last] = operand
    elif operator == "$unset":
        parent.pop(last, None)
    elif operator == "$inc":
        parent[last] = parent.get(last, 0) + operand
    elif operator == "$push":
        parent.setdefault(last, []).append(operand)
    else:
        raise CommandError(9, "FailedToParse", f"unknown modifier: {operator}")


def sorted_by(documents: list[Document], order: Document) -> list[Document]:
    """Return the documents sorted; missing values come first."""
    for path, direction in reversed(list(order.items())):

        def key(document: Document, path: str = path) -> tuple[bool, str, Any]:
            value = value_at(document, path)
            type_name = "" if isinstance(value, (int, float)) else type(value).__name__
            return value is not None, type_name, value

        documents = sorted(documents, key=key, reverse=direction < 0)
    return documents


def projected(document: Document, projection: Document) -> Document:
    """Return the document with the projected fields only."""
    if not projection:
        return document
    shown = {k for k, v in projection.items() if v and k != "_id"}
    if shown:
        keep = shown | ({"_id"} if projection.get("_id", 1) else set())
        return {k: v for k, v in document.items() if k in keep}
    return {k: v for k, v in document.items() if k not in projection}


def document_key(value: Value) -> Value:
    """Return a hashable form of an `_id`."""
    return repr(value) if isinstance(value, (dict, list)) else value


def grouped(documents: list[Document], spec: Document) -> list[Document]:
    """Return the rows of a $group stage; $sum is the only supported accumulator."""
    groups: dict[Any, Document] = {}
    path = spec.get("_id")
    for document in documents:
        key = value_at(document, path[1:]) if isinstance(path, str) and path.startswith("$") else path
        row = groups.setdefault(document_key(key), {"_id": key})
        for name, accumulator in spec.items():
            if name == "_id":
                continue
            operator, operand = next(iter(accumulator.items()))
            if operator != "$sum":
                raise CommandError(15952, "Location15952", f"unknown group operator '{operator}'")
            is_path = isinstance(operand, str) and operand.startswith("$")
            value = value_at(document, operand[1:]) if is_path else operand
            row[name] = row.get(name, 0) + (value or 0)
    return list(groups.values())
