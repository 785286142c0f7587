"""The configuration of a proxy instance on the platform: a JSON file and four environment variables."""

from __future__ import annotations

import json
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

from sedgepitch.decisions.discovery.list_versions import Address, ListVersion
from sedgepitch.discovery.errors import MalformedListError
from sedgepitch.discovery.list_format import read_address, read_version
from sedgepitch.errors import ConfigurationError
from sedgepitch.routing import messages
from sedgepitch.settings import InvalidInputError, read_number, translate_settings

MAX_FILE_CHARS = 16 * 1024 * 1024
# Defaults for settings that are missing or 0.
DEFAULT_CONNECT_TIMEOUT_S = 1.0
DEFAULT_IDLE_CLOSE_S = 60.0
SEED_BASE = 16


class NodeConfigError(ConfigurationError):
    """The configuration is invalid; the message names the position in it."""


@dataclass(slots=True, frozen=True)
class NodeConfig:
    """One configuration. A limit of 0 means that none is configured."""

    name: str
    listen: Address
    discovery: Address
    seed: int
    cores: float
    memory: float  # MB
    sockets: int
    cached_list: ListVersion | None  # the last endpoint list of this instance; may be outdated
    settings: messages.Settings
    connect_within: float  # s
    idle_for: float  # s after which endpoints close idle connections


def parse(text: str, environment: Mapping[str, str], unix_offset: float) -> NodeConfig:
    """Parse a configuration; environment variables replace missing keys.

    `unix_offset` is Unix time minus the monotonic clock, in seconds. Raises NodeConfigError.
    """
    raw = _read_object(text)
    limits = raw.get("limits", {})
    settings = raw.get("settings")
    if not isinstance(limits, dict):
        raise NodeConfigError("limits: not an object")
    if not isinstance(settings, dict):
        raise NodeConfigError("settings: missing, or not an object")
    listen = _text(raw, "listen", environment, "RELAY_LISTEN")
    discovery = _text(raw, "discovery", environment, "RELAY_DISCOVERY")
    try:
        return NodeConfig(
            seed=_seed(raw.get("seed", "0")),
            listen=read_address(listen, "listen", min_port=0),
            discovery=read_address(discovery, "discovery"),
            cached_list=None
            if raw.get("known") is None
            else read_version(raw["known"], unix_offset, "known"),
            settings=translate_settings(settings),
            connect_within=_timeout(settings, "connectTimeoutS") or DEFAULT_CONNECT_TIMEOUT_S,
            idle_for=_timeout(settings, "idleCloseS") or DEFAULT_IDLE_CLOSE_S,
            name=_text(raw, "name", environment, "RELAY_NAME"),
            cores=_limit(limits, "cores"),
            memory=_limit(limits, "memory_mb"),
            sockets=int(_limit(limits, "sockets")),
        )
    except MalformedListError as error:
        raise NodeConfigError(str(error)) from None
    except InvalidInputError as error:
        raise NodeConfigError(f"settings: {error}") from None
    except (TypeError, ValueError, AttributeError, KeyError, OverflowError) as error:
        raise NodeConfigError(f"a value of the wrong type: {error}") from None


def load(environment: Mapping[str, str], unix_offset: float) -> NodeConfig:
    """Load the file named by RELAY_CONFIG. Raises NodeConfigError; see `parse` for the parameters."""
    path = environment.get("RELAY_CONFIG", "")
    if not path:
        raise NodeConfigError("RELAY_CONFIG: missing")
    try:
        with open(path, encoding="utf-8") as file:
            text = file.read(MAX_FILE_CHARS + 1)
    except (OSError, UnicodeDecodeError) as error:
        raise NodeConfigError(f"{path}: {error}") from None
    if len(text) > MAX_FILE_CHARS:
        raise NodeConfigError(f"{path}: more than {MAX_FILE_CHARS} bytes")
    return parse(text, environment, unix_offset)


def _read_object(text: str) -> dict[str, Any]:
    try:
        raw = json.loads(text)
    except (ValueError, RecursionError):
        raise NodeConfigError("the file is not JSON") from None
    if not isinstance(raw, dict):
        raise NodeConfigError("the file is not a JSON object")
    return raw


def _text(raw: Mapping[str, Any], key: str, environment: Mapping[str, str], variable: str) -> str:
    value = raw.get(key, environment.get(variable))
    if not isinstance(value, str) or not value:
        raise NodeConfigError(f"{key}: missing, and so is {variable}")
    return value


def _seed(raw: object) -> int:
    return int(raw, SEED_BASE) if isinstance(raw, str) else int(raw)  # type: ignore[call-overload]


def _timeout(settings: Mapping[str, Any], name: str) -> float:
    return read_number(settings.get("limits", {}), name, 0.0, "limits")


def _limit(raw: Mapping[str, Any], name: str) -> float:
    value = raw.get(name, 0)
    if isinstance(value, bool) or not isinstance(value, (int, float)) or value < 0:
        raise NodeConfigError(f"limits.{name}: not a number of 0 or more")
    return float(value)
