"""Parses quantities with units and addresses as settings state them: '200 ms', '16 MB', '127.0.0.1:27117'."""

from __future__ import annotations

import re
from typing import Annotated, Any

from pydantic import BeforeValidator, PlainSerializer, WithJsonSchema

_SECONDS = {"us": 1e-6, "ms": 1e-3, "s": 1.0, "min": 60.0, "h": 3600.0}
_BYTES = {"B": 1, "kB": 1000, "KiB": 1024, "MB": 1_000_000, "MiB": 1 << 20}
_QUANTITY = re.compile(r"\s*([0-9]+(?:\.[0-9]+)?)\s*([A-Za-z]+)\s*")

PORT_MAX = 65535


def _quantity(value: Any, units: dict[str, Any], example: str) -> float:
    if isinstance(value, str) and (match := _QUANTITY.fullmatch(value)) and match[2] in units:
        return float(match[1]) * units[match[2]]
    if value == 0 and not isinstance(value, bool):
        return 0.0
    raise ValueError(f"must be a figure with one of the units {', '.join(units)}, as in '{example}'")


def seconds(value: Any) -> float:
    """Parse a duration and return seconds; raises ValueError."""
    return _quantity(value, _SECONDS, "200 ms")


def size(value: Any) -> int:
    """Parse a size and return bytes; raises ValueError."""
    return int(_quantity(value, _BYTES, "16 MB"))


def address(value: Any) -> tuple[str, int]:
    """Parse 'host:port'; raises ValueError."""
    if isinstance(value, (tuple, list)):
        value = ":".join(str(part) for part in value)
    host, colon, port = value.rpartition(":") if isinstance(value, str) else ("", "", "")
    if not colon or not host or not port.isdigit() or int(port) > PORT_MAX:
        raise ValueError("must be an address like '127.0.0.1:27117'")
    return host, int(port)


def _schema(pattern: str, example: str) -> WithJsonSchema:
    return WithJsonSchema({"type": "string", "pattern": pattern, "examples": [example]})


Seconds = Annotated[
    float,
    BeforeValidator(seconds),
    PlainSerializer(lambda v: f"{v * 1000:g} ms"),
    _schema(r"^[0-9.]+ ?(us|ms|s|min|h)$", "200 ms"),
]
Bytes = Annotated[
    int,
    BeforeValidator(size),
    PlainSerializer(lambda v: f"{v} B"),
    _schema(r"^[0-9.]+ ?(B|kB|KiB|MB|MiB)$", "16 MB"),
]
Address = Annotated[
    tuple[str, int],
    BeforeValidator(address),
    PlainSerializer(lambda v: f"{v[0]}:{v[1]}"),
    _schema(r"^.+:[0-9]+$", "127.0.0.1:27117"),
]
