"""Reads settings from YAML. An error message is one line that names file, line and key."""

from __future__ import annotations

from pathlib import Path
from typing import Any

import yaml
from pydantic import ValidationError

from sedgepitch.config.models import Settings


class SettingsError(Exception):
    """Invalid settings; the message is one line that names file, line and key."""


def load(path: str | Path) -> Settings:
    """Read and validate one file; raises SettingsError."""
    try:
        text = Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        reason = getattr(error, "strerror", None) or "not UTF-8 text"
        raise SettingsError(f"{path}: {reason}") from None
    return parse(text, str(path))


def parse(text: str, name: str) -> Settings:
    """Validate the text of a file; raises SettingsError. `name` is the file's name in error messages."""
    try:
        node = yaml.compose(text, Loader=yaml.SafeLoader)
        raw = yaml.safe_load(text)
    except yaml.MarkedYAMLError as error:
        line = error.problem_mark.line + 1 if error.problem_mark else 1
        raise SettingsError(f"{name}:{line}: {error.problem}") from None
    except (yaml.YAMLError, RecursionError, ValueError) as error:
        raise SettingsError(f"{name}:1: {str(error).splitlines()[0]}") from None
    if not isinstance(raw, dict):
        raise SettingsError(f"{name}:1: expected a mapping of settings keys at the top level")
    _check_duplicate_keys(node, name)
    try:
        return Settings.model_validate(raw)
    except ValidationError as error:
        first = error.errors()[0]
        location = [
            part for part in first["loc"] if not (isinstance(part, str) and part.startswith("function-"))
        ]
        key = ".".join(str(part) for part in location) or "settings"
        message = first["msg"].removeprefix("Value error, ")
        raise SettingsError(f"{name}:{_line(node, location)}: {key}: {message}") from None


def _check_duplicate_keys(node: Any, name: str) -> None:
    """Raise SettingsError for a duplicate key; YAML would silently keep only its last value."""
    if isinstance(node, yaml.MappingNode):
        seen: set[str] = set()
        for key, value in node.value:
            if key.value in seen:
                raise SettingsError(
                    f"{name}:{key.start_mark.line + 1}: {key.value}: duplicate key in this mapping"
                )
            seen.add(key.value)
            _check_duplicate_keys(value, name)
    elif isinstance(node, yaml.SequenceNode):
        for value in node.value:
            _check_duplicate_keys(value, name)


def _line(node: Any, path: list[Any]) -> int:
    """Return the line of the deepest part of the path that is present in the file."""
    line = 1
    for part in path:
        if isinstance(node, yaml.MappingNode):
            pair = next(((k, v) for k, v in node.value if k.value == str(part)), None)
            if pair is None:
                return line
            line, node = pair[0].start_mark.line + 1, pair[1]
        elif isinstance(node, yaml.SequenceNode) and isinstance(part, int) and part < len(node.value):
            node = node.value[part]
            line = node.start_mark.line + 1
        else:
            return line
    return line
