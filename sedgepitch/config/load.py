"""Read settings from YAML. A mistake names file, line and key in one line."""

from __future__ import annotations

from pathlib import Path
from typing import Any

import yaml
from pydantic import ValidationError

from sedgepitch.config.models import Settings


class SettingsError(Exception):
    """Settings that cannot be used; the text is one line that names the place."""


def load(path: str | Path) -> Settings:
    """Read and check one file; raises SettingsError."""
    try:
        text = Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        reason = getattr(error, "strerror", None) or "it is not UTF-8 text"
        raise SettingsError(f"{path}: {reason}") from None
    return parse(text, str(path))


def parse(text: str, name: str) -> Settings:
    """Check the text of a file; raises SettingsError."""
    try:
        node = yaml.compose(text, Loader=yaml.SafeLoader)
        raw = yaml.safe_load(text)
    except yaml.MarkedYAMLError as error:
        line = error.problem_mark.line + 1 if error.problem_mark else 1
        raise SettingsError(f"{name}:{line}: {error.problem}") from None
    except (yaml.YAMLError, RecursionError, ValueError) as error:
        raise SettingsError(f"{name}:1: {str(error).splitlines()[0]}") from None
    if not isinstance(raw, dict):
        raise SettingsError(f"{name}:1: settings are a mapping of keys")
    _no_twice(node, name)
    try:
        return Settings.model_validate(raw)
    except ValidationError as error:
        first = error.errors()[0]
        where = [
            part for part in first["loc"] if not (isinstance(part, str) and part.startswith("function-"))
        ]
        key = ".".join(str(part) for part in where) or "settings"
        said = first["msg"].removeprefix("Value error, ")
        raise SettingsError(f"{name}:{_line(node, where)}: {key}: {said}") from None


def _no_twice(node: Any, name: str) -> None:
    """A key that stands twice in one mapping would silently win over the first."""
    if isinstance(node, yaml.MappingNode):
        seen: set[str] = set()
        for key, value in node.value:
            if key.value in seen:
                raise SettingsError(f"{name}:{key.start_mark.line + 1}: {key.value}: this key stands twice")
            seen.add(key.value)
            _no_twice(value, name)
    elif isinstance(node, yaml.SequenceNode):
        for value in node.value:
            _no_twice(value, name)


def _line(node: Any, path: list[Any]) -> int:
    """The line of the last part of the path that stands in the file."""
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
